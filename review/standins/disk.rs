//! The fleet has grown since a sender was started: at its restart the configuration holds a longer list than before.

use crate::platform::{list_json, Entry};
use crate::sender::Config;
use crate::world::{entry, message, World, DESTINATIONS};
use crate::{Case, Verdict};
use std::time::{Duration, Instant};

/// Limit of the lasting folder.
const DISK_MB: f64 = 3.0;
/// Endpoints in the list, for which the pages allow 3,200.
const LISTED: u64 = 2400;
const BODY_BYTES: usize = 8 * 1024;
/// Size of the lasting folder at which the sender is killed. A journal that is written all day passes it again and
/// again, up to 2.88 MB.
const KILL_AT_BYTES: u64 = 2_750_000;

fn hand_in(world: &mut World, number: &mut u64) -> Option<u16> {
    *number += 1;
    world
        .client
        .hand_in(&message(*number, "title-status", 6000, vec![b'x'; BODY_BYTES]))
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    // these are listed and get no messages, so nothing serves them
    let unplayed = (2 * DESTINATIONS..LISTED).map(|number| {
        let address = format!("127.1.{}.{}:8000", number / 250, 1 + number % 250);
        entry(number, address.parse().expect("an address"))
    });
    let mut world = World::new(case, unplayed.collect(), |_| None);
    let played: Vec<Entry> = world
        .platform
        .entries()
        .into_iter()
        .take(2 * DESTINATIONS as usize)
        .collect();
    let old_list = list_json(40, true, played.iter());
    let discovery = world.discovery.at;
    let config = |known| Config {
        discovery,
        known,
        disk_mb: DISK_MB,
        max_open: 60,
        sockets: 1024,
    };
    if !world.start(&config(&old_list)) {
        return Verdict::CouldNotRun("the sender did not get ready".into());
    }
    let mut number = 0;
    let began = Instant::now();
    while world.sender.folder_bytes() < KILL_AT_BYTES {
        if began.elapsed() > Duration::from_secs(60) {
            return Verdict::CouldNotRun("the folder did not fill".into());
        }
        hand_in(&mut world, &mut number);
        std::thread::sleep(Duration::from_millis(5));
    }
    record.say(format!(
        "{number} messages handed in; the folder holds {}: {}",
        world.sender.folder_bytes(),
        world.sender.files()
    ));
    if case.trouble {
        world.sender.kill();
        std::thread::sleep(Duration::from_millis(600));
        let list = world.platform.known();
        record.say(format!(
            "restart; the list that the sender held has {} bytes, that of its first start {}",
            list.len(),
            old_list.len()
        ));
        if !world.start(&config(&list)) {
            return Verdict::CouldNotRun("the sender did not get ready again".into());
        }
    }
    // a moment in which the new process may put its folder in order
    std::thread::sleep(Duration::from_secs(1));
    let limit = (DISK_MB * 1e6) as u64;
    let calls_before = world.calls.lock().unwrap().len();
    let began = Instant::now();
    let (mut samples, mut over, mut most) = (0, 0, 0);
    let (mut accepted, mut refused, mut other) = (0, 0, 0);
    while began.elapsed() < Duration::from_secs(20) {
        let bytes = world.sender.folder_bytes();
        samples += 1;
        over += usize::from(bytes > limit);
        most = most.max(bytes);
        match hand_in(&mut world, &mut number) {
            Some(200 | 202) => accepted += 1,
            Some(429 | 503) => refused += 1,
            _ => other += 1,
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let called = world.calls.lock().unwrap().len() - calls_before;
    record.say(format!("the folder: {}", world.sender.files()));
    record.say(format!(
        "over {limit} bytes in {over} of {samples} samples, {most} at most"
    ));
    record.say(format!(
        "in these 20 s: {accepted} taken on, {refused} refused, {other} with another end; {called} calls at endpoints"
    ));
    world.sender.record_log();
    if world.sender.has_ended() {
        record.say("the sender has ended by itself");
        return Verdict::Broken;
    }
    if over > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
