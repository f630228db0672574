//! The rules of the connection pool: which connection a call gets, when one is dialled, kept or closed.
//!
//! It opens no sockets and reads no clock: events come in with their time, [`Command`]s go out, and the layer round
//! it carries these out. Which endpoint gets a call is decided elsewhere; nothing here sends, repeats or moves one.

use crate::{EndpointId, MILLISECOND, Micros, SECOND};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// After a reset on a connection that stood idle, those to that endpoint are kept half as long, for this time, and
/// no shorter than the least. A reset after a shorter rest has another cause.
const WARY: Micros = 60 * SECOND;
const KEEP_LEAST: Micros = 100 * MILLISECOND;
/// First rest before a learned cap is tried above, and the longest; each sender of a fleet adds to both, so that
/// all together try about twice a second at most.
const RAISE_FIRST: Micros = 2 * SECOND;
const RAISE_MOST: Micros = 60 * SECOND;
const RAISE_EACH: Micros = SECOND / 2;
/// Dials above a learned cap at once, when the ones before came up. Many senders add one at a time.
const RAISE_STEP: usize = 8;
const FEW_SENDERS: u32 = 4;
/// So often must a first call be turned away and a later one on an older connection be served.
const TURNED_ENOUGH: u32 = 4;
/// One part in so many of the dials out at once may be towards one endpoint: a silent one must not hold them all.
const DIALS_PART: usize = 4;
/// The wanted number falls by one once the peak that decays has come so near to the next lower one.
const PEAK_SLACK: f64 = 0.25;
/// Rest between two dials ahead of need to one endpoint, times the number of senders, so that the fleet makes
/// about four a second; never shorter than the least.
const WARM_EACH: Micros = SECOND / 4;
const WARM_LEAST: Micros = SECOND;

/// Where connections go: an endpoint at an address. Neither alone makes two connections the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The address, first, so that all endpoints of one address stand together.
    pub address: SocketAddr,
    /// Whose it is.
    pub endpoint: EndpointId,
}

/// The `pool` object: how connections to endpoints are kept. Caps that are not set follow from the descriptors.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Connections to one endpoint.
    pub per_endpoint: Option<usize>,
    /// Dials at once.
    pub dials: Option<usize>,
    /// Connections to all endpoints, those being dialled counted.
    pub all: Option<usize>,
    /// Idle ones of them.
    pub idle: Option<usize>,
    /// Idle ones to one endpoint.
    pub idle_per_endpoint: Option<usize>,
    /// Seconds in which the wanted number of connections falls by half.
    pub decay_s: f64,
    /// Caps of endpoints are learned from what they refuse.
    pub learn_caps: bool,
    /// The part of all connections that may be dialled ahead of need.
    pub warm_share: f64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            per_endpoint: None,
            dials: None,
            all: None,
            idle: None,
            idle_per_endpoint: None,
            decay_s: 30.0,
            learn_caps: true,
            warm_share: 0.0,
        }
    }
}

/// What the pool may do.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Connections to one endpoint, dialled ones counted.
    pub per_endpoint: usize,
    /// Dials out at once.
    pub dials: usize,
    /// Connections in all, dialled ones counted.
    pub all: usize,
    /// Idle connections in all, and to one endpoint.
    pub idle: usize,
    /// Idle connections to one endpoint.
    pub idle_per_endpoint: usize,
    /// An idle connection is closed after this time.
    pub keep: Micros,
    /// The wanted number falls by half in this time where fewer calls are out.
    pub decay: Micros,
    /// Caps of endpoints are learned from connects that they refuse.
    pub learn_caps: bool,
    /// The part of `all` that may be dialled ahead of need; 0 dials none.
    pub warm_share: f64,
    /// An endpoint that has come, come back or failed is not dialled ahead of need for this time.
    pub cold: Micros,
    /// Senders that share the endpoints, this one counted.
    pub senders: u32,
}

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It stood idle for as long as is allowed.
    Age,
    /// The other side closed it.
    Peer,
    /// There was no room among the idle ones, or fewer are wanted.
    Surplus,
    /// Its place was needed for another endpoint.
    Evicted,
    /// A call on another connection to the address timed out, and this one had heard nothing since.
    Suspect,
    /// Its endpoint drains, is gone, out or elsewhere.
    Retired,
    /// The decision module gave it back.
    GivenBack,
    /// Its call was called off.
    CalledOff,
    /// Its call got no answer in time.
    TimedOut,
    /// It broke with a call on it.
    Reset,
    /// Its answer could not be read to the end.
    Unreadable,
    /// The process ends, or has handed over.
    Leaving,
}

