//! Rules with versions on which senders agree, without sockets or clock.
//!
//! [`Rules`] says what a sender may do; [`Rules::meet`] is the strictest of two, key by key. A [`Ledger`] holds the
//! versions and takes each change through two steps, old to meet and meet to new; a [`Holder`] is the sender's side:
//! it acts on what its lease allows, and on the floor once that has run out. `docs/agreement.md` states the protocol,
//! its bound and why.

mod holder;
mod ledger;
mod rules;

pub use holder::{Ask, Holder};
pub use ledger::{Grant, Ledger, Proposal, Refusal, Tag, Terms};
pub use rules::{Attempts, Class, Effect, Endpoint, NoMeet, Rules};

/// Microseconds on a clock that does not run backwards; each process has its own.
pub type Micros = u64;
