//! What is sent and what is ended, proposed in the order of urgency and asked of
//! [`permission`](super::permission).

use super::{
    AIM_RISES, BUDGET_SHARE, BURST, DEADLINE_MARGIN, FAIL_TRUST, FIRST_COPY_DELAY, Sender,
    WINDOW_SICK, share_of,
};
use crate::backlog::{Candidate, Candidates};
use crate::decisions::state::{
    Attempt, Bucket, Call, Endpoint, Health, PendingMessage, Unit, UnitId, rest_until_call,
    units_of,
};
use crate::interface::{
    Action, DestinationId, Effect, EjectionReason, EndpointId, MILLISECOND, MessageId, Micros,
    Quotas,
};
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;

/// Share of the slots that copies may hold: more rescues more, less leaves slots to first attempts.
const COPY_SHARE: f64 = 0.5;
/// Share of the held messages above which those that cannot go are refused.
const HELD_FULL: f64 = 0.85;

impl Sender {
    /// Ends messages that cannot be delivered any more, and makes room when too many are held.
    pub(super) fn end_hopeless(&mut self, actions: &mut Vec<Action>) {
        let mut excess = self
            .index
            .open()
            .saturating_sub(share_of(self.settings.max_pending, HELD_FULL));
        let first = self.index.first_deadline();
        self.due = first.map_or(self.due, |deadline| {
            self.due.min(deadline - DEADLINE_MARGIN)
        });
        let ended = self.index.ended(self.now + DEADLINE_MARGIN, self.now);
        let mut stuck = Vec::new();
        let all = if excess > 0 {
            Some(&self.messages)
        } else {
            None
        };
        for (&id, message) in all
            .into_iter()
            .flatten()
            .filter(|(_, message)| message.open)
        {
            let idle = !message.has_attempt_in_flight() && !ended.contains(&id);
            if idle && self.may_refuse(message) && self.is_stuck(message) {
                stuck.push((message.priority_weight, message.created_at, id));
            }
        }
        let mut ends: Vec<MessageId> = ended.into_iter().collect();
        stuck.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        excess = excess.min(stuck.len());
        ends.extend(stuck[..excess].iter().map(|&(_, _, id)| id));
        for id in ends {
            let message = &self.messages[&id];
            actions.push(if self.may_refuse(message) {
                Action::Reject {
                    message: id,
                    retry_after: self.client_wait(),
                }
            } else {
                Action::Fail(id)
            });
            self.close(id, actions);
            if let Some(message) = self.messages.get_mut(&id) {
                message.unnoticed = self.settings.completion_by_notification;
            }
            self.forget_if_done(id);
        }
    }

    /// When a client that is turned away should come back, where clients are told.
    pub(super) fn client_wait(&self) -> Option<Micros> {
        Some(self.settings.max_retry_after / 2).filter(|&wait| wait > 0)
    }

    /// From when on no send can be legal: it may have run and cannot be repeated, or no attempt is left.
    pub(super) fn spent_at(&self, message: &PendingMessage) -> Micros {
        // what rules forbid for now they may allow again
        match self.own_effect(message.class) {
            _ if message.attempts.len() >= message.most_attempts => Micros::MIN,
            Effect::Idempotent => Micros::MAX,
            Effect::NonIdempotent => message
                .attempts_at_risk()
                .next()
                .map_or(Micros::MAX, |_| Micros::MIN),
            Effect::IdempotencyKey { window, .. } => message
                .window_ends(window - DEADLINE_MARGIN)
                .unwrap_or(Micros::MAX),
        }
    }

    /// True if every unit of the message's destination is sick, returning or has failed of late.
    pub(super) fn is_stuck(&self, message: &PendingMessage) -> bool {
        let goes = |unit: &Unit| unit.health == Health::Well && unit.fails < FAIL_TRUST;
        let stuck = |id: &EndpointId| {
            self.units
                .get(&self.unit_of(*id))
                .is_some_and(|unit| !goes(unit))
        };
        let serving = |id: &&EndpointId| self.endpoints.get(id).is_some_and(Endpoint::is_open);
        self.routes
            .get(&message.destination)
            .is_none_or(|ids| ids.iter().filter(serving).all(stuck))
    }