/// Why a dial brought no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DialFailure {
    /// The other side refused it.
    Refused,
    /// Nothing came in time.
    TimedOut,
    /// Anything else, on this machine or on the way.
    Other,
}

/// Why a call that waits gets no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// A dial failed.
    Dial(DialFailure),
    /// Its endpoint drains, is gone, out or elsewhere.
    Retired,
    /// Its destination has told to wait.
    Wait,
    /// The process ends, or has handed over.
    Leaving,
}

/// What an answer tells of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// The call was served.
    Served,
    /// It was turned away (503), for whatever reason.
    TurnedAway,
    /// Anything else that was an answer.
    Other,
}

/// What the layer is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Dial this connection.
    Dial {
        /// Its number, never used again.
        connection: u64,
        /// Where to.
        place: Place,
    },
    /// Give the connection to the call.
    Lease {
        /// The call that asked.
        waiter: u64,
        /// What it gets.
        connection: u64,
        /// How long the connection had stood idle; none if it is new.
        rested: Option<Micros>,
    },
    /// The call gets none.
    Deny {
        /// The call that asked.
        waiter: u64,
        /// Why.
        why: Denied,
    },
    /// Close the connection, which carries nothing.
    Close {
        /// Its number.
        connection: u64,
    },
}

/// What is counted of an endpoint, or of all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls that got a connection which had carried one before.
    pub reuses: u64,
    /// Dials begun.
    pub dials: u64,
    /// Dials that failed, by cause.
    pub dial_failures: BTreeMap<DialFailure, u64>,
    /// Connections closed, by cause.
    pub closes: BTreeMap<Cause, u64>,
}

/// One endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteView {
    /// Whose figures these are.
    pub place: Place,
    /// It takes new calls.
    pub serving: bool,
    /// Idle, leased and dialled connections, and calls that wait for one.
    pub idle: usize,
    /// Connections that carry a call.
    pub leased: usize,
    /// Dials that are out.
    pub dialling: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// How many connections its load asks for.
    pub wanted: usize,
    /// What it seems to bear from this sender.
    pub learned_cap: Option<usize>,
    /// What has happened so far.
    pub counts: Counts,
}

#[derive(Debug)]
enum State {
    Dialling {
        since: Micros,
    },
    Idle {
        since: Micros,
    },
    /// Since then, with so many proven ones leased, after so long a rest.
    Leased {
        at: Micros,
        proven: usize,
        rested: Option<Micros>,
    },
}

#[derive(Debug)]
struct Connection {
    place: Place,
    state: State,
    /// When it came up, or last brought an answer.
    heard: Micros,
    up_at: Micros,
    /// Calls that it has carried, and whether one of them was served.
    calls: u64,
    served: bool,
    /// It tries the endpoint's cap, until its first call tells.
    trial: bool,
}

/// The number of connections that an endpoint seems to bear from this sender.
#[derive(Debug)]
struct Cap {
    most: usize,
    /// When it may be tried above, after which rest that is, with how many dials at once, and how many are out.
    next: Micros,
    rest: Micros,
    step: usize,
    trials: usize,
}

/// First calls that were turned away, until older connections tell whether that was their being new.
#[derive(Debug, Default)]
struct Turned {
    /// When the last one began, and how many proven connections were leased then.
    pending: Option<(Micros, usize)>,
    confirmed: u32,
}

#[derive(Debug)]
struct Site {
    serving: bool,
    /// Calls that wait, oldest first, with the time since which they do.
    waiting: VecDeque<(u64, Micros)>,
    /// It stands in the queue for room.
    hungry: bool,
    /// Newest last.
    idle: Vec<u64>,
    leased: usize,
    /// Leased ones that have been served a call.
    proven: usize,
    dialling: usize,
    /// The recent peak of calls at once, as it was at a time.
    peak: (f64, Micros),
    cap: Option<Cap>,
    /// A connect was refused beside so many open connections; whether these work is not known yet.
    refused: Option<(usize, Micros)>,
    turned: Turned,
    /// Its idle connections are kept this long, until a time.
    wary: Option<(Micros, Micros)>,
    warm_from: Micros,
    warm_next: Micros,
    asked: Micros,
    counts: Counts,
}

