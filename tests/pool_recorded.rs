//! Recorded runs of the pool's rules: the same random events give the same commands and the same report as always.

use message_sender::pool::*;
use message_sender::{EndpointId, MILLISECOND, Micros, SECOND};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;

const GOLDEN: &str = include_str!("golden/pool_runs.txt");
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
    fn below(&mut self, most: usize) -> usize {
        self.0.next_u32() as usize % most.max(1)
    }
}

fn endpoint(number: usize) -> EndpointAddress {
    EndpointAddress {
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + (number % 5) as u16)),
        endpoint: EndpointId(number as u32),
    }
}

/// FNV-1a over what the rules say.
struct Digest(u64);

impl Digest {
    fn add(&mut self, numbers: &[i64]) {
        for byte in numbers.iter().flat_map(|number| number.to_le_bytes()) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn failure(failure: DialFailure) -> i64 {
    match failure {
        DialFailure::Refused => 1,
        DialFailure::TimedOut => 2,
        DialFailure::Local => 3,
        DialFailure::Other => 4,
    }
}

fn denial(reason: LeaseDenied) -> i64 {
    match reason {
        LeaseDenied::Dial(cause) => failure(cause),
        LeaseDenied::Retired => 5,
        LeaseDenied::RetryAfter => 6,
        LeaseDenied::ShuttingDown => 7,
    }
}

fn encoded(command: &Command) -> Vec<i64> {
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
        Command::Deny { waiter, reason } => vec![3, waiter as i64, denial(reason)],
        Command::Close { connection } => vec![4, connection as i64],
    }
}

/// Connections by what they do, as the commands have it.
#[derive(Default)]
struct Known {
    dialled: VecDeque<u64>,
    leased: VecDeque<u64>,
    waiting: VecDeque<u64>,
}

impl Known {
    fn note(&mut self, command: &Command) {
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

fn take(from: &mut VecDeque<u64>, random: &mut Random) -> u64 {
    let position = random.below(from.len());
    from.remove(position).unwrap_or(u64::MAX)
}

fn step(
    pool: &mut Pool,
    known: &mut Known,
    random: &mut Random,
    now: Micros,
    waiter: u64,
) -> Vec<Command> {
    let mut out = Vec::new();
    let target = endpoint(random.below(7));
    match random.below(100) {
        0..=29 => {
            known.waiting.push_back(waiter);
            pool.acquire(now, target, waiter, &mut out);
        }
        30..=44 => pool.dial_succeeded(now, take(&mut known.dialled, random), &mut out),
        45..=51 => {
            let whys = [
                DialFailure::Refused,
                DialFailure::TimedOut,
                DialFailure::Local,
                DialFailure::Other,
            ];
            let why = whys[random.below(4)];
            pool.dial_failed(now, take(&mut known.dialled, random), why, &mut out);
        }
        52..=79 => {
            let connection = take(&mut known.leased, random);
            let answers = [
                AnswerKind::Served,
                AnswerKind::Served,
                AnswerKind::Rejected,
                AnswerKind::Other,
            ];
            pool.record_answer(now, connection, answers[random.below(4)]);
            pool.release(now, connection, &mut out);
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
            pool.discard(now, take(&mut known.leased, random), cause, &mut out);
        }
        86..=88 => pool.cancel_wait(take(&mut known.waiting, random)),
        89 => pool.peer_closed(random.below(200) as u64, &mut out),
        90..=91 => pool.enable_endpoint(now, target),
        92 => pool.retire_endpoint(target, &mut out),
        93 => pool.close_idle(target, &mut out),
        94 => pool.apply_retry_after(target, now + SECOND, &mut out),
        95 => pool.set_predecessor_connections(now, random.below(4), &mut out),
        96 => {
            let limits = limits(random);
            pool.set_limits(now, limits, &mut out);
        }
        _ => pool.tick(now, &mut out),
    }
    out
}

fn reported(pool: &Pool, now: Micros) -> String {
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

/// One run; its digest and the last report.
fn run(seed: u64) -> String {
    let mut random = Random(Pcg32::seed_from_u64(seed));
    let limits = limits(&mut random);
    let mut pool = Pool::new(limits, seed);
    let (mut known, mut digest) = (Known::default(), Digest(0xcbf2_9ce4_8422_2325));
    let mut now = 100 * SECOND;
    (0..7).for_each(|number| pool.enable_endpoint(now, endpoint(number)));
    let mut count = 0;
    for waiter in 0..STEPS {
        now += random.below(100) as Micros * MILLISECOND;
        for command in step(&mut pool, &mut known, &mut random, now, waiter as u64) {
            count += 1;
            digest.add(&encoded(&command));
            known.note(&command);
        }
    }
    let last = reported(&pool, now);
    let totals = last.lines().next().unwrap_or_default();
    digest.add(&last.bytes().map(i64::from).collect::<Vec<_>>());
    let mut out = Vec::new();
    pool.shut_down(&mut out);
    out.iter().for_each(|command| digest.add(&encoded(command)));
    format!(
        "seed {seed}: {count} commands, {} at the end, {:016x}\n  {totals}\n",
        out.len(),
        digest.0
    )
}

#[test]
fn seeded_runs_match_the_golden_commands_and_reports() {
    let written: String = (0..60).map(run).collect();
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::write("tests/golden/pool_runs.txt", &written).expect("written");
    }
    assert_eq!(written, GOLDEN);
}
