//! Tests of the connection pool's rules without sockets: random events checked against invariants,
//! and single cases that matter to operators.

use message_sender::pool::*;
use message_sender::{EndpointId, MILLISECOND, Micros, SECOND};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time in microseconds at which each test begins.
const START: Micros = 50 * SECOND;

/// Sizes of a pool without any records.
const EMPTY: PoolSizes = PoolSizes {
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
    endpoint_at_port(endpoint, endpoint as u16)
}

fn endpoint_at_port(endpoint: u32, port: u16) -> EndpointAddress {
    EndpointAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + port)),
        endpoint: EndpointId(endpoint),
    }
}

/// A fault injected between the rules and the model, to show that the model's checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The rules work with higher limits than the model checks.
    LimitsTooHigh,
    /// Cancelled calls are not reported to the rules.
    CancelNotReported,
    /// A connection is leased to two calls.
    LeasedTwice,
    /// Every ninth command is not carried out if it closes a connection.
    CloseIgnored,
    /// Failed dials are not reported to the rules, so that waiting calls are not denied.
    DialFailureNotReported,
    /// Retired endpoints are not reported to the rules.
    RetirementNotReported,
}

/// State of a connection in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Dialling,
    Leased,
    Idle,
}

/// Model of what surrounds the rules: it carries out their commands, tracks connections and
/// waiting calls independently, and records violations of invariants.
struct Model {
    pool: Pool,
    limits: PoolLimits,
    now: Micros,
    connections: BTreeMap<u64, (EndpointAddress, State)>,
    waiting: BTreeMap<u64, EndpointAddress>,
    serving: BTreeSet<EndpointAddress>,
    fault: Fault,
    /// Number of commands carried out.
    commands_executed: u32,
    /// Descriptions of the violated invariants.
    violations: Vec<String>,
}

impl Model {
    fn new(limits: PoolLimits, seed: u64, fault: Fault) -> Self {
        let mut pool_limits = limits.clone();
        if fault == Fault::LimitsTooHigh {
            pool_limits.per_endpoint += 2;
            pool_limits.concurrent_dials += 2;
            pool_limits.total += 2;
        }
        Model {
            pool: Pool::new(pool_limits, seed),
            limits,
            now: START,
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
            serving: BTreeSet::new(),
            fault,
            commands_executed: 0,
            violations: Vec::new(),
        }
    }