impl Site {
    fn new(now: Micros, limits: &Limits) -> Self {
        Site {
            serving: true,
            waiting: VecDeque::new(),
            hungry: false,
            idle: Vec::new(),
            leased: 0,
            proven: 0,
            dialling: 0,
            peak: (0.0, now),
            cap: None,
            refused: None,
            turned: Turned::default(),
            wary: None,
            warm_from: now + limits.cold,
            warm_next: now,
            asked: Micros::MIN,
            counts: Counts::default(),
        }
    }

    fn established(&self) -> usize {
        self.idle.len() + self.leased
    }

    fn open(&self) -> usize {
        self.established() + self.dialling
    }

    fn peak_at(&self, now: Micros, decay: Micros) -> f64 {
        let halvings = (now - self.peak.1) as f64 / decay.max(1) as f64;
        (self.peak.0 * 0.5f64.powf(halvings)).max((self.leased + self.waiting.len()) as f64)
    }

    fn note_peak(&mut self, now: Micros, decay: Micros) {
        self.peak = (self.peak_at(now, decay), now);
    }

    /// How many connections the load asks for; the last one is left to its age.
    fn wanted(&self, now: Micros, limits: &Limits) -> usize {
        let most = self.cap.as_ref().map_or(limits.per_endpoint, |cap| cap.most.min(limits.per_endpoint));
        ((self.peak_at(now, limits.decay) - PEAK_SLACK).ceil() as usize).clamp(1, most.max(1))
    }

    fn done(&self) -> bool {
        !self.serving && self.open() == 0 && self.waiting.is_empty()
    }
}

