//! Sends the messages whose next attempt is due, the most urgent first.

use super::routing::SendTarget;
use super::state::{Attempt, Call, Route};
use super::{DEADLINE_MARGIN, Sender};
use crate::interface::{Action, Effect, EndpointId, MILLISECOND, MessageId, Micros};
use crate::message_index::{Candidate, Candidates, GroupSide};
use std::collections::BTreeMap;

/// Timeout of an attempt of an idempotent message, in hedge delays. Lower frees call slots sooner;
/// higher abandons fewer attempts that would still succeed.
const TIMEOUT_HEDGE_DELAYS: i64 = 10;

/// Time limits of an attempt.
struct AttemptTimes {
    /// Time at which the attempt times out.
    expires: Micros,
    /// Time by which the host must have started the attempt; `None` if it may start at any time.
    start_by: Option<Micros>,
}

impl Sender {
    pub(super) fn send_ready_messages(&mut self, actions: &mut Vec<Action>) {
        self.reindex_due_messages();
        self.wake_for_next_message();
        self.unhealthy_in_flight = self.count_unhealthy_calls();
        self.candidates_examined = 0;
        let may_bundle = self.settings.kinds.iter().any(|kind| kind.bundle_max > 1);
        let mut candidates = self.first_candidates();
        let mut open_calls: BTreeMap<EndpointId, u64> = BTreeMap::new();
        while let Some(candidate) = candidates.pop() {
            if !may_bundle && self.are_slots_full() {
                break; // all slots are in use; the next call that ends causes a turn
            }
            self.candidates_examined += 1;
            if self.send_candidate(candidate, &mut open_calls, actions) {
                self.readmit_skipped(candidate, &mut candidates);
            } else if self.holds_for_whole_group(candidate.group_side) {
                candidates.skip(candidate.group_side);
                continue;
            }
            let order = self.order(candidate.group_side.group);
            candidates.push(self.index.next(candidate, &order));
        }
    }

    fn reindex_due_messages(&mut self) {
        while let Some(id) = self.index.next_due(self.now) {
            self.reindex(id);
        }
    }

    fn wake_for_next_message(&mut self) {
        let has_endpoint = |(_, id): &(Micros, MessageId)| {
            self.has_available_endpoint(self.messages[id].destination)
        };
        let next = self.index.upcoming().find(has_endpoint);
        if let Some((at, _)) = next {
            self.wake_by(at);
        }
    }

    fn count_unhealthy_calls(&self) -> usize {
        let is_unhealthy = |call: &&Call| {
            self.routes
                .get(&call.route)
                .is_some_and(Route::is_unhealthy)
        };
        self.calls.values().filter(is_unhealthy).count()
    }

    /// Returns the candidates with which a turn begins. A group holds the messages of one
    /// destination whose next attempt is due and that have the same class, priority weight and
    /// number of attempts, so that the same conditions prevent all of them from being sent. From
    /// each group whose destination has an available endpoint, the candidates are the most urgent
    /// message whose urgency still rises with age, and the most urgent message whose urgency no
    /// longer rises.
    fn first_candidates(&self) -> Candidates {
        let mut candidates = Candidates::default();
        for group_side in self.index.ready() {
            if self.has_available_endpoint(group_side.destination) {
                candidates.push(self.index.first(group_side, &self.order(group_side.group)));
            }
        }
        candidates
    }

    /// Sends the candidate if there is an endpoint to which it may be sent now; returns true if it
    /// was sent.
    fn send_candidate(
        &mut self,
        candidate: Candidate,
        open_calls: &mut BTreeMap<EndpointId, u64>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let id = candidate.rank.id;
        let is_hedge = self.messages[&id].has_attempt_in_flight();
        let may_hedge = !self.are_hedges_full();
        // a hedge that is skipped because hedges hold their share of the call slots is due again in
        // the next turn: its interval is not doubled
        let target = self.choose_endpoint(id, is_hedge, open_calls);
        let Some(target) = target.filter(|_| !is_hedge || may_hedge) else {
            return false;
        };
        let joined_call = target.joined_call;
        let call = joined_call.unwrap_or_else(|| {
            let call = self.open_call(target.endpoint, is_hedge);
            open_calls.insert(target.endpoint, call);
            call
        });
        self.send(id, target, call, is_hedge, actions);
        true
    }