    fn apply(&mut self, event: impl FnOnce(&mut Pool, Micros, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        event(&mut self.pool, self.now, &mut commands);
        for command in commands {
            self.execute(command);
        }
        self.check();
    }

    fn execute(&mut self, command: Command) {
        self.commands_executed += 1;
        let is_ninth = self.commands_executed.is_multiple_of(9);
        match command {
            Command::Dial { connection, target } => {
                if !self.serving.contains(&target) {
                    self.violations.push(format!(
                        "connection {connection} dialled to a retired endpoint"
                    ));
                }
                if self
                    .connections
                    .insert(connection, (target, State::Dialling))
                    .is_some()
                {
                    self.violations
                        .push(format!("connection {connection} dialled twice"));
                }
                let open_to_target = self
                    .connections
                    .values()
                    .filter(|(there, _)| *there == target)
                    .count();
                let (all, dials) = (self.connections.len(), self.count(State::Dialling));
                let PoolLimits {
                    per_endpoint,
                    total: max_total,
                    concurrent_dials: max_dials,
                    ..
                } = self.limits;
                if open_to_target > per_endpoint || all > max_total || dials > max_dials {
                    let allowed = (per_endpoint, max_total, max_dials);
                    self.violations.push(format!(
                        "connections to the endpoint, in all, and dials after a dial: {:?} of {allowed:?}",
                        (open_to_target, all, dials)
                    ));
                }
            }
            Command::Lease {
                waiter, connection, ..
            } => {
                let expected_target = self.waiting.remove(&waiter);
                if !expected_target.is_some_and(|target| self.serving.contains(&target)) {
                    self.violations.push(format!(
                        "call {waiter} got a connection to a retired endpoint"
                    ));
                }
                let connection = match self.fault {
                    Fault::LeasedTwice if is_ninth => connection.saturating_sub(1),
                    _ => connection,
                };
                match self.connections.get_mut(&connection) {
                    Some((target, state))
                        if *state == State::Idle && Some(*target) == expected_target =>
                    {
                        *state = State::Leased
                    }
                    other => self.violations.push(format!(
                        "call {waiter} got connection {connection}, which is {other:?}"
                    )),
                }
            }
            Command::Deny { waiter, .. } => {
                if self.waiting.remove(&waiter).is_none() {
                    self.violations
                        .push(format!("call {waiter} was denied, but did not wait"));
                }
            }
            Command::Close { connection } => {
                if self.fault == Fault::CloseIgnored && is_ninth {
                    return;
                }
                match self.connections.remove(&connection) {
                    Some((_, State::Idle)) => {}
                    other => self.violations.push(format!(
                        "connection {connection} was closed, which is {other:?}"
                    )),
                }
            }
        }
    }

    fn count(&self, state: State) -> usize {
        self.connections
            .values()
            .filter(|(_, current)| *current == state)
            .count()
    }

    fn check(&mut self) {
        let mut violations = Vec::new();
        let idle = self.count(State::Idle);
        let check_max = |violations: &mut Vec<String>, subject: &str, count: usize, max: usize| {
            if count > max {
                violations.push(format!("{subject}: {count} of {max}"));
            }
        };
        check_max(&mut violations, "idle connections", idle, self.limits.idle);
        // a lowered limit may be exceeded by leased and dialling connections, but not by idle ones
        if idle > 0 {
            check_max(
                &mut violations,
                "all connections",
                self.connections.len(),
                self.limits.total,
            );
        }
        let PoolSizes {
            endpoints: endpoints_known,
            connections,
            waiters,
        } = self.pool.sizes();
        let reports = self.pool.report(self.now).endpoints;
        for report in &reports {
            if report.idle > 0 {
                check_max(
                    &mut violations,
                    "connections to one endpoint",
                    report.idle + report.leased + report.dialling,
                    self.limits.per_endpoint,
                );
            }
            check_max(
                &mut violations,
                "idle connections to one endpoint",
                report.idle,
                self.limits.idle_per_endpoint,
            );
            let at_target = self
                .connections
                .values()
                .filter(|(target, _)| *target == report.target);
            let count_in = |state| {
                at_target
                    .clone()
                    .filter(|(_, current)| *current == state)
                    .count()
            };
            let counts = (
                count_in(State::Idle),
                count_in(State::Leased),
                count_in(State::Dialling),
            );
            if counts != (report.idle, report.leased, report.dialling) {
                violations.push(format!(
                    "{:?} has {counts:?}, but is reported as {report:?}",
                    report.target
                ));
            }
            // a call must not wait while a connection to its endpoint is idle
            if report.waiting > 0 && report.idle > 0 {
                violations.push(format!(
                    "{:?}: {} calls wait although {} connections are idle",
                    report.target, report.waiting, report.idle
                ));
            }
        }
        if connections != self.connections.len() || waiters != self.waiting.len() {
            let expected = (self.connections.len(), self.waiting.len());
            violations.push(format!(
                "the pool has {connections} connections and {waiters} waiting calls instead of {expected:?}"
            ));
        }
        if endpoints_known < reports.len() {
            violations.push(format!(
                "{endpoints_known} endpoints known, fewer than reported"
            ));
        }
        let waiting_retired = self
            .waiting
            .values()
            .any(|target| !self.serving.contains(target));
        if waiting_retired {
            violations.push("a call waits for a retired endpoint".to_string());
        }
        let idle_retired = self
            .connections
            .values()
            .any(|(target, state)| *state == State::Idle && !self.serving.contains(target));
        if idle_retired {
            violations.push("a connection to a retired endpoint is idle".to_string());
        }
        self.violations.extend(violations);
    }
}

/// Feeds the rules with random events, then lets all dials and calls end and retires the endpoints.
/// Returns the violations found.
fn run_random_events(seed: u64, fault: Fault) -> Vec<String> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut random_below = |bound: usize| random.next_u32() as usize % bound.max(1);
    let mut limits = limits();
    (limits.per_endpoint, limits.concurrent_dials, limits.total) = (
        1 + random_below(6),
        1 + random_below(8),
        6 + random_below(12),
    );
    (limits.idle, limits.idle_per_endpoint) = (1 + random_below(limits.total), 1 + random_below(5));
    limits.per_endpoint = limits.per_endpoint.min(limits.total);
    limits.prewarm_share = [0.0, 0.3, 1.0][random_below(3)];
    limits.senders = [1, 30][random_below(2)];
    let mut model = Model::new(limits.clone(), seed, fault);
    let targets: Vec<EndpointAddress> = (0..5)
        .map(|n| endpoint_at_port(n, n.min(3) as u16))
        .collect();
    for &target in &targets {
        model.serving.insert(target);
        model.apply(|pool, now, _| pool.enable_endpoint(now, target));
    }
    let mut last_waiter = 0;
    for _ in 0..1500 {
        if !model.violations.is_empty() {
            return model.violations;
        }
        model.now += [0, MILLISECOND, 40 * MILLISECOND, 3 * SECOND][random_below(4)];
        let pick_connection = |model: &Model, state: State, choice: usize| {
            let all: Vec<u64> = model
                .connections
                .iter()
                .filter(|(_, (_, current))| *current == state)
                .map(|(&number, _)| number)
                .collect();
            (!all.is_empty()).then(|| all[choice % all.len()])
        };
        let (event, choice) = (random_below(24), random_below(1000));
        match event {
            0..=6 => {
                let target = targets[choice % targets.len()];
                last_waiter += 1;
                model.waiting.insert(last_waiter, target);
                model.apply(|pool, now, commands| pool.acquire(now, target, last_waiter, commands));
            }
            7..=9 => {
                if let Some(dialled) = pick_connection(&model, State::Dialling, choice) {
                    model
                        .connections
                        .entry(dialled)
                        .and_modify(|known| known.1 = State::Idle);
                    model.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands));
                }
            }
            10 | 11 => {
                let failures = [
                    DialFailure::Refused,
                    DialFailure::TimedOut,
                    DialFailure::Other,
                ];
                if let Some(dialled) = pick_connection(&model, State::Dialling, choice) {
                    model.connections.remove(&dialled);
                    if fault != Fault::DialFailureNotReported {
                        model.apply(|pool, now, commands| {
                            pool.dial_failed(now, dialled, failures[choice % 3], commands)
                        });
                    }
                }
            }
            12..=15 => {
                let answers = [AnswerKind::Served, AnswerKind::Rejected, AnswerKind::Other];
                if let Some(leased) = pick_connection(&model, State::Leased, choice) {
                    model.apply(|pool, now, _| {
                        pool.record_answer(now, leased, answers[choice % 3]);
                    });
                    model
                        .connections
                        .entry(leased)
                        .and_modify(|known| known.1 = State::Idle);
                    model.apply(|pool, now, commands| pool.release(now, leased, commands));
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
                if let Some(leased) = pick_connection(&model, State::Leased, choice) {
                    model.connections.remove(&leased);
                    model.apply(|pool, now, commands| {
                        pool.discard(now, leased, causes[choice % 5], commands)
                    });
                }
            }
            18 => {
                let waiter = model
                    .waiting
                    .keys()
                    .nth(choice % model.waiting.len().max(1))
                    .copied();
                if let Some(waiter) = waiter {
                    model.waiting.remove(&waiter);
                    if fault != Fault::CancelNotReported {
                        model.apply(|pool, _, _| pool.cancel_wait(waiter));
                    }
                }
            }
            19 => {
                if let Some(idle) = pick_connection(&model, State::Idle, choice) {
                    model.apply(|pool, _, commands| pool.peer_closed(idle, commands));
                }
            }
            20 => {
                let target = targets[choice % targets.len()];
                if model.serving.remove(&target) {
                    if fault != Fault::RetirementNotReported {
                        model.apply(|pool, _, commands| pool.retire_endpoint(target, commands));
                    }
                } else {
                    model.serving.insert(target);
                    model.apply(|pool, now, _| pool.enable_endpoint(now, target));
                }
            }
            21 => {
                let target = targets[choice % targets.len()];
                model.apply(|pool, _, commands| pool.close_idle(target, commands));
            }
            22 => {
                let mut lower_limits = limits.clone();
                (lower_limits.total, lower_limits.idle) =
                    (limits.total - choice % 3, limits.idle.min(1 + choice % 4));
                lower_limits.per_endpoint = limits.per_endpoint.min(lower_limits.total);
                model.limits = lower_limits.clone();
                if fault == Fault::LimitsTooHigh {
                    lower_limits.per_endpoint += 2;
                    lower_limits.concurrent_dials += 2;
                    lower_limits.total += 2;
                }
                model.apply(|pool, now, commands| pool.set_limits(now, lower_limits, commands));
            }
            _ => model.apply(|pool, now, commands| pool.tick(now, commands)),
        }
    }
    // let every dial and every call end and time pass: each waiting call must get a connection or a
    // denial
    for round in 0..2000 {
        model.now += 20 * MILLISECOND;
        let all: Vec<(u64, State)> = model
            .connections
            .iter()
            .map(|(&number, known)| (number, known.1))
            .collect();
        for (number, state) in all {
            match state {
                State::Dialling if round % 2 == 0 => {
                    model
                        .connections
                        .entry(number)
                        .and_modify(|known| known.1 = State::Idle);
                    model.apply(|pool, now, commands| pool.dial_succeeded(now, number, commands));
                }
                State::Dialling => {
                    model.connections.remove(&number);
                    model.apply(|pool, now, commands| {
                        pool.dial_failed(now, number, DialFailure::Refused, commands)
                    });
                }
                State::Leased => {
                    model
                        .connections
                        .entry(number)
                        .and_modify(|known| known.1 = State::Idle);
                    model.apply(|pool, now, commands| pool.release(now, number, commands));
                }
                State::Idle => {}
            }
        }
        model.apply(|pool, now, commands| pool.tick(now, commands));
        if model.waiting.is_empty() || !model.violations.is_empty() {
            break;
        }
    }
    if !model.waiting.is_empty() {
        model.violations.push(format!(
            "{} calls were neither leased a connection nor denied",
            model.waiting.len()
        ));
    }
    // then retire all endpoints and end what is still open: the pool must keep no records
    for &target in &targets {
        model.serving.remove(&target);
        if fault != Fault::RetirementNotReported {
            model.apply(|pool, _, commands| pool.retire_endpoint(target, commands));
        }
    }
    for (number, state) in model
        .connections
        .clone()
        .into_iter()
        .map(|(number, known)| (number, known.1))
    {
        if state == State::Dialling {
            model.connections.remove(&number);
            model.apply(|pool, now, commands| {
                pool.dial_failed(now, number, DialFailure::Other, commands)
            });
        }
    }
    let left: Vec<u64> = model.connections.keys().copied().collect();
    for number in left {
        model.connections.remove(&number);
        model.apply(|pool, now, commands| {
            pool.discard(now, number, CloseReason::Cancelled, commands)
        });
    }
    if model.pool.sizes() != EMPTY {
        model
            .violations
            .push(format!("records are left: {:?}", model.pool.sizes()));
    }
    model.violations
}

