//! quay-parcels, where lists are pushed: a sender is killed while discovery is down, and restarts beside a silent agent. An
//! endpoint has been removed before, and its address belongs to one of another destination.

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
    let drained = &endpoints[0];
    // the machine that replaces the drained one gets its address, for another destination
    let replacement = drained.replaced_by("s-c1", 8);
    let listed = [endpoints.clone(), vec![replacement.clone()]].concat();
    let agent = Platform::start(world, "agent", 41, listed);
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
    agent.change(world, drained, "draining");
    traffic.run_until(Instant::now() + ms(1500));
    agent.change(world, drained, "removed");
    traffic.run_until(Instant::now() + ms(1500));
    let rev = 44;
    agent.change(world, &replacement, "up");
    traffic.run_until(Instant::now() + ms(2000));
    if agent.told.lock().unwrap().iter().all(|(told, _)| *told < rev) {
        return Verdict::CouldNotRun("the changes were never written to the sender".into());
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
    let mut foreign = Vec::new();
    for call in drained
        .calls
        .lock()
        .unwrap()
        .iter()
        .filter(|call| call.id.starts_with("d7-"))
    {
        if call.began > restarted + ms(GRACE_MS) {
            let after = world.ms(call.began) - world.ms(restarted);
            foreign.push(format!("{} began {after:.0} ms after the new process", call.id));
        }
    }
    if foreign.is_empty() {
        return Verdict::Held;
    }
    for line in &foreign {
        world.note(line);
    }
    Verdict::Broken(format!(
        "destination, {} messages for destination 7 went to {} of destination 8; first: {}",
        foreign.len(),
        replacement.uid,
        foreign[0]
    ))
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
                id: format!("d{}-{}", 7 + self.number % 2, self.number),
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
