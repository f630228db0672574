//! Changes of a destination's health, for the log.

use super::DestinationId;
use std::fmt;

/// Why new attempts no longer go to a destination as before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// It refuses every call, or asks for a wait too long for throttling.
    Closed,
    /// Calls fail.
    Failures,
    /// Calls get no answer.
    Unresponsive,
    /// Enough other senders report it unavailable.
    FleetHealth,
}

/// A change of a destination's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteEvent {
    /// It counts as unhealthy: only single calls go there, to see whether it recovers.
    Ejected {
        /// Which destination.
        destination: DestinationId,
        /// Why.
        reason: EjectionReason,
    },
    /// It answers again: its rate rises step by step.
    Recovering {
        /// Which destination.
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
