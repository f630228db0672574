//! Small sizes of the figures, and a planted fault that they have to show.

use super::*;
use fleet_membership::{Datagram, Output};
use std::net::SocketAddr;

/// Bytes a second of a member may grow so much from 64 members to 256: news goes out 4 log10(n) times, rounded up, the
/// bitmap of who holds the view has 24 bytes more, and each is a small part of a datagram.
const GROWTH_MOST: f64 = 1.5;

fn order(members: usize, fault: Fault) -> Order {
    Order {
        members,
        seed: 1,
        loss: 0.0,
        fault,
        one_way: false,
    }
}

/// How often the planted fault tells everyone: seldom, so that the test is short.
const BROADCAST_EVERY: Micros = 10 * SECOND;

/// The module, and now and then a datagram to everyone: the planted fault.
struct Broadcaster {
    node: Node,
    members: usize,
    next: Micros,
}

fn broadcaster(
    member: usize,
    members: usize,
    seed: u64,
    now: Micros,
) -> Result<Broadcaster, SettingsError> {
    Ok(Broadcaster {
        node: real(member, members, seed, now)?,
        members,
        next: now,
    })
}

impl Member for Broadcaster {
    fn tick(&mut self, now: Micros, output: &mut Output) {
        if now >= self.node.next_deadline() {
            self.node.tick(now, output);
        }
        if now >= self.next {
            self.next = now + BROADCAST_EVERY;
            output
                .datagrams
                .extend((0..self.members).map(|member| Datagram {
                    destination: address(member),
                    payload: vec![0; 64],
                }));
        }
    }

    fn handle(&mut self, now: Micros, source: SocketAddr, bytes: &[u8], output: &mut Output) {
        self.node.handle_datagram(now, source, bytes, output);
    }

    fn wake_at(&self) -> Micros {
        self.node.next_deadline().min(self.next)
    }

    fn node(&self) -> &Node {
        &self.node
    }

    fn node_mut(&mut self) -> &mut Node {
        &mut self.node
    }
}

/// How much more a member sends and receives at rest among 256 than among 64.
fn growth<M: Member>(make: Make<M>) -> f64 {
    let bytes = [64, 256].map(|members| {
        let mut run = Run::begin(&order(members, Fault::None), make).expect("good settings");
        let (cold_start, _) = run.cold_start();
        assert!(cold_start.is_some(), "{members} members never counted all");
        let rest = run.rest();
        rest.bytes_out.median + rest.bytes_in.median
    });
    bytes[1] / bytes[0]
}

#[test]
fn what_a_member_sends_at_rest_hardly_grows_with_the_fleet() {
    let growth = growth(real);
    assert!(
        growth <= GROWTH_MOST,
        "{growth:.2} times the bytes for four times the members"
    );
}

#[test]
fn a_planted_message_of_everyone_to_everyone_breaks_that_bound() {
    let growth = growth(broadcaster);
    assert!(
        growth > GROWTH_MOST,
        "the planted fault was not caught: {growth:.2}"
    );
}

#[test]
fn a_fleet_of_64_learns_of_each_change_and_kills_nobody_wrongly() {
    let figures = measure(&order(64, Fault::None)).expect("measured");
    for (what, known) in [
        ("leave", figures.leave),
        ("death", figures.death),
        ("join", figures.join),
    ] {
        let known = known.expect("measured");
        assert!(
            known.missing == 0 && known.seconds.worst > 0.0,
            "{what}: {known:?}"
        );
    }
    assert_eq!((figures.wrong_deaths, figures.disagreements), (0, 0));
}

#[test]
fn a_zone_that_was_cut_off_is_back_in_everyones_table() {
    let figures = measure(&order(64, Fault::Zone)).expect("measured");
    let failed = figures.failed.expect("measured");
    assert!(
        failed.agreed.is_some() && failed.dead.is_some_and(|dead| dead.missing == 0),
        "{failed:?}"
    );
    assert_eq!((figures.wrong_deaths, figures.disagreements), (0, 0));
}

#[test]
fn more_members_than_a_table_may_hold_are_refused() {
    let error = measure(&order(2049, Fault::None))
        .expect_err("refused")
        .to_string();
    assert!(
        error.contains("most is not a number from 2 to 2048"),
        "{error}"
    );
}

#[test]
fn the_same_seed_gives_the_same_traffic() {
    let traffic = || {
        let mut run = Run::begin(&order(64, Fault::None), real).expect("good settings");
        run.cold_start();
        run.fleet
            .used()
            .iter()
            .map(|used| (used.messages_out, used.bytes_in))
            .collect::<Vec<_>>()
    };
    assert_eq!(traffic(), traffic());
}
