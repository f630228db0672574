//! What fleets of members come to see, whatever fails between them. Time and chance are passed in.

mod common;

use common::*;
use fleet_membership::{Change, State};

/// A fleet whose members all know one another.
fn together(members: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(members, seed);
    let joined = fleet.until(60.0, Fleet::agrees);
    assert!(
        joined.is_some(),
        "{members} members, seed {seed}: never all together"
    );
    fleet
}

#[test]
fn join_through_any_seed_reaches_all_members() {
    for (members, seed) in [(2, 1), (5, 2), (30, 3), (100, 4)] {
        together(members, seed);
    }
    // one seed for all, which comes last
    let mut fleet = Fleet::with(10, 5, |settings| settings.seeds = vec![address(0)]);
    fleet.kill(0);
    fleet.run(5.0);
    assert_eq!(
        fleet.node(3).view().present,
        1,
        "nobody else is known, which only means waiting"
    );
    fleet.start(0, false);
    assert!(fleet.until(20.0, Fleet::agrees).is_some());
}

#[test]
fn staggered_start_forms_one_fleet() {
    for seed in 0..4 {
        // each knows the next two alone, which start after it
        let mut fleet = Fleet::new(60, seed);
        (1..60).for_each(|index| fleet.kill(index));
        for index in 1..60 {
            fleet.run(0.3);
            fleet.start(index, false);
        }
        let agreed = fleet.until(60.0, Fleet::agrees);
        assert!(
            agreed.is_some_and(|periods| periods < 30.0),
            "seed {seed}: {agreed:?}"
        );
    }
}

#[test]
fn killed_member_is_declared_dead_by_all_and_no_other_is() {
    for seed in 0..5 {
        let mut fleet = together(20, seed);
        let since = fleet.now;
        fleet.kill(7);
        let known = fleet.until(60.0, |fleet| {
            fleet
                .running()
                .iter()
                .all(|&observer| fleet.state(observer, 7) == Some(State::Dead))
        });
        assert!(
            known.is_some_and(|periods| periods < 40.0),
            "seed {seed}: {known:?} periods"
        );
        assert_eq!(fleet.false_deaths(since, &[7]), 0, "seed {seed}");
        assert!(fleet.agrees());
    }
}

#[test]
fn datagram_loss_of_a_tenth_causes_no_false_death() {
    for seed in 0..4 {
        let mut fleet = together(40, seed);
        let since = fleet.now;
        fleet.loss = 0.1;
        fleet.run(80.0);
        assert_eq!(fleet.false_deaths(since, &[]), 0, "seed {seed}");
    }
}

