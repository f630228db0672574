//! What a fleet of senders has in common, without sockets or clock, in four parts:
//!
//! - [`quotas`]: limits that bind all senders together, allocated in leases;
//! - [`health`]: verdicts of the fleet on destinations;
//! - [`splits`]: splits of the shards that hold the limits, with dual reads;
//! - [`freeze`]: windows in which nobody expands the topology.
//!
//! [`LedgerState`] is what the replicated log keeps of the first three. `docs/ledger.md` states the bound on what may be
//! used, and what is conserved when links, allocators and clocks fail.

pub mod freeze;
pub mod health;
mod ledger_state;
pub mod quotas;
pub mod splits;

pub use ledger_state::{LedgerEntry, LedgerError, LedgerState, Shard};
pub use quotas::{
    Allocation, Allocator, FallbackQuotas, InvalidKey, InvalidLimit, LIMIT_KINDS, Limit,
    LimitError, LimitKey, QuotaDemand, QuotaHolder, Resource,
};
pub use versioned_config::{LeaseTerms, Micros};
