//! Recorded runs of the connection pool's rules: the same random events must give the same commands
//! and the same report as in the golden file.

use message_sender::pool::*;
use message_sender::{EndpointId, MILLISECOND, Micros, SECOND};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;

const GOLDEN: &str = include_str!("golden/pool_runs.txt");
/// Number of random events in each run.
const STEPS: usize = 6000;

fn limits(random: &mut Random) -> PoolLimits {
    PoolLimits {
        per_endpoint: 1 + random.below(12),
        concurrent_dials: 1 + random.below(20),
        total: 5 + random.below(30),
        idle: 1 + random.below(20),
        idle_per_endpoint: 1 + random.below(8),
        idle_timeout: (1 + random.below(10) as Micros) * SECOND,
        demand_half_life: (1 + random.below(10) as Micros) * SECOND,
        learn_caps: random.below(4) > 0,
        prewarm_share: [0.0, 0.25, 1.0][random.below(3)],
        prewarm_delay: random.below(5) as Micros * SECOND,
        senders: [1, 3, 50][random.below(3)],
    }
}

struct Random(Pcg32);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0.next_u32() as usize % bound.max(1)
    }
}

fn endpoint(number: usize) -> EndpointAddress {
    EndpointAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + (number % 5) as u16)),
        endpoint: EndpointId(number as u32),
    }
}

/// FNV-1a hash over the commands and the report.
struct Digest(u64);