#[test]
fn random_events_exceed_no_limit_leak_nothing_and_leave_no_call_waiting() {
    for seed in 0..300 {
        let violations = run_random_events(seed, Fault::None);
        assert!(
            violations.is_empty(),
            "seed {seed}: {:?}",
            &violations[..violations.len().min(3)]
        );
    }
}

#[test]
fn model_checks_detect_each_injected_fault() {
    use Fault::*;
    for fault in [
        LimitsTooHigh,
        CancelNotReported,
        LeasedTwice,
        CloseIgnored,
        DialFailureNotReported,
        RetirementNotReported,
    ] {
        let detected = (0..20)
            .filter(|&seed| !run_random_events(seed, fault).is_empty())
            .count();
        assert!(
            detected >= 15,
            "{fault:?} is detected with {detected} of 20 seeds"
        );
    }
}

/// A pool with one enabled endpoint.
struct Fixture {
    pool: Pool,
    now: Micros,
    /// Endpoint that the methods act on.
    target: EndpointAddress,
    /// Number of the last call that asked for a connection.
    last_waiter: u64,
}

impl Fixture {
    fn new(limits: PoolLimits) -> Self {
        let mut pool = Pool::new(limits, 7);
        pool.enable_endpoint(START, target(1));
        Fixture {
            pool,
            now: START,
            target: target(1),
            last_waiter: 0,
        }
    }

    fn apply(&mut self, event: impl FnOnce(&mut Pool, Micros, &mut Vec<Command>)) -> Vec<Command> {
        let mut commands = Vec::new();
        event(&mut self.pool, self.now, &mut commands);
        commands
    }

