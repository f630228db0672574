//! Tests the fleet size that each sender assumes while the fleet is split, loses members and recovers. Runs the membership
//! protocol together with the decision module on a simulated clock.

mod common;
#[path = "../membership/tests/common/mod.rs"]
mod fleet;

use common::settings;
use fleet::{Fleet, PERIOD};
use message_sender::*;

/// Number of members of the simulated fleet.
const MEMBERS: usize = 20;

/// Simulated fleet with a decision module for each member.
struct Senders {
    fleet: Fleet,
    modules: Vec<Sender>,
}

impl Senders {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(MEMBERS, seed);
        assert!(fleet.until(60.0, Fleet::agrees).is_some());
        Senders {
            fleet,
            modules: (0..MEMBERS).map(|_| module()).collect(),
        }
    }

    /// Runs one protocol period. Returns the sum of the shares of a limit (1 / assumed fleet size) that the running senders
    /// use; a sum of 1 uses the limit exactly.
    fn step(&mut self) -> f64 {
        self.fleet.run(1.0);
        let now = self.fleet.now as Micros;
        let mut sum = 0.0;
        for index in self.fleet.running() {
            let view = self.view(index);
            self.modules[index].handle(now, &[Event::FleetView(Some(view))], &mut Vec::new());
            sum += 1.0 / f64::from(self.modules[index].fleet_size());
        }
        sum
    }

    fn view(&self, index: usize) -> FleetView {
        let view = self.fleet.node(index).view();
        FleetView {
            present: view.present,
            suspects: view.suspects,
            departed: view.departed,
            agreeing: view.agreeing,
            isolated: view.isolated,
        }
    }

    fn fleet_size(&self, index: usize) -> u32 {
        self.modules[index].fleet_size()
    }

    fn start(&mut self, index: usize) {
        self.fleet.start(index, true);
        self.modules[index] = module();
    }
}

fn module() -> Sender {
    let mut settings = settings(8);
    settings.senders = MEMBERS as u32;
    Sender::new(settings, 1).expect("the settings are valid")
}

/// Function that returns true if datagrams pass, given the number of members on the first side, and the indexes of the
/// sending and the receiving member.
type Passes = fn(usize, usize, usize) -> bool;

/// Returns the simulated network splits, each with its name, the number of members on the first side, and the function
/// that decides which datagrams pass.
fn splits() -> Vec<(&'static str, usize, Passes)> {
    vec![
        ("halves", 10, |first, from, to| {
            (from < first) == (to < first)
        }),
        ("seven cut off", 7, |first, from, to| {
            (from < first) == (to < first)
        }),
        ("a fifth cut off", 4, |first, from, to| {
            (from < first) == (to < first)
        }),
        (
            "a fifth receives nothing from the others",
            4,
            |first, from, to| to >= first || from < first,
        ),
        (
            "the others receive nothing from a fifth",
            4,
            |first, from, to| from >= first || to < first,
        ),
    ]
}

/// Returns the fleet size by a naive rule that counts only members that respond. The test checks that the splits violate
/// this rule, so that passing it means something.
fn naive_fleet_size(view: FleetView) -> u32 {
    view.present - view.suspects
}

#[test]
fn minority_senders_never_lower_fleet_size_and_share_sum_is_bounded_in_splits() {
    let mut naive_violations = 0;
    for (split, first, passes) in splits() {
        for seed in 0..3 {
            let mut senders = Senders::new(seed);
            senders.fleet.passes = Box::new(move |from, to| passes(first, from, to));
            for period in 0..120 {
                let sum = senders.step();
                assert!(sum < 1.5, "{split}, seed {seed}, period {period}: {sum}");
                for index in 0..first {
                    assert!(
                        senders.fleet_size(index) >= MEMBERS as u32,
                        "{split}, seed {seed}: {index}"
                    );
                    naive_violations +=
                        usize::from(naive_fleet_size(senders.view(index)) < MEMBERS as u32);
                }
            }
            let majority_size = senders.fleet_size(MEMBERS - 1);
            let expected = if 2 * first < MEMBERS {
                MEMBERS - first
            } else {
                MEMBERS
            };
            assert_eq!(
                majority_size as usize, expected,
                "{split}, seed {seed}: the larger side"
            );
            senders.fleet.passes = Box::new(|_, _| true);
            let sum = (0..41).map(|_| senders.step()).last().unwrap_or_default();
            assert!(sum <= 1.0001, "{split}, seed {seed}: {sum} after the heal");
        }
    }
    assert!(
        naive_violations > 100,
        "the naive rule violated the bound only {naive_violations} times"
    );
}

#[test]
fn share_sum_returns_to_one_after_deaths_and_restarts() {
    for seed in 0..4 {
        let mut senders = Senders::new(seed);
        (0..8).for_each(|index| senders.fleet.kill(index));
        let sums: Vec<f64> = (0..90).map(|_| senders.step()).collect();
        assert!(
            sums.iter().all(|sum| *sum <= 1.0001),
            "seed {seed}: the shares exceed the limit"
        );
        let (first, last) = (sums[0], sums[sums.len() - 1]);
        assert!(
            (first - 0.6).abs() < 0.01 && (last - 1.0).abs() < 0.01,
            "seed {seed}: {first}, {last}"
        );
        (0..8).for_each(|index| senders.start(index));
        let sums_after_restart: Vec<f64> = (0..40).map(|_| senders.step()).collect();
        assert!(
            sums_after_restart.iter().all(|sum| *sum < 1.5),
            "seed {seed}"
        );
        assert!(
            sums_after_restart[39] <= 1.0001,
            "seed {seed}: {}",
            sums_after_restart[39]
        );
    }
}

#[test]
fn senders_with_differing_views_keep_configured_fleet_size() {
    // each of the 200 senders has another wrong view, so no view is held by a majority
    let mut sum = 0.0;
    for index in 0..200u32 {
        let mut settings = settings(8);
        settings.senders = 200;
        let mut module = Sender::new(settings, u64::from(index)).expect("the settings are valid");
        let view = FleetView {
            present: 101 + index % 90,
            suspects: 0,
            departed: 99 - index % 90,
            agreeing: 1 + index % 100,
            isolated: false,
        };
        for step in 1..=30 {
            module.handle(
                step * PERIOD as Micros,
                &[Event::FleetView(Some(view))],
                &mut Vec::new(),
            );
        }
        sum += 1.0 / f64::from(module.fleet_size());
    }
    assert!(sum <= 1.0001, "{sum}");
}
