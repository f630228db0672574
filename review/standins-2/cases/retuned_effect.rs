//! clinic-orders: a new configuration makes an unsafe class safe to repeat; messages are handed in before it binds.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::Endpoint;
use crate::platform::Platform;
use crate::sender::{SIGHUP, Sender};
use crate::sites;
use crate::world::{World, ms};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// From the signal until clients name the new class, and its rules bind.
const BINDS_MS: u64 = 1200;
/// Destinations, each with two endpoints.
const DESTINATIONS: u64 = 8;
/// Destinations of which one endpoint is slow: two of sixteen endpoints.
const SLOW: u64 = 2;
/// What a call takes at a slow endpoint, and elsewhere.
const SLOW_MS: u64 = 2500;
const USUAL_MS: u64 = 60;

pub fn play(world: &World) -> Verdict {
    let endpoints: Vec<_> = (0..2 * DESTINATIONS)
        .map(|number| {
            let uid = format!("s-{}{}", number / 2, if number % 2 == 0 { "a" } else { "b" });
            Endpoint::start(world, &uid, number / 2, "west-wing", "ward-desk", USUAL_MS)
        })
        .collect();
    let discovery = Platform::start(world, "discovery", 41, endpoints.clone());
    let mut sender = Sender::new(world, "n0");
    let known = discovery.whole();
    sender.write_config(discovery.address, &known, &sites::clinic_orders("at_most_once"));
    sender.start(world, discovery.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready".into());
    }
    thread::sleep(ms(2000));
    let mut client = Client::default();
    // before the change, to see that the class is not repeated
    let mut handed = Vec::new();
    for number in 0..DESTINATIONS {
        handed.push(hand_in(world, &mut client, &sender, format!("before{number}"), number));
    }
    thread::sleep(ms(2000));
    for destination in 0..SLOW {
        endpoints[2 * destination as usize]
            .latency_ms
            .store(SLOW_MS, Ordering::Relaxed);
    }
    world.note(&format!(
        "{SLOW} of {} endpoints are slow from now on",
        2 * DESTINATIONS
    ));
    if world.trouble {
        sender.write_config(discovery.address, &known, &sites::clinic_orders("idempotent"));
    }
    let signalled = if world.trouble {
        sender.signal(world, SIGHUP)
    } else {
        Instant::now()
    };
    for number in 0..10 {
        world.sleep_until(signalled + ms(200 + 80 * number));
        let heard = hand_in(world, &mut client, &sender, format!("between{number}"), number % SLOW);
        if heard.1 >= signalled + ms(BINDS_MS) {
            return Verdict::CouldNotRun(format!("{} was answered too late", heard.0));
        }
        handed.push(heard);
    }
    world.sleep_until(signalled + ms(8000));
    if !handed.iter().all(|(_, _, status)| status == "202") {
        return Verdict::CouldNotRun("a message was not taken on".into());
    }
    let mut calls: HashMap<String, Vec<String>> = HashMap::new();
    for endpoint in &endpoints {
        for call in endpoint.calls.lock().unwrap().iter() {
            let line = format!("{} at {:.0} ms", endpoint.uid, world.ms(call.came));
            calls.entry(call.id.clone()).or_default().push(line);
        }
    }
    let mut twice = Vec::new();
    for (id, _, _) in &handed {
        let calls = calls.get(id).map_or(&[][..], |calls| calls);
        if calls.is_empty() {
            return Verdict::CouldNotRun(format!("{id} never came to an endpoint"));
        }
        if calls.len() > 1 {
            twice.push(format!("{id} ran {} times: {}", calls.len(), calls.join(", ")));
        }
    }
    if twice.is_empty() {
        return Verdict::Held;
    }
    for line in &twice {
        world.note(line);
    }
    Verdict::Broken(format!("duplicate, {} messages; first: {}", twice.len(), twice[0]))
}

/// Hands in a `bed-request`; returns its id, when its answer came, and the answer's status.
fn hand_in(
    world: &World,
    client: &mut Client,
    sender: &Sender,
    id: String,
    destination: u64,
) -> (String, Instant, String) {
    let message = Message {
        id,
        class: "bed-request",
        tenant: "day-care",
        destination,
        subject: None,
        keyed: false,
        deadline_ms: 6000,
        body: 212,
    };
    let handed = client.hand_in(world, sender.listen, &message);
    (handed.id, handed.heard, handed.status)
}
