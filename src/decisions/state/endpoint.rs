//! Endpoints, and how each class of message fares at them.

use super::TokenBucket;
use crate::interface::{DestinationId, EndpointEntry, EndpointStatus, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is known of one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its destination, zone and kind, as listed last.
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: usize,
    /// Listed, neither draining nor removed.
    pub serving: bool,
    /// How each class fares here, by its position in the settings.
    pub classes: BTreeMap<usize, ClassRecord>,
    /// How often calls lately found no connection, from 0 to 1.
    pub connection_scarcity: f64,
    /// Operators have disabled it, which holds whatever is listed.
    pub disabled: bool,
    /// It was enabled a short while ago and may be cold.
    pub warm_up: Option<WarmUp>,
}

impl Endpoint {
    /// True if new calls may go there.
    pub fn is_available(&self) -> bool {
        self.serving && !self.disabled
    }

    /// Takes over what the list says of it.
    pub fn update(&mut self, entry: &EndpointEntry) {
        self.destination = entry.destination;
        self.zone = entry.zone;
        self.kind = entry.kind;
        self.serving = entry.status == EndpointStatus::Serving;
    }
}

/// The slow start of an endpoint that was enabled.
#[derive(Debug, Serialize, Deserialize)]
pub struct WarmUp {
    pub since: Micros,
    pub bucket: TokenBucket,
}

impl WarmUp {
    /// That of an endpoint enabled now, which may have one call at once.
    pub fn new(now: Micros) -> Self {
        let bucket = TokenBucket {
            tokens: 1.0,
            refilled_at: now,
        };
        WarmUp { since: now, bucket }
    }
}

/// How one class fares at one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ClassRecord {
    pub consecutive_failures: u32,
    /// Until when the failures count against the endpoint.
    pub avoided_until: Micros,
    /// Last success.
    pub alive_at: Micros,
}
