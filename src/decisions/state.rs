//! Records that the decisions share: plain data, serialized with the sender. The order and the
//! types of their fields are part of the serialized format. Rules and tuned values belong
//! elsewhere.

mod call;
mod endpoint;
mod key_queue;
mod pending_message;
mod quota_bucket;
mod route;
mod samples;
mod token_bucket;

pub use call::Call;
pub use endpoint::{Endpoint, WarmUp};
pub use key_queue::KeyQueue;
pub use pending_message::{Attempt, PendingMessage};
pub use quota_bucket::QuotaBucket;
pub use route::{Health, Route, RouteId};
pub use samples::Samples;
pub use token_bucket::TokenBucket;

use crate::interface::{Micros, SECOND};

/// Converts a span from microseconds to seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
