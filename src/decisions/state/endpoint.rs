//! Endpoints, and the recent outcomes of each message class at them.

use super::TokenBucket;
use crate::interface::{DestinationId, EndpointEntry, EndpointStatus, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One endpoint: its entry in the endpoint list, its status and recent outcomes.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// Destination of the endpoint in the last endpoint list that named it.
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: usize,
    /// True while the endpoint is listed and neither draining nor removed.
    pub serving: bool,
    /// Recent outcomes of each message class at the endpoint, by the position of the class in the
    /// settings.
    pub classes: BTreeMap<usize, ClassRecord>,
    /// Score from 0 to 1: how often recent calls to the endpoint found no connection.
    pub connection_scarcity: f64,
    /// True while the endpoint is disabled by operators, whatever the endpoint list says.
    pub disabled: bool,
    /// Slow start of the endpoint, if operators enabled it recently and it may be cold.
    pub warm_up: Option<WarmUp>,
}

impl Endpoint {
    /// Returns true if new calls may be sent to the endpoint.
    pub fn is_available(&self) -> bool {
        self.serving && !self.disabled
    }

    /// Copies destination, zone, kind and status from an entry of the endpoint list.
    pub fn update(&mut self, entry: &EndpointEntry) {
        self.destination = entry.destination;
        self.zone = entry.zone;
        self.kind = entry.kind;
        self.serving = entry.status == EndpointStatus::Serving;
    }
}

/// Slow start of an endpoint that operators have enabled.
#[derive(Debug, Serialize, Deserialize)]
pub struct WarmUp {
    pub since: Micros,
    pub bucket: TokenBucket,
}

impl WarmUp {
    /// Starts the slow start of an endpoint that is enabled now; one call may be sent at once.
    pub fn new(now: Micros) -> Self {
        let bucket = TokenBucket {
            tokens: 1.0,
            refilled_at: now,
        };
        WarmUp { since: now, bucket }
    }
}

/// Recent outcomes of one message class at one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClassRecord {
    pub consecutive_failures: u32,
    /// Time until which messages of the class avoid the endpoint because of their failures there.
    pub avoided_until: Micros,
    /// Time of the last success of the class at the endpoint.
    pub last_success_at: Micros,
}
