//! Measures the protocol: how soon deaths are known, who is taken for dead wrongly, what it costs, how soon all agree
//! again. Figures in periods, over seeds; prints Markdown. Arguments: members of the large fleet, seeds, and a part
//! (`times`, `deaths`, `cost` or `splits`) if not all are wanted.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use fleet_membership::{Change, State};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Runs for each seed, on as many threads as there are cores; the results in order of the seeds.
fn each<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let done: Mutex<Vec<(u64, T)>> = Mutex::default();
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds {
                        return;
                    }
                    let result = run(seed);
                    done.lock()
                        .expect("no thread panicked")
                        .push((seed, result));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no thread panicked");
    done.sort_by_key(|(seed, _)| *seed);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Median, 99th percentile and worst.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values[((values.len() - 1) as f64 * part).round() as usize];
    format!("{:.1} / {:.1} / {:.1}", at(0.5), at(0.99), at(1.0))
}

fn together(members: usize, seed: u64, lifeguard: bool) -> Fleet {
    let mut fleet = Fleet::with(members, seed, move |settings| {
        settings.lifeguard = lifeguard
    });
    if fleet.until(200.0, Fleet::agrees).is_none() {
        println!("seed {seed}: {members} members were not all together after 200 periods");
    }
    fleet.run(5.0);
    fleet
}

/// Periods from a death until the first suspects it, the first and all know it.
fn detection(members: usize, seeds: u64) {
    let times = each(seeds, |seed| {
        let mut fleet = together(members, seed, true);
        let since = fleet.now;
        let victim = seed as usize % members;
        fleet.kill(victim);
        let all = fleet.until(300.0, |fleet| {
            fleet
                .running()
                .iter()
                .all(|&other| fleet.state(other, victim) == Some(State::Dead))
        });
        let first = |state: State| {
            let of = |change: &Change| matches!(change, Change::MemberState { name: n, current, .. } if *n == name(victim) && *current == state);
            let found = fleet
                .seen
                .iter()
                .find(|seen| seen.at >= since && of(&seen.change));
            found.map_or(f64::NAN, |seen| (seen.at - since) as f64 / PERIOD as f64)
        };
        (
            first(State::Suspect),
            first(State::Dead),
            all.unwrap_or(f64::NAN),
        )
    });
    let of = |pick: fn(&(f64, f64, f64)) -> f64| spread(times.iter().map(pick).collect());
    println!(
        "| {members} | {} | {} | {} |",
        of(|t| t.0),
        of(|t| t.1),
        of(|t| t.2)
    );
}

fn joining(members: usize, seeds: u64) {
    let times = each(seeds, |seed| {
        Fleet::new(members, seed)
            .until(200.0, Fleet::agrees)
            .unwrap_or(f64::NAN)
    });
    println!("| {members} | {} |", spread(times));
}

/// Observers that took a living member for dead, in so many periods.
fn false_deaths(members: usize, seeds: u64, loss: f64, pausing: bool, lifeguard: bool) -> String {
    let periods = 60;
    let counts = each(seeds, |seed| {
        let mut fleet = together(members, seed, lifeguard);
        let since = fleet.now;
        fleet.loss = loss;
        let mut paused = Vec::new();
        for _ in 0..periods / 10 {
            if pausing {
                // one in twenty, for 2 to 10 s, at moments of their own
                for step in 0..members / 20 {
                    let who = (seed as usize * 7 + paused.len() * 13 + step) % members;
                    fleet.pause(who, (2 + (paused.len() as u64 * 3 + seed) % 9) * PERIOD);
                    paused.push(who);
                }
            }
            fleet.run(10.0);
        }
        let wrong = fleet.false_deaths(since, &[]);
        let healthy = fleet.false_deaths(since, &paused);
        (wrong, healthy)
    });
    let wrong: usize = counts.iter().map(|count| count.0).sum();
    let healthy: usize = counts.iter().map(|count| count.1).sum();
    if pausing {
        format!("{wrong}, {healthy} of them of members that never paused")
    } else {
        wrong.to_string()
    }
}

