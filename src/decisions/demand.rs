//! The part of a sender's state that the driver reads: attempts in flight, and the demand for
//! quotas. Nothing is decided here.

use super::Sender;
use super::state::{Health, PendingMessage, Route, RouteId};
use crate::interface::{Demand, DestinationId, EndpointId, MessageId};
use std::collections::BTreeMap;

/// An attempt that has started and has no outcome yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// Id of the message that the attempt carries.
    pub message: MessageId,
    /// Position of the attempt among the message's attempts, starting from 0.
    pub number: usize,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
}

impl Sender {
    /// Returns the number of attempts that have started and have no outcome yet. The driver must
    /// have the same number in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.calls.values().map(|call| call.pending).sum()
    }

    /// Returns the attempts that have started and have no outcome yet.
    pub fn in_flight_attempts(&self) -> Vec<InFlightAttempt> {
        let of_message = |(&message, pending): (&MessageId, &PendingMessage)| {
            let attempts = pending.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            let in_flight = in_flight.map(|(number, attempt)| InFlightAttempt {
                message,
                number,
                endpoint: attempt.endpoint,
            });
            in_flight.collect::<Vec<_>>()
        };
        self.messages.iter().flat_map(of_message).collect()
    }

    /// Returns the demand of this sender at each destination that it knows.
    pub fn demand(&self) -> BTreeMap<DestinationId, Demand> {
        let listed = self.endpoints_by_destination.keys();
        let mut all: BTreeMap<DestinationId, Demand> =
            listed.map(|&id| (id, Demand::default())).collect();
        for message in self.messages.values() {
            if message.open && !message.has_attempt_in_flight() {
                all.entry(message.destination).or_default().waiting += 1;
            }
        }
        for (id, route) in &self.routes {
            self.add_demand_of(route, all.entry(id.destination).or_default());
        }
        all
    }

    /// Returns the number of listed destinations, and the demand of this sender. The demand covers
    /// every destination if at most `max_complete` are listed. Otherwise it covers only those where
    /// a message has changed since the last call of this function, and those whose demand must be
    /// returned again even without a change. While changes are not recorded, as before the first
    /// call, it covers those where messages wait or to which calls were made.
    pub fn demand_in_use(
        &mut self,
        max_complete: usize,
    ) -> (usize, BTreeMap<DestinationId, Demand>) {
        let listed = self.endpoints_by_destination.len();
        if listed <= max_complete {
            return (listed, self.demand());
        }
        self.build_index_once();
        let changed = self.index.changed_destinations.take().unwrap_or_else(|| {
            let called = self.routes.iter().filter(|(_, route)| route.sent > 0);
            let called = called.map(|(id, _)| id.destination);
            self.index.waiting().keys().copied().chain(called).collect()
        });
        let demand: BTreeMap<DestinationId, Demand> = changed
            .into_iter()
            .map(|id| (id, self.demand_of(id)))
            .collect();
        let current = demand
            .iter()
            .filter(|(_, demand)| demand.must_be_repeated());
        self.index.changed_destinations = Some(current.map(|(id, _)| *id).collect());
        (listed, demand)
    }

    fn demand_of(&self, destination: DestinationId) -> Demand {
        let waiting = self.index.waiting().get(&destination).copied();
        let mut demand = Demand {
            waiting: waiting.unwrap_or(0),
            ..Demand::default()
        };
        for (_, route) in self.routes.range(RouteId::all_of(destination)) {
            self.add_demand_of(route, &mut demand);
        }
        demand
    }

    fn add_demand_of(&self, route: &Route, demand: &mut Demand) {
        let overload_span = self.settings.safety.overload_span;
        let own_calls_fail = route.failed_at > route.last_answer_at || route.unanswered > 0;
        demand.in_flight += route.in_flight as u64;
        demand.sent += route.sent;
        demand.unhealthy |= route.health != Health::Healthy;
        demand.failing |= route.is_ejected() && own_calls_fail;
        demand.alive |= route.succeeded && self.now - route.last_answer_at < overload_span;
    }
}