    /// Lets a call ask for a connection; returns the call's number and the commands of the pool.
    fn acquire(&mut self) -> (u64, Vec<Command>) {
        self.last_waiter += 1;
        let (waiter, target) = (self.last_waiter, self.target);
        (
            waiter,
            self.apply(|pool, now, commands| pool.acquire(now, target, waiter, commands)),
        )
    }

    /// Lets a call ask for a connection, and completes the dial for it; returns the new connection.
    fn connect(&mut self) -> u64 {
        let (waiter, commands) = self.acquire();
        let connection = dialled_connections(&commands)[0];
        let commands =
            self.apply(|pool, now, commands| pool.dial_succeeded(now, connection, commands));
        assert_eq!(
            commands,
            [Command::Lease {
                waiter,
                connection,
                idle_for: None
            }]
        );
        connection
    }

    /// Records an answer on a leased connection and releases the connection.
    fn answer_and_release(&mut self, connection: u64, answer: AnswerKind) -> Vec<Command> {
        self.apply(|pool, now, commands| {
            pool.record_answer(now, connection, answer);
            pool.release(now, connection, commands);
        })
    }

    fn report(&self) -> EndpointReport {
        self.pool
            .report(self.now)
            .endpoints
            .into_iter()
            .find(|report| report.target == self.target)
            .expect("the endpoint is in the report")
    }
}

fn dialled_connections(commands: &[Command]) -> Vec<u64> {
    let dialled_connection = |command: &Command| match command {
        Command::Dial { connection, .. } => Some(*connection),
        _ => None,
    };
    commands.iter().filter_map(dialled_connection).collect()
}

fn granted_leases(commands: &[Command]) -> Vec<(u64, u64)> {
    let granted_lease = |command: &Command| match command {
        Command::Lease {
            waiter, connection, ..
        } => Some((*waiter, *connection)),
        _ => None,
    };
    commands.iter().filter_map(granted_lease).collect()
}

#[test]
fn newest_idle_connection_is_leased_and_older_ones_expire() {
    let mut fixture = Fixture::new(PoolLimits {
        demand_half_life: 100 * SECOND,
        ..limits()
    });
    let (old, new) = (fixture.connect(), fixture.connect());
    fixture.answer_and_release(old, AnswerKind::Served);
    fixture.now += SECOND;
    fixture.answer_and_release(new, AnswerKind::Served);
    for _ in 0..9 {
        fixture.now += SECOND;
        let (waiter, commands) = fixture.acquire();
        assert_eq!(granted_leases(&commands), [(waiter, new)]);
        fixture.answer_and_release(new, AnswerKind::Served);
    }
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.tick(now, commands)),
        [Command::Close { connection: old }]
    );
    let report = fixture.report();
    assert_eq!(
        (
            report.idle,
            report.counters.reuses,
            report.counters.dials,
            report.counters.closes[&CloseReason::IdleTimeout]
        ),
        (1, 9, 2, 1)
    );
}

#[test]
fn waiting_call_gets_the_first_of_its_dial_and_a_released_connection() {
    let mut fixture = Fixture::new(limits());
    let busy = fixture.connect();
    let (waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    assert_eq!(
        granted_leases(&fixture.answer_and_release(busy, AnswerKind::Served)),
        [(waiter, busy)]
    );
    // the dial in flight goes to the next call, without a further dial
    let (second_waiter, commands) = fixture.acquire();
    assert_eq!(commands, []);
    assert_eq!(
        granted_leases(
            &fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands))
        ),
        [(second_waiter, dialled)]
    );
}

#[test]
fn connection_dialled_for_a_cancelled_call_is_kept_idle() {
    let mut fixture = Fixture::new(limits());
    let (waiter, commands) = fixture.acquire();
    fixture.apply(|pool, _, _| pool.cancel_wait(waiter));
    let dialled = dialled_connections(&commands)[0];
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands)),
        []
    );
    assert_eq!(fixture.report().idle, 1);
    let (waiter, commands) = fixture.acquire();
    assert_eq!(
        commands,
        [Command::Lease {
            waiter,
            connection: dialled,
            idle_for: None
        }]
    );
}

#[test]
fn dial_timeout_denies_only_a_call_that_waited_since_the_dial_began() {
    let mut fixture = Fixture::new(limits());
    let (cancelled_waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    fixture.apply(|pool, _, _| pool.cancel_wait(cancelled_waiter));
    fixture.now += SECOND / 2;
    let (_, commands) = fixture.acquire();
    assert_eq!(commands, [], "the dial in flight is for this call now");
    fixture.now += SECOND / 2;
    let commands = fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, dialled, DialFailure::TimedOut, commands)
    });
    assert_eq!(
        dialled_connections(&commands).len(),
        1,
        "the call gets a dial of its own: {commands:?}"
    );
    fixture.now += SECOND;
    let second_dialled = dialled_connections(&commands)[0];
    let commands = fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, second_dialled, DialFailure::TimedOut, commands)
    });
    assert_eq!(
        commands,
        [Command::Deny {
            waiter: 2,
            reason: LeaseDenied::Dial(DialFailure::TimedOut)
        }]
    );
}