/// A cut by name: what passes while it lasts, and who is held for dead by the others then.
type Cut = (&'static str, Box<dyn Fn(usize, usize) -> bool>, Vec<usize>);

fn cuts() -> Vec<Cut> {
    vec![
        (
            "1 does not reach 2",
            Box::new(|from, to| (from, to) != (1, 2)),
            vec![],
        ),
        (
            "1 and 2 are cut",
            Box::new(|from, to| (from, to) != (1, 2) && (from, to) != (2, 1)),
            vec![],
        ),
        ("1 hears nobody", Box::new(|_, to| to != 1), vec![1]),
        ("nobody hears 1", Box::new(|from, _| from != 1), vec![1]),
        (
            "1 is cut off",
            Box::new(|from, to| from != 1 && to != 1),
            vec![1],
        ),
        (
            "1 and 2 hear nobody else",
            Box::new(|from, to| to > 2 || from <= 2 && from > 0 || to == 0),
            vec![1, 2],
        ),
        (
            "0 to 4 do not reach 5 to 9",
            Box::new(|from, to| !(from < 5 && (5..10).contains(&to))),
            vec![],
        ),
        (
            "0 to 4 reach nobody else",
            Box::new(|from, to| !(from < 5 && to >= 5)),
            vec![0, 1, 2, 3, 4],
        ),
        (
            "nobody else reaches 0 to 4",
            Box::new(|from, to| !(from >= 5 && to < 5)),
            vec![0, 1, 2, 3, 4],
        ),
        (
            "0, 1, 2 are apart from 7, 8, 9",
            Box::new(|from, to| !(from < 3 && to > 6 || from > 6 && to < 3)),
            vec![],
        ),
    ]
}

#[test]
fn network_cut_has_one_agreed_outcome_without_flapping() {
    for (what, passes, outcome) in cuts() {
        for seed in 0..4 {
            let mut fleet = together(12, seed);
            fleet.run(10.0);
            let since = fleet.now;
            // the closure lives as long as the list of cuts: it is asked through a table of who reaches whom
            let table: Vec<Vec<bool>> = (0..12)
                .map(|from| (0..12).map(|to| passes(from, to)).collect())
                .collect();
            fleet.passes = Box::new(move |from, to| table[from][to]);
            fleet.run(100.0);
            let others: Vec<usize> = (0..12).filter(|index| !outcome.contains(index)).collect();
            for &observer in &others {
                for of in 0..12 {
                    let dead = fleet.state(observer, of) == Some(State::Dead);
                    assert_eq!(
                        dead,
                        outcome.contains(&of),
                        "{what}, seed {seed}: {observer} of {of}"
                    );
                }
            }
            for (who, states) in fleet.verdicts(since) {
                assert!(states.len() <= 1, "{what}, seed {seed}: {who:?} {states:?}");
            }
            let healed = fleet.now;
            fleet.passes = Box::new(|_, _| true);
            let agreed = fleet.until(60.0, Fleet::agrees);
            assert!(
                agreed.is_some_and(|periods| periods <= 40.0),
                "{what}, seed {seed}: {agreed:?} periods"
            );
            for (who, states) in fleet.verdicts(healed) {
                assert!(
                    states.len() <= 1,
                    "{what}, seed {seed}, healed: {who:?} {states:?}"
                );
            }
        }
    }
}

#[test]
fn deaf_member_reports_isolation_and_suspects_nobody() {
    let mut fleet = together(12, 3);
    fleet.passes = Box::new(|_, to| to != 1);
    fleet.run(60.0);
    let view = fleet.node(1).view();
    assert!(
        view.isolated && view.suspects == 0 && view.present == 12,
        "{view:?}"
    );
    let told = |change: &Change| *change == Change::Isolation { isolated: true };
    assert!(
        fleet
            .seen
            .iter()
            .any(|seen| seen.observer == 1 && told(&seen.change))
    );
    fleet.passes = Box::new(|_, _| true);
    assert!(
        fleet
            .until(40.0, |fleet| fleet.agrees()
                && !fleet.node(1).view().isolated)
            .is_some()
    );
}

#[test]
fn partition_minority_declares_nobody_dead_and_heals() {
    for (seed, first) in [(1, 6), (2, 8), (3, 9), (4, 11)] {
        let mut fleet = together(12, seed);
        let since = fleet.now;
        fleet.passes = Box::new(move |from, to| (from < first) == (to < first));
        fleet.run(80.0);
        for observer in 0..12 {
            let majority = if observer < first {
                first > 6
            } else {
                12 - first > 6
            };
            for of in 0..12 {
                let across = (of < first) != (observer < first);
                let dead = fleet.state(observer, of) == Some(State::Dead);
                assert_eq!(dead, majority && across, "seed {seed}: {observer} of {of}");
            }
        }
        fleet.passes = Box::new(|_, _| true);
        let agreed = fleet.until(80.0, Fleet::agrees);
        assert!(agreed.is_some(), "seed {seed}: never one again");
        for (who, states) in fleet.verdicts(since) {
            assert!(states.len() <= 2, "seed {seed}: {who:?} {states:?}");
        }
    }
}

#[test]
fn paused_member_declares_nobody_dead_and_stays_known() {
    for seed in 0..6 {
        let mut fleet = together(20, seed);
        for periods in [2, 10, 60] {
            let since = fleet.now;
            fleet.pause(4, periods * PERIOD);
            fleet.run(periods as f64 + 30.0);
            let told = fleet
                .seen
                .iter()
                .filter(|seen| seen.at >= since && seen.observer == 4);
            let dead = |change: &Change| {
                matches!(
                    change,
                    Change::MemberState {
                        current: State::Dead,
                        ..
                    }
                )
            };
            assert_eq!(
                told.filter(|seen| dead(&seen.change)).count(),
                0,
                "seed {seed}, {periods} periods"
            );
            assert_eq!(
                fleet.false_deaths(since, &[4]),
                0,
                "seed {seed}, {periods} periods"
            );
            assert!(fleet.agrees(), "seed {seed}, {periods} periods");
        }
    }
}

#[test]
fn mass_restart_of_seven_in_ten_leaves_nobody_dead() {
    for (seed, kept) in [(1, true), (2, false), (3, true)] {
        let mut fleet = together(30, seed);
        (0..21).for_each(|index| fleet.kill(index));
        fleet.run(30.0);
        (0..21).for_each(|index| fleet.start(index, kept));
        let agreed = fleet.until(60.0, Fleet::agrees);
        assert!(agreed.is_some(), "seed {seed}: never all together again");
    }
}

#[test]
fn rolling_restart_with_kills_leaves_nobody_dead() {
    for (seed, kept) in [(1, true), (2, false)] {
        let mut fleet = together(20, seed);
        for index in 0..20 {
            if index % 2 == 0 {
                fleet.kill(index);
            } else {
                fleet.leave(index);
            }
            fleet.run(3.0);
            fleet.start(index, kept);
            fleet.run(1.0);
        }
        assert!(fleet.until(40.0, Fleet::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn leaving_member_is_known_as_left_and_may_rejoin() {
    let mut fleet = together(20, 1);
    let since = fleet.now;
    fleet.leave(3);
    let all = |fleet: &Fleet| {
        fleet
            .running()
            .iter()
            .all(|&other| fleet.state(other, 3) == Some(State::Left))
    };
    let known = fleet.until(20.0, all);
    assert!(known.is_some_and(|periods| periods < 10.0), "{known:?}");
    assert_eq!(fleet.false_deaths(since, &[]), 0);
    fleet.start(3, false);
    assert!(fleet.until(20.0, Fleet::agrees).is_some());
}

#[test]
fn restart_with_persisted_state_causes_no_state_change() {
    let mut fleet = together(12, 1);
    let since = fleet.now;
    fleet.kill(3);
    fleet.start(3, true);
    fleet.run(20.0);
    assert!(fleet.agrees());
    let of_it = |seen: &&Seen| {
        seen.at >= since
            && matches!(&seen.change, Change::MemberState { name, .. } if *name == "n3")
            && seen.observer != 3
    };
    assert_eq!(
        fleet.seen.iter().filter(of_it).count(),
        0,
        "no other saw it change its state"
    );
}

#[test]
fn name_conflict_is_won_by_the_elder_process() {
    // the twelfth bears the third one's name, from another address
    let mut fleet = Fleet::with(12, 1, |settings| {
        if settings.name == "n11" {
            settings.name = "n3".to_string();
        }
    });
    fleet.run(60.0);
    let rival = |observer: usize| {
        let mut rivals = fleet.seen.iter().filter(|seen| seen.observer == observer);
        rivals.find_map(|seen| match seen.change {
            Change::NameConflict { yields, .. } => Some(yields),
            _ => None,
        })
    };
    assert_eq!(
        (rival(3), rival(11)),
        (Some(false), Some(true)),
        "n3 was first"
    );
    let at = |fleet: &Fleet| {
        fleet
            .node(0)
            .member_reports(fleet.now)
            .iter()
            .find(|m| m.name == "n3")
            .map(|m| m.address)
    };
    assert_eq!(at(&fleet), Some(address(3)));
    let settled = fleet.now;
    fleet.run(60.0);
    let later = |seen: &&Seen| {
        seen.at > settled
            && matches!(
                &seen.change,
                Change::MemberState { .. } | Change::Refuted { .. }
            )
    };
    assert_eq!(fleet.seen.iter().filter(later).count(), 0, "it is settled");
    // the other one takes the name once it is free
    fleet.kill(3);
    fleet.run(80.0);
    assert_eq!(at(&fleet), Some(address(11)));
}

#[test]
fn replayed_datagrams_do_not_revive_a_dead_member() {
    let mut fleet = together(8, 1);
    fleet.keep = true;
    fleet.run(3.0);
    let old: Vec<_> = std::mem::take(&mut fleet.last)
        .into_iter()
        .filter(|(from, _, _)| *from == 5)
        .collect();
    fleet.keep = false;
    assert!(old.len() > 3);
    fleet.kill(5);
    fleet.run(40.0);
    let since = fleet.now;
    for (from, _, bytes) in &old {
        (0..8)
            .filter(|to| *to != 5)
            .for_each(|to| fleet.inject(to, *from, bytes));
    }
    fleet.run(5.0);
    assert!(fleet.verdicts(since).is_empty());
    assert!(fleet.agrees());
}

#[test]
fn unreadable_datagrams_are_counted_and_change_nothing() {
    let mut fleet = together(5, 1);
    let since = fleet.now;
    fleet.inject(2, 1, b"");
    fleet.inject(2, 1, b"Mm\x01nonsense");
    fleet.inject(2, 1, &[0; 1399]);
    fleet.run(3.0);
    assert_eq!(fleet.node(2).counters().dropped.values().sum::<u64>(), 3);
    assert!(fleet.verdicts(since).is_empty() && fleet.agrees());
}

#[test]
fn members_with_another_key_are_not_admitted() {
    let key = |key: &'static [u8]| Some(key.to_vec());
    let mut fleet = Fleet::with(6, 1, move |settings| {
        let stranger = settings.name == "n5";
        settings.key = if stranger {
            key(b"not the fleet's key")
        } else {
            key(b"the key of this fleet")
        };
    });
    fleet.run(30.0);
    assert_eq!(
        (fleet.node(0).view().present, fleet.node(5).view().present),
        (5, 1)
    );
    assert!(fleet.node(0).counters().dropped.values().sum::<u64>() > 0);
}
