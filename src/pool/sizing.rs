//! Sizing: how many connections an endpoint's load asks for, and when one is dialled, for a call that waits or ahead of need.

use super::Pool;
use super::endpoint::{Connection, Endpoint, State};
use super::messages::{Cause, Command, Place};
use super::settings::Limits;
use crate::{Micros, SECOND};

/// One part in so many of the dials out at once may be towards one endpoint: a silent one must not hold them all.
const DIALS_PART: usize = 4;
/// The wanted number falls by one once the peak that decays has come so near to the next lower one.
const PEAK_SLACK: f64 = 0.25;
/// Pause between two dials ahead of need to one endpoint, times the number of senders, so that the fleet makes
/// about four a second; never shorter than the least.
const PREWARM_EACH: Micros = SECOND / 4;
const PREWARM_LEAST: Micros = SECOND;

/// The recent peak of calls at once, as it was at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Peak {
    pub(super) calls: f64,
    pub(super) at: Micros,
}

impl Endpoint {
    fn peak_at(&self, now: Micros, decay: Micros) -> f64 {
        let halvings = (now - self.peak.at) as f64 / decay.max(1) as f64;
        let decayed = self.peak.calls * 0.5f64.powf(halvings);
        decayed.max((self.leased + self.waiting.len()) as f64)
    }

    /// Calls have come or gone.
    pub(super) fn note_peak(&mut self, now: Micros, decay: Micros) {
        self.peak = Peak {
            calls: self.peak_at(now, decay),
            at: now,
        };
    }

    /// How many connections the load asks for; the last one is left to its age.
    pub(super) fn wanted(&self, now: Micros, limits: &Limits) -> usize {
        let most = self
            .cap
            .as_ref()
            .map_or(limits.per_endpoint, |cap| cap.most.min(limits.per_endpoint));
        ((self.peak_at(now, limits.decay) - PEAK_SLACK).ceil() as usize).clamp(1, most.max(1))
    }
}

/// A dial that is in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DialKind {
    /// Within what the endpoint is known to bear.
    Ordinary,
    /// One above its learned cap.
    Trial,
}

impl Pool {
    /// Dials for the calls that wait at an endpoint, one each, as far as there is room.
    pub(super) fn dial_for_waiting(&mut self, now: Micros, place: Place, out: &mut Vec<Command>) {
        while let Some(endpoint) = self.endpoints.get(&place)
            && endpoint.waiting.len() > endpoint.dialling
        {
            let Some(kind) = self.may_dial(now, endpoint) else {
                return self.queue_for_room(place);
            };
            if self.total() >= self.limits.all
                && let Some(&(_, oldest)) = self.idle.first()
            {
                self.close(oldest, Cause::Evicted, out);
            }
            self.dial(now, place, kind, out);
        }
    }

    fn queue_for_room(&mut self, place: Place) {
        if let Some(endpoint) = self
            .endpoints
            .get_mut(&place)
            .filter(|endpoint| !endpoint.queued)
        {
            endpoint.queued = true;
            self.queued.push_back(place);
        }
    }

    /// There is room for one more dial to the endpoint, if need be in place of an idle connection.
    fn has_room(&self, endpoint: &Endpoint) -> bool {
        let dials_to_one = (self.limits.dials / DIALS_PART).max(1);
        let total = self.total();
        self.dialling < self.limits.dials
            && endpoint.dialling < dials_to_one
            && endpoint.open() < self.limits.per_endpoint
            && (total < self.limits.all || total == self.limits.all && !self.idle.is_empty())
    }

    /// Which dial to the endpoint is in order now; none: no dial is.
    fn may_dial(&self, now: Micros, endpoint: &Endpoint) -> Option<DialKind> {
        if !endpoint.serving || !self.has_room(endpoint) {
            return None;
        }
        // until it is known whether those work that are open, none is dialled beside them
        if endpoint
            .refused
            .is_some_and(|refused| endpoint.open() >= refused.established)
        {
            return None;
        }
        match &endpoint.cap {
            Some(cap) if endpoint.open() >= cap.most => {
                (now >= cap.next && cap.trials < cap.step).then_some(DialKind::Trial)
            }
            _ => Some(DialKind::Ordinary),
        }
    }

    fn dial(&mut self, now: Micros, place: Place, kind: DialKind, out: &mut Vec<Command>) {
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        let connection = self.next;
        self.next += 1;
        self.dialling += 1;
        endpoint.dialling += 1;
        endpoint.counts.dials += 1;
        let trial = kind == DialKind::Trial;
        if let Some(cap) = endpoint.cap.as_mut().filter(|_| trial) {
            cap.trials += 1;
        }
        let state = State::Dialling { since: now };
        let new = Connection {
            place,
            state,
            heard: now,
            up_at: now,
            calls: 0,
            served: false,
            trial,
        };
        self.connections.insert(connection, new);
        out.push(Command::Dial { connection, place });
    }

    /// Room may have come: each endpoint where calls wait without a dial gets its turn.
    pub(super) fn serve_queue(&mut self, now: Micros, out: &mut Vec<Command>) {
        for _ in 0..self.queued.len() {
            let Some(place) = self.queued.pop_front() else {
                return;
            };
            if let Some(endpoint) = self.endpoints.get_mut(&place) {
                endpoint.queued = false;
                self.dial_for_waiting(now, place, out);
            }
        }
    }

    /// The endpoint is in use, may need more connections than it has, and can have one now.
    fn may_prewarm(&self, now: Micros, endpoint: &Endpoint) -> bool {
        let due = now >= endpoint.prewarm_from && now >= endpoint.prewarm_next;
        let used = endpoint.asked > now - self.limits.decay && endpoint.waiting.is_empty();
        let short = endpoint.open() < endpoint.wanted(now, &self.limits);
        due && used && short && self.may_dial(now, endpoint) == Some(DialKind::Ordinary)
    }

    /// Dials ahead of need, one an endpoint at a time, at moments of this sender's own.
    pub(super) fn prewarm(&mut self, now: Micros, out: &mut Vec<Command>) {
        let most = (self.limits.warm_share * self.limits.all as f64) as usize;
        let unused = |known: &&Connection| known.calls == 0;
        let mut ahead = self.connections.values().filter(unused).count();
        let pause = PREWARM_LEAST.max(PREWARM_EACH * Micros::from(self.limits.senders));
        let places: Vec<Place> = self.endpoints.keys().copied().collect();
        for place in places {
            let Some(endpoint) = self.endpoints.get(&place) else {
                continue;
            };
            let room = ahead < most && self.total() < self.limits.all;
            if !room || !self.may_prewarm(now, endpoint) {
                continue;
            }
            self.dial(now, place, DialKind::Ordinary, out);
            ahead += 1;
            let next = now + self.spread(pause);
            if let Some(endpoint) = self.endpoints.get_mut(&place) {
                endpoint.prewarm_next = next;
            }
        }
    }
}
