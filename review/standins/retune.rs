//! A new configuration lets the messages of a class be repeated. Those handed in before its rules bind must still run
//! once.

use crate::endpoint::Reply;
use crate::sender::Config;
use crate::world::{message, World};
use crate::{Case, Verdict};
use std::time::{Duration, Instant};

/// One message in so many gets an error from the endpoint that has run it, in every run of the case.
const ERROR_EACH: u64 = 5;
const ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// From this time after SIGHUP on clients go by the new settings and their rules bind.
const BINDS_AFTER: Duration = Duration::from_millis(1200);
/// Clients stop so long before.
const MARGIN: Duration = Duration::from_millis(200);

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let fail = |number: u64| {
        (number % ERROR_EACH == 0).then(|| Reply {
            runs: true,
            after: Duration::from_millis(40),
            bytes: ERROR.to_vec(),
            close: false,
        })
    };
    let mut world = World::new(case, Vec::new(), fail);
    let list = world.platform.known();
    let discovery = world.discovery.at;
    let config = |effect| Config {
        discovery,
        known: &list,
        disk_mb: 3.0,
        max_open: 60,
        effect,
    };
    if !world.start(&config("at_most_once")) {
        return Verdict::CouldNotRun("the sender did not get ready".into());
    }
    std::thread::sleep(Duration::from_millis(1500));
    let began = Instant::now();
    let mut signalled: Option<Instant> = None;
    let (mut number, mut accepted, mut accepted_after) = (0, 0, 0);
    while signalled.is_none_or(|at| at.elapsed() < BINDS_AFTER - MARGIN) {
        if signalled.is_none() && began.elapsed() >= Duration::from_secs(2) {
            if case.trouble {
                world.sender.write_config(&config("idempotent"));
                world.sender.signal("HUP");
            }
            signalled = Some(Instant::now());
            record.line("the rules in force bind for 1.2 s more");
        }
        number += 1;
        if world
            .client
            .hand_in(&message(number, "title-status", 6000, b"a status".to_vec()))
            == Some(202)
        {
            accepted += 1;
            accepted_after += usize::from(signalled.is_some());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    // each message ends within its 6 s
    std::thread::sleep(Duration::from_secs(7));
    let repeated = world.record_repeats(record);
    record.say(format!(
        "{accepted} of {number} messages taken on, {accepted_after} of them after the signal, {} have run, {repeated} of them more than once",
        world.runs().len()
    ));
    world.sender.record_log();
    if accepted < 40 {
        return Verdict::CouldNotRun("too few messages were taken on".into());
    }
    if repeated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
