//! The pool's rules without sockets: random orders of what happens to it, held against what must never be, and the
//! cases that operators would ask about, each by itself.

use message_sender::pool::*;
use message_sender::{EndpointId, MILLISECOND, Micros, SECOND};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const T0: Micros = 50 * SECOND;

/// The sizes of a pool of which nothing is left.
const NOTHING: PoolSizes = PoolSizes {
    endpoints: 0,
    connections: 0,
    waiters: 0,
};

fn limits() -> PoolLimits {
    PoolLimits {
        per_endpoint: 20,
        concurrent_dials: 40,
        total: 60,
        idle: 40,
        idle_per_endpoint: 16,
        idle_timeout: 10 * SECOND,
        demand_half_life: 10 * SECOND,
        learn_caps: true,
        prewarm_share: 0.0,
        prewarm_delay: 5 * SECOND,
        senders: 1,
    }
}

fn target(endpoint: u32) -> EndpointAddress {
    at(endpoint, endpoint as u16)
}

fn at(endpoint: u32, port: u16) -> EndpointAddress {
    EndpointAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + port)),
        endpoint: EndpointId(endpoint),
    }
}

/// A fault put between the rules and whoever checks them, to show that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The rules have larger caps than is said.
    LooseCaps,
    /// A call that is called off is not told to the rules.
    ForgottenWaiter,
    /// A connection is given to two calls.
    LeasedTwice,
    /// Closing is left out now and then.
    Leak,
    /// A dial's failure is not told, and so nobody is denied.
    SilentFailure,
    /// Retirement is not told.
    Unretired,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Has {
    Dial,
    Lease,
    Idle,
}

/// The world round the rules: which connections there are, and which calls wait since when.
struct World {
    pool: Pool,
    limits: PoolLimits,
    now: Micros,
    connections: BTreeMap<u64, (EndpointAddress, Has)>,
    waiting: BTreeMap<u64, EndpointAddress>,
    serving: BTreeSet<EndpointAddress>,
    fault: Fault,
    turns: u32,
    wrong: Vec<String>,
}

impl World {
    fn new(limits: PoolLimits, seed: u64, fault: Fault) -> Self {
        let mut given = limits.clone();
        if fault == Fault::LooseCaps {
            given.per_endpoint += 2;
            given.concurrent_dials += 2;
            given.total += 2;
        }
        World {
            pool: Pool::new(given, seed),
            limits,
            now: T0,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
            serving: BTreeSet::new(),
            fault,
            turns: 0,
            wrong: Vec::new(),
        }
    }

