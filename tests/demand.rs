//! What a sender tells of its demand: where only what is in use is looked at, it is the same as where all is.

mod common;

use common::*;
use message_sender::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

const DESTINATIONS: u32 = 40;

fn host(senders: u32) -> TestHost {
    let mut settings = settings(12);
    settings.senders = senders;
    let mut host = TestHost::new(
        settings,
        (0..DESTINATIONS)
            .map(|number| entry(number, number.into()))
            .collect(),
    );
    host.handle(vec![Event::Quotas(Some(Box::default()))]);
    host
}

/// Holds what is told of the demand in use against the whole.
fn compare(host: &mut TestHost) -> usize {
    let whole = host.sender.demand();
    let (listed, used) = host.sender.demand_in_use(0);
    assert_eq!(listed, DESTINATIONS as usize);
    for (destination, demand) in &used {
        assert_eq!(demand, &whole[destination], "{destination}");
    }
    // what is sick by the word of others alone, with nothing held or called, wants nothing and reports nothing
    let in_use = |demand: &Demand| {
        demand.waiting > 0 || demand.in_flight > 0 || demand.failing || demand.alive
    };
    for (destination, demand) in whole.iter().filter(|(_, demand)| in_use(demand)) {
        assert!(
            used.contains_key(destination),
            "{destination} is left out: {demand:?}"
        );
    }
    used.len()
}

#[test]
fn a_list_that_is_short_enough_is_told_whole() {
    let mut host = host(3);
    let whole = host.sender.demand();
    assert_eq!(
        host.sender.demand_in_use(DESTINATIONS as usize),
        (DESTINATIONS as usize, whole)
    );
}

#[test]
fn what_is_in_use_is_told_as_it_is_and_what_has_come_to_rest_no_more() {
    let mut host = host(3);
    assert_eq!(compare(&mut host), 0);
    host.handle(vec![message(1, IDEMPOTENT, 7)]);
    let (_, told) = host.sender.demand_in_use(0);
    assert_eq!((told.len(), told[&7].in_flight, told[&7].sent), (1, 1, 1));
    host.end(1, Outcome::Success, 10 * MILLISECOND);
    assert!(host.sender.demand_in_use(0).1[&7].alive);
    // its last success is long ago: told once more, and then not
    host.run(host.now + 60 * SECOND);
    host.handle(vec![Event::TimerExpired]);
    assert_eq!(host.sender.demand_in_use(0).1.len(), 1);
    assert_eq!(host.sender.demand_in_use(0).1.len(), 0);
}

#[test]
fn what_was_there_before_limits_were_shared_is_found_at_the_first_look() {
    let mut host = host(3);
    host.handle(vec![
        Event::Quotas(None),
        message(1, IDEMPOTENT, 7),
        message(2, IDEMPOTENT, 9),
    ]);
    host.handle(vec![Event::Quotas(Some(Box::default()))]);
    assert_eq!(compare(&mut host), 2);
}

#[test]
fn random_events_never_hide_a_destination_that_is_in_use() {
    for seed in 0..20 {
        let (mut host, mut random) = (
            host([1, 3, 300][seed as usize % 3]),
            Pcg32::seed_from_u64(seed),
        );
        let mut below = |most: u32| random.next_u32() % most;
        let mut looked = 0;
        for id in 0..400_u64 {
            host.handle(vec![message(
                id,
                [IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT][below(3) as usize],
                below(DESTINATIONS).into(),
            )]);
            host.run(host.now + Micros::from(below(80)) * MILLISECOND);
            if below(2) == 0 && host.sends.iter().any(|(_, sent, ..)| *sent == id) {
                let refused = Outcome::Rejected { retry_after: None };
                let outcome = [Outcome::Success, refused, Outcome::Error, Outcome::TimedOut]
                    [below(4) as usize];
                host.end(id, outcome, 10 * MILLISECOND);
            }
            match below(10) {
                0 => looked += compare(&mut host),
                1 if below(20) == 0 => {
                    let unavailable = below(2) == 0;
                    host.handle(vec![Event::FleetHealth {
                        destination: below(DESTINATIONS).into(),
                        unavailable,
                    }]);
                }
                _ => {}
            }
        }
        assert!(looked > 0);
    }
}