/// Makes the pool learn a cap of `open`: a dial is refused while `open` connections are
/// established, and one of these then brings an answer. Returns the established connections.
fn learn_cap_from_refused_dial(fixture: &mut Fixture, open: usize) -> Vec<u64> {
    let held: Vec<u64> = (0..open).map(|_| fixture.connect()).collect();
    let (waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    let commands = fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, dialled, DialFailure::Refused, commands)
    });
    assert_eq!(
        (commands, fixture.report().waiting),
        (vec![], 1),
        "the call may get one of the open connections"
    );
    fixture.apply(|pool, _, _| pool.cancel_wait(waiter));
    assert_eq!(
        fixture.report().learned_cap,
        None,
        "no cap is learned before an open connection brings an answer"
    );
    fixture.now += 10 * MILLISECOND;
    let answering = held[0];
    fixture.apply(|pool, now, _| {
        pool.record_answer(now, answering, AnswerKind::Served);
    });
    assert_eq!(fixture.report().learned_cap, Some(open));
    held
}

#[test]
fn refused_dial_with_working_connections_teaches_a_cap() {
    let mut fixture = Fixture::new(limits());
    let held = learn_cap_from_refused_dial(&mut fixture, 3);
    let (waiter, commands) = fixture.acquire();
    assert_eq!(
        commands,
        [],
        "the call waits for one of the three connections"
    );
    assert_eq!(
        granted_leases(&fixture.answer_and_release(held[1], AnswerKind::Served)),
        [(waiter, held[1])]
    );
}

#[test]
fn outage_teaches_no_cap() {
    // the endpoint is down: first a dial is refused, then the open connections break
    let mut fixture = Fixture::new(limits());
    let held: Vec<u64> = (0..3).map(|_| fixture.connect()).collect();
    let (first_waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, dialled, DialFailure::Refused, commands)
    });
    let (second_waiter, commands) = fixture.acquire();
    assert_eq!(
        commands,
        [],
        "no dial before it is known whether the open connections work"
    );
    let mut commands = Vec::new();
    for connection in held {
        assert_eq!(commands, []);
        commands = fixture.apply(|pool, now, commands| {
            pool.discard(now, connection, CloseReason::Reset, commands)
        });
    }
    // now each call gets a dial, and is denied when the dial is refused
    for (dialled, waiter) in dialled_connections(&commands)
        .into_iter()
        .zip([first_waiter, second_waiter])
    {
        let commands = fixture.apply(|pool, now, commands| {
            pool.dial_failed(now, dialled, DialFailure::Refused, commands)
        });
        assert_eq!(
            commands,
            [Command::Deny {
                waiter,
                reason: LeaseDenied::Dial(DialFailure::Refused)
            }]
        );
    }
    assert_eq!(fixture.report().waiting, 0);
    // the endpoint is up again
    fixture.now += SECOND;
    let reconnected = fixture.connect();
    fixture.answer_and_release(reconnected, AnswerKind::Served);
    assert_eq!(fixture.report().learned_cap, None);
    // a refused dial without any open connection does not show a cap either
    fixture.apply(|pool, _, commands| pool.peer_closed(reconnected, commands));
    let (_, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, dialled, DialFailure::Refused, commands)
    });
    let reconnected = fixture.connect();
    fixture.answer_and_release(reconnected, AnswerKind::Served);
    assert_eq!(fixture.report().learned_cap, None);
}

#[test]
fn trials_above_a_cap_are_slow_and_need_a_waiting_call() {
    let mut fixture = Fixture::new(limits());
    learn_cap_from_refused_dial(&mut fixture, 3);
    fixture.now += 4 * SECOND;
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.tick(now, commands)),
        [],
        "no trial while no call waits"
    );
    let (_, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    fixture.acquire();
    assert_eq!(fixture.report().dialling, 1, "one trial at a time");
    // the trial is refused: the calls go on waiting, and the next trial comes later
    let commands = fixture.apply(|pool, now, commands| {
        pool.dial_failed(now, dialled, DialFailure::Refused, commands)
    });
    assert_eq!((commands, fixture.report().waiting), (vec![], 2));
    fixture.now += 2 * SECOND - 1;
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.tick(now, commands)),
        []
    );
    fixture.now += 4 * SECOND;
    let dialled =
        dialled_connections(&fixture.apply(|pool, now, commands| pool.tick(now, commands)))[0];
    fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands));
    assert_eq!(
        fixture.report().learned_cap,
        Some(3),
        "the cap stays until the first call on the new connection is answered"
    );
    fixture.answer_and_release(dialled, AnswerKind::Served);
    assert_eq!(fixture.report().learned_cap, Some(4));
    // the endpoint accepts more: soon the next trials follow, two at once
    fixture.acquire();
    fixture.acquire();
    fixture.now += 2 * SECOND;
    assert_eq!(
        dialled_connections(&fixture.apply(|pool, now, commands| pool.tick(now, commands))).len(),
        2
    );
}

#[test]
fn trials_above_a_cap_by_a_whole_fleet_are_few_and_spread_over_time() {
    let mut trial_times = Vec::new();
    for sender in 0..300 {
        let mut fixture = Fixture::new(PoolLimits {
            senders: 300,
            ..limits()
        });
        fixture.pool = Pool::new(
            PoolLimits {
                senders: 300,
                ..limits()
            },
            sender,
        );
        fixture.pool.enable_endpoint(START, target(1));
        learn_cap_from_refused_dial(&mut fixture, 2);
        fixture.acquire();
        for _ in 0..1200 {
            fixture.now += 250 * MILLISECOND;
            for dialled in
                dialled_connections(&fixture.apply(|pool, now, commands| pool.tick(now, commands)))
            {
                trial_times.push(fixture.now - START);
                fixture.apply(|pool, now, commands| {
                    pool.dial_failed(now, dialled, DialFailure::Refused, commands)
                });
            }
        }
    }
    let max_per_second = (0..300)
        .map(|second| {
            trial_times
                .iter()
                .filter(|&&tried_at| tried_at / SECOND == second)
                .count()
        })
        .max()
        .unwrap_or(0);
    assert!(
        (300..=600).contains(&trial_times.len()),
        "{} trials of 300 senders in five minutes",
        trial_times.len()
    );
    assert!(
        max_per_second <= 10,
        "{max_per_second} trials in one second"
    );
}

