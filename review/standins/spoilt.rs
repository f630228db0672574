//! Some answers of endpoints are spoilt: the charge has run, and its answer breaks off.

use crate::endpoint::Reply;
use crate::sender::Config;
use crate::world::{message, World};
use crate::{Case, Verdict};
use std::time::{Duration, Instant};

const CHARGES: u64 = 60;
/// One charge in so many has a spoilt first answer.
const SPOILT_EACH: u64 = 5;
/// The wait can't be read as a number; 64 bytes of a body are announced, four come, and the connection ends.
const SPOILT: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.4x7\r\nContent-Length: 64\r\n\r\nshut";

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let trouble = case.trouble;
    let spoil = move |number: u64| {
        (trouble && number % SPOILT_EACH == 0).then(|| Reply {
            runs: true,
            after: Duration::from_millis(40),
            bytes: SPOILT.to_vec(),
            close: true,
        })
    };
    let mut world = World::new(case, Vec::new(), spoil);
    let list = world.platform.known();
    let discovery = world.discovery.at;
    if !world.start(&Config {
        discovery,
        known: &list,
        disk_mb: 3.0,
        max_open: 60,
        sockets: 1024,
    }) {
        return Verdict::CouldNotRun("the sender did not get ready".into());
    }
    let mut accepted = Vec::new();
    for number in 1..=CHARGES {
        let mut charge = message(number, "reader-charge", 20_000, b"a charge".to_vec());
        charge.subject = Some(format!("account{number:08}"));
        if world.client.hand_in(&charge) == Some(202) {
            accepted.push(charge.id);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    // each charge ends within its 20 s; those that run again do so within a few
    let began = Instant::now();
    let is_over = |world: &World, id: &String| world.runs().contains_key(id) || world.platform.notice(id).is_some();
    while began.elapsed() < Duration::from_secs(21) {
        std::thread::sleep(Duration::from_millis(200));
        if began.elapsed() > Duration::from_secs(8) && accepted.iter().all(|id| is_over(&world, id)) {
            break;
        }
    }
    let repeated = world.record_repeats(record);
    let notices = accepted.iter().filter(|id| world.platform.notice(id).is_some()).count();
    record.say(format!(
        "{} of {CHARGES} charges taken on, {} have run, {repeated} of them more than once; {notices} ended by a notice",
        accepted.len(),
        world.runs().len()
    ));
    world.sender.record_log();
    if accepted.len() < CHARGES as usize / 2 {
        return Verdict::CouldNotRun("too few charges were taken on".into());
    }
    if repeated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
