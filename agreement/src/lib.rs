//! Rules with versions on which senders agree, without sockets or clock.
//!
//! [`Rules`] says what a sender may do; [`Rules::meet`] is the strictest of two, key by key. [`Versions`], which a
//! replicated log keeps, takes each change through two steps, old to meet and meet to new; [`Leases`] is the leader's
//! knowledge of who may still act on what, by which it sees when a step may begin; a [`Holder`] is the sender's side: it
//! acts on what its lease allows, and on the floor once that has run out. `docs/agreement.md` states the protocol, its
//! bound and why.

mod holder;
mod leases;
mod rules;
mod versions;

pub use holder::{Ask, Holder, Taken};
pub use leases::{Grant, Leases, Terms, Wait};
pub use rules::{Attempts, Class, Effect, LIMITS, NoMeet, Rules, Senseless};
pub use versions::{Proposal, Refusal, Tag, Versions};

/// Microseconds on a clock that does not run backwards; each process has its own.
pub type Micros = u64;
