//! Changes of a route's health that the driver writes to the log. The log names only the route's
//! destination.

use super::DestinationId;
use std::fmt;

/// Why a route is ejected, so that the sender limits its calls to the route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// The route is out of service: either it has rejected several calls over at least a second
    /// with no successful call in between, or it has sent a Retry-After longer than twice
    /// [`Safety::overload_span`](super::Safety::overload_span).
    Closed,
    /// Too many calls on the route failed.
    Failures,
    /// Calls on the route got no answer in the expected time.
    Unresponsive,
    /// A quorum of senders reports the route's destination as unavailable.
    FleetHealth,
}

/// A change of the health of a route, which is a destination, or one endpoint of it where
/// [`Kind::separate_routes`](super::Kind::separate_routes) is true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteEvent {
    /// A route is ejected: until it is healthy again, only few calls go there, which show whether
    /// it has recovered.
    Ejected {
        /// Destination to which the ejected route leads.
        destination: DestinationId,
        /// Why the route is ejected.
        reason: EjectionReason,
    },
    /// A call on an ejected route has succeeded: from now on the rate of calls on the route rises
    /// gradually.
    Recovering {
        /// Destination to which the recovering route leads.
        destination: DestinationId,
    },
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::Closed => "closed",
            EjectionReason::Failures => "failures",
            EjectionReason::Unresponsive => "unresponsive",
            EjectionReason::FleetHealth => "fleet health",
        })
    }
}

impl fmt::Display for RouteEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouteEvent::Ejected {
                destination,
                reason,
            } => {
                write!(f, "destination {destination} ejected: {reason}")
            }
            RouteEvent::Recovering { destination } => {
                write!(f, "destination {destination} recovering")
            }
        }
    }
}