    pub(super) fn send_due(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.index.come_due(self.now) {
            self.reindex(id);
        }
        let later = self
            .index
            .later()
            .find(|(_, id)| self.is_served(self.messages[id].destination));
        self.due = later.map_or(self.due, |(at, _)| self.due.min(at));
        let bundles = self.settings.kinds.iter().any(|kind| kind.bundle_max > 1);
        let burdens = |call: &&Call| self.units.get(&call.unit).is_some_and(Unit::is_burden);
        self.burdens = self.calls.values().filter(burdens).count();
        self.weighed = 0;
        let mut candidates = Candidates::default();
        for place in self
            .index
            .ready()
            .filter(|place| self.is_served(place.destination))
        {
            candidates.extend(self.index.first(place, &self.order(place.group)));
        }
        let mut opened: BTreeMap<EndpointId, u64> = BTreeMap::new();
        while let Some(next @ Candidate { rank, place }) = candidates.pop() {
            if !bundles && self.calls.len() >= self.settings.call_slots {
                break; // the end of a call brings the next turn
            }
            self.weighed += 1;
            let copy = self.messages[&rank.id].has_attempt_in_flight();
            let full = copy && self.copies_out >= share_of(self.settings.call_slots, COPY_SHARE);
            // a copy skipped at the ceiling comes up again next turn: its offset is not doubled
            if let Some((endpoint, joined)) = self.pick(rank.id, copy, &opened).filter(|_| !full) {
                self.send(rank.id, endpoint, joined, copy, &mut opened, actions);
                for passed in candidates.take_passed(place.destination) {
                    candidates.extend(self.index.after(passed, &self.order(passed.group), rank));
                }
            } else if !place.group.at_risk || self.effect(place.group.class) == Effect::Idempotent {
                // what holds this one back holds all of its group back
                candidates.pass_over(place);
                continue;
            }
            candidates.extend(self.index.next(next, &self.order(place.group)));
        }
    }

    /// Worth still to be won per second of a slot; within the aim the oldest come first. The index relies on
    /// this: it rises with age up to a part of the aim, and never beyond.
    pub(super) fn urgency(&self, class: usize, priority_weight: f64, born: Micros) -> f64 {
        let age = self.now - born;
        let Some(class) = self.settings.classes.get(class) else {
            return 0.0;
        };
        let aims = age as f64 / class.latency_objective as f64;
        let left = if aims <= AIM_RISES {
            1.0 + aims
        } else {
            0.8 * class.remaining_weight(age, self.settings.weight_decay)
        };
        priority_weight * left
    }

    /// The best legal endpoint for the message, and the call of this turn that it can join.
    pub(super) fn pick(
        &mut self,
        id: MessageId,
        copy: bool,
        opened: &BTreeMap<EndpointId, u64>,
    ) -> Option<(EndpointId, Option<u64>)> {
        let message = &self.messages[&id];
        let unsafe_class = self.effect(message.class) == Effect::NonIdempotent;
        let shared = self.allowed_together(message.destination);
        let message = &self.messages[&id];
        let routes: Vec<EndpointId> = self
            .routes
            .get(&message.destination)?
            .iter()
            .copied()
            .collect();
        let mut options = Vec::new();
        for endpoint in routes {
            let known = &self.endpoints[&endpoint];
            let bundle = self
                .settings
                .kinds
                .get(known.kind)
                .map_or(1, |kind| kind.bundle_max);
            let joined = opened
                .get(&endpoint)
                .copied()
                .filter(|call| self.calls[call].size < bundle);
            let tries = self.messages[&id]
                .attempts
                .iter()
                .filter(|attempt| attempt.endpoint == endpoint)
                .count();
            let unit_id = self.unit_of(endpoint);
            if (copy && tries > 0) || !self.may_send(id, endpoint, joined.is_some()) {
                let key = self.messages[&id].key.and_then(|key| self.keys.get(&key));
                let rest = key.map(|line| line.rest_until.max(self.keys_rest_until));
                let until = [rest, Some(self.unit(unit_id).wait_until)];
                self.due = until
                    .into_iter()
                    .flatten()
                    .filter(|&at| at > self.now)
                    .fold(self.due, Micros::min);
                continue;
            }
            let unit = self.unit(unit_id);
            let (usual, slowest) = (
                unit.usual.unwrap_or(0),
                unit.offset.unwrap_or(FIRST_COPY_DELAY),
            );
            let late = self.now + usual > self.messages[&id].deadline;
            // a call cut off by the end of the process may have run; the next life makes a whole one
            if self.ends.is_some_and(|ends| self.now + slowest > ends) {
                continue;
            }
            if copy && late || !self.is_wise(unit_id, unsafe_class, copy, joined.is_some()) {
                continue;
            }
            if joined.is_none() && !(shared && self.is_warm_enough(endpoint, unit_id)) {
                continue;
            }
            let known = &self.endpoints[&endpoint];
            let record = known.classes.get(&self.messages[&id].class);
            let struck =
                record.is_some_and(|class| class.struck_until > self.now && class.strikes > 0);
            let health = match self.units[&unit_id].health {
                Health::Well => 0,
                Health::Returning { .. } => 1,
                Health::Sick { .. } => 2,
            };
            let load = self
                .calls
                .values()
                .filter(|call| call.endpoint == endpoint)
                .count();
            // filling a call spends nothing; another route has a limit of its own, a shared one has not
            let load = if joined.is_some() {
                0
            } else {
                load + usize::from(unit_id.1.is_none())
            };
            let far = known.zone != self.settings.zone;
            options.push((
                (health, struck, tries, load, far, self.random.next_u32()),
                endpoint,
                joined,
            ));
        }
        options
            .into_iter()
            .min()
            .map(|(_, endpoint, joined)| (endpoint, joined))
    }

