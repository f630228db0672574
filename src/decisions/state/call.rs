//! Calls in flight.

use super::RouteId;
use crate::interface::{EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// One call in flight, with one message or a bundle.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// Route against whose limits the call counts.
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// Number of messages in the call whose outcome is not known yet.
    pub pending: usize,
    /// Number of all messages in the call.
    pub size: usize,
    /// True if the call was opened for a hedge. Other messages may have joined it.
    pub is_hedge: bool,
}

impl Call {
    /// Creates a call that starts at `sent` and has no message yet.
    pub fn new(route: RouteId, endpoint: EndpointId, sent: Micros, is_hedge: bool) -> Self {
        Call {
            route,
            endpoint,
            sent,
            pending: 0,
            size: 0,
            is_hedge,
        }
    }
}
