//! Quotas: limits that bind all senders together, allocated to each in leases.
//!
//! A [`Limit`] stands for all senders; [`FallbackQuotas`] say what each may use without asking. The [`Allocator`] of a
//! shard allocates the rest in leased quotas, which a [`QuotaHolder`] uses for as long as its leases last. Senders and
//! allocators exchange them in JSON or in the [`compact`] form; [`DemandSelector`] and [`ByteBudget`] decide what a
//! request names.

mod allocation;
mod allocator;
mod byte_budget;
pub mod compact;
mod grants;
mod key;
mod key_selection;
mod lease_holder;
mod limit;

pub use allocation::{Allocation, QuotaDemand};
pub use allocator::Allocator;
pub use byte_budget::{ByteBudget, HEADER_BYTES};
pub use key::{InvalidKey, LIMIT_KINDS, LimitKey, Resource};
pub use key_selection::{DemandSelector, KeyDemand, MAX_KEYS_PER_REQUEST, select_reports};
pub use lease_holder::QuotaHolder;
pub use limit::{FallbackQuotas, InvalidLimit, Limit, LimitError};

pub(crate) use limit::MAX_LIMITS;