    /// True if limits that all senders share leave this one a call to the destination now. Guards the limit
    /// against the sum of all; could starve a sender that can't ask and has a small fallback share.
    pub(super) fn allowed_together(&mut self, destination: DestinationId) -> bool {
        let Some(quota) = self.quotas.as_ref().map(|quotas| quotas.of(destination)) else {
            return true;
        };
        let well = self
            .units
            .range(units_of(destination))
            .all(|(_, unit)| unit.health == Health::Well);
        let now = self.now;
        let Some(rate) = quota.rate_at(now, well) else {
            return true;
        };
        let new = Bucket {
            tokens: Bucket::CALL,
            at: now,
        };
        let bucket = self.buckets.entry(destination).or_insert(new);
        bucket.refill(now, rate, BURST);
        let allowed = bucket.tokens >= Bucket::CALL;
        if !allowed && rate > 0 {
            self.due = self.due.min(now.saturating_add(bucket.rest(rate)));
        }
        allowed
    }

    pub(super) fn share(&mut self, quotas: Option<Box<Quotas>>) {
        let before = std::mem::replace(&mut self.quotas, quotas);
        for (&destination, bucket) in &mut self.buckets {
            let quotas = [&before, &self.quotas]
                .map(|all| all.as_ref().and_then(|all| all.of(destination).rate));
            bucket.change(self.now, quotas, BURST);
        }
    }

    /// Heeds what enough others agree on. Guards slots against a destination that is out for others; could
    /// hold back one that is well, so own successes go before it. One that is back is tried at once.
    pub(super) fn hear(
        &mut self,
        destination: DestinationId,
        out: bool,
        actions: &mut Vec<Action>,
    ) {
        let (now, span) = (self.now, self.settings.safety.overload_span);
        for id in self
            .units
            .range(units_of(destination))
            .map(|(id, _)| *id)
            .collect::<Vec<_>>()
        {
            let unit = self.unit(id);
            match unit.health {
                Health::Well if out && now - unit.alive_at > span => {
                    self.fall_sick(id, true, EjectionReason::FleetHealth, actions)
                }
                Health::Sick { .. } if !out => unit.tokens = unit.tokens.max(1.0),
                _ => {}
            }
        }
    }

    /// True if window, pace and health advise the call.
    pub(super) fn is_wise(
        &mut self,
        id: UnitId,
        unsafe_class: bool,
        copy: bool,
        joins: bool,
    ) -> bool {
        let (now, safety) = (self.now, self.settings.safety.clone());
        let burden_full = self.burdens >= share_of(self.settings.call_slots, WINDOW_SICK);
        let senders = f64::from(self.counted);
        let unit = self.unit(id);
        let rate = unit.allowed_rate(&safety, senders, now);
        unit.refill(now, rate);
        if unit.lags && burden_full && !joins {
            return false;
        }
        let tokens = unit.tokens;
        let advised = match unit.health {
            // an unsafe message is risked only if calls are refused, or if none else goes
            Health::Sick { .. } => {
                let needed = if unsafe_class && unit.refused_run == 0 {
                    2.0
                } else {
                    1.0
                };
                !copy && tokens >= needed && !burden_full
            }
            Health::Returning { .. } if copy || unsafe_class && unit.fails > FAIL_TRUST => {
                return false;
            }
            // what is sent to a unit that may be about to fail cannot be sent again
            Health::Well
                if unsafe_class && unit.quiet_age > unit.offset.unwrap_or(FIRST_COPY_DELAY) =>
            {
                return false;
            }
            Health::Well if copy && tokens < 2.0 => return false,
            _ => joins || (unit.in_flight as f64) < unit.window.floor().max(1.0) && tokens >= 1.0,
        };
        if !advised && tokens < 1.0 {
            self.due = self
                .due
                .min(now + rest_until_call(tokens, rate) + MILLISECOND);
        }
        advised
    }

