//! Changes of a destination's health that the host writes to the log.

use super::DestinationId;
use std::fmt;

/// Why a destination counts as unhealthy, so that new attempts are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// The destination rejects every call, or sends a Retry-After too long to be mere
    /// throttling.
    Closed,
    /// Calls to the destination fail.
    Failures,
    /// Calls to the destination get no answer.
    Unresponsive,
    /// A quorum of senders reports the destination as unavailable.
    FleetHealth,
}

/// A change of a destination's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteEvent {
    /// The destination counts as unhealthy from now on: only single calls go there, to find out
    /// whether it has recovered.
    Ejected {
        /// The unhealthy destination.
        destination: DestinationId,
        /// What showed that the destination is unhealthy.
        reason: EjectionReason,
    },
    /// An ejected destination answers again: the rate of calls to it rises step by step.
    Recovering {
        /// The destination that answers again.
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
