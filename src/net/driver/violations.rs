//! Kinds of violated invariants between the decision module and the driver, with the number of
//! violations of each kind since the process began. The invariants are checked in other modules,
//! which count a violation here. Not every violation is logged: see [`LOG_EVERY_NTH`].

use message_sender::lifecycle;
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// Number of violations of each kind that are logged individually.
const MAX_LOGGED_INDIVIDUALLY: u64 = 10;
/// After [`MAX_LOGGED_INDIVIDUALLY`] violations of a kind, only each one whose number is a multiple
/// of this is logged.
const LOG_EVERY_NTH: u64 = 1000;

/// Violated invariant. Each one is a defect of this program, not a failure of a peer or of the
/// local host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Violation {
    /// The decision module waits for the outcome of an attempt that the driver does not have in
    /// flight.
    #[error("the decision module waits for an attempt that is not in flight")]
    AttemptLost,
    /// The decision module and the driver number a message's attempts differently.
    #[error("an attempt has an unexpected number")]
    AttemptNumber,
    /// A call reported an attempt that is not in flight.
    #[error("received an outcome for an attempt that is not in flight")]
    OutcomeUnknown,
    /// The decision module cancelled an attempt whose call the driver does not know.
    #[error("a cancelled attempt belongs to no known call")]
    CancelUnknown,
    /// A call reported a success without an end proof.
    #[error("an attempt succeeded without an end proof")]
    UnprovedSuccess,
    /// The decision module decided on a call that the message's earlier attempts or its key's order
    /// forbid.
    #[error("the decision module decided on a forbidden call: {0}")]
    CallForbidden(lifecycle::Violation),
}

/// Number of violations of each kind since the process began.
#[derive(Debug, Default)]
pub struct Violations(BTreeMap<Violation, u64>);

impl Violations {
    /// Counts a violation, and logs it with its subject unless too many of its kind were logged.
    pub fn count(&mut self, violation: Violation, subject: fmt::Arguments<'_>) {
        let count = self.0.entry(violation).or_default();
        *count += 1;
        if *count <= MAX_LOGGED_INDIVIDUALLY || count.is_multiple_of(LOG_EVERY_NTH) {
            crate::net::log(format_args!(
                "violation: {violation}: {subject} (occurrence {count})"
            ));
        }
    }
}
