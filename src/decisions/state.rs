//! The records that the decisions share: plain data, serialized with the sender. The order and the
//! kinds of their fields are part of the format. No rule and no tuned value is here.

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

/// A span in seconds.
pub fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
