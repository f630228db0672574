//! The commands of the replicated log, what they change, and why one is rejected.

use crate::endpoint::{Endpoint, InvalidEndpoint};
use quota_ledger::freeze::{FreezeEntry, FreezeError};
use quota_ledger::{LedgerEntry, LedgerError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;
use versioned_config::{InvalidRules, LeaseTerms, Proposal, ProposalError, Rules, VersionTag};

/// The addresses of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddresses {
    /// The address that other replicas connect to.
    pub peers: SocketAddr,
    /// The address that clients connect to.
    pub clients: SocketAddr,
}

/// One change of the endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ListChange {
    /// Add the endpoint, or replace the one with this name.
    Put {
        /// The endpoint's name.
        uid: String,
        /// The endpoint.
        #[serde(rename = "target")]
        endpoint: Endpoint,
    },
    /// Set the endpoint's state to draining.
    Drain {
        /// The endpoint's name.
        uid: String,
    },
    /// Remove the endpoint.
    Remove {
        /// The endpoint's name.
        uid: String,
    },
}

/// An endpoint whose time to live has run out without a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExpiredEndpoint {
    /// The endpoint's name.
    pub uid: String,
    /// The endpoint as it was when it expired.
    pub endpoint: Endpoint,
}

/// A command of the log. The order of the variants and their fields is the stored form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the endpoint list: all changes in one new version, or none.
    ChangeList {
        /// Only if the list has this version.
        if_match: Option<u64>,
        /// The changes, in order.
        changes: Vec<ListChange>,
    },
    /// Removes expired endpoints, except those that have changed since.
    Expire(Vec<ExpiredEndpoint>),
    /// Begins the agreed rules, where there are none.
    BeginRules {
        /// The rules of a sender without a lease.
        fallback: Rules,
        /// The first version.
        rules: Rules,
        /// The duration of leases, and the drift of clocks to allow for.
        terms: LeaseTerms,
    },
    /// Proposes other rules.
    ProposeRules(Proposal),
    /// Advances the change to this version from the intersection to the new rules alone.
    AdvanceRules(u64),
    /// Changes the quota ledger.
    Ledger(LedgerEntry),
    /// Changes the freeze calendar.
    Freeze(FreezeEntry),
    /// As `ChangeList`, also where it takes a destination's last endpoint during a freeze.
    ForceChangeList {
        /// Only if the list has this version.
        if_match: Option<u64>,
        /// The changes, in order.
        changes: Vec<ListChange>,
    },
}

/// An endpoint that was added, changed or removed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// The endpoint's name.
    pub uid: String,
    /// The endpoint as it is now, or as it was when it was removed.
    pub endpoint: Endpoint,
    /// Whether it was removed.
    pub removed: bool,
}

/// What a command did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Applied {
    /// The endpoint list's version.
    pub rev: u64,
    /// The rules' version and step, where there are rules.
    pub tag: Option<VersionTag>,
    /// The endpoints that were changed.
    pub changed: Vec<EndpointChange>,
    /// Whether the command changed the ledger or the freeze calendar.
    pub ledger: bool,
}

/// Why a command changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The list has another version than `If-Match` names.
    #[error("the list has version {now}, not {wanted}")]
    Version {
        /// The list's version.
        now: u64,
        /// The version that the client expected.
        wanted: u64,
    },
    /// No endpoint has this name.
    #[error("{0}: no such endpoint")]
    UnknownEndpoint(String),
    /// An endpoint's start time forbids the change.
    #[error("{uid}: {problem}")]
    StaleBoot {
        /// The endpoint's name.
        uid: String,
        /// Which rule forbids it.
        problem: BootProblem,
    },
    /// An endpoint's value is out of range.
    #[error(transparent)]
    InvalidEndpoint(#[from] InvalidEndpoint),
    /// Rules are not valid.
    #[error(transparent)]
    InvalidRules(#[from] InvalidRules),
    /// A request or the list would exceed a bound.
    #[error(transparent)]
    TooMany(#[from] TooMany),
    /// No rules have begun.
    #[error("no rules are agreed here")]
    NoRules,
    /// The rules have begun already.
    #[error("rules are agreed here already")]
    RulesBegun,
    /// The proposed rules can't follow the current ones.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The ledger rejects the entry.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// A freeze window holds the change, or the calendar rejects the entry.
    #[error(transparent)]
    Freeze(#[from] FreezeError),
}

/// Why an endpoint's start time forbids a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BootProblem {
    /// A draining endpoint has told its peers that it ends: only a later start brings it back.
    #[error("it drains, and is up again only with a later boot_ms")]
    Draining,
    /// The list knows a later start.
    #[error("it has started later than boot_ms says")]
    StartedLater,
}

/// A bound that a request or the list would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TooMany {
    /// Changes of one command.
    #[error("more than 10000 changes at once")]
    Changes,
    /// Endpoints of the list.
    #[error("more than 10000 endpoints")]
    Endpoints,
    /// Quota demands of one request.
    #[error("more than 4096 wants at once")]
    Demands,
}