    fn with(&mut self, say: impl FnOnce(&mut Pool, Micros, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        say(&mut self.pool, self.now, &mut commands);
        for command in commands {
            self.carry_out(command);
        }
        self.check();
    }

    fn carry_out(&mut self, command: Command) {
        self.turns += 1;
        let every_ninth = self.turns.is_multiple_of(9);
        match command {
            Command::Dial { connection, target } => {
                if !self.serving.contains(&target) {
                    self.wrong
                        .push(format!("{connection} dialled to one that does not serve"));
                }
                if self
                    .connections
                    .insert(connection, (target, Has::Dial))
                    .is_some()
                {
                    self.wrong.push(format!("{connection} dialled twice"));
                }
                let here = self
                    .connections
                    .values()
                    .filter(|(there, _)| *there == target)
                    .count();
                let (all, dials) = (self.connections.len(), self.count(Has::Dial));
                let PoolLimits {
                    per_endpoint,
                    total: all_most,
                    concurrent_dials: dials_most,
                    ..
                } = self.limits;
                if here > per_endpoint || all > all_most || dials > dials_most {
                    let most = (per_endpoint, all_most, dials_most);
                    self.wrong.push(format!(
                        "a dial too many: {:?} of {most:?}",
                        (here, all, dials)
                    ));
                }
            }
            Command::Lease {
                waiter, connection, ..
            } => {
                let wanted = self.waiting.remove(&waiter);
                let connection = match self.fault {
                    Fault::LeasedTwice if every_ninth => connection.saturating_sub(1),
                    _ => connection,
                };
                match self.connections.get_mut(&connection) {
                    Some((target, has)) if *has == Has::Idle && Some(*target) == wanted => {
                        *has = Has::Lease
                    }
                    other => self
                        .wrong
                        .push(format!("{waiter} got {connection}, which is {other:?}")),
                }
            }
            Command::Deny { waiter, .. } => {
                if self.waiting.remove(&waiter).is_none() {
                    self.wrong
                        .push(format!("{waiter} denied, who did not wait"));
                }
            }
            Command::Close { connection } => {
                if self.fault == Fault::Leak && every_ninth {
                    return;
                }
                match self.connections.remove(&connection) {
                    Some((_, Has::Idle)) => {}
                    other => self
                        .wrong
                        .push(format!("{connection} closed, which is {other:?}")),
                }
            }
        }
    }

    fn count(&self, has: Has) -> usize {
        self.connections
            .values()
            .filter(|(_, now)| *now == has)
            .count()
    }

    fn check(&mut self) {
        let mut wrong = Vec::new();
        let idle = self.count(Has::Idle);
        let over = |wrong: &mut Vec<String>, what: &str, is: usize, most: usize| {
            if is > most {
                wrong.push(format!("{what}: {is} of {most}"));
            }
        };
        over(&mut wrong, "idle", idle, self.limits.idle);
        // a cap that was lowered waits for what carries a call, and for nothing else
        if idle > 0 {
            over(&mut wrong, "all", self.connections.len(), self.limits.total);
        }
        let PoolSizes {
            endpoints: sites,
            connections,
            waiters,
        } = self.pool.sizes();
        let views = self.pool.report(self.now).endpoints;
        for view in &views {
            if view.idle > 0 {
                over(
                    &mut wrong,
                    "to one endpoint",
                    view.idle + view.leased + view.dialling,
                    self.limits.per_endpoint,
                );
            }
            over(
                &mut wrong,
                "idle at one endpoint",
                view.idle,
                self.limits.idle_per_endpoint,
            );
            let there = self
                .connections
                .values()
                .filter(|(target, _)| *target == view.target);
            let here = |has| there.clone().filter(|(_, now)| *now == has).count();
            let seen = (here(Has::Idle), here(Has::Lease), here(Has::Dial));
            if seen != (view.idle, view.leased, view.dialling) {
                wrong.push(format!("{:?} is {seen:?}, told {view:?}", view.target));
            }
            // what waits while something lies idle waits in vain
            if view.waiting > 0 && view.idle > 0 {
                wrong.push(format!(
                    "{:?}: {} wait beside {} idle",
                    view.target, view.waiting, view.idle
                ));
            }
        }
        if connections != self.connections.len() || waiters != self.waiting.len() {
            let there = (self.connections.len(), self.waiting.len());
            wrong.push(format!(
                "{connections} connections and {waiters} waiters are known, there are {there:?}"
            ));
        }
        if sites < views.len() {
            wrong.push(format!("{sites} sites"));
        }
        let idle_retired = self
            .connections
            .values()
            .any(|(target, has)| *has == Has::Idle && !self.serving.contains(target));
        if idle_retired {
            wrong.push("idle at one that does not serve".to_string());
        }
        self.wrong.extend(wrong);
    }
}

/// Plays random events for a while, then lets all of them end; what was found wrong.
fn play(seed: u64, fault: Fault) -> Vec<String> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |most: usize| random.next_u32() as usize % most.max(1);
    let mut limits = limits();
    (limits.per_endpoint, limits.concurrent_dials, limits.total) =
        (1 + below(6), 1 + below(8), 6 + below(12));
    (limits.idle, limits.idle_per_endpoint) = (1 + below(limits.total), 1 + below(5));
    limits.per_endpoint = limits.per_endpoint.min(limits.total);
    limits.prewarm_share = [0.0, 0.3, 1.0][below(3)];
    limits.senders = [1, 30][below(2)];
    let mut world = World::new(limits.clone(), seed, fault);
    let places: Vec<EndpointAddress> = (0..5).map(|n| at(n, n.min(3) as u16)).collect();
    for &target in &places {
        world.serving.insert(target);
        world.with(|pool, now, _| pool.enable_endpoint(now, target));
    }
    let mut next = 0;
    for _ in 0..1500 {
        if !world.wrong.is_empty() {
            return world.wrong;
        }
        world.now += [0, MILLISECOND, 40 * MILLISECOND, 3 * SECOND][below(4)];
        let pick = |world: &World, has: Has, at: usize| {
            let all: Vec<u64> = world
                .connections
                .iter()
                .filter(|(_, (_, now))| *now == has)
                .map(|(&number, _)| number)
                .collect();
            (!all.is_empty()).then(|| all[at % all.len()])
        };
        let (what, at) = (below(24), below(1000));
        match what {
            0..=6 => {
                let target = places[at % places.len()];
                next += 1;
                world.waiting.insert(next, target);
                world.with(|pool, now, out| pool.acquire(now, target, next, out));
            }
            7..=9 => {
                if let Some(dial) = pick(&world, Has::Dial, at) {
                    world
                        .connections
                        .entry(dial)
                        .and_modify(|known| known.1 = Has::Idle);
                    world.with(|pool, now, out| pool.dial_succeeded(now, dial, out));
                }
            }
            10 | 11 => {
                let whys = [
                    DialFailure::Refused,
                    DialFailure::TimedOut,
                    DialFailure::Other,
                ];
                if let Some(dial) = pick(&world, Has::Dial, at) {
                    world.connections.remove(&dial);
                    if fault != Fault::SilentFailure {
                        world.with(|pool, now, out| pool.dial_failed(now, dial, whys[at % 3], out));
                    }
                }
            }
            12..=15 => {
                let answers = [AnswerKind::Served, AnswerKind::Rejected, AnswerKind::Other];
                if let Some(lease) = pick(&world, Has::Lease, at) {
                    world.with(|pool, now, _| {
                        pool.record_answer(now, lease, answers[at % 3]);
                    });
                    world
                        .connections
                        .entry(lease)
                        .and_modify(|known| known.1 = Has::Idle);
                    world.with(|pool, now, out| pool.release(now, lease, out));
                }
            }
            16 | 17 => {
                let causes = [
                    CloseReason::Cancelled,
                    CloseReason::TimedOut,
                    CloseReason::Reset,
                    CloseReason::Unreadable,
                    CloseReason::ClosedByPeer,
                ];
                if let Some(lease) = pick(&world, Has::Lease, at) {
                    world.connections.remove(&lease);
                    world.with(|pool, now, out| pool.discard(now, lease, causes[at % 5], out));
                }
            }
            18 => {
                let waiter = world
                    .waiting
                    .keys()
                    .nth(at % world.waiting.len().max(1))
                    .copied();
                if let Some(waiter) = waiter {
                    world.waiting.remove(&waiter);
                    if fault != Fault::ForgottenWaiter {
                        world.with(|pool, _, _| pool.cancel_wait(waiter));
                    }
                }
            }
            19 => {
                if let Some(idle) = pick(&world, Has::Idle, at) {
                    world.with(|pool, _, out| pool.peer_closed(idle, out));
                }
            }
            20 => {
                let target = places[at % places.len()];
                if world.serving.remove(&target) {
                    if fault != Fault::Unretired {
                        world.with(|pool, _, out| pool.retire_endpoint(target, out));
                    }
                } else {
                    world.serving.insert(target);
                    world.with(|pool, now, _| pool.enable_endpoint(now, target));
                }
            }
            21 => {
                let target = places[at % places.len()];
                world.with(|pool, _, out| pool.close_idle(target, out));
            }
            22 => {
                let mut less = limits.clone();
                (less.total, less.idle) = (limits.total - at % 3, limits.idle.min(1 + at % 4));
                less.per_endpoint = limits.per_endpoint.min(less.total);
                world.limits = less.clone();
                if fault == Fault::LooseCaps {
                    less.per_endpoint += 2;
                    less.concurrent_dials += 2;
                    less.total += 2;
                }
                world.with(|pool, now, out| pool.set_limits(now, less, out));
            }
            _ => world.with(|pool, now, out| pool.tick(now, out)),
        }
    }
    // every dial ends, every call too, and time passes: each one that waits gets its end
    for round in 0..2000 {
        world.now += 20 * MILLISECOND;
        let all: Vec<(u64, Has)> = world
            .connections
            .iter()
            .map(|(&number, known)| (number, known.1))
            .collect();
        for (number, has) in all {
            match has {
                Has::Dial if round % 2 == 0 => {
                    world
                        .connections
                        .entry(number)
                        .and_modify(|known| known.1 = Has::Idle);
                    world.with(|pool, now, out| pool.dial_succeeded(now, number, out));
                }
                Has::Dial => {
                    world.connections.remove(&number);
                    world.with(|pool, now, out| {
                        pool.dial_failed(now, number, DialFailure::Refused, out)
                    });
                }
                Has::Lease => {
                    world
                        .connections
                        .entry(number)
                        .and_modify(|known| known.1 = Has::Idle);
                    world.with(|pool, now, out| pool.release(now, number, out));
                }
                Has::Idle => {}
            }
        }
        world.with(|pool, now, out| pool.tick(now, out));
        if world.waiting.is_empty() || !world.wrong.is_empty() {
            break;
        }
    }
    if !world.waiting.is_empty() {
        world
            .wrong
            .push(format!("{} wait for ever", world.waiting.len()));
    }
    // and all that is idle grows old, the endpoints go, and nothing is left of them
    for &target in &places {
        world.serving.remove(&target);
        if fault != Fault::Unretired {
            world.with(|pool, _, out| pool.retire_endpoint(target, out));
        }
    }
    for (number, has) in world
        .connections
        .clone()
        .into_iter()
        .map(|(number, known)| (number, known.1))
    {
        if has == Has::Dial {
            world.connections.remove(&number);
            world.with(|pool, now, out| pool.dial_failed(now, number, DialFailure::Other, out));
        }
    }
    let left: Vec<u64> = world.connections.keys().copied().collect();
    for number in left {
        world.connections.remove(&number);
        world.with(|pool, now, out| pool.discard(now, number, CloseReason::Cancelled, out));
    }
    if world.pool.sizes() != NOTHING {
        world
            .wrong
            .push(format!("{:?} are left", world.pool.sizes()));
    }
    world.wrong
}