/// Datagrams and bytes out for each member and period, at rest and after a death.
fn cost(members: usize, seeds: u64) {
    let costs = each(seeds, |seed| {
        let mut fleet = together(members, seed, true);
        fleet.run(40.0);
        let sum = |fleet: &Fleet| {
            let counts = fleet.running().into_iter().map(|index| {
                let counts = fleet.node(index).counters();
                (counts.sent, counts.bytes_sent)
            });
            counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
        };
        let spent = |fleet: &mut Fleet, periods: f64| {
            let before = sum(fleet);
            fleet.run(periods);
            let after = sum(fleet);
            let each = periods * fleet.running().len() as f64;
            (
                (after.0 - before.0) as f64 / each,
                (after.1 - before.1) as f64 / each,
            )
        };
        let rest = spent(&mut fleet, 40.0);
        // the sums are of those that run all along
        fleet.kill(1);
        let death = spent(&mut fleet, 40.0);
        [rest.0, rest.1, death.0, death.1]
    });
    let of = |at: usize| spread(costs.iter().map(|cost| cost[at]).collect());
    println!(
        "| {members} | {} | {} | {} | {} |",
        of(0),
        of(1),
        of(2),
        of(3)
    );
}

type Cut = fn(usize, usize, usize) -> bool;

fn splits(members: usize, seeds: u64) {
    let cuts: [(&str, Cut); 5] = [
        ("halves", |n, from, to| (from < n / 2) == (to < n / 2)),
        ("a fifth cut off", |n, from, to| {
            (from < n / 5) == (to < n / 5)
        }),
        ("a fifth hears nobody else", |n, from, to| {
            to >= n / 5 || from < n / 5
        }),
        ("nobody else hears a fifth", |n, from, to| {
            from >= n / 5 || to < n / 5
        }),
        (
            "overlapping thirds: the first and the last apart",
            |n, from, to| !(from < n / 3 && to >= 2 * n / 3 || to < n / 3 && from >= 2 * n / 3),
        ),
    ];
    for (what, passes) in cuts {
        let results = each(seeds, |seed| {
            let mut fleet = together(members, seed, true);
            let since = fleet.now;
            fleet.passes = Box::new(move |from, to| passes(members, from, to));
            fleet.run(100.0);
            let dead = (0..members)
                .filter(|&of| (0..members).any(|by| fleet.state(by, of) == Some(State::Dead)));
            let dead = dead.count();
            fleet.passes = Box::new(|_, _| true);
            let agreed = fleet.until(300.0, Fleet::agrees).unwrap_or(f64::NAN);
            let flaps = fleet
                .verdicts(since)
                .values()
                .filter(|states| states.len() > 2)
                .count();
            (dead as f64, agreed, flaps)
        });
        let flaps: usize = results.iter().map(|result| result.2).sum();
        let (dead, agreed) = (
            results.iter().map(|r| r.0).collect(),
            results.iter().map(|r| r.1).collect(),
        );
        println!(
            "| {what} | {} | {} | {flaps} |",
            spread(dead),
            spread(agreed)
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        arguments
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (large, seeds) = (number(300) as usize, number(20));
    let part = arguments.next();
    let wanted = |name: &str| part.as_deref().is_none_or(|part| part == name);
    println!("{seeds} seeds each; in periods: median / 99th percentile / worst.");
    if wanted("times") {
        println!("\n| members | until all know all, from a start together |\n| --- | --- |");
        [10, 100, large]
            .into_iter()
            .for_each(|members| joining(members, seeds));
        println!(
            "\n| members | first suspects a death | first knows it | all know it |\n| --- | --- | --- | --- |"
        );
        [10, 100, large]
            .into_iter()
            .for_each(|members| detection(members, seeds));
    }
    if wanted("deaths") {
        println!(
            "\nObservers that held a living member for dead, {large} members, 60 periods, all seeds together:\n"
        );
        println!("| datagrams lost | with all rules | plain SWIM |\n| --- | --- | --- |");
        for loss in [0.0, 0.1, 0.3] {
            let count = |lifeguard| false_deaths(large, seeds, loss, false, lifeguard);
            println!(
                "| {:.0}% | {} | {} |",
                loss * 100.0,
                count(true),
                count(false)
            );
        }
        let count = |lifeguard| false_deaths(large, seeds, 0.0, true, lifeguard);
        println!(
            "| 0%, one in twenty stands still for 2 to 10 s | {} | {} |",
            count(true),
            count(false)
        );
    }
    if wanted("cost") {
        println!("\nOut for each member and period:\n");
        println!(
            "| members | datagrams | bytes | datagrams, after a death | bytes, after a death |"
        );
        println!("| --- | --- | --- | --- | --- |");
        [10, 100, large]
            .into_iter()
            .for_each(|members| cost(members, seeds));
    }
    if wanted("splits") {
        println!("\nSplits of 100 periods, 100 members:\n");
        println!(
            "| split | members that any held for dead | all agree after the heal | more than there and back |"
        );
        println!("| --- | --- | --- | --- |");
        splits(100, seeds);
    }
}
