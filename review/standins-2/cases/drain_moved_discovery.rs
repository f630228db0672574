//! hue-main: a new configuration moves discovery, and the new address is crowded: calls for a list wait too long.

use crate::Verdict;
use crate::client::{Client, Message};
use crate::endpoint::Endpoint;
use crate::platform::{Platform, Watches};
use crate::sender::{SIGHUP, Sender};
use crate::sites;
use crate::world::{World, ms};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

/// How long calls for a list end with 503.
const CROWDED_MS: u64 = 8000;
/// From the signal on: what discovery has to tell counts as told, the time for drains, the slack on sockets.
const BOUND_MS: u64 = 4000 + 2000 + 50;

pub fn play(world: &World) -> Verdict {
    let endpoints: Vec<_> = ["s-a1", "s-a2", "s-b1", "s-b2"]
        .iter()
        .enumerate()
        .map(|(number, uid)| Endpoint::start(world, uid, 7 + number as u64 / 2, "floor-2", "school-library", 60))
        .collect();
    let drained = &endpoints[0];
    // the machine that replaces the drained one gets its address, for another destination
    let replacement = drained.replaced_by("s-c1", 8);
    let listed = [endpoints.clone(), vec![replacement.clone()]].concat();
    // each sender reaches discovery at addresses set aside for it alone; all show the one list
    let old: Vec<_> = (0..2)
        .map(|_| Platform::start(world, "old discovery", 41, listed.clone()))
        .collect();
    let new = [
        Platform::start(world, "new discovery (for n0)", 41, listed.clone()),
        Platform::start(world, "new discovery (for n1)", 41, listed.clone()),
    ];
    // the list of the configuration stays as old as the start
    let known = old[0].whole();
    let mut senders: Vec<Sender> = (0..2).map(|index| Sender::new(world, &format!("n{index}"))).collect();
    for (index, sender) in senders.iter_mut().enumerate() {
        sender.write_config(old[index].address, &known, &sites::hue_main(index, 2));
        sender.start(world, old[index].address);
    }
    if !senders.iter().all(|sender| sender.wait_ready(world)) {
        return Verdict::CouldNotRun("a sender was not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = senders
        .iter()
        .map(|sender| {
            let (world, stop, address, name) = (world.clone(), stop.clone(), sender.listen, sender.name.clone());
            thread::spawn(move || traffic(&world, &stop, address, &name))
        })
        .collect();
    thread::sleep(ms(4000));
    if world.trouble {
        *new[0].watches.lock().unwrap() = Watches::Crowded;
    }
    for (index, sender) in senders.iter().enumerate() {
        new[index].change(world, drained, "draining");
        sender.write_config(new[index].address, &known, &sites::hue_main(index, 2));
    }
    let signalled: Vec<Instant> = senders.iter().map(|sender| sender.signal(world, SIGHUP)).collect();
    old.iter().for_each(|old| old.retire(world));
    world.sleep_until(signalled[0] + ms(3000));
    for new in &new {
        new.change(world, drained, "removed");
    }
    world.sleep_until(signalled[0] + ms(BOUND_MS + 50));
    let replaced = Instant::now();
    for new in &new {
        new.change(world, &replacement, "up");
    }
    world.sleep_until(signalled[0] + ms(CROWDED_MS));
    *new[0].watches.lock().unwrap() = Watches::Serve;
    world.sleep_until(signalled[0] + ms(CROWDED_MS + 4000));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let told = new[1].told.lock().unwrap().first().copied();
    if told.is_none() {
        return Verdict::CouldNotRun("n1 was never told, so discovery could not be reached".into());
    }
    let (mut late, mut foreign) = (Vec::new(), 0);
    for call in drained
        .calls
        .lock()
        .unwrap()
        .iter()
        .filter(|call| call.id.contains("-d7-"))
    {
        // the ids begin with the name of their sender
        let index = usize::from(call.id.starts_with("n1"));
        if call.began > signalled[index] + ms(BOUND_MS) {
            let after = world.ms(call.began) - world.ms(signalled[index]);
            late.push(format!("{} began {after:.0} ms after SIGHUP", call.id));
            foreign += u64::from(call.began > replaced);
        }
    }
    if late.is_empty() {
        return Verdict::Held;
    }
    for line in &late {
        world.note(line);
    }
    Verdict::Broken(format!(
        "drain, {} calls to {}; {foreign} of them, for destination 7, came to {} of destination 8; first: {}",
        late.len(),
        drained.uid,
        replacement.uid,
        late[0]
    ))
}

/// Five messages a second for each destination.
fn traffic(world: &World, stop: &AtomicBool, address: std::net::SocketAddr, name: &str) {
    let mut client = Client::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let next = Instant::now() + ms(100);
        let message = Message {
            id: format!("{name}-d{}-{number}", 7 + number % 2),
            class: "title-status",
            tenant: "sach-vui",
            destination: 7 + number % 2,
            subject: None,
            keyed: false,
            deadline_ms: 6000,
            body: 212,
        };
        client.hand_in(world, address, &message);
        number += 1;
        world.sleep_until(next);
    }
}