#[test]
fn no_order_of_events_passes_a_cap_leaks_or_lets_a_call_wait_for_ever() {
    for seed in 0..300 {
        let wrong = play(seed, Fault::None);
        assert!(
            wrong.is_empty(),
            "seed {seed}: {:?}",
            &wrong[..wrong.len().min(3)]
        );
    }
}

#[test]
fn the_checks_see_each_broken_rule() {
    use Fault::*;
    for fault in [
        LooseCaps,
        ForgottenWaiter,
        LeasedTwice,
        Leak,
        SilentFailure,
        Unretired,
    ] {
        let seen = (0..20)
            .filter(|&seed| !play(seed, fault).is_empty())
            .count();
        assert!(seen >= 15, "{fault:?} is seen on {seen} of 20 seeds");
    }
}

/// A pool with one endpoint that serves, and what it says.
struct Rig {
    pool: Pool,
    now: Micros,
    target: EndpointAddress,
    next: u64,
}

impl Rig {
    fn new(limits: PoolLimits) -> Self {
        let mut pool = Pool::new(limits, 7);
        pool.enable_endpoint(T0, target(1));
        Rig {
            pool,
            now: T0,
            target: target(1),
            next: 0,
        }
    }

    fn with(&mut self, say: impl FnOnce(&mut Pool, Micros, &mut Vec<Command>)) -> Vec<Command> {
        let mut out = Vec::new();
        say(&mut self.pool, self.now, &mut out);
        out
    }

