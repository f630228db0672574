//! The rules of the connection pool: which connection a call gets, when one is dialled, kept or closed.
//!
//! It opens no sockets and reads no clock: events come in with their time, [`Command`]s go out, and the layer round
//! it carries these out. Which endpoint gets a call is decided elsewhere; nothing here sends, repeats or moves one.

mod accounting;
mod endpoint;
mod idle;
mod learned_caps;
mod messages;
mod scarcity;
mod settings;
mod sizing;

pub use accounting::{Counts, EndpointView};
pub use messages::{Answered, Cause, Command, Denied, DialFailure, Place};
pub use settings::{Limits, PoolSettings};

use crate::Micros;
use endpoint::{Connection, Endpoint, State};
use learned_caps::{AnsweredCall, RefusedBeside};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use scarcity::Scarcity;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The pool's rules.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    random: Pcg32,
    endpoints: BTreeMap<Place, Endpoint>,
    connections: BTreeMap<u64, Connection>,
    waiters: BTreeMap<u64, Place>,
    /// Endpoints with calls that wait without a dial, in turn.
    queued: VecDeque<Place>,
    /// Idle connections by the time since which they are.
    idle: BTreeSet<(Micros, u64)>,
    dialling: usize,
    next: u64,
    /// Connections that another process holds on this one's account.
    elsewhere: usize,
    leaving: bool,
    scarcity: Scarcity,
    /// Of the endpoints that are gone.
    past: Counts,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Pool {
            limits,
            random: Pcg32::seed_from_u64(seed),
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            waiters: BTreeMap::new(),
            queued: VecDeque::new(),
            idle: BTreeSet::new(),
            dialling: 0,
            next: 0,
            elsewhere: 0,
            leaving: false,
            scarcity: Scarcity::default(),
            past: Counts::default(),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Puts other limits in force; idle connections beyond them are closed at once.
    pub fn retune(&mut self, now: Micros, limits: Limits, out: &mut Vec<Command>) {
        self.limits = limits;
        let places: Vec<Place> = self.endpoints.keys().copied().collect();
        for place in places {
            while let Some(endpoint) = self.endpoints.get(&place)
                && (endpoint.open() > self.limits.per_endpoint
                    || endpoint.idle.len() > self.limits.idle_per_endpoint)
                && let Some(&oldest) = endpoint.idle.first()
            {
                self.close(oldest, Cause::Surplus, out);
            }
        }
        self.close_surplus(out);
        self.tick(now, out);
    }

    /// Another process has so many connections of this sender; they count among all.
    pub fn elsewhere(&mut self, now: Micros, count: usize, out: &mut Vec<Command>) {
        self.elsewhere = count;
        self.serve_queue(now, out);
    }

    /// The endpoint takes calls from now on.
    pub fn open(&mut self, now: Micros, place: Place) {
        let new = Endpoint::new(now, &self.limits);
        let endpoint = self.endpoints.entry(place).or_insert(new);
        if !endpoint.serving {
            (endpoint.serving, endpoint.prewarm_from, endpoint.cap) =
                (true, now + self.limits.cold, None);
        }
    }

    /// The endpoint drains, is gone, out or elsewhere: nothing is dialled any more, idle connections are closed.
    /// Calls whose dial is out may still get it.
    pub fn retire(&mut self, place: Place, out: &mut Vec<Command>) {
        let Some(endpoint) = self
            .endpoints
            .get_mut(&place)
            .filter(|endpoint| endpoint.serving)
        else {
            return;
        };
        endpoint.serving = false;
        let (dialling, idle) = (endpoint.dialling, endpoint.idle.clone());
        self.deny(place, dialling, Denied::Retired, out);
        for connection in idle {
            self.close(connection, Cause::Retired, out);
        }
        self.forget_if_done(place);
    }

    /// The decision module gives back what carries nothing.
    pub fn disconnect(&mut self, place: Place, out: &mut Vec<Command>) {
        let idle = self
            .endpoints
            .get(&place)
            .map_or(Vec::new(), |endpoint| endpoint.idle.clone());
        idle.into_iter()
            .for_each(|connection| self.close(connection, Cause::GivenBack, out));
    }

    /// The endpoint's destination has told to wait until then: what still waits for a connection must not be written
    /// once that comes up, and nothing is dialled ahead of need.
    pub fn advertised_wait(&mut self, place: Place, until: Micros, out: &mut Vec<Command>) {
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        endpoint.delay_prewarm(until);
        self.deny(place, 0, Denied::Wait, out);
    }

    /// Closes all idle connections and keeps none from now on. What waits for a connection never gets one: others
    /// decide now whether it may still go.
    pub fn leave(&mut self, out: &mut Vec<Command>) {
        self.leaving = true;
        while let Some(&(_, connection)) = self.idle.first() {
            self.close(connection, Cause::Leaving, out);
        }
        let places: Vec<Place> = self.endpoints.keys().copied().collect();
        places
            .into_iter()
            .for_each(|place| self.deny(place, 0, Denied::Leaving, out));
    }

    /// A call asks for a connection; each ask has a number of its own.
    pub fn ask(&mut self, now: Micros, place: Place, waiter: u64, out: &mut Vec<Command>) {
        let decay = self.limits.decay;
        let Some(endpoint) = self
            .endpoints
            .get_mut(&place)
            .filter(|endpoint| endpoint.serving)
        else {
            return out.push(Command::Deny {
                waiter,
                why: Denied::Retired,
            });
        };
        if self.leaving {
            return out.push(Command::Deny {
                waiter,
                why: Denied::Leaving,
            });
        }
        endpoint.waiting.push_back((waiter, now));
        endpoint.note_peak(now, decay);
        endpoint.asked = now;
        self.waiters.insert(waiter, place);
        // the newest is taken, so that those beyond need grow old
        while let Some(&connection) = self
            .endpoints
            .get(&place)
            .and_then(|endpoint| endpoint.idle.last())
        {
            if self.grown_old(now, connection) {
                self.close(connection, Cause::Age, out);
            } else {
                return self.lease(now, place, connection, out);
            }
        }
        self.dial_for_waiting(now, place, out);
    }

    /// The call no longer waits. Its dial goes on, for the next one.
    pub fn called_off(&mut self, waiter: u64) {
        let Some(place) = self.waiters.remove(&waiter) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            endpoint.waiting.retain(|(waits, _)| *waits != waiter);
        }
        self.forget_if_done(place);
    }

    /// A dial brought its connection.
    pub fn up(&mut self, now: Micros, connection: u64, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let State::Dialling { .. } = known.state else {
            return;
        };
        (known.heard, known.up_at, known.state) = (now, now, State::Idle { since: now });
        let place = known.place;
        self.dialling -= 1;
        self.idle.insert((now, connection));
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            endpoint.dialling -= 1;
            endpoint.idle.push(connection);
        }
        self.settle(now, place, connection, out);
    }

    /// A dial brought none.
    pub fn dial_failed(
        &mut self,
        now: Micros,
        connection: u64,
        why: DialFailure,
        out: &mut Vec<Command>,
    ) {
        let Some(known) = self.connections.remove(&connection) else {
            return;
        };
        let State::Dialling { since } = known.state else {
            self.connections.insert(connection, known);
            return;
        };
        self.dialling -= 1;
        let place = known.place;
        let cold = now + self.limits.cold;
        let (trial, learn) = (known.trial, self.limits.learn_caps);
        if trial && why != DialFailure::Local {
            self.tried_above_cap(now, place, false);
        }
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        endpoint.dialling -= 1;
        *endpoint.counts.dial_failures.entry(why).or_default() += 1;
        endpoint.delay_prewarm(cold);
        let established = endpoint.established();
        let beside = why == DialFailure::Refused && established > 0 && learn;
        if beside && !trial {
            // one that is down resets those connections too, but their resets may come later than this
            endpoint.refused = Some(RefusedBeside {
                established,
                at: now,
            });
        }
        // a call with a dial of its own still out goes on waiting, and so does one that came later than this dial
        // where that says nothing of the next, or that may get one of the connections beside which it was refused
        let others_come =
            endpoint.waiting.len() <= endpoint.dialling || beside || trial && established > 0;
        let asked = endpoint.waiting.front().map(|(_, asked)| *asked);
        let tells_of_next =
            why != DialFailure::TimedOut || asked.is_some_and(|asked| asked <= since);
        if !others_come && tells_of_next {
            self.deny_oldest(place, why, out);
        }
        self.deny_beyond_dials(place, out);
        self.dial_for_waiting(now, place, out);
        self.serve_queue(now, out);
        self.forget_if_done(place);
    }

    /// An answer came on a leased connection; true if it was turned away because there was no room for the connection, so
    /// that it says nothing of how many calls the endpoint takes.
    pub fn answered(&mut self, now: Micros, connection: u64, answered: Answered) -> bool {
        let Some(known) = self.connections.get_mut(&connection) else {
            return false;
        };
        let State::Leased { at, proven, .. } = known.state else {
            return false;
        };
        let call = AnsweredCall {
            answered,
            at,
            proven,
            first: known.calls == 1,
            up_at: known.up_at,
        };
        known.heard = now;
        self.scarcity.note(answered, call.first);
        let no_room = answered == Answered::TurnedAway && call.first;
        let proves = answered == Answered::Served && !known.served;
        known.served |= proves;
        let place = known.place;
        let trial = std::mem::take(&mut known.trial);
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            endpoint.proven += usize::from(proves);
        }
        if trial {
            self.tried_above_cap(now, place, answered != Answered::TurnedAway);
        } else {
            self.learn_from_answer(now, place, &call);
        }
        no_room && self.keeps_none()
    }

    /// The call is over and its connection can carry another.
    pub fn give_back(&mut self, now: Micros, connection: u64, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let State::Leased { .. } = known.state else {
            return;
        };
        (known.heard, known.state) = (now, State::Idle { since: now });
        let (place, proven) = (known.place, usize::from(known.served));
        self.idle.insert((now, connection));
        let decay = self.limits.decay;
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        endpoint.note_peak(now, decay);
        endpoint.leased -= 1;
        endpoint.proven -= proven;
        endpoint.idle.push(connection);
        self.settle(now, place, connection, out);
    }

    /// The call is over, and its connection with it.
    pub fn spoiled(&mut self, now: Micros, connection: u64, cause: Cause, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let State::Leased { at, idle_for, .. } = known.state else {
            return;
        };
        let place = known.place;
        let (decay, cold) = (self.limits.decay, now + self.limits.cold);
        if let Some(endpoint) = self.endpoints.get_mut(&place) {
            endpoint.note_peak(now, decay);
            if matches!(cause, Cause::Reset | Cause::TimedOut) {
                endpoint.delay_prewarm(cold);
            }
        }
        if let (Cause::Reset, Some(idle_for)) = (cause, idle_for) {
            self.shorten_keep(now, place, idle_for);
        }
        self.drop_connection(connection, cause);
        if matches!(cause, Cause::Reset | Cause::Peer) {
            self.one_less_works(place);
        }
        if cause == Cause::TimedOut {
            self.suspect(place.address, at, out);
        }
        self.dial_for_waiting(now, place, out);
        self.serve_queue(now, out);
        self.forget_if_done(place);
    }

    /// The other side closed a connection. One that carries a call tells by the call's end.
    pub fn closed(&mut self, connection: u64, out: &mut Vec<Command>) {
        if let Some(&Connection {
            state: State::Idle { .. },
            place,
            ..
        }) = self.connections.get(&connection)
        {
            self.close(connection, Cause::Peer, out);
            self.one_less_works(place);
        }
    }

    /// What time alone brings: due now and then, some times a second.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.close_old(now, out);
        self.serve_queue(now, out);
        if self.limits.warm_share > 0.0 && !self.leaving {
            self.prewarm(now, out);
        }
    }

    /// From half to one and a half times as long.
    fn spread(&mut self, span: Micros) -> Micros {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * (0.5 + part)) as Micros
    }

    /// The call that has waited for longest ends with a dial that failed.
    fn deny_oldest(&mut self, place: Place, why: DialFailure, out: &mut Vec<Command>) {
        let Some(endpoint) = self.endpoints.get_mut(&place) else {
            return;
        };
        let Some((waiter, _)) = endpoint.waiting.pop_front() else {
            return;
        };
        self.waiters.remove(&waiter);
        out.push(Command::Deny {
            waiter,
            why: Denied::Dial(why),
        });
    }

    /// At an endpoint that serves no more, only calls whose dial is out may wait.
    fn deny_beyond_dials(&mut self, place: Place, out: &mut Vec<Command>) {
        let Some(endpoint) = self
            .endpoints
            .get(&place)
            .filter(|endpoint| !endpoint.serving)
        else {
            return;
        };
        let dialling = endpoint.dialling;
        self.deny(place, dialling, Denied::Retired, out);
    }

    /// Lets no more than so many calls wait at an endpoint, those that have for longest.
    fn deny(&mut self, place: Place, most: usize, why: Denied, out: &mut Vec<Command>) {
        while let Some(endpoint) = self.endpoints.get_mut(&place)
            && endpoint.waiting.len() > most
            && let Some((waiter, _)) = endpoint.waiting.pop_back()
        {
            self.waiters.remove(&waiter);
            out.push(Command::Deny { waiter, why });
        }
    }
}
