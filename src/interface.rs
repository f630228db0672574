//! The types that the decisions and their host share: ids and time here, settings, rules and quotas, events, outcomes
//! and actions. They are validated here; nothing is decided.

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

/// A point in time or a span, in integer microseconds.
pub type Micros = i64;
/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// A message, numbered by the host; the number is never used again after the message's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// An endpoint, numbered by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// A destination's number.
pub type DestinationId = u64;