    /// A call asks; its number and what came of it.
    fn ask(&mut self) -> (u64, Vec<Command>) {
        self.next += 1;
        let (waiter, target) = (self.next, self.target);
        (
            waiter,
            self.with(|pool, now, out| pool.acquire(now, target, waiter, out)),
        )
    }

    /// A call asks, is dialled for and gets a new connection.
    fn dialled(&mut self) -> u64 {
        let (waiter, out) = self.ask();
        let connection = dials(&out)[0];
        let out = self.with(|pool, now, out| pool.dial_succeeded(now, connection, out));
        assert_eq!(
            out,
            [Command::Lease {
                waiter,
                connection,
                idle_for: None
            }]
        );
        connection
    }

    /// The call on it ends well.
    fn ends(&mut self, connection: u64, answered: AnswerKind) -> Vec<Command> {
        self.with(|pool, now, out| {
            pool.record_answer(now, connection, answered);
            pool.release(now, connection, out);
        })
    }

    fn view(&self) -> EndpointReport {
        self.pool
            .report(self.now)
            .endpoints
            .into_iter()
            .find(|view| view.target == self.target)
            .expect("known")
    }
}

fn dials(out: &[Command]) -> Vec<u64> {
    let dial = |command: &Command| match command {
        Command::Dial { connection, .. } => Some(*connection),
        _ => None,
    };
    out.iter().filter_map(dial).collect()
}

fn leased(out: &[Command]) -> Vec<(u64, u64)> {
    let lease = |command: &Command| match command {
        Command::Lease {
            waiter, connection, ..
        } => Some((*waiter, *connection)),
        _ => None,
    };
    out.iter().filter_map(lease).collect()
}

#[test]
fn the_newest_idle_one_is_taken_and_the_others_grow_old() {
    let mut rig = Rig::new(PoolLimits {
        demand_half_life: 100 * SECOND,
        ..limits()
    });
    let (old, new) = (rig.dialled(), rig.dialled());
    rig.ends(old, AnswerKind::Served);
    rig.now += SECOND;
    rig.ends(new, AnswerKind::Served);
    for _ in 0..9 {
        rig.now += SECOND;
        let (waiter, out) = rig.ask();
        assert_eq!(leased(&out), [(waiter, new)]);
        rig.ends(new, AnswerKind::Served);
    }
    assert_eq!(
        rig.with(|pool, now, out| pool.tick(now, out)),
        [Command::Close { connection: old }]
    );
    let view = rig.view();
    assert_eq!(
        (
            view.idle,
            view.counters.reuses,
            view.counters.dials,
            view.counters.closes[&CloseReason::IdleTimeout]
        ),
        (1, 9, 2, 1)
    );
}

#[test]
fn a_call_takes_the_first_of_its_dial_and_a_connection_given_back() {
    let mut rig = Rig::new(limits());
    let first = rig.dialled();
    let (waiter, out) = rig.ask();
    let dial = dials(&out)[0];
    assert_eq!(
        leased(&rig.ends(first, AnswerKind::Served)),
        [(waiter, first)]
    );
    // the dial serves the next call, with no further one
    let (next, out) = rig.ask();
    assert_eq!(out, []);
    assert_eq!(
        leased(&rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out))),
        [(next, dial)]
    );
}

#[test]
fn a_dial_whose_call_was_called_off_is_kept() {
    let mut rig = Rig::new(limits());
    let (waiter, out) = rig.ask();
    rig.with(|pool, _, _| pool.cancel_wait(waiter));
    let dial = dials(&out)[0];
    assert_eq!(
        rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out)),
        []
    );
    assert_eq!(rig.view().idle, 1);
    let (waiter, out) = rig.ask();
    assert_eq!(
        out,
        [Command::Lease {
            waiter,
            connection: dial,
            idle_for: None
        }]
    );
}