/// The pool's rules.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    random: Pcg32,
    sites: BTreeMap<Place, Site>,
    connections: BTreeMap<u64, Connection>,
    waiters: BTreeMap<u64, Place>,
    /// Endpoints with calls that wait without a dial, in turn.
    hungry: VecDeque<Place>,
    /// Idle connections by the time since which they are.
    idle: BTreeSet<(Micros, u64)>,
    dialling: usize,
    next: u64,
    /// Connections that another process holds on this one's account.
    elsewhere: usize,
    leaving: bool,
    /// Of the endpoints that are gone.
    past: Counts,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Pool {
            limits,
            random: Pcg32::seed_from_u64(seed),
            sites: BTreeMap::new(),
            connections: BTreeMap::new(),
            waiters: BTreeMap::new(),
            hungry: VecDeque::new(),
            idle: BTreeSet::new(),
            dialling: 0,
            next: 0,
            elsewhere: 0,
            leaving: false,
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
        let places: Vec<Place> = self.sites.keys().copied().collect();
        for place in places {
            while let Some(site) = self.sites.get(&place)
                && (site.open() > self.limits.per_endpoint || site.idle.len() > self.limits.idle_per_endpoint)
                && let Some(&oldest) = site.idle.first()
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
        self.feed(now, out);
    }

    /// The endpoint takes calls from now on.
    pub fn open(&mut self, now: Micros, place: Place) {
        let new = Site::new(now, &self.limits);
        let site = self.sites.entry(place).or_insert(new);
        if !site.serving {
            (site.serving, site.warm_from, site.cap) = (true, now + self.limits.cold, None);
        }
    }

    /// The endpoint drains, is gone, out or elsewhere: nothing is dialled any more, idle connections are closed.
    /// Calls whose dial is out may still get it.
    pub fn retire(&mut self, place: Place, out: &mut Vec<Command>) {
        let Some(site) = self.sites.get_mut(&place).filter(|site| site.serving) else { return };
        site.serving = false;
        let (dialling, idle) = (site.dialling, site.idle.clone());
        self.deny(place, dialling, Denied::Retired, out);
        for connection in idle {
            self.close(connection, Cause::Retired, out);
        }
        self.forget_if_done(place);
    }

    /// The decision module gives back what carries nothing.
    pub fn disconnect(&mut self, place: Place, out: &mut Vec<Command>) {
        let idle = self.sites.get(&place).map_or(Vec::new(), |site| site.idle.clone());
        idle.into_iter().for_each(|connection| self.close(connection, Cause::GivenBack, out));
    }

    /// The endpoint's destination has told to wait until then: what still waits for a connection must not be written
    /// once that comes up, and nothing is dialled ahead of need.
    pub fn told_wait(&mut self, place: Place, until: Micros, out: &mut Vec<Command>) {
        let Some(site) = self.sites.get_mut(&place) else { return };
        site.warm_from = site.warm_from.max(until);
        self.deny(place, 0, Denied::Wait, out);
    }

    /// Closes all idle connections and keeps none from now on. What waits for a connection never gets one: others
    /// decide now whether it may still go.
    pub fn leave(&mut self, out: &mut Vec<Command>) {
        self.leaving = true;
        while let Some(&(_, connection)) = self.idle.first() {
            self.close(connection, Cause::Leaving, out);
        }
        let places: Vec<Place> = self.sites.keys().copied().collect();
        places.into_iter().for_each(|place| self.deny(place, 0, Denied::Leaving, out));
    }

    /// A call asks for a connection; each ask has a number of its own.
    pub fn ask(&mut self, now: Micros, place: Place, waiter: u64, out: &mut Vec<Command>) {
        let decay = self.limits.decay;
        let Some(site) = self.sites.get_mut(&place).filter(|site| site.serving) else {
            return out.push(Command::Deny { waiter, why: Denied::Retired });
        };
        if self.leaving {
            return out.push(Command::Deny { waiter, why: Denied::Leaving });
        }
        site.waiting.push_back((waiter, now));
        site.note_peak(now, decay);
        site.asked = now;
        self.waiters.insert(waiter, place);
        // the newest is taken, so that those beyond need grow old
        while let Some(&connection) = self.sites.get(&place).and_then(|site| site.idle.last()) {
            if self.grown_old(now, connection) {
                self.close(connection, Cause::Age, out);
            } else {
                return self.lease(now, place, connection, out);
            }
        }
        self.pump(now, place, out);
    }

    /// The call no longer waits. Its dial goes on, for the next one.
    pub fn called_off(&mut self, waiter: u64) {
        let Some(place) = self.waiters.remove(&waiter) else { return };
        if let Some(site) = self.sites.get_mut(&place) {
            site.waiting.retain(|(waits, _)| *waits != waiter);
        }
        self.forget_if_done(place);
    }

    /// A dial brought its connection.
    pub fn up(&mut self, now: Micros, connection: u64, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        let State::Dialling { .. } = known.state else { return };
        (known.heard, known.up_at, known.state) = (now, now, State::Idle { since: now });
        let place = known.place;
        self.dialling -= 1;
        self.idle.insert((now, connection));
        if let Some(site) = self.sites.get_mut(&place) {
            site.dialling -= 1;
            site.idle.push(connection);
        }
        self.settle(now, place, connection, out);
    }

    /// A dial brought none.
    pub fn dial_failed(&mut self, now: Micros, connection: u64, why: DialFailure, out: &mut Vec<Command>) {
        let Some(known) = self.connections.remove(&connection) else { return };
        let State::Dialling { since } = known.state else {
            self.connections.insert(connection, known);
            return;
        };
        self.dialling -= 1;
        let place = known.place;
        let cold = now + self.limits.cold;
        let (trial, learn) = (known.trial, self.limits.learn_caps);
        if trial {
            self.tried(now, place, false);
        }
        let Some(site) = self.sites.get_mut(&place) else { return };
        site.dialling -= 1;
        *site.counts.dial_failures.entry(why).or_default() += 1;
        site.warm_from = site.warm_from.max(cold);
        let established = site.established();
        let beside = why == DialFailure::Refused && established > 0 && learn;
        if beside && !trial {
            // one that is down resets those connections too, but their resets may come later than this
            site.refused = Some((established, now));
        }
        // a call with a dial of its own still out goes on waiting, and so does one that came later than this dial
        // where that says nothing of the next, or that may get one of the connections beside which it was refused
        let denied = site.waiting.len() > site.dialling && !beside && !(trial && established > 0);
        let asked = site.waiting.front().map(|(_, asked)| *asked);
        if denied
            && (why != DialFailure::TimedOut || asked.is_some_and(|asked| asked <= since))
            && let Some((waiter, _)) = site.waiting.pop_front()
        {
            self.waiters.remove(&waiter);
            out.push(Command::Deny { waiter, why: Denied::Dial(why) });
        }
        if !site.serving {
            let dialling = site.dialling;
            self.deny(place, dialling, Denied::Retired, out);
        }
        self.pump(now, place, out);
        self.feed(now, out);
        self.forget_if_done(place);
    }

    /// An answer came on a leased connection.
    pub fn answered(&mut self, now: Micros, connection: u64, answered: Answered) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        let State::Leased { at, proven, .. } = known.state else { return };
        let (first, up_at) = (known.calls == 1, known.up_at);
        known.heard = now;
        let proves = answered == Answered::Served && !known.served;
        known.served |= proves;
        let place = known.place;
        let Some(site) = self.sites.get_mut(&place) else { return };
        site.proven += usize::from(proves);
        if std::mem::take(&mut known.trial) {
            return self.tried(now, place, answered != Answered::TurnedAway);
        }
        // the connections beside which a connect was refused do work
        if let Some((most, _)) = site.refused.take_if(|(_, refused)| up_at <= *refused) {
            self.learn_cap(now, place, most);
            return;
        }
        // one that turns away whatever comes does so on older connections too, as soon as as many are busy
        match (answered, first) {
            (Answered::TurnedAway, true) => site.turned.pending = Some((at, proven)),
            (Answered::TurnedAway, false) | (Answered::Served, true) => site.turned = Turned::default(),
            (Answered::Served, false) => {
                if site.turned.pending.take_if(|(began, then)| at >= *began && proven >= *then).is_some() {
                    site.turned.confirmed += 1;
                }
            }
            (Answered::Other, _) => {}
        }
        if self.limits.learn_caps && site.turned.confirmed >= TURNED_ENOUGH {
            site.turned = Turned::default();
            let served =
                self.connections.values().filter(|other| other.place == place && other.served).count();
            self.learn_cap(now, place, served);
        }
    }

    /// The call is over and its connection can carry another.
    pub fn give_back(&mut self, now: Micros, connection: u64, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        let State::Leased { .. } = known.state else { return };
        (known.heard, known.state) = (now, State::Idle { since: now });
        let (place, proven) = (known.place, usize::from(known.served));
        self.idle.insert((now, connection));
        let decay = self.limits.decay;
        let Some(site) = self.sites.get_mut(&place) else { return };
        site.note_peak(now, decay);
        site.leased -= 1;
        site.proven -= proven;
        site.idle.push(connection);
        self.settle(now, place, connection, out);
    }

    /// The call is over, and its connection with it.
    pub fn spoiled(&mut self, now: Micros, connection: u64, cause: Cause, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get(&connection) else { return };
        let State::Leased { at, rested, .. } = known.state else { return };
        let place = known.place;
        let (decay, cold) = (self.limits.decay, now + self.limits.cold);
        let keep = self.keep(now, place);
        if let Some(site) = self.sites.get_mut(&place) {
            site.note_peak(now, decay);
            if matches!(cause, Cause::Reset | Cause::TimedOut) {
                site.warm_from = site.warm_from.max(cold);
            }
            // one that had stood idle was reset with a call on it: its endpoint closes them sooner than told
            if let (Cause::Reset, Some(rested)) = (cause, rested.filter(|rested| *rested >= KEEP_LEAST)) {
                site.wary = Some(((keep.min(rested) / 2).max(KEEP_LEAST), now + WARY));
            }
        }
        self.drop_connection(connection, cause);
        if matches!(cause, Cause::Reset | Cause::Peer) {
            self.one_less_works(place);
        }
        if cause == Cause::TimedOut {
            self.suspect(place.address, at, out);
        }
        self.pump(now, place, out);
        self.feed(now, out);
        self.forget_if_done(place);
    }

    /// The other side closed a connection. One that carries a call tells by the call's end.
    pub fn closed(&mut self, connection: u64, out: &mut Vec<Command>) {
        if let Some(&Connection { state: State::Idle { .. }, place, .. }) = self.connections.get(&connection)
        {
            self.close(connection, Cause::Peer, out);
            self.one_less_works(place);
        }
    }

    /// What time alone brings: due now and then, some times a second.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        let idle: Vec<u64> = self.idle.iter().map(|&(_, connection)| connection).collect();
        for connection in idle {
            let Some(place) = self.connections.get(&connection).map(|known| known.place) else { continue };
            if self.grown_old(now, connection) {
                self.close(connection, Cause::Age, out);
            } else if self.sites.get(&place).is_some_and(|s| s.established() > s.wanted(now, &self.limits)) {
                // oldest first, as the order is
                self.close(connection, Cause::Surplus, out);
            }
        }
        self.feed(now, out);
        if self.limits.warm_share > 0.0 && !self.leaving {
            self.warm(now, out);
        }
    }

    /// Figures of the endpoints, and those of all that ever were.
    pub fn view(&self, now: Micros) -> (Vec<SiteView>, Counts) {
        let mut all = self.past.clone();
        let sites = self.sites.iter().map(|(place, site)| {
            add(&mut all, &site.counts);
            SiteView {
                place: *place,
                serving: site.serving,
                idle: site.idle.len(),
                leased: site.leased,
                dialling: site.dialling,
                waiting: site.waiting.len(),
                wanted: site.wanted(now, &self.limits),
                learned_cap: site.cap.as_ref().map(|cap| cap.most),
                counts: site.counts.clone(),
            }
        });
        (sites.collect(), all)
    }

    /// How many endpoints, connections and waiting calls the pool knows of.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.sites.len(), self.connections.len(), self.waiters.len())
    }

    fn total(&self) -> usize {
        self.connections.len() + self.elsewhere
    }

    fn raise_first(&self) -> Micros {
        RAISE_FIRST.max(RAISE_EACH * Micros::from(self.limits.senders))
    }

    /// From half to one and a half times as long.
    fn spread(&mut self, span: Micros) -> Micros {
        let part = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        (span as f64 * (0.5 + part)) as Micros
    }

    /// Lets no more than so many calls wait at an endpoint, those that have for longest.
    fn deny(&mut self, place: Place, most: usize, why: Denied, out: &mut Vec<Command>) {
        while let Some(site) = self.sites.get_mut(&place)
            && site.waiting.len() > most
            && let Some((waiter, _)) = site.waiting.pop_back()
        {
            self.waiters.remove(&waiter);
            out.push(Command::Deny { waiter, why });
        }
    }

    /// How long idle connections to the endpoint are kept.
    fn keep(&self, now: Micros, place: Place) -> Micros {
        let wary = self.sites.get(&place).and_then(|site| site.wary).filter(|(_, until)| now < *until);
        wary.map_or(self.limits.keep, |(keep, _)| keep.min(self.limits.keep))
    }

    fn grown_old(&self, now: Micros, connection: u64) -> bool {
        self.connections.get(&connection).is_some_and(|known| match known.state {
            State::Idle { since } => now - since >= self.keep(now, known.place),
            _ => false,
        })
    }

    /// Gives an idle connection to the call that waits longest.
    fn lease(&mut self, now: Micros, place: Place, connection: u64, out: &mut Vec<Command>) {
        let Some(known) = self.connections.get_mut(&connection) else { return };
        let State::Idle { since } = known.state else { return };
        let Some(site) = self.sites.get_mut(&place) else { return };
        let Some((waiter, _)) = site.waiting.pop_front() else { return };
        site.idle.retain(|idle| *idle != connection);
        site.leased += 1;
        site.proven += usize::from(known.served);
        let rested = (known.calls > 0).then_some(now - since);
        site.counts.reuses += u64::from(rested.is_some());
        known.calls += 1;
        known.state = State::Leased { at: now, proven: site.proven, rested };
        self.idle.remove(&(since, connection));
        self.waiters.remove(&waiter);
        out.push(Command::Lease { waiter, connection, rested });
    }

    /// A connection has just fallen free: it goes to a call that waits, to the idle ones, or is closed.
    fn settle(&mut self, now: Micros, place: Place, connection: u64, out: &mut Vec<Command>) {
        let Some(site) = self.sites.get(&place) else { return };
        if !site.waiting.is_empty() {
            self.lease(now, place, connection, out);
        } else if !site.serving {
            self.close(connection, Cause::Retired, out);
            self.forget_if_done(place);
        } else if self.leaving {
            self.close(connection, Cause::Leaving, out);
        } else if site.idle.len() > self.limits.idle_per_endpoint
            || site.open() > self.limits.per_endpoint
            || site.established() > site.wanted(now, &self.limits)
        {
            // the one that would be taken last
            let oldest = site.idle.first().copied().unwrap_or(connection);
            self.close(oldest, Cause::Surplus, out);
        }
        self.close_surplus(out);
        self.feed(now, out);
    }

    /// Closes the oldest idle connections as long as there are more than may be, whichever endpoint they go to.
    fn close_surplus(&mut self, out: &mut Vec<Command>) {
        while (self.idle.len() > self.limits.idle || self.total() > self.limits.all)
            && let Some(&(_, oldest)) = self.idle.first()
        {
            self.close(oldest, Cause::Surplus, out);
        }
    }

    /// Dials for the calls that wait at an endpoint, one each, as far as there is room.
    fn pump(&mut self, now: Micros, place: Place, out: &mut Vec<Command>) {
        while let Some(site) = self.sites.get(&place)
            && site.waiting.len() > site.dialling
        {
            let Some(trial) = self.may_dial(now, site) else {
                if let Some(site) = self.sites.get_mut(&place).filter(|site| !site.hungry) {
                    site.hungry = true;
                    self.hungry.push_back(place);
                }
                return;
            };
            if self.total() >= self.limits.all
                && let Some(&(_, oldest)) = self.idle.first()
            {
                self.close(oldest, Cause::Evicted, out);
            }
            self.dial(now, place, trial, out);
        }
    }

    /// Whether a dial to the endpoint is in order now, and whether that would try its learned cap.
    fn may_dial(&self, now: Micros, site: &Site) -> Option<bool> {
        let of_one = (self.limits.dials / DIALS_PART).max(1);
        let room = self.dialling < self.limits.dials
            && site.dialling < of_one
            && site.open() < self.limits.per_endpoint
            && (self.total() < self.limits.all || self.total() == self.limits.all && !self.idle.is_empty());
        if !site.serving || !room {
            return None;
        }
        // until it is known whether those work that are open, none is dialled beside them
        if site.refused.is_some_and(|(most, _)| site.open() >= most) {
            return None;
        }
        match &site.cap {
            Some(cap) if site.open() >= cap.most => {
                (now >= cap.next && cap.trials < cap.step).then_some(true)
            }
            _ => Some(false),
        }
    }

    fn dial(&mut self, now: Micros, place: Place, trial: bool, out: &mut Vec<Command>) {
        let Some(site) = self.sites.get_mut(&place) else { return };
        let connection = self.next;
        self.next += 1;
        self.dialling += 1;
        site.dialling += 1;
        site.counts.dials += 1;
        if let Some(cap) = site.cap.as_mut().filter(|_| trial) {
            cap.trials += 1;
        }
        let state = State::Dialling { since: now };
        let new = Connection { place, state, heard: now, up_at: now, calls: 0, served: false, trial };
        self.connections.insert(connection, new);
        out.push(Command::Dial { connection, place });
    }

    /// Room may have come: each endpoint where calls wait without a dial gets its turn.
    fn feed(&mut self, now: Micros, out: &mut Vec<Command>) {
        for _ in 0..self.hungry.len() {
            let Some(place) = self.hungry.pop_front() else { return };
            if let Some(site) = self.sites.get_mut(&place) {
                site.hungry = false;
                self.pump(now, place, out);
            }
        }
    }

    /// Dials ahead of need, one an endpoint at a time, at moments of this sender's own.
    fn warm(&mut self, now: Micros, out: &mut Vec<Command>) {
        let most = (self.limits.warm_share * self.limits.all as f64) as usize;
        let unused = |known: &&Connection| known.calls == 0;
        let mut ahead = self.connections.values().filter(unused).count();
        let rest = WARM_LEAST.max(WARM_EACH * Micros::from(self.limits.senders));
        let places: Vec<Place> = self.sites.keys().copied().collect();
        for place in places {
            let Some(site) = self.sites.get(&place) else { continue };
            let due = now >= site.warm_from && now >= site.warm_next;
            let used = site.asked > now - self.limits.decay && site.waiting.is_empty();
            let short = site.open() < site.wanted(now, &self.limits);
            if !(due && used && short && ahead < most && self.total() < self.limits.all)
                || self.may_dial(now, site) != Some(false)
            {
                continue;
            }
            self.dial(now, place, false, out);
            ahead += 1;
            let next = now + self.spread(rest);
            if let Some(site) = self.sites.get_mut(&place) {
                site.warm_next = next;
            }
        }
    }

    /// A dial above the learned cap brought a connection that works, or none.
    fn tried(&mut self, now: Micros, place: Place, works: bool) {
        let (first, part) = (self.raise_first(), self.spread(SECOND) as f64 / SECOND as f64);
        let step_most = if self.limits.senders <= FEW_SENDERS { RAISE_STEP } else { 1 };
        let per_endpoint = self.limits.per_endpoint;
        let Some(site) = self.sites.get_mut(&place) else { return };
        let Some(cap) = &mut site.cap else { return };
        cap.trials = cap.trials.saturating_sub(1);
        let pause = if works {
            (cap.most, cap.rest) = (cap.most + 1, first);
            if cap.trials == 0 {
                cap.step = (cap.step * 2).min(step_most);
            }
            first / 2
        } else {
            (cap.step, cap.rest) = (1, (cap.rest * 2).min(first.max(RAISE_MOST)));
            cap.rest
        };
        cap.next = now + (pause as f64 * part) as Micros;
        site.cap.take_if(|cap| cap.most >= per_endpoint);
    }

    /// A connection beside which a connect was refused has broken too: with the last one it is an outage.
    fn one_less_works(&mut self, place: Place) {
        let Some(site) = self.sites.get_mut(&place) else { return };
        let established = site.established();
        site.refused = site.refused.filter(|_| established > 0).map(|(_, at)| (established, at));
    }

    fn learn_cap(&mut self, now: Micros, place: Place, most: usize) {
        let rest = self.raise_first();
        let next = now + self.spread(rest);
        if let Some(site) = self.sites.get_mut(&place) {
            let trials = site.cap.as_ref().map_or(0, |cap| cap.trials);
            site.cap = Some(Cap { most: most.max(1), next, rest, step: 1, trials });
        }
    }

    /// Idle connections to the address that have heard nothing since then may be as dead as the one that timed out.
    fn suspect(&mut self, address: SocketAddr, since: Micros, out: &mut Vec<Command>) {
        let of_address =
            Place { address, endpoint: EndpointId(0) }..=Place { address, endpoint: EndpointId(u32::MAX) };
        let idle: Vec<u64> = self.sites.range(of_address).flat_map(|(_, site)| site.idle.clone()).collect();
        for connection in idle {
            if self.connections.get(&connection).is_some_and(|known| known.heard < since) {
                self.close(connection, Cause::Suspect, out);
            }
        }
    }

    fn close(&mut self, connection: u64, cause: Cause, out: &mut Vec<Command>) {
        self.drop_connection(connection, cause);
        out.push(Command::Close { connection });
    }

    fn drop_connection(&mut self, connection: u64, cause: Cause) {
        let Some(known) = self.connections.remove(&connection) else { return };
        let Some(site) = self.sites.get_mut(&known.place) else { return };
        match known.state {
            State::Idle { since } => {
                site.idle.retain(|idle| *idle != connection);
                self.idle.remove(&(since, connection));
            }
            State::Leased { .. } => {
                site.leased -= 1;
                site.proven -= usize::from(known.served);
            }
            State::Dialling { .. } => site.dialling -= 1,
        }
        if let Some(cap) = site.cap.as_mut().filter(|_| known.trial) {
            cap.trials = cap.trials.saturating_sub(1);
        }
        *site.counts.closes.entry(cause).or_default() += 1;
    }

    fn forget_if_done(&mut self, place: Place) {
        if self.sites.get(&place).is_some_and(Site::done)
            && let Some(site) = self.sites.remove(&place)
        {
            add(&mut self.past, &site.counts);
        }
    }
}

fn add(all: &mut Counts, more: &Counts) {
    all.reuses += more.reuses;
    all.dials += more.dials;
    more.dial_failures.iter().for_each(|(why, count)| *all.dial_failures.entry(*why).or_default() += count);
    more.closes.iter().for_each(|(cause, count)| *all.closes.entry(*cause).or_default() += count);
}
