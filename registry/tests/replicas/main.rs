//! Replicas and senders on the code that the programs run, in passed-in time: messages late, lost, out of order, replicas
//! that crash and restart, one-way partitions, senders that pause or restart, clocks that drift. No two senders act on rules
//! that contradict each other, no answered write is lost, and reads are never behind what was answered.

mod history;
mod simulation;

use fleet_registry::replica::Replica;
use fleet_registry::state::State;
use history::{Operation, linearizability_violation};
use simulation::run;

#[test]
fn faults_cause_no_contradiction_between_senders_and_lose_no_answered_write() {
    let (mut granted, mut versions, mut writes, mut reads) = (0, 0, 0, 0);
    // MILLETTURN_SEEDS plays more
    let seeds = std::env::var("MILLETTURN_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(20);
    for (replicas, seed) in (1..=seeds).flat_map(|seed| [(1, seed), (3, seed), (5, seed)]) {
        let simulation = run(replicas, seed);
        assert_eq!(
            simulation.contradictions, 0,
            "{replicas} replicas, seed {seed}"
        );
        assert_eq!(
            linearizability_violation(&simulation.history).map(|pair| format!("{pair:?}")),
            None,
            "seed {seed}"
        );
        let states: Vec<&State> = simulation
            .replicas
            .iter()
            .flatten()
            .map(Replica::state)
            .collect();
        assert_eq!(states.len(), replicas);
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "seed {seed}: all have the same state"
        );
        let last = simulation
            .history
            .iter()
            .map(|done| done.rev)
            .max()
            .unwrap_or_default();
        assert!(
            states[0].rev >= last,
            "version {last} was answered, {} is there",
            states[0].rev
        );
        for sender in &simulation.senders {
            let tag = sender.holder.tag(sender.clock(simulation.now));
            assert_eq!(
                tag,
                states[0].tag(),
                "all act on the version in force once all is well"
            );
        }
        granted += simulation.granted;
        versions += simulation.versions.len();
        writes += simulation.history.iter().filter(|done| done.writes).count();
        reads += simulation
            .history
            .iter()
            .filter(|done| !done.writes)
            .count();
    }
    println!("{granted} leases, {versions} versions of rules, {writes} writes, {reads} reads");
    assert!(granted > 1_000 && versions > 20 && writes > 500 && reads > 500);
}

#[test]
fn history_that_goes_back_or_has_a_version_twice_is_found() {
    let done = |requested, answered, rev, writes| Operation {
        requested,
        answered,
        rev,
        writes,
    };
    let good = vec![
        done(0, 10, 1, true),
        done(5, 20, 2, true),
        done(15, 30, 2, false),
        done(12, 18, 1, false),
    ];
    assert!(linearizability_violation(&good).is_none());
    for bad in [
        done(40, 50, 1, false),
        done(40, 50, 2, true),
        done(1, 2, 2, true),
    ] {
        assert!(
            linearizability_violation(&[good.clone(), vec![bad]].concat()).is_some(),
            "{bad:?}"
        );
    }
}
