//! What a sender makes of the number of its fellows that live.

mod common;
use common::*;
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// Cold time of the settings: a view must stand for so long before the number falls.
const STANDS: Micros = 10 * SECOND;

fn sender(
    senders: u32,
) -> (
    TestHost,
    impl Fn(&mut TestHost, Micros, Option<FleetView>) -> u32,
) {
    let mut settings = settings(8);
    settings.senders = senders;
    let host = TestHost::new(settings, vec![entry(1, 7)]);
    let tell = |host: &mut TestHost, after: Micros, view| {
        host.now += after;
        host.sender
            .handle(host.now, &[Event::FleetView(view)], &mut Vec::new());
        host.sender.fleet_size()
    };
    (host, tell)
}

/// All that live hold this view.
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
fn the_number_falls_once_the_view_has_stood_and_rises_at_once() {
    let (mut host, tell) = sender(100);
    assert_eq!(tell(&mut host, 0, Some(view(60, 40))), 100);
    assert_eq!(tell(&mut host, STANDS - 1, Some(view(60, 40))), 100);
    let mut actions = Vec::new();
    host.now += 1;
    host.sender
        .handle(host.now, &[Event::TimerExpired], &mut actions);
    assert_eq!(host.sender.fleet_size(), 60, "at its own alarm");
    assert_eq!(tell(&mut host, SECOND, Some(view(61, 39))), 61, "at once");
    assert_eq!(
        tell(
            &mut host,
            SECOND,
            Some(FleetView {
                isolated: true,
                ..view(61, 39)
            })
        ),
        100,
        "in doubt"
    );
    assert_eq!(tell(&mut host, SECOND, None), 100);
}

#[test]
fn it_rings_when_the_view_will_have_stood() {
    let (mut host, _) = sender(100);
    let mut actions = Vec::new();
    host.sender.handle(
        host.now,
        &[Event::FleetView(Some(view(60, 40)))],
        &mut actions,
    );
    assert!(
        actions.contains(&Action::SetTimer(host.now + STANDS)),
        "{actions:?}"
    );
}

#[test]
fn what_is_less_than_sure_never_lowers_the_number() {
    let lowered = view(60, 40);
    for (what, view) in [
        (
            "a suspect",
            FleetView {
                suspects: 1,
                ..lowered
            },
        ),
        (
            "few hold it",
            FleetView {
                agreeing: 50,
                ..lowered
            },
        ),
        ("a minority", view(50, 50)),
        (
            "doubt",
            FleetView {
                isolated: true,
                ..lowered
            },
        ),
        ("never heard of", view(60, 0)),
    ] {
        let (mut host, tell) = sender(100);
        tell(&mut host, 0, Some(view));
        assert_eq!(tell(&mut host, 100 * STANDS, Some(view)), 100, "{what}");
    }
    // one that is never still
    let (mut host, tell) = sender(100);
    for step in 0..100 {
        assert_eq!(
            tell(
                &mut host,
                STANDS / 2,
                Some(view(60 + step % 2, 40 - step % 2))
            ),
            100
        );
    }
}

#[test]
fn new_settings_bind_at_once() {
    let (mut host, tell) = sender(100);
    tell(&mut host, 0, Some(view(60, 40)));
    assert_eq!(tell(&mut host, STANDS, Some(view(60, 40))), 60);
    let mut settings = host.sender.settings().clone();
    settings.senders = 80;
    host.sender.handle(
        host.now,
        &[Event::SettingsChanged(Box::new(settings))],
        &mut Vec::new(),
    );
    assert_eq!(
        host.sender.fleet_size(),
        60,
        "forty of them are known to be gone"
    );
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
fn in_any_run_of_views_the_number_is_no_lower_than_what_may_live_and_falls_only_when_sure() {
    let mut random = Pcg32::seed_from_u64(4);
    let mut below = |most: u32| random.next_u32() % most;
    for _ in 0..300 {
        let configured = 1 + below(40);
        let (mut host, tell) = sender(configured);
        let (mut before, mut held): (u32, Option<(FleetView, Micros)>) = (configured, None);
        for _ in 0..60 {
            let view = FleetView {
                present: 1 + below(configured + 3),
                suspects: below(3) / 2,
                departed: below(configured + 2),
                agreeing: below(configured + 2),
                isolated: below(5) == 0,
            };
            // often the same one again, so that views stand
            let view = held.filter(|_| below(4) > 0).map_or(view, |(view, _)| view);
            let after = Micros::from(below(8)) * SECOND;
            let now = tell(&mut host, after, Some(view));
            let seen = |view: FleetView| FleetView {
                agreeing: 0,
                ..view
            };
            held = Some((
                view,
                held.filter(|(old, _)| seen(*old) == seen(view))
                    .map_or(host.now, |(_, at)| at),
            ));
            let stood = held.is_some_and(|(_, since)| host.now - since >= STANDS);
            assert!(now >= view.present.min(before), "{view:?}: {now}");
            if now < before && now < configured {
                assert!(
                    stood && view.suspects == 0 && 2 * view.agreeing > configured,
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
fn those_that_are_left_try_a_shut_destination_as_often_as_all_did() {
    // twenty senders, nine of which have departed: what refuses all is tried by the eleven as often as by the twenty
    let tries = |view: Option<FleetView>| {
        let mut settings = settings(8);
        settings.senders = 20;
        let mut host = TestHost::new(settings, vec![entry(1, 7)]);
        host.handle(vec![Event::FleetView(view)]);
        let begin = host.now + 2 * STANDS;
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
        "{left} for {all} tries, 20/11 wanted"
    );
}

#[test]
fn when_others_come_back_their_part_is_given_up_at_once() {
    // calls in 3 s to a destination listed with 40 a second for twenty, after a first refusal
    let sent = |views: [Option<FleetView>; 2]| {
        let mut settings = settings(20);
        (settings.senders, settings.weight_trust) = (20, 1.0);
        let entries = vec![EndpointEntry {
            weight: 40.0,
            ..entry(1, 7)
        }];
        let mut host = TestHost::new(settings, entries.clone());
        host.handle(vec![Event::FleetView(views[0])]);
        host.run(START + 2 * STANDS);
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
    let (never, gone, back) = (
        sent([None, None]),
        sent([few, few]),
        sent([few, Some(view(20, 0))]),
    );
    assert!(
        gone > never,
        "{gone} by one of eleven, {never} by one of twenty"
    );
    assert_eq!(back, never, "as if they had never been gone");
}
