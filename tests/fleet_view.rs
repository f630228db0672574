//! Tests the fleet size that a sender derives from its view of the fleet's members.

mod common;
use common::*;
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// Warm-up time of the settings, in microseconds. A view must stay unchanged for this time before the fleet size falls.
const STABLE_TIME: Micros = 10 * SECOND;

/// Returns a host with `senders` configured senders, and a function that lets time pass, passes a view to the decision
/// module and returns the fleet size.
fn sender(
    senders: u32,
) -> (
    TestHost,
    impl Fn(&mut TestHost, Micros, Option<FleetView>) -> u32,
) {
    let mut settings = settings(8);
    settings.senders = senders;
    let host = TestHost::new(settings, vec![entry(1, 7)]);
    let set_view = |host: &mut TestHost, after: Micros, view| {
        host.now += after;
        host.sender
            .handle(host.now, &[Event::FleetView(view)], &mut Vec::new());
        host.sender.fleet_size()
    };
    (host, set_view)
}

/// Returns a view that all present members hold.
fn view(present: u32, departed: u32) -> FleetView {
    FleetView {
        present,
        suspects: 0,
        departed,
        agreeing: present,
        isolated: false,
    }
}

#[test]
fn fleet_size_falls_after_stable_view_and_rises_immediately() {
    let (mut host, set_view) = sender(100);
    assert_eq!(set_view(&mut host, 0, Some(view(60, 40))), 100);
    assert_eq!(
        set_view(&mut host, STABLE_TIME - 1, Some(view(60, 40))),
        100
    );
    let mut actions = Vec::new();
    host.now += 1;
    host.sender
        .handle(host.now, &[Event::TimerExpired], &mut actions);
    assert_eq!(host.sender.fleet_size(), 60, "when its own timer expires");
    assert_eq!(
        set_view(&mut host, SECOND, Some(view(61, 39))),
        61,
        "rises immediately"
    );
    assert_eq!(
        set_view(
            &mut host,
            SECOND,
            Some(FleetView {
                isolated: true,
                ..view(61, 39)
            })
        ),
        100,
        "while isolated"
    );
    assert_eq!(set_view(&mut host, SECOND, None), 100);
}

#[test]
fn lower_view_sets_timer_for_end_of_stable_time() {
    let (mut host, _) = sender(100);
    let mut actions = Vec::new();
    host.sender.handle(
        host.now,
        &[Event::FleetView(Some(view(60, 40)))],
        &mut actions,
    );
    assert!(
        actions.contains(&Action::SetTimer(host.now + STABLE_TIME)),
        "{actions:?}"
    );
}

#[test]
fn uncertain_view_never_lowers_fleet_size() {
    let lowered = view(60, 40);
    for (case, view) in [
        (
            "a suspect",
            FleetView {
                suspects: 1,
                ..lowered
            },
        ),
        (
            "no majority agrees",
            FleetView {
                agreeing: 50,
                ..lowered
            },
        ),
        ("a minority", view(50, 50)),
        (
            "isolated",
            FleetView {
                isolated: true,
                ..lowered
            },
        ),
        ("others never seen", view(60, 0)),
    ] {
        let (mut host, set_view) = sender(100);
        set_view(&mut host, 0, Some(view));
        assert_eq!(
            set_view(&mut host, 100 * STABLE_TIME, Some(view)),
            100,
            "{case}"
        );
    }
    // a view that changes before each stable time has passed
    let (mut host, set_view) = sender(100);
    for step in 0..100 {
        assert_eq!(
            set_view(
                &mut host,
                STABLE_TIME / 2,
                Some(view(60 + step % 2, 40 - step % 2))
            ),
            100
        );
    }
}

#[test]
fn changed_settings_apply_immediately() {
    let (mut host, set_view) = sender(100);
    set_view(&mut host, 0, Some(view(60, 40)));
    assert_eq!(set_view(&mut host, STABLE_TIME, Some(view(60, 40))), 60);
    let mut settings = host.sender.settings().clone();
    settings.senders = 80;
    host.sender.handle(
        host.now,
        &[Event::SettingsChanged(Box::new(settings))],
        &mut Vec::new(),
    );
    assert_eq!(host.sender.fleet_size(), 60, "forty senders have departed");
    let (mut host, _) = sender(100);
    let mut settings = host.sender.settings().clone();
    settings.senders = 80;
    host.sender.handle(
        host.now,
        &[Event::SettingsChanged(Box::new(settings))],
        &mut Vec::new(),
    );
    assert_eq!(host.sender.fleet_size(), 80);
}