#[test]
fn a_dial_that_times_out_fails_only_the_call_that_it_was_made_for() {
    let mut rig = Rig::new(limits());
    let (first, out) = rig.ask();
    let dial = dials(&out)[0];
    rig.with(|pool, _, _| pool.cancel_wait(first));
    rig.now += SECOND / 2;
    let (_, out) = rig.ask();
    assert_eq!(out, [], "the dial that is out serves it");
    rig.now += SECOND / 2;
    let out = rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::TimedOut, out));
    assert_eq!(dials(&out).len(), 1, "its own dial follows: {out:?}");
    rig.now += SECOND;
    let again = dials(&out)[0];
    let out = rig.with(|pool, now, out| pool.dial_failed(now, again, DialFailure::TimedOut, out));
    assert_eq!(
        out,
        [Command::Deny {
            waiter: 2,
            reason: LeaseDenied::Dial(DialFailure::TimedOut)
        }]
    );
}

/// Connects are refused beside `open` connections of which one then answers; the cap learned.
fn learned(rig: &mut Rig, open: usize) -> Vec<u64> {
    let held: Vec<u64> = (0..open).map(|_| rig.dialled()).collect();
    let (waiter, out) = rig.ask();
    let dial = dials(&out)[0];
    let out = rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
    assert_eq!(
        (out, rig.view().waiting),
        (vec![], 1),
        "it may get one of those that are open"
    );
    rig.with(|pool, _, _| pool.cancel_wait(waiter));
    assert_eq!(
        rig.view().learned_cap,
        None,
        "nothing is learned before one of them answers"
    );
    rig.now += 10 * MILLISECOND;
    let first = held[0];
    rig.with(|pool, now, _| {
        pool.record_answer(now, first, AnswerKind::Served);
    });
    assert_eq!(rig.view().learned_cap, Some(open));
    held
}

#[test]
fn a_refused_connect_beside_working_ones_teaches_a_cap() {
    let mut rig = Rig::new(limits());
    let held = learned(&mut rig, 3);
    let (waiter, out) = rig.ask();
    assert_eq!(out, [], "it waits for one of the three");
    assert_eq!(
        leased(&rig.ends(held[1], AnswerKind::Served)),
        [(waiter, held[1])]
    );
}

#[test]
fn an_outage_teaches_no_cap() {
    // the endpoint is down: a connect is refused first, the open connections break after
    let mut rig = Rig::new(limits());
    let held: Vec<u64> = (0..3).map(|_| rig.dialled()).collect();
    let (first, out) = rig.ask();
    let dial = dials(&out)[0];
    rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
    let (second, out) = rig.ask();
    assert_eq!(
        out,
        [],
        "until it is known what works, none is dialled beside it"
    );
    let mut out = Vec::new();
    for connection in held {
        assert_eq!(out, []);
        out = rig.with(|pool, now, out| pool.discard(now, connection, CloseReason::Reset, out));
    }
    // both calls are dialled for now, and have their end with that
    for (dial, waiter) in dials(&out).into_iter().zip([first, second]) {
        let out = rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
        assert_eq!(
            out,
            [Command::Deny {
                waiter,
                reason: LeaseDenied::Dial(DialFailure::Refused)
            }]
        );
    }
    assert_eq!(rig.view().waiting, 0);
    // it is back
    rig.now += SECOND;
    let back = rig.dialled();
    rig.ends(back, AnswerKind::Served);
    assert_eq!(rig.view().learned_cap, None);
    // and with none open at all nothing can be told
    rig.with(|pool, _, out| pool.peer_closed(back, out));
    let (_, out) = rig.ask();
    let dial = dials(&out)[0];
    rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
    let back = rig.dialled();
    rig.ends(back, AnswerKind::Served);
    assert_eq!(rig.view().learned_cap, None);
}

#[test]
fn a_cap_is_tried_above_slowly_and_only_when_a_call_waits() {
    let mut rig = Rig::new(limits());
    learned(&mut rig, 3);
    rig.now += 4 * SECOND;
    assert_eq!(
        rig.with(|pool, now, out| pool.tick(now, out)),
        [],
        "nobody waits"
    );
    let (_, out) = rig.ask();
    let dial = dials(&out)[0];
    rig.ask();
    assert_eq!(rig.view().dialling, 1, "one at a time");
    // refused again: the calls wait on, and the next try is later
    let out = rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
    assert_eq!((out, rig.view().waiting), (vec![], 2));
    rig.now += 2 * SECOND - 1;
    assert_eq!(rig.with(|pool, now, out| pool.tick(now, out)), []);
    rig.now += 4 * SECOND;
    let dial = dials(&rig.with(|pool, now, out| pool.tick(now, out)))[0];
    rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out));
    assert_eq!(
        rig.view().learned_cap,
        Some(3),
        "its first call has not told yet"
    );
    rig.ends(dial, AnswerKind::Served);
    assert_eq!(rig.view().learned_cap, Some(4));
    // it bears more: soon tried again, with two at once
    rig.ask();
    rig.ask();
    rig.now += 2 * SECOND;
    assert_eq!(
        dials(&rig.with(|pool, now, out| pool.tick(now, out))).len(),
        2
    );
}