/// Makes up to 6 calls a second on idle and new connections, for 60 seconds. `answer` gives the
/// answer to a call from the number of earlier calls in the same second and from whether its
/// connection is new; rejected calls end their connection if `closes_rejected` is true. Returns the
/// learned cap.
fn learned_cap_after(
    closes_rejected: bool,
    answer: impl Fn(usize, bool) -> AnswerKind,
) -> Option<usize> {
    let mut fixture = Fixture::new(PoolLimits {
        idle_timeout: 1000 * SECOND,
        demand_half_life: 1000 * SECOND,
        ..limits()
    });
    let mut answered = 0;
    for _ in 0..60 {
        fixture.now += SECOND;
        let mut held: Vec<(u64, bool)> = Vec::new();
        // idle connections are leased first, then new ones dialled
        for _ in 0..6 {
            let (waiter, commands) = fixture.acquire();
            match (
                granted_leases(&commands).first(),
                dialled_connections(&commands).first(),
            ) {
                (Some(&(_, connection)), _) => held.push((connection, false)),
                (_, Some(&dialled)) => {
                    fixture
                        .apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands));
                    held.push((dialled, true));
                }
                // the pool has learned a cap, so the call waits
                _ => fixture.apply(|pool, _, _| pool.cancel_wait(waiter)).clear(),
            }
        }
        for (earlier_calls, (connection, new)) in held.into_iter().enumerate() {
            fixture.now += MILLISECOND;
            match answer(earlier_calls, new) {
                AnswerKind::Rejected if closes_rejected => {
                    fixture.apply(|pool, now, commands| {
                        pool.record_answer(now, connection, AnswerKind::Rejected);
                        pool.discard(now, connection, CloseReason::ClosedByPeer, commands);
                    });
                }
                other => drop(fixture.answer_and_release(connection, other)),
            }
            answered += 1;
        }
    }
    assert!(answered > 100);
    fixture.report().learned_cap
}

#[test]
fn only_rejected_first_calls_with_served_later_calls_teach_a_cap() {
    // the endpoint serves three connections and rejects the first call on any further one
    assert_eq!(
        learned_cap_after(true, |earlier_calls, new| if new && earlier_calls >= 3 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        Some(3)
    );
    // a limit of three calls a second, and a queue that is full now and then, reject calls on old
    // and new connections alike
    assert_eq!(
        learned_cap_after(false, |earlier_calls, _| if earlier_calls >= 3 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        None
    );
    assert_eq!(
        learned_cap_after(false, |earlier_calls, _| if earlier_calls % 2 == 1 {
            AnswerKind::Rejected
        } else {
            AnswerKind::Served
        }),
        None
    );
    assert_eq!(learned_cap_after(false, |_, _| AnswerKind::Rejected), None);
}

#[test]
fn call_timeout_closes_connections_to_its_address_idle_since_before_the_call() {
    let mut fixture = Fixture::new(limits());
    // another endpoint at the same address, and an endpoint at another address
    let (same_address, other_address) = (endpoint_at_port(2, 1), target(3));
    fixture.pool.enable_endpoint(fixture.now, same_address);
    fixture.pool.enable_endpoint(fixture.now, other_address);
    let mut idle = Vec::new();
    for target in [fixture.target, same_address, other_address] {
        fixture.target = target;
        let connection = fixture.connect();
        fixture.answer_and_release(connection, AnswerKind::Served);
        idle.push(connection);
    }
    fixture.target = target(1);
    fixture.now += SECOND;
    // a connection that brings an answer after the call began stays open
    let (_, commands) = fixture.acquire();
    let silent = granted_leases(&commands)[0].1;
    let answered_later = fixture.connect();
    fixture.now += SECOND;
    fixture.answer_and_release(answered_later, AnswerKind::Served);
    fixture.now += SECOND;
    let commands = fixture
        .apply(|pool, now, commands| pool.discard(now, silent, CloseReason::TimedOut, commands));
    assert_eq!(
        commands,
        [Command::Close {
            connection: idle[1]
        }]
    );
    assert_eq!(fixture.report().idle, 1);
}

// guards against review/9: a call waited for a dial to an endpoint that had begun to drain, and was sent there too late
#[test]
fn retired_endpoint_has_waiting_calls_denied_and_late_connections_closed() {
    let mut fixture = Fixture::new(PoolLimits {
        concurrent_dials: 4,
        ..limits()
    });
    let (idle, busy) = (fixture.connect(), fixture.connect());
    fixture.answer_and_release(idle, AnswerKind::Served);
    let (first_waiter, _) = fixture.acquire();
    assert_eq!(first_waiter, 3);
    let (dialling_waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    let (late, commands) = fixture.acquire();
    assert_eq!(
        commands,
        [],
        "one endpoint gets one of the four concurrent dials"
    );
    let target = fixture.target;
    let commands = fixture.apply(|pool, _, commands| pool.retire_endpoint(target, commands));
    let denied = |waiter| Command::Deny {
        waiter,
        reason: LeaseDenied::Retired,
    };
    assert_eq!(commands, [denied(late), denied(dialling_waiter)]);
    assert_eq!(
        fixture.pool.denial(target),
        Some(LeaseDenied::Retired),
        "a call that has a connection and is not sent yet must not be sent either"
    );
    assert_eq!(
        fixture.answer_and_release(busy, AnswerKind::Served),
        [Command::Close { connection: busy }]
    );
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands)),
        [Command::Close {
            connection: dialled
        }]
    );
    let (waiter, commands) = fixture.acquire();
    assert_eq!(commands, [denied(waiter)]);
    assert_eq!(
        fixture.answer_and_release(idle, AnswerKind::Served),
        [Command::Close { connection: idle }]
    );
    assert_eq!(fixture.pool.sizes(), EMPTY);
}

