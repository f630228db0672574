//! hue-main with the largest fleet: a sender is killed and restarted with the list that it last held in its configuration.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::Endpoint;
use crate::platform::Platform;
use crate::sender::Sender;
use crate::sites;
use crate::world::{World, ms};
use std::fs;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// Endpoints in the list.
const ENDPOINTS: u64 = 3200;
/// The journal's size at which the sender is killed: it has reached a tenth less than what its limit allows.
const KILL_AT_BYTES: u64 = 2_650_000;
/// Messages that are taken on right before the kill, more than the sender has slots.
const LAST: u64 = 40;
const DEADLINE_MS: u64 = 16_000;

pub fn play(world: &World) -> Verdict {
    let endpoints: Vec<_> = ["s-00000001", "s-00000002"]
        .iter()
        .map(|uid| Endpoint::start(world, uid, 1, "floor-2", "payment-gateway", 20))
        .collect();
    let further = (3..=ENDPOINTS).map(|number| {
        format!(
            r#"{{"uid":"s-{number:08x}","endpoint":"127.1.{}.{}:8000","az":"floor-3","model":"reading-club","pod_group":{},"state":"up","capacity_hint":4.5,"boot_ms":0}}"#,
            number / 250,
            number % 250 + 1,
            number / 2 + 10
        )
    });
    let discovery = Platform::with_further(world, "discovery", 41, endpoints.clone(), further.collect());
    let mut sender = Sender::new(world, "n0");
    let settings = sites::hue_main(0, 2);
    // at its first start the sender has never held a list
    sender.write_config(discovery.address, r#"{"rev":0,"all":true,"targets":[]}"#, &settings);
    sender.start(world, discovery.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready".into());
    }
    let mut client = Client::default();
    let mut number = 0;
    let journal = || fs::metadata(sender.folder.join("state/journal")).map_or(0, |file| file.len());
    while journal() < KILL_AT_BYTES {
        let next = Instant::now() + ms(40);
        let heard = hand_in(world, &mut client, &sender, format!("m{number}"), 16_000);
        if heard != "202" {
            return Verdict::CouldNotRun(format!("m{number} was answered '{heard}'"));
        }
        number += 1;
        if number > 400 {
            return Verdict::CouldNotRun("the journal did not grow as expected".into());
        }
        world.sleep_until(next);
    }
    for endpoint in &endpoints {
        endpoint.latency_ms.store(1500, Ordering::Relaxed);
    }
    let mut last = Vec::new();
    for number in 0..LAST {
        let id = format!("last{number}");
        if hand_in(world, &mut client, &sender, id.clone(), 212) == "202" {
            last.push(id);
        }
    }
    let handed_at = Instant::now();
    thread::sleep(ms(100));
    world.note(&format!(
        "{} messages taken on, the journal has {} bytes",
        last.len(),
        journal()
    ));
    let called = |id: &String| {
        let has_call =
            |endpoint: &std::sync::Arc<Endpoint>| endpoint.calls.lock().unwrap().iter().any(|call| call.id == *id);
        endpoints.iter().any(has_call)
    };
    let untried: Vec<String> = last.iter().filter(|id| !called(id)).cloned().collect();
    if untried.len() < 10 {
        return Verdict::CouldNotRun(format!("only {} messages were untried", untried.len()));
    }
    if world.trouble {
        sender.kill(world);
        // the platform writes the list that the sender last held into its configuration
        sender.write_config(discovery.address, &discovery.whole(), &settings);
        thread::sleep(ms(600));
        sender.start(world, discovery.address);
        if !sender.wait_ready(world) {
            return Verdict::CouldNotRun("the sender was not ready again".into());
        }
    }
    for endpoint in &endpoints {
        endpoint.latency_ms.store(20, Ordering::Relaxed);
    }
    let left = DEADLINE_MS as f64 - (Instant::now() - handed_at).as_secs_f64() * 1e3;
    world.note(&format!(
        "{} untried messages, {left:.0} ms of their time are left",
        untried.len()
    ));
    // new messages, until the time of the untried ones is up
    client = Client::default();
    let (mut handed, mut taken) = (0, 0);
    while handed_at.elapsed() < ms(DEADLINE_MS + 500) {
        let next = Instant::now() + ms(250);
        taken += u64::from(hand_in(world, &mut client, &sender, format!("after{handed}"), 212) == "202");
        handed += 1;
        world.sleep_until(next);
    }
    world.note(&format!("{taken} of {handed} new messages were taken on"));
    world.note(&format!(
        "the folder holds {} bytes in whole blocks of 512",
        folder_bytes(&sender)
    ));
    let given_up: Vec<&String> = untried.iter().filter(|id| !called(id)).collect();
    if 2 * given_up.len() > untried.len() {
        return Verdict::Broken(format!(
            "{} of {} untried messages were given up with no call; {taken} of {handed} new messages were taken on",
            given_up.len(),
            untried.len()
        ));
    }
    Verdict::Held
}

fn hand_in(world: &World, client: &mut Client, sender: &Sender, id: String, body: usize) -> String {
    let message = Message {
        id,
        class: "loan-report",
        tenant: "sach-vui",
        destination: 1,
        subject: None,
        keyed: true,
        deadline_ms: DEADLINE_MS,
        body,
    };
    client.hand_in(world, sender.listen, &message).status
}

fn folder_bytes(sender: &Sender) -> u64 {
    let files = fs::read_dir(sender.folder.join("state"))
        .into_iter()
        .flatten()
        .flatten();
    let lengths = files.filter_map(|file| Some(file.metadata().ok()?.len()));
    lengths.map(|length| length.div_ceil(512) * 512).sum()
}
