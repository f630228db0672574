//! hue-main, with the clients' listening socket held by the platform: a sender is killed and restarted while clients connect.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::{Endpoint, Mode};
use crate::platform::Platform;
use crate::sender::Sender;
use crate::sites;
use crate::world::{World, ms};
use std::thread;
use std::time::Instant;

/// Clients that hand a message in, one after another.
const CLIENTS: u64 = 240;
/// From one client to the next.
const STEP_MS: u64 = 3;
const DEADLINE_MS: u64 = 6000;
/// From the end of a message's time until it is lost, and the slack on sockets.
const BOUND_MS: u64 = 300 + 50;

pub fn play(world: &World) -> Verdict {
    let endpoints: Vec<_> = ["s-a1", "s-a2", "s-b1", "s-b2"]
        .iter()
        .enumerate()
        .map(|(number, uid)| Endpoint::start(world, uid, 7 + number as u64 / 2, "floor-2", "school-library", 60))
        .collect();
    let discovery = Platform::start(world, "discovery", 41, endpoints.clone());
    let mut sender = Sender::with_passed_socket(world, "n0");
    sender.write_config(discovery.address, &discovery.whole(), &sites::hue_main(0, 1));
    sender.start(world, discovery.address);
    if !sender.wait_ready(world) {
        return Verdict::CouldNotRun("the sender was not ready".into());
    }
    thread::sleep(ms(1500));
    world.note("the endpoints of destination 7 hang from now on");
    for endpoint in &endpoints[..2] {
        *endpoint.mode.lock().unwrap() = Mode::Hang;
    }
    let began = Instant::now();
    let restarted = if world.trouble { Some(sender.kill(world)) } else { None };
    let address = sender.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                world.sleep_until(began + ms(100 + STEP_MS * number));
                let message = Message {
                    id: format!("m{number}"),
                    class: "title-status",
                    tenant: "sach-vui",
                    destination: 7,
                    subject: None,
                    keyed: false,
                    deadline_ms: DEADLINE_MS,
                    body: 212,
                };
                Client::default().hand_in(&world, address, &message)
            })
        })
        .collect();
    let mut ready_at = None;
    if let Some(killed) = restarted {
        world.sleep_until(killed + ms(600));
        sender.start(world, discovery.address);
        if !sender.wait_ready(world) {
            return Verdict::CouldNotRun("the sender was not ready again".into());
        }
        ready_at = Some(Instant::now());
    }
    let handed: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let taken: Vec<_> = handed.iter().filter(|handed| handed.status == "202").collect();
    world.note(&format!("{} of {CLIENTS} messages taken on", taken.len()));
    if taken.len() < 20 {
        return Verdict::CouldNotRun("too few messages were taken on".into());
    }
    world.sleep_until(began + ms(DEADLINE_MS + 4000));
    let notices = discovery.notices.lock().unwrap();
    let mut lost = Vec::new();
    for handed in taken {
        let id = format!(r#""id":"{}""#, handed.id);
        let due = handed.sent + ms(DEADLINE_MS + BOUND_MS);
        // no notice is overdue until 1.5 s after the sender was ready again
        let due = ready_at.map_or(due, |ready| due.max(ready + ms(1500)));
        let ended = notices
            .iter()
            .find(|notice| notice.text.contains(&id))
            .map(|notice| notice.at);
        let waited = world.ms(handed.heard) - world.ms(handed.sent);
        match ended {
            None => lost.push(format!(
                "{}, answered 202 after {waited:.0} ms, had no notice",
                handed.id
            )),
            Some(at) if at > due => {
                let late = world.ms(at) - world.ms(due);
                lost.push(format!(
                    "{}, answered 202 after {waited:.0} ms, {late:.1} ms too late",
                    handed.id
                ));
            }
            Some(_) => {}
        }
    }
    if lost.is_empty() {
        return Verdict::Held;
    }
    for line in &lost {
        world.note(line);
    }
    Verdict::Broken(format!("lost, {} messages; first: {}", lost.len(), lost[0]))
}
