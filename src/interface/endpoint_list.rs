//! The list of endpoints that discovery serves, as the driver passes it to the sender.

use super::{DestinationId, EndpointId};

/// Which part of the endpoint list an [`Event::EndpointList`](super::Event::EndpointList) holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that have changed.
    Changes,
    /// The complete list; a known endpoint without an entry has been removed.
    Full,
    /// The complete list as it was stored before a restart; it may be out of date.
    Stale,
}

/// State of an endpoint in the endpoint list. It is independent of the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// New calls may go to the endpoint.
    Serving,
    /// The endpoint shuts down or moves: no new call may go to the endpoint.
    Draining,
    /// The endpoint is no longer in the list.
    Removed,
}

/// Entry of one endpoint in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Number of the endpoint.
    pub endpoint: EndpointId,
    /// Number of the destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Zone of the endpoint, as an index into the driver's list of zones.
    pub zone: u16,
    /// Kind of the destination, as an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Whether new calls may go to the endpoint.
    pub status: EndpointStatus,
    /// Rate, in calls per second from all senders together, that the destination accepts according
    /// to the list. Where [`Kind::separate_routes`](super::Kind::separate_routes) is true, it is the
    /// rate that this endpoint accepts. Used only where
    /// [`Settings::weight_trust`](super::Settings::weight_trust) is above 0.
    pub weight: f64,
}

impl EndpointEntry {
    /// Creates the entry of a serving endpoint with kind 0, zone 0 and weight 1.
    pub fn new(endpoint: EndpointId, destination: DestinationId) -> Self {
        EndpointEntry {
            endpoint,
            destination,
            zone: 0,
            kind: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
        }
    }
}
