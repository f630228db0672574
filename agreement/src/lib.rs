//! Versioned rules on which senders agree. The crate opens no sockets and reads no clock: callers
//! pass the time in.
//!
//! [`Rules`] state what a sender may do; [`Rules::intersection`] takes the stricter of two rules,
//! field by field. [`VersionedRules`] is the registry's replicated state: it takes each change
//! through two steps, from the old rules to the intersection, and from the intersection to the new
//! rules. [`Leases`] tell the registry's leader which senders may still act on earlier rules, and
//! so when the next step may begin. [`LeaseHolder`] is the sender's side: a sender acts on the
//! rules of its lease, and on its fallback rules without a valid lease. `docs/agreement.md`
//! describes the protocol and its bound.

mod lease_holder;
mod leases;
mod rules;
mod versions;

pub use lease_holder::{GrantResult, LeaseHolder, LeaseRequest};
pub use leases::{BlockingLease, Grant, LeaseTerms, Leases};
pub use rules::{Attempts, ClassRules, Effect, InvalidRules, LIMIT_NAMES, NoIntersection, Rules};
pub use versions::{Proposal, ProposalError, VersionTag, VersionedRules};

/// Time or duration in microseconds on a monotonic clock. Each process has its own clock, so times
/// of two processes are not comparable.
pub type Micros = u64;
