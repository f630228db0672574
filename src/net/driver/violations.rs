//! What must never happen between the decision module and the driver, checked at run time: counted, logged and put right.

use message_sender::lifecycle::Refusal;
use std::collections::BTreeMap;
use std::fmt;

/// An invariant that does not hold. Each is a defect of this program, not a failure of a peer or of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The module waits for the outcome of an attempt that the driver does not have out.
    AttemptLost,
    /// The module numbers a message's attempts otherwise than the driver.
    AttemptNumber,
    /// A call told of an attempt that is not out.
    OutcomeUnknown,
    /// The module called off an attempt whose call is not known.
    CancelUnknown,
    /// The module decided a call that what has happened forbids.
    CallForbidden(Refusal),
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Violation::CallForbidden(refusal) => {
                return write!(formatter, "a call must not begin: {refusal}");
            }
            Violation::AttemptLost => "an attempt is waited for that is not out",
            Violation::AttemptNumber => "an attempt has another number than expected",
            Violation::OutcomeUnknown => "an outcome came for an attempt that is not out",
            Violation::CancelUnknown => "an attempt is called off whose call is not known",
        };
        formatter.write_str(text)
    }
}

/// How often each was seen.
#[derive(Debug, Default)]
pub struct Violations(BTreeMap<Violation, u64>);

/// The first ones of each kind are logged one by one, of the others only these.
const LOGGED_ONE_BY_ONE: u64 = 10;
const LOGGED_EVERY: u64 = 1000;

impl Violations {
    /// Counts one and logs it, with what it was about.
    pub fn count(&mut self, violation: Violation, about: fmt::Arguments<'_>) {
        let count = self.0.entry(violation).or_default();
        *count += 1;
        if *count <= LOGGED_ONE_BY_ONE || count.is_multiple_of(LOGGED_EVERY) {
            crate::net::log(format_args!(
                "violation: {violation}: {about} (number {count})"
            ));
        }
    }
}
