//! oviedo-portal: an endpoint begins to drain while the connection for a call to it has not come up.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::Endpoint;
use crate::platform::Platform;
use crate::sender::Sender;
use crate::sites;
use crate::world::{World, ms};
use std::thread;
use std::time::Instant;

/// Rounds, each with a destination of its own whose nearer endpoint drains.
const ROUNDS: u64 = 6;
/// Destinations whose connections come up at once. With them, under a third of all connections come up late.
const OTHERS: u64 = 18;
/// What a call takes, and when the platform ends a drained endpoint, from when discovery told that it drains.
const WORK_MS: u64 = 400;
const END_MS: u64 = 1000;
/// The settings' time for drains, and the slack on sockets.
const GRACE_MS: u64 = 250 + 50;

pub fn play(world: &World) -> Verdict {
    let kind = "major-partner";
    let near: Vec<_> = (0..ROUNDS)
        .map(|round| Endpoint::closed(&format!("s-near{round}"), 100 + round, "edificio-a", kind, WORK_MS))
        .collect();
    let far: Vec<_> = (0..ROUNDS)
        .map(|round| {
            Endpoint::start(
                world,
                &format!("s-far{round}"),
                100 + round,
                "edificio-b",
                kind,
                WORK_MS,
            )
        })
        .collect();
    let others: Vec<_> = (0..OTHERS)
        .map(|number| Endpoint::start(world, &format!("s-other{number}"), number, "edificio-a", kind, 60))
        .collect();
    let all = [near.clone(), far, others].concat();
    let discovery = Platform::start(world, "discovery", 41, all);
    let mut sender = Sender::new(world, "n0");
    sender.write_config(discovery.address, &discovery.whole(), &sites::oviedo_portal());
    if !world.trouble {
        near.iter().for_each(|endpoint| endpoint.serve(world));
    }
    let held: Vec<_> = near
        .iter()
        .map(|endpoint| {
            if world.trouble {
                endpoint.fill_queue()
            } else {
                Vec::new()
            }
        })
        .collect();
    sender.start(world, discovery.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready".into());
    }
    thread::sleep(ms(1000));
    let mut client = Client::default();
    let mut hand_in = |id: String, destination| {
        let message = Message {
            id,
            class: "portal-event",
            tenant: "",
            destination,
            subject: None,
            keyed: true,
            deadline_ms: 16_000,
            body: 212,
        };
        client.hand_in(world, sender.listen, &message)
    };
    for (round, endpoint) in near.iter().enumerate() {
        for number in 0..3 {
            hand_in(format!("o{round}{number}"), round as u64 * 3 + number);
        }
        let begun = Instant::now();
        let handed = hand_in(format!("a{round}"), endpoint.destination);
        if handed.status != "202" {
            return Verdict::CouldNotRun(format!("{} was answered '{}'", handed.id, handed.status));
        }
        world.sleep_until(begun + ms(200));
        discovery.change(world, endpoint, "draining");
        world.sleep_until(begun + ms(700));
        if world.trouble {
            world.note(&format!(
                "endpoint {}: new connections come up from now on",
                endpoint.uid
            ));
            endpoint.serve(world);
        }
        world.sleep_until(begun + ms(200 + END_MS));
        endpoint.end(world);
        world.sleep_until(begun + ms(2500));
    }
    drop(held);
    // messages that may have run can be repeated for 10 s
    thread::sleep(ms(13_500));
    judge(world, &near, &discovery)
}

fn judge(world: &World, near: &[std::sync::Arc<Endpoint>], discovery: &Platform) -> Verdict {
    let told = discovery.told.lock().unwrap().clone();
    let mut late = Vec::new();
    for (round, endpoint) in near.iter().enumerate() {
        // the changes are the versions after the first one, in the order of the rounds
        let rev = 42 + round as u64;
        let Some((_, told_at)) = told.iter().find(|(told, _)| *told >= rev) else {
            return Verdict::CouldNotRun(format!("rev {rev} was never written to the sender"));
        };
        for call in endpoint.calls.lock().unwrap().iter() {
            if call.began > *told_at + ms(GRACE_MS) {
                let after = world.ms(call.began) - world.ms(*told_at);
                late.push(format!(
                    "call {} to {} began {after:.0} ms after the sender was told",
                    call.id, endpoint.uid
                ));
            }
        }
    }
    if late.is_empty() {
        return Verdict::Held;
    }
    for line in &late {
        world.note(line);
    }
    let failed = |round: &u64| {
        let id = format!(r#""id":"a{round}""#);
        let notices = discovery.notices.lock().unwrap();
        notices
            .iter()
            .any(|notice| notice.text.contains(&id) && notice.text.contains("failed"))
    };
    let failed = (0..ROUNDS).filter(failed).count();
    Verdict::Broken(format!(
        "drain, {} times; {failed} of {ROUNDS} messages were given up as failed; first: {}",
        late.len(),
        late[0]
    ))
}
