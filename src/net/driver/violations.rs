//! What must never happen between the decision module and the driver, checked at run time: counted, logged and put right.

use message_sender::lifecycle;
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// Violations of each kind that are logged one by one.
const MAX_LOGGED_INDIVIDUALLY: u64 = 10;
/// Of the later ones only every so many is logged.
const LOG_EVERY_NTH: u64 = 1000;

/// An invariant that does not hold. Each is a defect of this program, not a failure of a peer or of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Violation {
    /// The decision module waits for the outcome of an attempt that the driver does not have in flight.
    #[error("the decision module waits for an attempt that is not in flight")]
    AttemptLost,
    /// The decision module numbers a message's attempts otherwise than the driver.
    #[error("an attempt has another number than expected")]
    AttemptNumber,
    /// A call reported an attempt that is not in flight.
    #[error("an outcome came for an attempt that is not in flight")]
    OutcomeUnknown,
    /// The decision module cancelled an attempt whose call is not known.
    #[error("an attempt is cancelled whose call is not known")]
    CancelUnknown,
    /// A call reported a delivery without what proves it.
    #[error("an attempt succeeded without a proof")]
    UnprovedSuccess,
    /// The decision module decided a call that what has happened forbids.
    #[error("a call must not begin: {0}")]
    CallForbidden(lifecycle::Violation),
}

/// How often each was seen.
#[derive(Debug, Default)]
pub struct Violations(BTreeMap<Violation, u64>);

impl Violations {
    /// Counts one and logs it, with what it was about.
    pub fn count(&mut self, violation: Violation, subject: fmt::Arguments<'_>) {
        let count = self.0.entry(violation).or_default();
        *count += 1;
        if *count <= MAX_LOGGED_INDIVIDUALLY || count.is_multiple_of(LOG_EVERY_NTH) {
            crate::net::log(format_args!(
                "violation: {violation}: {subject} (number {count})"
            ));
        }
    }
}
