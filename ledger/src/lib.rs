//! What a fleet of senders holds in common, without sockets or clock.
//!
//! A [`Limit`] binds all senders together. Each has a floor of it ([`FallbackQuotas`]) that it may use without asking; the rest is
//! dealt out by a [`Allocator`] in leased parts, which a [`QuotaHolder`] acts on for as long as its leases last. Floors and parts
//! never add up to more than the limit: a part that may still be used is not dealt again. `docs/ledger.md` states the
//! bound, and what is conserved when links, keepers and clocks fail. [`freeze`] holds changes of topology.

mod book;
#[cfg(feature = "calendar")]
pub mod calendar;
pub mod compact;
pub mod freeze;
pub mod gate;
mod holder;
mod keys;
mod limits;
pub mod naming;
mod parts;
pub mod splits;
pub mod verdicts;

pub use book::{LedgerEntry, LedgerError, LedgerState, Shard};
pub use holder::QuotaHolder;
pub use keys::{InvalidKey, LIMIT_KINDS, LimitKey, Resource};
pub use limits::{FallbackQuotas, InvalidLimit, Limit, LimitError};
pub use parts::{Allocation, Allocator, QuotaDemand};
pub use versioned_config::{LeaseTerms, Micros};
