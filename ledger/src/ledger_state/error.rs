//! Why an entry does nothing.

use super::MAX_SHARDS;
use crate::quotas::LimitError;
use crate::splits::SplitError;
use miette::Diagnostic;
use thiserror::Error;

/// Why an entry did nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LedgerError {
    /// No ledger was created.
    #[error("no ledger has begun here")]
    #[diagnostic(
        code(ledger::none),
        help("give the replicas a [ledger] table in their settings and restart them one by one")
    )]
    NotCreated,
    /// A ledger exists already.
    #[error("a ledger has begun here already")]
    #[diagnostic(
        code(ledger::begun),
        help("what the log says holds: begin another cluster for other floors or leases")
    )]
    AlreadyCreated,
    /// The first positions of the shards do not grow, or are too many.
    #[error("split_at is not a growing list of up to {MAX_SHARDS} places above zero")]
    #[diagnostic(
        code(ledger::ranges),
        help("name the first destination of each range after the first one")
    )]
    InvalidShards,
    /// The limits have another revision.
    #[error("the limits have version {now}, not {wanted}")]
    #[diagnostic(
        code(ledger::version),
        help("read GET /v1/limits again, and write with the version that it tells in If-Match")
    )]
    VersionMismatch {
        /// What they have.
        now: u64,
        /// What was wanted.
        wanted: u64,
    },
    /// A limit is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Limit(#[from] LimitError),
    /// A split is not possible, or none is in progress.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Split(#[from] SplitError),
}