#[test]
fn tries_above_a_cap_by_a_whole_fleet_are_few_and_spread() {
    let mut tries = Vec::new();
    for sender in 0..300 {
        let mut rig = Rig::new(PoolLimits {
            senders: 300,
            ..limits()
        });
        rig.pool = Pool::new(
            PoolLimits {
                senders: 300,
                ..limits()
            },
            sender,
        );
        rig.pool.enable_endpoint(T0, target(1));
        learned(&mut rig, 2);
        rig.ask();
        for _ in 0..1200 {
            rig.now += 250 * MILLISECOND;
            for dial in dials(&rig.with(|pool, now, out| pool.tick(now, out))) {
                tries.push(rig.now - T0);
                rig.with(|pool, now, out| pool.dial_failed(now, dial, DialFailure::Refused, out));
            }
        }
    }
    let worst = (0..300)
        .map(|s| tries.iter().filter(|&&at| at / SECOND == s).count())
        .max()
        .unwrap_or(0);
    assert!(
        (300..=600).contains(&tries.len()),
        "{} tries of 300 senders in five minutes",
        tries.len()
    );
    assert!(worst <= 10, "{worst} in one second");
}

/// Calls on new and old connections in turns, each answered as told by how many came before in its second.
fn turned_away(closes: bool, answer: impl Fn(usize, bool) -> AnswerKind) -> Option<usize> {
    let mut rig = Rig::new(PoolLimits {
        idle_timeout: 1000 * SECOND,
        demand_half_life: 1000 * SECOND,
        ..limits()
    });
    let mut seen = 0;
    for _ in 0..60 {
        rig.now += SECOND;
        let mut held: Vec<(u64, bool)> = Vec::new();
        // what is idle goes first, then new ones
        for _ in 0..6 {
            let (waiter, out) = rig.ask();
            match (leased(&out).first(), dials(&out).first()) {
                (Some(&(_, connection)), _) => held.push((connection, false)),
                (_, Some(&dial)) => {
                    rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out));
                    held.push((dial, true));
                }
                // it has learned a cap and waits
                _ => rig.with(|pool, _, _| pool.cancel_wait(waiter)).clear(),
            }
        }
        for (nth, (connection, new)) in held.into_iter().enumerate() {
            rig.now += MILLISECOND;
            match answer(nth, new) {
                AnswerKind::Rejected if closes => {
                    rig.with(|pool, now, out| {
                        pool.record_answer(now, connection, AnswerKind::Rejected);
                        pool.discard(now, connection, CloseReason::ClosedByPeer, out);
                    });
                }
                other => drop(rig.ends(connection, other)),
            }
            seen += 1;
        }
    }
    assert!(seen > 100);
    rig.view().learned_cap
}

