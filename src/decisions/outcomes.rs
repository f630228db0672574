//! What the outcome of an attempt tells of its message, its endpoint and its destination.

use super::{
    FAIL_SICK, FAIL_TRUST, FAIL_WEIGHT, PACE_FIRST, RETRY_MOST, Sender, WINDOW_MOST, WINDOW_SICK,
    share_of,
};
use crate::decisions::state::{Health, UnitId, seconds};
use crate::interface::{
    Action, EjectionReason, EndpointId, MILLISECOND, MessageId, Micros, Outcome, RouteEvent, SECOND,
};

/// Refusals in a row, over at least this long, that mean shut rather than throttled.
const SHUT_RUN: u32 = 4;
const SHUT_SPAN: Micros = SECOND;
/// Weight of one failed connection, and the score of a kind above which idle connections are given back.
/// Lower frees crowded endpoints sooner, higher saves handshakes.
const CROWDED_WEIGHT: f64 = 0.2;
const CROWDED: f64 = 0.1;
/// Most of a told limit that counts as left: higher lets a lone sender take more at once.
const LEFT_MOST: f64 = 0.9;

impl Sender {
    pub(super) fn learn_outcome(
        &mut self,
        id: MessageId,
        index: usize,
        outcome: Outcome,
        latency: Micros,
        report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let class = self
            .messages
            .get(&id)
            .map_or(usize::MAX, |message| message.class);
        let key_backoff = self.key_backoff(class);
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let Some(attempt) = message
            .attempts
            .get_mut(index)
            .filter(|attempt| attempt.out)
        else {
            return;
        };
        attempt.out = false;
        attempt.may_have_run = !outcome.never_ran();
        let (call_id, endpoint_id, sent) = (attempt.call, attempt.endpoint, attempt.sent);
        // what the host could not send rests too, or a lasting fault there would use up all attempts at once
        if !matches!(
            outcome,
            Outcome::Success | Outcome::NotSent { no_slot: true }
        ) {
            let rest = message.retry_rest;
            message.retry_rest = (rest * 2).min(RETRY_MOST);
            let refused = matches!(outcome, Outcome::Rejected { .. });
            message.retry_at = self.now + if refused { 0 } else { rest };
        }
        let rests = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        let line = message
            .key
            .filter(|_| rests)
            .and_then(|key| self.keys.get_mut(&key));
        line.into_iter()
            .for_each(|line| line.rest_until = line.rest_until.max(self.now + key_backoff));
        self.reindex(id);
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        let (unit_id, first, copy) = (call.unit, call.left == call.size, call.copy);
        call.left -= 1;
        if call.left == 0 {
            self.calls.remove(&call_id);
            self.copies_out -= usize::from(copy);
            let unit = self.unit(unit_id);
            unit.in_flight -= 1;
            unit.look_anew();
            self.close_idle(unit_id, endpoint_id, actions);
        }
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            self.heed(unit_id, wait, actions);
        }
        self.learn_report(unit_id, report);
        if !first {
            return;
        }
        let (now, span, cold) = (
            self.now,
            self.settings.safety.overload_span,
            self.settings.safety.warm_up_time,
        );
        let (slots, senders) = (self.settings.call_slots as f64, f64::from(self.counted));
        let (phase, crowd) = (self.phase(), self.crowd());
        let silence = self.unit(unit_id).silence_limit();
        let served = self.unit(unit_id).succeeded;
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            for score in [
                self.crowded.entry(endpoint.kind).or_default(),
                &mut endpoint.crowded,
            ] {
                match outcome {
                    // where nothing else is served it is not crowded but out
                    Outcome::NoConnection if served => *score += CROWDED_WEIGHT * (1.0 - *score),
                    Outcome::Success => *score -= CROWDED_WEIGHT * CROWDED * *score,
                    _ => {}
                }
            }
            // one class may fail or go unanswered where others fare well: a late called-off attempt counts
            let class = endpoint.classes.entry(class).or_default();
            if outcome == Outcome::Success {
                (class.strikes, class.alive_at) = (0, now);
            } else if outcome.failed() || outcome == Outcome::Cancelled && latency > silence {
                class.strikes += 1;
                class.struck_until = now + ((span / 4) << class.strikes.min(3));
            }
        }
        let Some(unit) = self.units.get_mut(&unit_id) else {
            return;
        };
        if matches!(
            outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected { .. }
        ) {
            unit.alive_at = now;
        }
        if outcome.failed() || matches!(outcome, Outcome::Rejected { .. }) {
            unit.failed_at = now;
        }
        match outcome {
            Outcome::Success => {
                unit.remember_latency(latency);
                unit.refused_run = 0;
                unit.succeeded = true;
                unit.grow(crowd);
                unit.fails -= FAIL_WEIGHT * unit.fails;
                unit.served.push(now, usize::MAX);
                // one in a crowd makes too few calls in a span to tell a rate by
                let rate = unit.served_rate(now, span) * (1.0 - crowd) + unit.own_rate(now) * crowd;
                // what is served while returning must not raise the budget of the return itself
                unit.best_rate = unit.best_rate.max(if unit.health == Health::Well {
                    rate
                } else {
                    0.0
                });
                unit.window = (unit.window + 1.0 / unit.window).min(WINDOW_MOST * slots);
                let (trusted, failed_at) = (unit.fails < FAIL_TRUST, unit.failed_at);
                // its return lies between the last failure and the first success: surely warm is later
                let late = |since: Micros| {
                    cold + ((since - failed_at).clamp(0, cold) as f64 * crowd) as Micros
                };
                match unit.health {
                    // answers at the first trial after refusals or silence alone: throttled or slow, not out
                    Health::Sick { silent, since }
                        if trusted && (silent || now - since < 2 * span) =>
                    {
                        unit.health = Health::Well;
                    }
                    Health::Sick { since, .. } => {
                        unit.fails = unit.fails.min(FAIL_SICK - FAIL_WEIGHT / 2.0);
                        // it came back between the last failure and now; one in a crowd seldom looks
                        let unseen = now - unit.failed_at.max(since);
                        let since = now - (unseen as f64 / 2.0 * crowd) as Micros;
                        unit.health = Health::Returning { since };
                        // what found no connection then says nothing of how crowded it is now
                        let ids = self.routes.get(&unit_id.0).into_iter().flatten();
                        let of_unit =
                            |id: &&EndpointId| unit_id.1.is_none_or(|route| route == **id);
                        for id in ids.filter(of_unit) {
                            self.endpoints
                                .entry(*id)
                                .and_modify(|known| known.crowded = 0.0);
                        }
                        actions.push(Action::Log(RouteEvent::Recovering {
                            destination: unit_id.0,
                        }));
                    }
                    Health::Returning { since } if now - since > late(since) => {
                        unit.health = Health::Well
                    }
                    _ => {}
                }
            }
            Outcome::Rejected { retry_after: wait } => {
                unit.refused_since = if unit.refused_run == 0 {
                    now
                } else {
                    unit.refused_since
                };
                unit.refused_run += 1;
                let shut = unit.refused_run >= SHUT_RUN && now - unit.refused_since >= SHUT_SPAN;
                let rate = unit.served_rate(now, span);
                if unit.cut(sent, now) {
                    // a told wait keeps all away until there is room
                    let unheard = if wait.is_some() { 0.0 } else { crowd };
                    let known = unit.known_rate(now, crowd);
                    unit.slow_down(known, rate * (1.0 - crowd), senders, unheard, phase);
                }
                if shut {
                    self.fall_sick(unit_id, false, EjectionReason::Closed, actions);
                }
            }
            _ if outcome.failed() => {
                unit.fails += FAIL_WEIGHT * (1.0 - unit.fails);
                let (rate, lone) = (unit.served_rate(now, span), !unit.succeeded);
                let fresh = (lone || outcome != Outcome::Error) && unit.cut(sent, now);
                // with a call or more in a span the failure score is soon sure
                let rare = unit.usual_rate(now, cold) * seconds(span) < 1.0;
                if fresh && lone && rare {
                    unit.slow_down(unit.best_rate, rate * (1.0 - crowd), senders, crowd, phase);
                }
                unit.succeeded = false;
                if unit.fails > FAIL_SICK {
                    self.fall_sick(unit_id, false, EjectionReason::Failures, actions);
                }
            }
            _ => {}
        }
    }

    pub(super) fn heed(&mut self, id: UnitId, wait: Micros, actions: &mut Vec<Action>) {
        if wait > 2 * self.settings.safety.overload_span {
            self.fall_sick(id, false, EjectionReason::Closed, actions); // closed, not throttled: it opens cold
        }
        let until = self.now + wait + MILLISECOND;
        self.unit(id).wait_until = self.unit(id).wait_until.max(until);
    }

    /// Bounds the pace by what a unit tells of its shared limit: the even share while nothing is left, more
    /// by the square of what others leave, the only sign of all senders' load. Guards limits that refused
    /// calls use up; could hold back a sender that has most of the traffic.
    pub(super) fn learn_report(&mut self, id: UnitId, report: &[f64]) {
        let read = |at: Option<usize>| at.and_then(|index| report.get(index).copied());
        let (limit, left) = (
            read(self.settings.report_limit),
            read(self.settings.report_remaining),
        );
        let share = limit.unwrap_or(0.0) / f64::from(self.counted);
        let Some(limit) = limit.filter(|&limit| limit > 0.0 && limit.is_finite()) else {
            return;
        };
        let unit = self.unit(id);
        (unit.told_limit, unit.share) = (Some(limit), share);
        unit.best_rate = unit.best_rate.max(share);
        let used = left.map_or(0.0, |left| 1.0 - left.clamp(0.0, LEFT_MOST));
        let free = share / (used * used);
        let first = if unit.pace.is_infinite() {
            share.max(PACE_FIRST)
        } else {
            unit.pace
        };
        unit.pace = first.min(free).min(limit);
    }

    /// Gives back a connection that would sooner close by itself than be used again.
    /// Guards endpoints that take few connections against hundreds of senders that each keep one idle. Could
    /// harm where traffic comes in bursts with long pauses: the next call pays a handshake.
    pub(super) fn close_idle(
        &mut self,
        id: UnitId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let (now, idle) = (self.now, self.settings.connection_idle_timeout);
        let unit = self.unit(id);
        let usual = unit.usual_rate(now, idle);
        let Some(known) = self.endpoints.get(&endpoint) else {
            return;
        };
        let rare = usual * seconds(idle) < 1.0;
        let kind = self.crowded.get(&known.kind).copied().unwrap_or(0.0);
        let crowded = known.crowded > CROWDED || rare && kind > CROWDED;
        if crowded && self.calls.values().all(|call| call.endpoint != endpoint) {
            actions.push(Action::Disconnect(endpoint));
        }
    }

    pub(super) fn fall_sick(
        &mut self,
        id: UnitId,
        silent: bool,
        reason: EjectionReason,
        actions: &mut Vec<Action>,
    ) {
        let (most, now) = (
            share_of(self.settings.call_slots, WINDOW_SICK) as f64,
            self.now,
        );
        let phase = self.phase();
        let unit = self.unit(id);
        if !unit.is_sick() {
            unit.tokens = phase;
            // from here on the fail-back budget sets the rate, not what failures made of the pace
            unit.pace = if reason == EjectionReason::Closed {
                unit.pace
            } else {
                unit.pace.max(unit.best_rate)
            };
            actions.push(Action::Log(RouteEvent::Ejected {
                destination: id.0,
                reason,
            }));
            // refusals mean shut after a span, however seldom this one calls; enough of them come later
            let since = if unit.refused_run > 0 {
                now.min(unit.refused_since + SHUT_SPAN)
            } else {
                now
            };
            unit.health = Health::Sick { silent, since };
        }
        unit.window = unit.window.min(most);
    }
}