// guards against a list that goes stale while calls wait for connections to endpoints that may have begun to drain
#[test]
fn suspension_denies_waiting_calls_and_later_ones_until_it_ends() {
    let mut fixture = Fixture::new(limits());
    let busy = fixture.connect();
    let (waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    let denied = |waiter| Command::Deny {
        waiter,
        reason: LeaseDenied::Suspended,
    };
    let commands = fixture.apply(|pool, _, commands| pool.suspend(commands));
    assert_eq!(commands, [denied(waiter)]);
    assert_eq!(
        fixture.pool.denial(fixture.target),
        Some(LeaseDenied::Suspended)
    );
    // the endpoints are still listed, so connections are kept for the time after the suspension
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands)),
        []
    );
    assert_eq!(fixture.answer_and_release(busy, AnswerKind::Served), []);
    let (waiter, commands) = fixture.acquire();
    assert_eq!(commands, [denied(waiter)]);
    fixture.apply(|pool, _, _| pool.resume());
    assert_eq!(fixture.pool.denial(fixture.target), None);
    let (waiter, commands) = fixture.acquire();
    assert_eq!(granted_leases(&commands), [(waiter, busy)]);
}

#[test]
fn retry_after_denies_waiting_calls_a_connection() {
    let mut fixture = Fixture::new(limits());
    let busy = fixture.connect();
    let ((first_waiter, commands), (second_waiter, _)) = (fixture.acquire(), fixture.acquire());
    let dialled = dialled_connections(&commands)[0];
    let (target, until) = (fixture.target, fixture.now + SECOND);
    let commands =
        fixture.apply(|pool, _, commands| pool.apply_retry_after(target, until, commands));
    let denied = |waiter| Command::Deny {
        waiter,
        reason: LeaseDenied::RetryAfter,
    };
    assert_eq!(commands, [denied(second_waiter), denied(first_waiter)]);
    // connections that come up or are released later are kept for later calls
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands)),
        []
    );
    assert_eq!(fixture.answer_and_release(busy, AnswerKind::Served), []);
    let (waiter, commands) = fixture.acquire();
    assert_eq!(granted_leases(&commands), [(waiter, busy)]);
}

#[test]
fn pool_after_shut_down_denies_waiting_calls_and_keeps_no_connection() {
    let mut fixture = Fixture::new(limits());
    let (idle, busy) = (fixture.connect(), fixture.connect());
    fixture.answer_and_release(idle, AnswerKind::Served);
    fixture.acquire();
    let (waiter, commands) = fixture.acquire();
    let dialled = dialled_connections(&commands)[0];
    assert_eq!(
        fixture.apply(|pool, _, commands| pool.shut_down(commands)),
        [Command::Deny {
            waiter,
            reason: LeaseDenied::ShuttingDown
        }]
    );
    assert_eq!(
        fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands)),
        [Command::Close {
            connection: dialled
        }]
    );
    assert_eq!(
        fixture.answer_and_release(busy, AnswerKind::Served),
        [Command::Close { connection: busy }]
    );
    // a call that asks again because its connection closed before the first byte is denied too
    let (waiter, commands) = fixture.acquire();
    assert_eq!(
        commands,
        [Command::Deny {
            waiter,
            reason: LeaseDenied::ShuttingDown
        }]
    );
}

#[test]
fn lower_limits_close_idle_connections_at_once() {
    let mut fixture = Fixture::new(limits());
    let held: Vec<u64> = (0..6).map(|_| fixture.connect()).collect();
    held[..4]
        .iter()
        .for_each(|&connection| drop(fixture.answer_and_release(connection, AnswerKind::Served)));
    let lower_limits = PoolLimits {
        per_endpoint: 3,
        ..limits()
    };
    let commands =
        fixture.apply(|pool, now, commands| pool.set_limits(now, lower_limits, commands));
    assert_eq!(
        commands,
        held[..3]
            .iter()
            .map(|&connection| Command::Close { connection })
            .collect::<Vec<_>>()
    );
    assert_eq!((fixture.report().idle, fixture.report().leased), (1, 2));
}

#[test]
fn idle_connections_halve_with_each_half_life_after_a_peak() {
    let mut fixture = Fixture::new(PoolLimits {
        idle_timeout: 1000 * SECOND,
        ..limits()
    });
    let held: Vec<u64> = (0..8).map(|_| fixture.connect()).collect();
    held.iter()
        .for_each(|&connection| drop(fixture.answer_and_release(connection, AnswerKind::Served)));
    assert_eq!(
        (fixture.report().idle, fixture.report().wanted_connections),
        (8, 8)
    );
    let mut seen = Vec::new();
    for _ in 0..4 {
        fixture.now += 10 * SECOND;
        fixture.apply(|pool, now, commands| pool.tick(now, commands));
        seen.push(fixture.report().idle);
    }
    assert_eq!(
        seen,
        [4, 2, 1, 1],
        "half in each ten seconds; the last connection is left to its idle timeout"
    );
}

