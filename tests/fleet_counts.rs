//! The number that each sender scales by while the fleet is split, loses members and heals: the protocol of membership
//! and the module together, on a passed-in clock.

mod common;
#[path = "../membership/tests/common/mod.rs"]
mod fleet;

use common::settings;
use fleet::{Fleet, PERIOD};
use message_sender::*;

const MEMBERS: usize = 20;

/// A fleet, and the module of each of its members.
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

    /// One period; the sum of the parts that all that run take of a limit.
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

    fn number(&self, index: usize) -> u32 {
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
    Sender::new(settings, 1).expect("settings make sense")
}

/// Whether one reaches another, by the number of those on the first side.
type Passes = fn(usize, usize, usize) -> bool;

fn splits() -> Vec<(&'static str, usize, Passes)> {
    vec![
        ("halves", 10, |first, from, to| {
            (from < first) == (to < first)
        }),
        ("seven apart", 7, |first, from, to| {
            (from < first) == (to < first)
        }),
        ("a fifth apart", 4, |first, from, to| {
            (from < first) == (to < first)
        }),
        ("a fifth hears nobody else", 4, |first, from, to| {
            to >= first || from < first
        }),
        ("nobody else hears a fifth", 4, |first, from, to| {
            from >= first || to < first
        }),
    ]
}

/// What a rule without care would scale by: those that answer.
fn careless(view: FleetView) -> u32 {
    view.present - view.suspects
}

#[test]
fn no_sender_in_a_minority_grows_bolder_and_the_sum_is_bounded() {
    let mut careless_broke = 0;
    for (what, first, passes) in splits() {
        for seed in 0..3 {
            let mut senders = Senders::new(seed);
            senders.fleet.passes = Box::new(move |from, to| passes(first, from, to));
            for period in 0..120 {
                let sum = senders.step();
                assert!(sum < 1.5, "{what}, seed {seed}, period {period}: {sum}");
                for index in 0..first {
                    assert!(
                        senders.number(index) >= MEMBERS as u32,
                        "{what}, seed {seed}: {index}"
                    );
                    careless_broke += usize::from(careless(senders.view(index)) < MEMBERS as u32);
                }
            }
            let lowered = senders.number(MEMBERS - 1);
            let wanted = if 2 * first < MEMBERS {
                MEMBERS - first
            } else {
                MEMBERS
            };
            assert_eq!(
                lowered as usize, wanted,
                "{what}, seed {seed}: the larger side"
            );
            senders.fleet.passes = Box::new(|_, _| true);
            let sum = (0..41).map(|_| senders.step()).last().unwrap_or_default();
            assert!(sum <= 1.0001, "{what}, seed {seed}: {sum} after the heal");
        }
    }
    assert!(
        careless_broke > 100,
        "the check can fail: {careless_broke} times it would have"
    );
}

#[test]
fn after_deaths_and_returns_the_parts_add_up_to_one_again() {
    for seed in 0..4 {
        let mut senders = Senders::new(seed);
        (0..8).for_each(|index| senders.fleet.kill(index));
        let sums: Vec<f64> = (0..90).map(|_| senders.step()).collect();
        assert!(
            sums.iter().all(|sum| *sum <= 1.0001),
            "seed {seed}: never more than the whole"
        );
        let (first, last) = (sums[0], sums[sums.len() - 1]);
        assert!(
            (first - 0.6).abs() < 0.01 && (last - 1.0).abs() < 0.01,
            "seed {seed}: {first}, {last}"
        );
        (0..8).for_each(|index| senders.start(index));
        let back: Vec<f64> = (0..40).map(|_| senders.step()).collect();
        assert!(back.iter().all(|sum| *sum < 1.5), "seed {seed}");
        assert!(back[39] <= 1.0001, "seed {seed}: {}", back[39]);
    }
}

#[test]
fn senders_with_views_that_differ_stay_within_the_configured_number() {
    // two hundred with wrong views, each another one: none is held by a majority
    let mut sum = 0.0;
    for index in 0..200u32 {
        let mut settings = settings(8);
        settings.senders = 200;
        let mut module = Sender::new(settings, u64::from(index)).expect("settings make sense");
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
