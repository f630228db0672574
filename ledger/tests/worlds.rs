//! Dealing in passed-in time: senders that see few messages each, a keeper that is replaced, links that lose and cut, clocks
//! that drift, limits that are lowered. The sum of what may be used is looked at after every step. What dealing is worth is
//! counted beside fixed shares and beside one that sees all.
//!
//! `MILLETTURN_SEEDS=100 MILLETTURN_SENDERS=300 cargo test --release -p quota-ledger --test worlds -- --nocapture`

use quota_ledger::{
    Allocation, Allocator, FallbackQuotas, LeaseTerms, Limit, LimitKey, Micros, QuotaDemand,
    QuotaHolder, Resource,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1000;
const STEP: Micros = 25 * MS;
const TERMS: LeaseTerms = LeaseTerms {
    lease: 1500 * MS,
    max_drift: 31 * MS,
};
const TIME: Micros = 40_000 * MS;
/// How long a message may wait.
const DEADLINE: Micros = 6000 * MS;
const CALL: u64 = 1_000_000_000;

/// A bucket as the senders have it.
#[derive(Clone, Copy)]
struct Bucket {
    tokens: u64,
    at: Micros,
}

impl Bucket {
    fn new(now: Micros) -> Self {
        Bucket {
            tokens: CALL,
            at: now,
        }
    }

    /// A part that is larger by so much may be used up at once.
    fn credit(&mut self, more: u64, left: Micros) {
        self.tokens += more * left;
    }

    fn take(&mut self, now: Micros, rate: u64) -> bool {
        self.tokens = (self.tokens + rate * (now - self.at)).min(CALL.max(rate * 400 * MS));
        self.at = now;
        let has = self.tokens >= CALL;
        self.tokens -= if has { CALL } else { 0 };
        has
    }
}

/// Calls that were made of what arrived, under one way of sharing.
#[derive(Default, Clone, Copy)]
struct Served {
    calls: u64,
    within_second: u64,
}

struct Line {
    waiting: VecDeque<Micros>,
    bucket: Bucket,
}

impl Line {
    fn new(now: Micros) -> Self {
        Line {
            waiting: VecDeque::new(),
            bucket: Bucket::new(now),
        }
    }

    fn serve(&mut self, now: Micros, rate: u64, served: &mut Served) {
        while self.waiting.front().is_some_and(|at| at + DEADLINE < now) {
            self.waiting.pop_front();
        }
        while let Some(at) = self.waiting.front().copied() {
            if !self.bucket.take(now, rate) {
                break;
            }
            self.waiting.pop_front();
            served.calls += 1;
            served.within_second += u64::from(at + 1000 * MS >= now);
        }
    }
}

struct Sender {
    holder: QuotaHolder,
    life: u64,
    /// Parts of a thousand by which its clock is fast.
    fast: i64,
    lines: BTreeMap<usize, Line>,
    fixed: BTreeMap<usize, Line>,
    next: Micros,
    cut_until: Micros,
}

impl Sender {
    fn local(&self, now: Micros) -> Micros {
        (now as i64 + now as i64 * self.fast / 1000) as Micros
    }
}

enum Message {
    Ask {
        sender: usize,
        life: u64,
        number: u64,
        wants: Vec<QuotaDemand>,
    },
    Answer {
        sender: usize,
        life: u64,
        number: u64,
        dealt: Vec<Allocation>,
    },
}

#[derive(Default)]
struct Figures {
    dealt: Served,
    fixed: Served,
    central: Served,
    arrived: u64,
    most_over: u64,
    asks: u64,
    deals: u64,
    idle: f64,
    looks: u64,
}

/// Plays one world; `faults` cuts senders off, replaces keepers, restarts senders and lowers limits.
fn play(seed: u64, senders: usize, faults: bool) -> Figures {
    let mut random = Pcg64::seed_from_u64(seed);
    let keys = (senders / 10).max(3);
    let floors = FallbackQuotas {
        senders: senders as u32,
        per_sender: [("rate".to_string(), 5)].into(),
    };
    let key = |number: usize| LimitKey::of(number as u64, Resource::Rate);
    // calls a second of a destination, all senders together; each sender sees 0.1 to 0.3 messages a second
    let mut totals: Vec<u64> = (0..keys)
        .map(|_| random.random_range(2000..20_000) + 5 * senders as u64)
        .collect();
    let mut lowered: Vec<Option<(u64, Micros)>> = vec![None; keys];
    let mut keeper = Allocator::new(TERMS, 0);
    let mut all: Vec<Sender> = (0..senders)
        .map(|_| Sender {
            holder: QuotaHolder::new(floors.clone()),
            life: 0,
            fast: random.random_range(-10..=10),
            lines: BTreeMap::new(),
            fixed: BTreeMap::new(),
            next: random.random_range(0..TERMS.lease),
            cut_until: 0,
        })
        .collect();
    let mut central: Vec<Line> = (0..keys).map(|_| Line::new(0)).collect();
    let mut clumps: Vec<(usize, Micros)> = Vec::new();
    let mut under_way: Vec<(Micros, Message)> = Vec::new();
    let mut figures = Figures::default();
    let mut now = 2 * TERMS.longest_validity();
    while now < TIME {
        now += STEP;
        // demand: seven tenths of each limit, and clumps of two seconds of a limit at one destination
        if random.random_bool(0.01) {
            clumps.push((random.random_range(0..keys), now + 2000 * MS));
        }
        clumps.retain(|(_, until)| *until > now);
        for destination in 0..keys {
            let clumped = clumps.iter().any(|(at, _)| *at == destination);
            let rate = totals[destination] as f64 / 1000.0 * if clumped { 1.4 } else { 0.6 };
            let mean = rate * STEP as f64 / 1e6;
            let count = mean.floor() as u64 + u64::from(random.random_bool(mean.fract()));
            for _ in 0..count {
                let sender = random.random_range(0..senders);
                figures.arrived += 1;
                all[sender]
                    .lines
                    .entry(destination)
                    .or_insert_with(|| Line::new(now))
                    .waiting
                    .push_back(now);
                all[sender]
                    .fixed
                    .entry(destination)
                    .or_insert_with(|| Line::new(now))
                    .waiting
                    .push_back(now);
                central[destination].waiting.push_back(now);
            }
        }
        if faults {
            if random.random_bool(0.004) {
                keeper = Allocator::new(TERMS, now);
            }
            if random.random_bool(0.004) {
                let until = now + random.random_range(500..6000) * MS;
                (0..senders / 5)
                    .for_each(|_| all[random.random_range(0..senders)].cut_until = until);
            }
            if random.random_bool(0.01) {
                let sender = &mut all[random.random_range(0..senders)];
                (sender.holder, sender.life) = (QuotaHolder::new(floors.clone()), sender.life + 1);
            }
            if random.random_bool(0.01) {
                let destination = random.random_range(0..keys);
                let before = totals[destination];
                let least = floors.total_of(&key(destination));
                totals[destination] = (before / 2).max(least).max(1000);
                let earlier = lowered[destination]
                    .filter(|(_, until)| *until > now)
                    .map_or(0, |(before, _)| before);
                lowered[destination] = Some((before.max(earlier), now + TERMS.longest_validity()));
            }
        }
        // senders ask: a quarter of a lease after the last time, or sooner where something waits without a part
        for (number, sender) in all.iter_mut().enumerate() {
            let local = sender.local(now);
            let lacks = sender.lines.iter().any(|(destination, line)| {
                let key = key(*destination);
                !line.waiting.is_empty()
                    && sender.holder.usable(local, &key) == Some(floors.of(&key))
            });
            if now < sender.next
                && !(lacks && now + TERMS.lease / 4 >= sender.next + TERMS.lease / 12)
            {
                continue;
            }
            sender.next = now + TERMS.lease / 4 * random.random_range(75..125) / 100;
            let wanted = sender.lines.iter().map(|(destination, line)| {
                let want = (line.waiting.len() as u64 * CALL).div_ceil(TERMS.lease);
                QuotaDemand {
                    key: key(*destination),
                    amount: want,
                }
            });
            let wanted: Vec<QuotaDemand> = wanted.collect();
            let (asked, wants) = (sender.holder.request(local), wanted);
            figures.asks += 1;
            let lost =
                random.random_bool(if faults { 0.02 } else { 0.0 }) || now < sender.cut_until;
            if !lost {
                let at = now + random.random_range(1..20) * MS;
                under_way.push((
                    at,
                    Message::Ask {
                        sender: number,
                        life: sender.life,
                        number: asked,
                        wants,
                    },
                ));
            }
        }
        let due: Vec<(Micros, Message)> = under_way.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Ask {
                    sender,
                    life,
                    number,
                    wants,
                } => {
                    let dealt = wants.iter().map(|want| {
                        let limit = Limit {
                            total: totals[want.key.position() as usize],
                            expiry_grace_ms: 0,
                        };
                        figures.deals += 1;
                        keeper.allocate(now, (sender as u64) << 16 | life, want, limit, &floors)
                    });
                    let dealt = dealt.collect();
                    if now >= all[sender].cut_until {
                        let at = now + random.random_range(1..20) * MS;
                        under_way.push((
                            at,
                            Message::Answer {
                                sender,
                                life,
                                number,
                                dealt,
                            },
                        ));
                    }
                }
                Message::Answer {
                    sender,
                    life,
                    number,
                    dealt,
                } if life == all[sender].life => {
                    let local = all[sender].local(now);
                    let Sender { holder, lines, .. } = &mut all[sender];
                    let part = |holder: &QuotaHolder, destination: &usize| {
                        holder.usable(local, &key(*destination)).unwrap_or(0)
                    };
                    let before: Vec<u64> = lines.keys().map(|at| part(holder, at)).collect();
                    holder.apply_allocations(number, TERMS.lease, dealt);
                    for ((destination, line), before) in lines.iter_mut().zip(before) {
                        let more = part(holder, destination).saturating_sub(before);
                        line.bucket.credit(more, TERMS.lease);
                    }
                }
                Message::Answer { .. } => {}
            }
        }
        if now % (1000 * MS) < STEP {
            keeper.remove_expired(now);
        }
        // what may be used together, at this moment
        let mut used = vec![0u64; keys];
        for sender in &all {
            let local = sender.local(now);
            let parts = sender
                .holder
                .allocations(local)
                .filter_map(|(dealt, part, _)| Some((dealt.key.position(), part?)));
            parts.for_each(|(place, part)| used[place as usize] += part);
        }
        for (destination, used) in used.iter().enumerate() {
            let allowed = match lowered[destination] {
                Some((before, until)) if now < until => before,
                _ => totals[destination],
            };
            let sum = used + floors.total_of(&key(destination));
            figures.most_over = figures.most_over.max(sum.saturating_sub(allowed));
            figures.idle += 1.0 - sum as f64 / totals[destination].max(sum) as f64;
            figures.looks += 1;
        }
        for sender in &mut all {
            let local = sender.local(now);
            for (destination, line) in &mut sender.lines {
                let rate = sender.holder.usable(local, &key(*destination)).unwrap_or(0);
                line.serve(now, rate, &mut figures.dealt);
            }
            for (destination, line) in &mut sender.fixed {
                line.serve(
                    now,
                    totals[*destination] / senders as u64,
                    &mut figures.fixed,
                );
            }
        }
        for (destination, line) in central.iter_mut().enumerate() {
            line.serve(now, totals[destination], &mut figures.central);
        }
    }
    figures
}

