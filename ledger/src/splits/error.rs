//! Why a split does not begin, or is rolled back.

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a split does not begin, or is undone.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum SplitError {
    /// There is no such range.
    #[error("no range begins at {0}")]
    #[diagnostic(
        code(ledger::split::range),
        help("GET /v1/limits lists the ranges by their first places")
    )]
    UnknownShard(u64),
    /// The place is not inside it.
    #[error("{at} is not inside the range that begins at {first}")]
    #[diagnostic(
        code(ledger::split::place),
        help("name a destination after the first of the range and before the next range")
    )]
    OutsideShard {
        /// The range.
        first: u64,
        /// Where it was to be split.
        at: u64,
    },
    /// One is under way.
    #[error("a split of the range that begins at {0} is under way")]
    #[diagnostic(
        code(ledger::split::under_way),
        help("wait for its end (GET /v1/splits), or undo it (DELETE /v1/splits)")
    )]
    SplitInProgress(u64),
    /// None is under way.
    #[error("no split is under way")]
    #[diagnostic(
        code(ledger::split::none),
        help("GET /v1/splits tells how the last ones ended")
    )]
    NoSplit,
    /// The sides disagree.
    #[error("{0} answers of the two sides disagree")]
    #[diagnostic(
        code(ledger::split::flags),
        help(
            "GET /v1/splits has both sides of each; the range is as it was: report it before it is split again"
        )
    )]
    Disagreements(u64),
    /// It took too long.
    #[error("it was not compared in whole in time")]
    #[diagnostic(
        code(ledger::split::late),
        help("split it at a quieter time, or a smaller part of it")
    )]
    TimedOut,
    /// A freeze began.
    #[error("window {0} began before every key had been compared")]
    #[diagnostic(code(ledger::split::frozen), help("split it again after the window"))]
    Frozen(String),
    /// An operator undid it.
    #[error("an operator undid it")]
    #[diagnostic(code(ledger::split::undone), help("the range is as it was"))]
    RolledBackByOperator,
    /// It was a rehearsal.
    #[error("it was a rehearsal, and every key was compared without a flag")]
    #[diagnostic(
        code(ledger::split::rehearsed),
        help("what was planted was not found: report it, and split nothing")
    )]
    Rehearsed,
}
