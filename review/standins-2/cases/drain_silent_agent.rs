//! quay-parcels, where lists are pushed: a sender is killed while discovery is down, and restarts beside a silent agent.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::Endpoint;
use crate::platform::{Platform, Watches};
use crate::sender::Sender;
use crate::sites;
use crate::world::{World, ms};
use std::thread;
use std::time::Instant;

/// How long discovery is down, and its agent silent.
const DOWN_MS: u64 = 8000;
/// The settings' time for drains, and the slack on sockets.
const GRACE_MS: u64 = 600 + 50;

pub fn play(world: &World) -> Verdict {
    let endpoints: Vec<_> = ["s-a1", "s-a2", "s-b1", "s-b2"]
        .iter()
        .enumerate()
        .map(|(number, uid)| Endpoint::start(world, uid, 7 + number as u64 / 2, "north-basin", "haulier", 60))
        .collect();
    let agent = Platform::start(world, "agent", 41, endpoints.clone());
    let mut sender = Sender::new(world, "n0");
    // the list of the configuration is as old as the first start
    sender.write_config(agent.address, &agent.whole(), &sites::quay_parcels());
    sender.start(world, agent.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready".into());
    }
    let mut traffic = Traffic {
        world,
        client: Client::default(),
        address: sender.listen,
        number: 0,
    };
    traffic.run_until(Instant::now() + ms(2000));
    let drained = &endpoints[0];
    agent.change(world, drained, "draining");
    traffic.run_until(Instant::now() + ms(4000));
    let calls_before = drained.calls.lock().unwrap().len();
    if agent.told.lock().unwrap().iter().all(|(rev, _)| *rev < 42) {
        return Verdict::CouldNotRun("the drain was never written to the sender".into());
    }
    if world.trouble {
        *agent.watches.lock().unwrap() = Watches::Silent;
        world.note("discovery goes down");
    }
    let down_at = Instant::now();
    sender.kill(world);
    thread::sleep(ms(600));
    let restarted = Instant::now();
    sender.start(world, agent.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready again".into());
    }
    traffic.client = Client::default();
    traffic.run_until(down_at + ms(DOWN_MS));
    *agent.watches.lock().unwrap() = Watches::Serve;
    world.note("discovery is up");
    traffic.run_until(down_at + ms(DOWN_MS + 4000));
    let mut late = Vec::new();
    for call in &drained.calls.lock().unwrap()[calls_before..] {
        if call.began > restarted + ms(GRACE_MS) {
            let after = world.ms(call.began) - world.ms(restarted);
            late.push(format!(
                "call {} to {} began {after:.0} ms after the new process",
                call.id, drained.uid
            ));
        }
    }
    if late.is_empty() {
        return Verdict::Held;
    }
    for line in &late {
        world.note(line);
    }
    Verdict::Broken(format!("drain, {} times; first: {}", late.len(), late[0]))
}

struct Traffic<'a> {
    world: &'a World,
    client: Client,
    address: std::net::SocketAddr,
    number: u64,
}

impl Traffic<'_> {
    /// Five messages a second for each destination.
    fn run_until(&mut self, end: Instant) {
        while Instant::now() < end {
            let next = Instant::now() + ms(100);
            let message = Message {
                id: format!("m{}", self.number),
                class: "crane-slot",
                tenant: "ferry-line",
                destination: 7 + self.number % 2,
                subject: None,
                keyed: false,
                deadline_ms: 6000,
                body: 212,
            };
            self.client.hand_in(self.world, self.address, &message);
            self.number += 1;
            self.world.sleep_until(next);
        }
    }
}
