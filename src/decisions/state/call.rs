//! Calls in flight.

use super::RouteId;
use crate::interface::{EndpointId, Micros};
use serde::{Deserialize, Serialize};

/// One call in flight, with one message or a bundle.
#[derive(Debug, Serialize, Deserialize)]
pub struct Call {
    /// Whose limits it counts for.
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// Messages in it whose outcome is not known yet.
    pub pending: usize,
    /// All messages in it.
    pub size: usize,
    /// It carries hedged requests.
    pub is_hedge: bool,
}

impl Call {
    /// A call that starts now and has no message yet.
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