#[test]
fn only_first_calls_turned_away_beside_served_ones_teach_a_cap() {
    // the endpoint serves three connections and turns away the first call on any further one
    assert_eq!(
        turned_away(true, |nth, new| if new && nth >= 3 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        Some(3)
    );
    // a limit of three calls in a time, and a queue that is full now and then, meet old and new alike
    assert_eq!(
        turned_away(false, |nth, _| if nth >= 3 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        None
    );
    assert_eq!(
        turned_away(false, |nth, _| if nth % 2 == 1 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        None
    );
    assert_eq!(turned_away(false, |_, _| AnswerKind::Rejected), None);
}

#[test]
fn what_is_idle_since_before_a_call_that_timed_out_leaves_with_it() {
    let mut rig = Rig::new(limits());
    // the same address under another id, and another address
    let (same, other) = (at(2, 1), target(3));
    rig.pool.enable_endpoint(rig.now, same);
    rig.pool.enable_endpoint(rig.now, other);
    let mut idle = Vec::new();
    for there in [rig.target, same, other] {
        rig.target = there;
        let connection = rig.dialled();
        rig.ends(connection, AnswerKind::Served);
        idle.push(connection);
    }
    rig.target = target(1);
    rig.now += SECOND;
    // one that is heard after the call began stays
    let (_, out) = rig.ask();
    let silent = leased(&out)[0].1;
    let heard = rig.dialled();
    rig.now += SECOND;
    rig.ends(heard, AnswerKind::Served);
    rig.now += SECOND;
    let out = rig.with(|pool, now, out| pool.discard(now, silent, CloseReason::TimedOut, out));
    assert_eq!(
        out,
        [Command::Close {
            connection: idle[1]
        }]
    );
    assert_eq!(rig.view().idle, 1);
}

#[test]
fn an_endpoint_that_drains_has_its_idle_ones_closed_and_is_dialled_no_more() {
    let mut rig = Rig::new(PoolLimits {
        concurrent_dials: 4,
        ..limits()
    });
    let (idle, busy) = (rig.dialled(), rig.dialled());
    rig.ends(idle, AnswerKind::Served);
    let (first, _) = rig.ask();
    assert_eq!(first, 3);
    let (_, out) = rig.ask();
    let dial = dials(&out)[0];
    let (late, out) = rig.ask();
    assert_eq!(out, [], "one dial in four may go to one endpoint");
    let here = rig.target;
    let out = rig.with(|pool, _, out| pool.retire_endpoint(here, out));
    assert_eq!(
        out,
        [Command::Deny {
            waiter: late,
            reason: LeaseDenied::Retired
        }]
    );
    // the call with a dial gets the first that comes; the other ends
    assert_eq!(leased(&rig.ends(busy, AnswerKind::Served)), [(4, busy)]);
    assert_eq!(
        rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out)),
        [Command::Close { connection: dial }]
    );
    let (waiter, out) = rig.ask();
    assert_eq!(
        out,
        [Command::Deny {
            waiter,
            reason: LeaseDenied::Retired
        }]
    );
    assert_eq!(
        rig.ends(busy, AnswerKind::Served),
        [Command::Close { connection: busy }]
    );
    assert_eq!(
        rig.ends(idle, AnswerKind::Served),
        [Command::Close { connection: idle }]
    );
    assert_eq!(rig.pool.sizes(), NOTHING);
}

#[test]
fn what_waits_when_its_destination_tells_to_wait_gets_no_connection() {
    let mut rig = Rig::new(limits());
    let busy = rig.dialled();
    let ((first, out), (second, _)) = (rig.ask(), rig.ask());
    let dial = dials(&out)[0];
    let (here, until) = (rig.target, rig.now + SECOND);
    let out = rig.with(|pool, _, out| pool.apply_retry_after(here, until, out));
    let denied = |waiter| Command::Deny {
        waiter,
        reason: LeaseDenied::RetryAfter,
    };
    assert_eq!(out, [denied(second), denied(first)]);
    // what comes up or falls free is kept for those who ask after it
    assert_eq!(
        rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out)),
        []
    );
    assert_eq!(rig.ends(busy, AnswerKind::Served), []);
    let (waiter, out) = rig.ask();
    assert_eq!(leased(&out), [(waiter, busy)]);
}

#[test]
fn a_process_that_has_handed_over_gives_no_connection_to_what_waits() {
    let mut rig = Rig::new(limits());
    let (idle, busy) = (rig.dialled(), rig.dialled());
    rig.ends(idle, AnswerKind::Served);
    rig.ask();
    let (waiter, out) = rig.ask();
    let dial = dials(&out)[0];
    assert_eq!(
        rig.with(|pool, _, out| pool.shut_down(out)),
        [Command::Deny {
            waiter,
            reason: LeaseDenied::ShuttingDown
        }]
    );
    assert_eq!(
        rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out)),
        [Command::Close { connection: dial }]
    );
    assert_eq!(
        rig.ends(busy, AnswerKind::Served),
        [Command::Close { connection: busy }]
    );
    // nor to a call whose connection closed before its first byte, and which asks again
    let (waiter, out) = rig.ask();
    assert_eq!(
        out,
        [Command::Deny {
            waiter,
            reason: LeaseDenied::ShuttingDown
        }]
    );
}

#[test]
fn smaller_caps_take_effect_at_once_on_what_is_idle() {
    let mut rig = Rig::new(limits());
    let held: Vec<u64> = (0..6).map(|_| rig.dialled()).collect();
    held[..4]
        .iter()
        .for_each(|&connection| drop(rig.ends(connection, AnswerKind::Served)));
    let less = PoolLimits {
        per_endpoint: 3,
        ..limits()
    };
    let out = rig.with(|pool, now, out| pool.set_limits(now, less, out));
    assert_eq!(
        out,
        held[..3]
            .iter()
            .map(|&connection| Command::Close { connection })
            .collect::<Vec<_>>()
    );
    assert_eq!((rig.view().idle, rig.view().leased), (1, 2));
}

#[test]
fn connections_follow_the_load_and_fall_away_after_it() {
    let mut rig = Rig::new(PoolLimits {
        idle_timeout: 1000 * SECOND,
        ..limits()
    });
    let held: Vec<u64> = (0..8).map(|_| rig.dialled()).collect();
    held.iter()
        .for_each(|&connection| drop(rig.ends(connection, AnswerKind::Served)));
    assert_eq!((rig.view().idle, rig.view().wanted_connections), (8, 8));
    let mut seen = Vec::new();
    for _ in 0..4 {
        rig.now += 10 * SECOND;
        rig.with(|pool, now, out| pool.tick(now, out));
        seen.push(rig.view().idle);
    }
    assert_eq!(
        seen,
        [4, 2, 1, 1],
        "by half in each ten seconds, and the last is left to its age"
    );
}