    /// Adds the groups of a destination that were skipped in this turn to the candidates again,
    /// after a message was sent to that destination. They were skipped because no endpoint could
    /// receive their messages, but these may now join the call that carries the sent message. Only
    /// messages that rank after the sent one become candidates.
    fn readmit_skipped(&mut self, sent: Candidate, candidates: &mut Candidates) {
        for skipped in candidates.take_skipped(sent.group_side.destination) {
            let order = self.order(skipped.group);
            candidates.push(self.index.after(skipped, &order, sent.rank));
        }
    }

    /// Returns true if the reason for not sending one message of a group holds for all its
    /// messages.
    fn holds_for_whole_group(&self, group_side: GroupSide) -> bool {
        !group_side.group.at_risk || self.effect(group_side.group.class) == Effect::Idempotent
    }

    /// Opens a call that starts now and has no message yet; returns its number.
    fn open_call(&mut self, endpoint: EndpointId, is_hedge: bool) -> u64 {
        let id = self.route_of(endpoint);
        let call = self.next_call;
        self.next_call += 1;
        let opened = Call::new(id, endpoint, self.now, is_hedge);
        self.calls.insert(call, opened);
        self.hedges_in_flight += usize::from(is_hedge);
        let route = self.route_mut(id);
        route.count_call();
        let is_unhealthy = route.is_unhealthy();
        self.unhealthy_in_flight += usize::from(is_unhealthy);
        self.spend_quota(id.destination);
        let endpoint = self.endpoints.get_mut(&endpoint);
        if let Some(warm_up) = endpoint.and_then(|endpoint| endpoint.warm_up.as_mut()) {
            warm_up.bucket.tokens -= 1.0;
        }
        call
    }

    /// Adds the message to a call, and appends the action that sends it.
    fn send(
        &mut self,
        id: MessageId,
        target: SendTarget,
        call: u64,
        is_hedge: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let endpoint = target.endpoint;
        let route = self.route_mut(self.route_of(endpoint));
        let response_limit = route.response_limit();
        let hedge_delay = route.hedge_delay();
        if let Some(call) = self.calls.get_mut(&call) {
            call.pending += 1;
            call.size += 1;
        }
        let times = self.attempt_times(id, hedge_delay);
        let effect = self.effect(self.messages[&id].class);
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.schedule_hedge(is_hedge, effect, hedge_delay, now);
        let hedge_at = message.hedge_at;
        for earlier in &mut message.attempts {
            earlier.overlapped |= earlier.in_flight;
        }
        let attempt = message.attempts.len();
        message.attempts.push(Attempt::new(endpoint, now, call));
        self.wake_by(hedge_at);
        self.wake_by(now + response_limit + MILLISECOND);
        self.reindex(id);
        actions.push(Action::Send {
            message: id,
            attempt,
            endpoint,
            expires: times.expires,
            start_by: times.start_by,
        });
    }

    /// Returns the time limits of an attempt that starts now.
    fn attempt_times(&self, id: MessageId, hedge_delay: Micros) -> AttemptTimes {
        let message = &self.messages[&id];
        let deadline = message.deadline;
        let (by_effect, start_by) = match self.effect(message.class) {
            Effect::NonIdempotent => (deadline, None),
            Effect::IdempotencyKey { window, .. } => {
                let start_by = message.window_end(window - DEADLINE_MARGIN);
                (deadline.min(self.now + window), start_by)
            }
            Effect::Idempotent => {
                let timeout = hedge_delay * TIMEOUT_HEDGE_DELAYS;
                (deadline.min(self.now + timeout), None)
            }
        };
        let max_duration = self.max_call_duration(message.destination);
        let expires = max_duration.map_or(by_effect, |span| by_effect.min(self.now + span));
        AttemptTimes { expires, start_by }
    }
}