impl Digest {
    fn add(&mut self, numbers: &[i64]) {
        for byte in numbers.iter().flat_map(|number| number.to_le_bytes()) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn failure_code(failure: DialFailure) -> i64 {
    match failure {
        DialFailure::Refused => 1,
        DialFailure::TimedOut => 2,
        DialFailure::Local => 3,
        DialFailure::Other => 4,
    }
}

fn denial_code(reason: LeaseDenied) -> i64 {
    match reason {
        LeaseDenied::Dial(cause) => failure_code(cause),
        LeaseDenied::Retired => 5,
        LeaseDenied::RetryAfter => 6,
        LeaseDenied::ShuttingDown => 7,
        LeaseDenied::Suspended => 8,
    }
}

fn encode(command: &Command) -> Vec<i64> {
    match *command {
        Command::Dial { connection, target } => {
            vec![1, connection as i64, i64::from(target.endpoint.0)]
        }
        Command::Lease {
            waiter,
            connection,
            idle_for,
        } => {
            vec![2, waiter as i64, connection as i64, idle_for.unwrap_or(-1)]
        }
        Command::Deny { waiter, reason } => vec![3, waiter as i64, denial_code(reason)],
        Command::Close { connection } => vec![4, connection as i64],
    }
}

/// Connections that are dialled or leased and calls that wait, according to the commands.
#[derive(Default)]
struct PoolState {
    dialled: VecDeque<u64>,
    leased: VecDeque<u64>,
    waiting: VecDeque<u64>,
}

impl PoolState {
    fn record(&mut self, command: &Command) {
        match *command {
            Command::Dial { connection, .. } => self.dialled.push_back(connection),
            Command::Lease {
                waiter, connection, ..
            } => {
                self.waiting.retain(|other| *other != waiter);
                self.leased.push_back(connection);
            }
            Command::Deny { waiter, .. } => self.waiting.retain(|other| *other != waiter),
            Command::Close { .. } => {}
        }
    }
}

fn take_random(from: &mut VecDeque<u64>, random: &mut Random) -> u64 {
    let position = random.below(from.len());
    from.remove(position).unwrap_or(u64::MAX)
}

fn step(
    pool: &mut Pool,
    state: &mut PoolState,
    random: &mut Random,
    now: Micros,
    waiter: u64,
) -> Vec<Command> {
    let mut commands = Vec::new();
    let target = endpoint(random.below(7));
    match random.below(100) {
        0..=29 => {
            state.waiting.push_back(waiter);
            pool.acquire(now, target, waiter, &mut commands);
        }
        30..=44 => pool.dial_succeeded(now, take_random(&mut state.dialled, random), &mut commands),
        45..=51 => {
            let failures = [
                DialFailure::Refused,
                DialFailure::TimedOut,
                DialFailure::Local,
                DialFailure::Other,
            ];
            let failure = failures[random.below(4)];
            pool.dial_failed(
                now,
                take_random(&mut state.dialled, random),
                failure,
                &mut commands,
            );
        }
        52..=79 => {
            let connection = take_random(&mut state.leased, random);
            let answers = [
                AnswerKind::Served,
                AnswerKind::Served,
                AnswerKind::Rejected,
                AnswerKind::Other,
            ];
            pool.record_answer(now, connection, answers[random.below(4)]);
            pool.release(now, connection, &mut commands);
        }
        80..=85 => {
            let causes = [
                CloseReason::Reset,
                CloseReason::TimedOut,
                CloseReason::Cancelled,
                CloseReason::Unreadable,
                CloseReason::ClosedByPeer,
            ];
            let cause = causes[random.below(5)];
            pool.discard(
                now,
                take_random(&mut state.leased, random),
                cause,
                &mut commands,
            );
        }
        86..=88 => pool.cancel_wait(take_random(&mut state.waiting, random)),
        89 => pool.peer_closed(random.below(200) as u64, &mut commands),
        90..=91 => pool.enable_endpoint(now, target),
        92 => pool.retire_endpoint(target, &mut commands),
        93 => pool.close_idle(target, &mut commands),
        94 => pool.apply_retry_after(target, now + SECOND, &mut commands),
        95 => pool.set_predecessor_connections(now, random.below(4), &mut commands),
        96 => {
            let limits = limits(random);
            pool.set_limits(now, limits, &mut commands);
        }
        _ => pool.tick(now, &mut commands),
    }
    commands
}

fn report_text(pool: &Pool, now: Micros) -> String {
    let PoolReport { endpoints, totals } = pool.report(now);
    let mut text = serde_json::to_string(&totals).expect("JSON");
    for endpoint in endpoints {
        let counts = serde_json::to_string(&endpoint.counters).expect("JSON");
        text += &format!(
            "\n  {} {} serving {} idle {} leased {} dialling {} waiting {} wanted {} cap {:?} {counts}",
            endpoint.target.endpoint.0,
            endpoint.target.address,
            endpoint.is_serving,
            endpoint.idle,
            endpoint.leased,
            endpoint.dialling,
            endpoint.waiting,
            endpoint.wanted_connections,
            endpoint.learned_cap
        );
    }
    text
}

/// Runs the pool with random events from `seed`; returns the digest and the totals of the last
/// report.
fn run(seed: u64) -> String {
    let mut random = Random(Pcg32::seed_from_u64(seed));
    let limits = limits(&mut random);
    let mut pool = Pool::new(limits, seed);
    let (mut state, mut digest) = (PoolState::default(), Digest(0xcbf2_9ce4_8422_2325));
    let mut now = 100 * SECOND;
    (0..7).for_each(|number| pool.enable_endpoint(now, endpoint(number)));
    let mut command_count = 0;
    for waiter in 0..STEPS {
        now += random.below(100) as Micros * MILLISECOND;
        for command in step(&mut pool, &mut state, &mut random, now, waiter as u64) {
            command_count += 1;
            digest.add(&encode(&command));
            state.record(&command);
        }
    }
    let final_report = report_text(&pool, now);
    let totals = final_report.lines().next().unwrap_or_default();
    digest.add(&final_report.bytes().map(i64::from).collect::<Vec<_>>());
    let mut commands = Vec::new();
    pool.shut_down(&mut commands);
    commands
        .iter()
        .for_each(|command| digest.add(&encode(command)));
    format!(
        "seed {seed}: {command_count} commands, {} at the end, {:016x}\n  {totals}\n",
        commands.len(),
        digest.0
    )
}

#[test]
fn seeded_runs_match_the_golden_commands_and_reports() {
    let actual: String = (0..60).map(run).collect();
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::write("tests/golden/pool_runs.txt", &actual).expect("written");
    }
    assert_eq!(actual, GOLDEN);
}