#[test]
fn prewarming_dials_only_healthy_endpoints_in_use() {
    let warm = PoolLimits {
        prewarm_share: 0.5,
        ..limits()
    };
    let prewarm_dials = |fixture: &mut Fixture| {
        dialled_connections(&fixture.apply(|pool, now, commands| pool.tick(now, commands)))
    };
    let busy = |limits: PoolLimits| {
        let mut fixture = Fixture::new(limits);
        let held: Vec<u64> = (0..4).map(|_| fixture.connect()).collect();
        fixture.now += 6 * SECOND; // the delay after the endpoint was enabled is over
        for connection in held {
            fixture.apply(|pool, now, commands| {
                pool.discard(now, connection, CloseReason::Unreadable, commands)
            });
        }
        let connection = fixture.connect();
        fixture.answer_and_release(connection, AnswerKind::Served);
        fixture
    };
    let mut fixture = busy(warm.clone());
    assert_eq!(
        prewarm_dials(&mut fixture).len(),
        1,
        "one prewarming dial at a time"
    );
    assert_eq!(
        prewarm_dials(&mut fixture).len(),
        0,
        "no second prewarming dial at once"
    );
    for _ in 0..40 {
        fixture.now += 250 * MILLISECOND;
        for dialled in prewarm_dials(&mut fixture) {
            fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands));
        }
    }
    let report = fixture.report();
    assert!(
        report.idle > 1 && report.idle <= report.wanted_connections.max(2),
        "{report:?}"
    );
    // The pool does not prewarm an endpoint if prewarming is off, until a Retry-After has passed,
    // right after a call failed, after the endpoint was retired, or without recent calls.
    assert_eq!(prewarm_dials(&mut busy(limits())), []);
    let mut fixture = busy(warm.clone());
    let (target, until) = (fixture.target, fixture.now + 2 * SECOND);
    assert_eq!(
        fixture.apply(|pool, _, commands| pool.apply_retry_after(target, until, commands)),
        []
    );
    assert_eq!(prewarm_dials(&mut fixture), []);
    fixture.now += 2 * SECOND;
    assert_eq!(prewarm_dials(&mut fixture).len(), 1);
    let mut fixture = busy(warm.clone());
    let (_, commands) = fixture.acquire();
    let leased = granted_leases(&commands)[0].1;
    fixture.apply(|pool, now, commands| pool.discard(now, leased, CloseReason::TimedOut, commands));
    assert_eq!(
        prewarm_dials(&mut fixture),
        [],
        "the endpoint may be down, and will be cold after a restart"
    );
    let mut fixture = busy(warm.clone());
    let target = fixture.target;
    fixture.apply(|pool, _, commands| pool.retire_endpoint(target, commands));
    assert_eq!(prewarm_dials(&mut fixture), []);
    let now = fixture.now;
    fixture.pool.enable_endpoint(now, target);
    assert_eq!(
        prewarm_dials(&mut fixture),
        [],
        "an endpoint that was enabled again may be cold"
    );
    let mut fixture = busy(warm);
    fixture.now += 11 * SECOND;
    assert_eq!(
        prewarm_dials(&mut fixture),
        [],
        "no call has used the endpoint recently"
    );
}

#[test]
fn unresponsive_endpoint_does_not_use_up_all_dials() {
    let mut fixture = Fixture::new(PoolLimits {
        concurrent_dials: 8,
        ..limits()
    });
    for _ in 0..6 {
        fixture.acquire();
    }
    assert_eq!(fixture.report().dialling, 2);
    fixture.target = target(2);
    fixture.pool.enable_endpoint(fixture.now, fixture.target);
    assert_eq!(dialled_connections(&fixture.acquire().1).len(), 1);
}

#[test]
fn full_pool_evicts_an_idle_connection_for_a_dial_to_another_endpoint() {
    let mut fixture = Fixture::new(PoolLimits {
        total: 3,
        per_endpoint: 3,
        ..limits()
    });
    let idle = fixture.connect();
    fixture.answer_and_release(idle, AnswerKind::Served);
    fixture.target = target(2);
    fixture.pool.enable_endpoint(fixture.now, fixture.target);
    let busy = fixture.connect();
    fixture.connect();
    let (_, commands) = fixture.acquire();
    assert_eq!(commands[0], Command::Close { connection: idle });
    let dialled = dialled_connections(&commands)[0];
    fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands));
    // no connection is idle any more: the next call waits until a connection is released or closed
    let (waiter, commands) = fixture.acquire();
    assert_eq!(commands, []);
    let commands =
        fixture.apply(|pool, now, commands| pool.discard(now, busy, CloseReason::Reset, commands));
    let dialled = dialled_connections(&commands)[0];
    assert_eq!(
        granted_leases(
            &fixture.apply(|pool, now, commands| pool.dial_succeeded(now, dialled, commands))
        ),
        [(waiter, dialled)]
    );
    // connections that a predecessor still holds count too
    fixture.apply(|pool, now, commands| pool.set_predecessor_connections(now, 2, commands));
    assert_eq!(fixture.acquire().1, []);
    assert_eq!(
        dialled_connections(
            &fixture
                .apply(|pool, now, commands| pool.set_predecessor_connections(now, 0, commands))
        )
        .len(),
        0,
        "three connections are open"
    );
}

#[test]
fn ten_thousand_retired_endpoints_leave_no_records_behind() {
    let mut fixture = Fixture::new(limits());
    for n in 0..10_000 {
        fixture.target = endpoint_at_port(n + 10, (n % 50) as u16);
        fixture.pool.enable_endpoint(fixture.now, fixture.target);
        let connection = fixture.connect();
        fixture.answer_and_release(connection, AnswerKind::Served);
        let target = fixture.target;
        fixture.apply(|pool, _, commands| pool.retire_endpoint(target, commands));
        fixture.now += MILLISECOND;
    }
    assert_eq!(
        fixture.pool.sizes(),
        PoolSizes {
            endpoints: 1,
            ..EMPTY
        }
    );
    assert_eq!(
        fixture.pool.report(fixture.now).totals.dials,
        10_000,
        "the totals include the counters of retired endpoints"
    );
}