#[test]
fn random_views_never_give_fleet_size_below_present_members_or_uncertain_fall() {
    let mut random = Pcg32::seed_from_u64(4);
    let mut below = |limit: u32| random.next_u32() % limit;
    for _ in 0..300 {
        let configured = 1 + below(40);
        let (mut host, set_view) = sender(configured);
        let (mut before, mut held): (u32, Option<(FleetView, Micros)>) = (configured, None);
        for _ in 0..60 {
            let view = FleetView {
                present: 1 + below(configured + 3),
                suspects: below(3) / 2,
                departed: below(configured + 2),
                agreeing: below(configured + 2),
                isolated: below(5) == 0,
            };
            // repeats the previous view in three of four steps, so that some views reach the stable time
            let view = held.filter(|_| below(4) > 0).map_or(view, |(view, _)| view);
            let after = Micros::from(below(8)) * SECOND;
            let now = set_view(&mut host, after, Some(view));
            let without_agreeing = |view: FleetView| FleetView {
                agreeing: 0,
                ..view
            };
            held = Some((
                view,
                held.filter(|(old, _)| without_agreeing(*old) == without_agreeing(view))
                    .map_or(host.now, |(_, at)| at),
            ));
            let is_stable = held.is_some_and(|(_, since)| host.now - since >= STABLE_TIME);
            assert!(now >= view.present.min(before), "{view:?}: {now}");
            if now < before && now < configured {
                assert!(
                    is_stable && view.suspects == 0 && 2 * view.agreeing > configured,
                    "{view:?}: {before} to {now}"
                );
            }
            if view.isolated || 2 * view.present <= configured {
                assert!(now >= configured, "{view:?}: {now}");
            }
            before = now;
        }
    }
}

#[test]
fn remaining_senders_try_closed_destination_as_often_as_full_fleet() {
    // nine of twenty senders have departed: the other eleven together must try a destination that rejects all calls as
    // often as the twenty did, so each one 20/11 times as often
    let tries = |view: Option<FleetView>| {
        let mut settings = settings(8);
        settings.senders = 20;
        let mut host = TestHost::new(settings, vec![entry(1, 7)]);
        host.handle(vec![Event::FleetView(view)]);
        let begin = host.now + 2 * STABLE_TIME;
        host.run(begin);
        for id in 0..300 {
            host.handle(vec![message(id, IDEMPOTENT, 7)]);
            for step in 1..=20 {
                let before = host.sends.len();
                host.run(begin + id as Micros * SECOND + step * SECOND / 20);
                let new: Vec<u64> = host.sends[before..].iter().map(|send| send.1).collect();
                new.iter().for_each(|&id| {
                    drop(host.end(
                        id,
                        Outcome::Rejected { retry_after: None },
                        10 * MILLISECOND,
                    ))
                });
            }
        }
        host.sends.len() as f64
    };
    let (all, left) = (tries(None), tries(Some(view(11, 9))));
    let ratio = left / all;
    assert!(
        (1.5..=2.1).contains(&ratio),
        "{left} tries against {all}, expected a ratio of 20/11"
    );
}

#[test]
fn fair_share_shrinks_immediately_when_departed_senders_return() {
    // calls of one sender in 3 s, after a first rejection, to a destination whose listed rate is 40 calls per second for
    // twenty senders
    let sent = |views: [Option<FleetView>; 2]| {
        let mut settings = settings(20);
        (settings.senders, settings.weight_trust) = (20, 1.0);
        let entries = vec![EndpointEntry {
            weight: 40.0,
            ..entry(1, 7)
        }];
        let mut host = TestHost::new(settings, entries.clone());
        host.handle(vec![Event::FleetView(views[0])]);
        host.run(START + 2 * STABLE_TIME);
        host.handle(vec![Event::EndpointList {
            scope: ListScope::Full,
            entries,
        }]);
        host.handle(vec![Event::FleetView(views[1])]);
        host.handle(vec![message(1, IDEMPOTENT, 7)]);
        host.end(1, Outcome::Rejected { retry_after: None }, 10 * MILLISECOND);
        let begin = host.now;
        (2..60).for_each(|id| drop(host.handle(vec![message(id, IDEMPOTENT, 7)])));
        for step in 1..=150 {
            let before = host.sends.len();
            host.run(begin + step * 20 * MILLISECOND);
            let new: Vec<u64> = host.sends[before..].iter().map(|send| send.1).collect();
            new.iter()
                .for_each(|&id| drop(host.end(id, Outcome::Success, 10 * MILLISECOND)));
        }
        host.sends.iter().filter(|send| send.0 > begin).count()
    };
    let few = Some(view(11, 9));
    let (all_present, nine_departed, nine_returned) = (
        sent([None, None]),
        sent([few, few]),
        sent([few, Some(view(20, 0))]),
    );
    assert!(
        nine_departed > all_present,
        "{nine_departed} calls by one of eleven, {all_present} by one of twenty"
    );
    assert_eq!(nine_returned, all_present, "as if no sender had departed");
}