fn setting(name: &str, default: usize) -> usize {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn what_may_be_used_together_is_never_over_the_limit_whatever_fails() {
    let (seeds, senders) = (
        setting("MILLETTURN_SEEDS", 3),
        setting("MILLETTURN_SENDERS", 30),
    );
    for seed in 0..seeds as u64 {
        let figures = play(seed, senders, true);
        assert_eq!(figures.most_over, 0, "seed {seed}");
        assert!(figures.dealt.calls > 0 && figures.asks > 100);
    }
}

#[test]
fn dealing_serves_more_than_fixed_shares_and_close_to_one_that_sees_all() {
    let (seeds, senders) = (
        setting("MILLETTURN_SEEDS", 3),
        setting("MILLETTURN_SENDERS", 30),
    );
    for faults in [false, true] {
        let mut rows: Vec<[f64; 8]> = Vec::new();
        for seed in 0..seeds as u64 {
            let begin = std::time::Instant::now();
            let Figures {
                dealt,
                fixed,
                central,
                arrived,
                asks,
                deals,
                idle,
                looks,
                ..
            } = play(1000 + seed, senders, faults);
            let part = |count: u64| count as f64 / arrived as f64;
            rows.push([
                part(fixed.calls),
                part(dealt.calls),
                part(central.calls),
                part(fixed.within_second),
                part(dealt.within_second),
                part(central.within_second),
                asks as f64 / (TIME as f64 / 1e6) / senders as f64,
                idle / looks as f64,
            ]);
            if seeds > 3 {
                println!(
                    "seed {seed}: {deals} deals, {:?} for the world",
                    begin.elapsed()
                );
            }
        }
        let median = |column: usize| {
            let mut values: Vec<f64> = rows.iter().map(|row| row[column]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        println!(
            "{senders} senders, faults {faults}: served {:.3} fixed, {:.3} dealt, {:.3} by one that sees all; within 1 s \
             {:.3}, {:.3}, {:.3}; {:.2} questions a second for each sender; {:.2} of a limit idle",
            median(0),
            median(1),
            median(2),
            median(3),
            median(4),
            median(5),
            median(6),
            median(7)
        );
        assert!(median(1) > median(0) - 0.02 && median(1) > 0.8 * median(2));
    }
}
