//! The held messages: keeps the index in step with them, and tells others what waits. No decision is here.

use super::{AIM_RISES, Sender};
use crate::backlog::{Group, Index, Order, Standing};
use crate::decisions::state::{Endpoint, Health, PendingMessage, Unit, units_of};
use crate::interface::{Demand, DestinationId, Effect, EndpointId, MessageId, Micros};
use std::collections::BTreeMap;

/// An attempt that has begun and has no outcome yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// Its message.
    pub message: MessageId,
    /// Its number among the message's attempts.
    pub number: usize,
    /// Where it went.
    pub endpoint: EndpointId,
}

impl Sender {
    /// For how many messages the last turn looked for an endpoint: what its CPU time grows with.
    pub fn candidates_examined(&self) -> usize {
        self.weighed
    }

    /// Senders that all is scaled by.
    pub fn fleet_size(&self) -> u32 {
        self.counted
    }

    /// Attempts that have begun and have no outcome yet: as many as the host has out.
    pub fn attempts_in_flight(&self) -> usize {
        self.calls.values().map(|call| call.left).sum()
    }

    /// Which these are.
    pub fn in_flight_attempts(&self) -> Vec<InFlightAttempt> {
        let of_message = |(&message, held): (&MessageId, &PendingMessage)| {
            let out = held
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.out);
            out.map(|(number, attempt)| InFlightAttempt {
                message,
                number,
                endpoint: attempt.endpoint,
            })
            .collect::<Vec<_>>()
        };
        self.messages.iter().flat_map(of_message).collect()
    }

    /// What this sender could use at each destination that it knows.
    pub fn demand(&self) -> BTreeMap<DestinationId, Demand> {
        let mut all: BTreeMap<DestinationId, Demand> = self
            .routes
            .keys()
            .map(|&destination| (destination, Demand::default()))
            .collect();
        for held in self
            .messages
            .values()
            .filter(|held| held.open && !held.has_attempt_in_flight())
        {
            all.entry(held.destination).or_default().waiting += 1;
        }
        for ((destination, _), unit) in &self.units {
            self.add_unit(unit, all.entry(*destination).or_default());
        }
        all
    }

    /// The number of destinations that are listed, and what this sender could use: at each of them if they
    /// are `whole` at most, else only where something is held, under way or has changed since the last look.
    pub fn demand_in_use(&mut self, whole: usize) -> (usize, BTreeMap<DestinationId, Demand>) {
        let listed = self.routes.len();
        if listed <= whole {
            return (listed, self.demand());
        }
        self.build_index_once();
        let used = self.index.used.take().unwrap_or_else(|| {
            let called = self
                .units
                .iter()
                .filter(|(_, unit)| unit.sent > 0)
                .map(|((id, _), _)| *id);
            self.index.waiting().keys().copied().chain(called).collect()
        });
        let demand: BTreeMap<_, _> = used
            .into_iter()
            .map(|id| (id, self.demand_of(id)))
            .collect();
        let current = demand
            .iter()
            .filter(|(_, demand)| demand.is_current())
            .map(|(id, _)| *id);
        self.index.used = Some(current.collect());
        (listed, demand)
    }

    fn demand_of(&self, destination: DestinationId) -> Demand {
        let waiting = self.index.waiting().get(&destination).copied().unwrap_or(0);
        let mut demand = Demand {
            waiting,
            ..Demand::default()
        };
        for (_, unit) in self.units.range(units_of(destination)) {
            self.add_unit(unit, &mut demand);
        }
        demand
    }

    fn add_unit(&self, unit: &Unit, demand: &mut Demand) {
        demand.in_flight += unit.in_flight as u64;
        demand.sent += unit.sent;
        demand.unhealthy |= unit.health != Health::Well;
        demand.failing |= matches!(unit.health, Health::Sick { .. })
            && (unit.failed_at > unit.alive_at || unit.quiet > 0);
        demand.alive |=
            unit.succeeded && self.now - unit.alive_at < self.settings.safety.overload_span;
    }

    /// The order in which the messages of a group are sent.
    pub(super) fn order(&self, group: Group) -> Order<impl Fn(Micros) -> f64> {
        let urgency =
            move |born| self.urgency(group.class, f64::from_bits(group.priority_weight), born);
        let aim = self
            .settings
            .classes
            .get(group.class)
            .map_or(1, |class| class.latency_objective);
        // the greatest age that is no more than the part of the aim, by the same rounding
        let mut rises = (aim as f64 * AIM_RISES) as Micros + 1;
        while rises as f64 / aim as f64 > AIM_RISES {
            rises -= 1;
        }
        Order {
            urgency,
            peak: self.now - rises,
        }
    }

    /// Has every turn look at each message that is due, as if none were held back for the reasons of
    /// another: slow, and what tests compare with.
    #[doc(hidden)]
    pub fn examine_each_message(&mut self) {
        self.index.apart = true;
        self.rebuild_index();
    }

    /// True if an endpoint of the destination takes calls.
    pub(super) fn is_served(&self, destination: DestinationId) -> bool {
        let is_open = |id: &EndpointId| self.endpoints.get(id).is_some_and(Endpoint::is_open);
        self.routes
            .get(&destination)
            .is_some_and(|ids| ids.iter().any(is_open))
    }

    pub(super) fn forget_if_done(&mut self, id: MessageId) {
        let done =
            |held: &&PendingMessage| !held.open && !held.unnoticed && !held.has_attempt_in_flight();
        let Some(message) = self.messages.get(&id).filter(done) else {
            return;
        };
        let line = message.key.and_then(|key| self.keys.get_mut(&key));
        let first = line.and_then(|line| {
            line.turn.retain(|&other| other != id);
            line.turn.front().copied()
        });
        self.messages.remove(&id);
        first.into_iter().for_each(|first| self.reindex(first));
    }

    /// Tells the index where a message stands that has changed.
    pub(super) fn reindex(&mut self, id: MessageId) {
        let Some(held) = self.messages.get(&id) else {
            return;
        };
        let standing = self.standing(id, held);
        match &mut self.index.used {
            Some(used) if self.quotas.is_some() => drop(used.insert(held.destination)),
            used => *used = None,
        }
        self.messages
            .entry(id)
            .and_modify(|held| self.index.set(id, held, standing));
    }

    pub(super) fn standing(&self, id: MessageId, held: &PendingMessage) -> Standing {
        let line = held.key.and_then(|key| self.keys.get(&key));
        let first = line.is_none_or(|line| line.turn.front() == Some(&id));
        let repeatable = self.own_effect(held.class) == Effect::Idempotent;
        Standing::of(id, held, self.now, first, repeatable, self.spent_at(held))
            .apart(id, self.index.apart)
    }

    /// Builds the index if the messages were read back without it.
    pub(super) fn build_index_once(&mut self) {
        if !self.index.is_built() {
            self.rebuild_index();
        }
    }

    pub(super) fn rebuild_index(&mut self) {
        let standing: Vec<Standing> = self
            .messages
            .iter()
            .map(|(&id, held)| self.standing(id, held))
            .collect();
        let messages = self.messages.iter_mut().zip(standing);
        let used = self.index.used.take();
        self.index = Index::of(
            self.index.apart,
            messages.map(|((&id, held), standing)| (id, held, standing)),
        );
        self.index.used = used;
    }

    /// Each message stands where it is to, and the index says so too.
    #[cfg(debug_assertions)]
    pub(super) fn check_index(&mut self) {
        let index = std::mem::take(&mut self.index);
        self.index.apart = index.apart;
        self.index.used.clone_from(&index.used);
        self.rebuild_index();
        assert_eq!(
            index, self.index,
            "a change of a message was not told to the index"
        );
    }
}