#[test]
fn warming_keeps_to_endpoints_that_are_in_use_and_sound() {
    let warm = PoolLimits {
        prewarm_share: 0.5,
        ..limits()
    };
    let ticked = |rig: &mut Rig| dials(&rig.with(|pool, now, out| pool.tick(now, out)));
    let busy = |limits: PoolLimits| {
        let mut rig = Rig::new(limits);
        let held: Vec<u64> = (0..4).map(|_| rig.dialled()).collect();
        rig.now += 6 * SECOND; // no longer new
        for connection in held {
            rig.with(|pool, now, out| pool.discard(now, connection, CloseReason::Unreadable, out));
        }
        let only = rig.dialled();
        rig.ends(only, AnswerKind::Served);
        rig
    };
    let mut rig = busy(warm.clone());
    assert_eq!(ticked(&mut rig).len(), 1, "one at a time");
    assert_eq!(ticked(&mut rig).len(), 0, "and not at once again");
    for _ in 0..40 {
        rig.now += 250 * MILLISECOND;
        for dial in ticked(&mut rig) {
            rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out));
        }
    }
    let view = rig.view();
    assert!(
        view.idle > 1 && view.idle <= view.wanted_connections.max(2),
        "{view:?}"
    );
    // off, told to wait, failed, drained, or not in use: none
    assert_eq!(ticked(&mut busy(limits())), []);
    let mut rig = busy(warm.clone());
    let (here, until) = (rig.target, rig.now + 2 * SECOND);
    assert_eq!(
        rig.with(|pool, _, out| pool.apply_retry_after(here, until, out)),
        []
    );
    assert_eq!(ticked(&mut rig), []);
    rig.now += 2 * SECOND;
    assert_eq!(ticked(&mut rig).len(), 1);
    let mut rig = busy(warm.clone());
    let (_, out) = rig.ask();
    let leased = leased(&out)[0].1;
    rig.with(|pool, now, out| pool.discard(now, leased, CloseReason::TimedOut, out));
    assert_eq!(ticked(&mut rig), [], "it may be down, and comes back cold");
    let mut rig = busy(warm.clone());
    let here = rig.target;
    rig.with(|pool, _, out| pool.retire_endpoint(here, out));
    assert_eq!(ticked(&mut rig), []);
    let now = rig.now;
    rig.pool.enable_endpoint(now, here);
    assert_eq!(ticked(&mut rig), [], "put back, it is cold");
    let mut rig = busy(warm);
    rig.now += 11 * SECOND;
    assert_eq!(ticked(&mut rig), [], "not in use");
}

#[test]
fn a_silent_endpoint_does_not_hold_all_the_dials() {
    let mut rig = Rig::new(PoolLimits {
        concurrent_dials: 8,
        ..limits()
    });
    for _ in 0..6 {
        rig.ask();
    }
    assert_eq!(rig.view().dialling, 2);
    rig.target = target(2);
    rig.pool.enable_endpoint(rig.now, rig.target);
    assert_eq!(dials(&rig.ask().1).len(), 1);
}

#[test]
fn a_place_is_found_for_a_busy_endpoint_among_what_lies_idle_elsewhere() {
    let mut rig = Rig::new(PoolLimits {
        total: 3,
        per_endpoint: 3,
        ..limits()
    });
    let idle = rig.dialled();
    rig.ends(idle, AnswerKind::Served);
    rig.target = target(2);
    rig.pool.enable_endpoint(rig.now, rig.target);
    let first = rig.dialled();
    rig.dialled();
    let (_, out) = rig.ask();
    assert_eq!(out[0], Command::Close { connection: idle });
    let dial = dials(&out)[0];
    rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out));
    // nothing is idle any more: the next one waits for what falls free, wherever
    let (waiter, out) = rig.ask();
    assert_eq!(out, []);
    let out = rig.with(|pool, now, out| pool.discard(now, first, CloseReason::Reset, out));
    let dial = dials(&out)[0];
    assert_eq!(
        leased(&rig.with(|pool, now, out| pool.dial_succeeded(now, dial, out))),
        [(waiter, dial)]
    );
    // what an old process still holds counts too
    rig.with(|pool, now, out| pool.set_predecessor_connections(now, 2, out));
    assert_eq!(rig.ask().1, []);
    assert_eq!(
        dials(&rig.with(|pool, now, out| pool.set_predecessor_connections(now, 0, out))).len(),
        0,
        "three are open"
    );
}

#[test]
fn ten_thousand_endpoints_that_come_and_go_leave_nothing_behind() {
    let mut rig = Rig::new(limits());
    for n in 0..10_000 {
        rig.target = at(n + 10, (n % 50) as u16);
        rig.pool.enable_endpoint(rig.now, rig.target);
        let connection = rig.dialled();
        rig.ends(connection, AnswerKind::Served);
        let here = rig.target;
        rig.with(|pool, _, out| pool.retire_endpoint(here, out));
        rig.now += MILLISECOND;
    }
    assert_eq!(
        rig.pool.sizes(),
        PoolSizes {
            endpoints: 1,
            ..NOTHING
        }
    );
    assert_eq!(
        rig.pool.report(rig.now).totals.dials,
        10_000,
        "the sums keep what the endpoints had"
    );
}
