//! Refutation against death in every order: three members, what they say of the third in any order, lost or not, with
//! a restart and a turn in between. On the code itself; the states are walked through, not drawn.

mod common;

use common::{PERIOD, address, name};
use fleet_membership::{Datagram, MemberState, Node, Output, PersistedState, Settings, State};
use std::collections::BTreeMap;

const MEMBERS: usize = 3;
/// The one that is accused.
const ACCUSED: usize = 2;

#[derive(Clone)]
struct World {
    now: u64,
    nodes: Vec<Node>,
    /// Datagrams under way: from, to, bytes.
    under_way: Vec<(usize, usize, Vec<u8>)>,
    restarts: u32,
    turns: u32,
    /// What each observer held of the accused: incarnation and state.
    held: BTreeMap<usize, MemberState>,
    /// The greatest incarnation that the accused claimed itself.
    claimed: u64,
}

fn settings(index: usize) -> Settings {
    let mut settings = Settings::new(&name(index), address(index), MEMBERS as u32);
    settings.seeds = (0..MEMBERS)
        .filter(|other| *other != index)
        .map(address)
        .collect();
    settings
}

impl World {
    fn new() -> Self {
        let now = 1_000 * PERIOD;
        let node = |index: usize| {
            Node::new(
                settings(index),
                PersistedState::default(),
                index as u64,
                now + index as u64,
                now,
            )
            .expect("good")
        };
        let (nodes, held) = ((0..MEMBERS).map(node).collect(), BTreeMap::new());
        let mut world = World {
            now,
            nodes,
            under_way: Vec::new(),
            restarts: 0,
            turns: 0,
            held,
            claimed: 0,
        };
        for _ in 0..400 {
            world.turn(PERIOD / 10);
            while !world.under_way.is_empty() {
                world.deliver(0);
            }
        }
        for index in 0..MEMBERS {
            assert_eq!(
                world.nodes[index].view().present as usize,
                MEMBERS,
                "all together"
            );
        }
        world.turns = 0;
        world
    }

    fn turn(&mut self, time: u64) {
        self.now += time;
        self.turns += 1;
        for index in 0..MEMBERS {
            let mut output = Output::default();
            self.nodes[index].tick(self.now, &mut output);
            self.send(index, output);
        }
    }

    fn send(&mut self, from: usize, output: Output) {
        for Datagram {
            destination,
            payload: bytes,
        } in output.datagrams
        {
            if let Some(to) = (0..MEMBERS).find(|&index| address(index) == destination) {
                self.under_way.push((from, to, bytes));
            }
        }
        self.claimed = self.claimed.max(self.nodes[ACCUSED].incarnation());
    }

    fn deliver(&mut self, at: usize) {
        let (from, to, bytes) = self.under_way.remove(at);
        let mut output = Output::default();
        self.nodes[to].handle_datagram(self.now, address(from), &bytes, &mut output);
        self.send(to, output);
    }

    /// The accused begins anew, with nothing remembered.
    fn restart(&mut self) {
        self.restarts += 1;
        let instance = self.now + u64::from(self.restarts);
        self.nodes[ACCUSED] = Node::new(
            settings(ACCUSED),
            PersistedState::default(),
            9,
            instance,
            self.now,
        )
        .expect("good");
    }

    /// Nothing that is held goes back, and nobody raises the accused but by its own word.
    fn check(&mut self, path: &[String]) {
        for observer in (0..MEMBERS).filter(|index| *index != ACCUSED) {
            let Some(now) = self.nodes[observer].member_state(&name(ACCUSED)) else {
                continue;
            };
            let before = self.held.insert(observer, now);
            assert!(
                before.is_none_or(|before| before <= now),
                "{observer} went from {before:?} to {now:?}: {path:?}"
            );
            assert!(
                now.incarnation <= self.claimed,
                "{observer} holds {now:?}, it claimed {}: {path:?}",
                self.claimed
            );
        }
    }
}

/// Walks through all orders to this depth; the number of states.
fn walk(world: &World, depth: u32, path: &mut Vec<String>) -> u64 {
    let mut states = 1;
    if depth == 0 {
        return states;
    }
    let mut go = |what: String, change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        path.push(what);
        next.check(path);
        states += walk(&next, depth - 1, path);
        path.pop();
    };
    for at in 0..world.under_way.len() {
        let (from, to, _) = &world.under_way[at];
        go(format!("{from} to {to} arrives"), &|next| next.deliver(at));
        // a datagram that is never delivered within the depth is one that was lost
    }
    if world.restarts == 0 {
        go("it starts again".to_string(), &World::restart);
    }
    if world.turns < 2 {
        go("a turn".to_string(), &|next| next.turn(PERIOD / 2));
    }
    states
}

#[test]
fn any_delivery_order_with_loss_and_restart_keeps_records_monotonic() {
    // with what the others hold at the begin: one suspects it, or both had it for dead and hear of it again
    let mut states = 0;
    for silent in [false, true] {
        let mut world = World::new();
        // the accused is not heard until the others suspect it, or hold it for dead
        let wanted = if silent { State::Dead } else { State::Suspect };
        for _ in 0..2000 {
            if world.nodes[0]
                .member_state(&name(ACCUSED))
                .is_some_and(|known| known.state >= wanted)
            {
                break;
            }
            world.turn(PERIOD / 10);
            while let Some(at) = world
                .under_way
                .iter()
                .position(|(from, to, _)| *from != ACCUSED && *to != ACCUSED)
            {
                world.deliver(at);
            }
            world.under_way.clear();
        }
        assert!(
            world.nodes[0]
                .member_state(&name(ACCUSED))
                .is_some_and(|known| known.state >= wanted),
            "{wanted:?}"
        );
        world.turns = 0;
        states += walk(&world, 5, &mut Vec::new());
    }
    println!("{states} states");
    assert!(states > 1_000, "{states} states");
}