    /// True unless the endpoint was put back a short while ago and has had what it can take.
    /// Guards a restarted endpoint whose fellows are warm: it gets its part of what the destination is known
    /// to take, at the level of a returning one. Could hold back one that was never restarted for a while.
    pub(super) fn is_warm_enough(&mut self, endpoint: EndpointId, id: UnitId) -> bool {
        let (now, safety) = (self.now, self.settings.safety.clone());
        let unit = self.unit(id);
        let known_rate = if unit.best_rate > 0.0 {
            unit.best_rate.max(unit.share)
        } else {
            1.0
        };
        let open = |id: &&EndpointId| self.endpoints.get(id).is_some_and(Endpoint::is_open);
        let fellows = self
            .routes
            .get(&id.0)
            .map_or(1, |ids| ids.iter().filter(open).count().max(1));
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            return true;
        };
        let Some(warmup) = &mut known.warmup else {
            return true;
        };
        let warm = (now - warmup.since) as f64 / safety.warm_up_time.max(1) as f64;
        if warm >= 1.0 {
            known.warmup = None;
            return true;
        }
        let level = safety.start_capacity + (1.0 - safety.start_capacity) * warm;
        let rate = known_rate / fellows as f64 * safety.overload_multiple * BUDGET_SHARE * level;
        warmup.refill(now, rate);
        let allowed = warmup.tokens >= 1.0;
        if !allowed {
            self.due = self
                .due
                .min(now + rest_until_call(warmup.tokens, rate) + MILLISECOND);
        }
        allowed
    }

    pub(super) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        joined: Option<u64>,
        copy: bool,
        opened: &mut BTreeMap<EndpointId, u64>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let unit_id = self.unit_of(endpoint);
        let call_id = joined.unwrap_or(self.next_call);
        if joined.is_none() {
            self.next_call += 1;
            let call = Call {
                unit: unit_id,
                endpoint,
                sent: now,
                left: 0,
                size: 0,
                copy,
            };
            self.calls.insert(call_id, call);
            self.copies_out += usize::from(copy);
            opened.insert(endpoint, call_id);
            let unit = self.unit(unit_id);
            unit.tokens -= 1.0;
            unit.in_flight += 1;
            unit.sent += 1;
            self.burdens += usize::from(self.units[&unit_id].is_burden());
            self.buckets
                .entry(unit_id.0)
                .and_modify(|bucket| bucket.tokens -= Bucket::CALL);
            let warmup = self
                .endpoints
                .get_mut(&endpoint)
                .and_then(|known| known.warmup.as_mut());
            warmup.into_iter().for_each(|warmup| warmup.tokens -= 1.0);
        }
        let silence = self.unit(unit_id).silence_limit();
        let offset = self.unit(unit_id).offset.unwrap_or(FIRST_COPY_DELAY);
        self.calls
            .entry(call_id)
            .and_modify(|call| (call.left, call.size) = (call.left + 1, call.size + 1));
        let effect = self.effect(self.messages[&id].class);
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let (expires, start_by) = match effect {
            Effect::NonIdempotent => (message.deadline, None),
            Effect::IdempotencyKey { window: w, .. } => (
                message.deadline.min(now + w),
                message.window_ends(w - DEADLINE_MARGIN),
            ),
            Effect::Idempotent => (message.deadline.min(now + offset * 10), None),
        };
        let longest = self
            .quotas
            .as_ref()
            .and_then(|quotas| quotas.of(unit_id.0).in_flight);
        let expires = longest.map_or(expires, |quota| expires.min(now + quota.max_duration));
        if copy {
            message.hedge_at = now + message.copy_step;
            message.copy_step *= 2;
        } else {
            message.hedge_at = if effect == Effect::NonIdempotent {
                Micros::MAX
            } else {
                now + offset
            };
            message.copy_step = offset;
        }
        self.due = self
            .due
            .min(message.hedge_at)
            .min(now + silence + MILLISECOND);
        message
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.overlapped |= attempt.out);
        let attempt = message.attempts.len();
        message.attempts.push(Attempt::new(endpoint, now, call_id));
        self.reindex(id);
        actions.push(Action::Send {
            message: id,
            attempt,
            endpoint,
            expires,
            start_by,
        });
    }

    /// Marks a message as ended and calls off what is still out.
    pub(super) fn close(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else {
            return;
        };
        message.open = false;
        let cancels = self.settings.cancellation_allowed;
        let out = message
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| cancels && attempt.out);
        actions.extend(out.map(|(attempt, _)| Action::Cancel {
            message: id,
            attempt,
        }));
        self.reindex(id);
    }

    pub(super) fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let at = self
            .due
            .min(self.list_retry.unwrap_or(Micros::MAX))
            .max(self.now + MILLISECOND);
        if at < self.alarm {
            self.alarm = at;
            actions.push(Action::SetTimer(at));
        }
    }
}
