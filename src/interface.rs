//! The types that the decision module and its driver exchange: settings, rules and quotas, events,
//! outcomes and actions. Ids and units of time are in this file. Settings are validated here; no
//! decision is made here.

mod actions;
mod attempts;
mod classes;
mod endpoint_list;
mod events;
mod fleet;
mod messages;
mod quotas;
mod route_events;
mod rules;
mod settings;

pub use actions::*;
pub use attempts::*;
pub use classes::*;
pub use endpoint_list::*;
pub use events::*;
pub use fleet::*;
pub use messages::*;
pub use quotas::*;
pub use route_events::*;
pub use rules::*;
pub use settings::*;

use serde::{Deserialize, Serialize};

/// A point in time or a time span, in integer microseconds. The driver chooses the epoch of its
/// clock.
pub type Micros = i64;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;

/// Number that the driver gives a message; it is not reused once the message is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Number that the driver gives an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// Number of a destination, as the endpoint list and the clients use it.
pub type DestinationId = u64;
