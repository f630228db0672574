//! Rules with versions on which senders agree, without sockets or clock.
//!
//! [`Rules`] says what a sender may do; [`Rules::intersection`] is the strictest of two, key by key. [`VersionedRules`], which a
//! replicated log keeps, takes each change through two steps, old to intersection and intersection to new; [`Leases`] is the leader's
//! knowledge of who may still act on what, by which it sees when a step may begin; a [`LeaseHolder`] is the sender's side: it
//! acts on what its lease allows, and on its fallback rules once that has expired. `docs/agreement.md` states the protocol, its
//! bound and why.

mod lease_holder;
mod leases;
mod rules;
mod versions;

pub use lease_holder::{GrantResult, LeaseHolder, LeaseRequest};
pub use leases::{BlockingLease, Grant, LeaseTerms, Leases};
pub use rules::{Attempts, ClassRules, Effect, InvalidRules, LIMIT_NAMES, NoIntersection, Rules};
pub use versions::{Proposal, ProposalError, VersionTag, VersionedRules};

/// Microseconds on a clock that does not run backwards; each process has its own.
pub type Micros = u64;
