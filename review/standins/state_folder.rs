//! Case `state-folder`: a sender in a large fleet is killed and starts again, with the endpoint list
//! as it last held it in its configuration.

use crate::clients::{Answer, Client};
use crate::endpoint::Endpoint;
use crate::platform::{folder_bytes, list, Discovery, Limits, Sender, Target};
use crate::Play;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Endpoints of the fleet; the pages allow 3,200 at most.
const ENDPOINTS: usize = 3_000;
const DISK_MB: u64 = 3;
/// The limit in bytes, with the larger of the two meanings of a megabyte.
const DISK_BYTES: u64 = DISK_MB << 20;
/// Body of a message in bytes.
const BODY_BYTES: usize = 2_000;
/// How long a call takes at the endpoint.
const PACE: Duration = Duration::from_millis(50);
/// The kill comes once the folder holds this much, which it does again and again under traffic.
const KILL_AT_BYTES: u64 = 2_740_000;
const MESSAGE_TIME: Duration = Duration::from_secs(6);
/// How long clients hand in after the restart, or for the whole play without the restart.
const AFTER: Duration = Duration::from_secs(20);
/// A sender may not refuse all of 15 or more messages for so long, with no attempt in between.
const REFUSING: Duration = Duration::from_secs(4);
const REFUSED: usize = 15;

pub fn play(play: &Play) -> Result<Vec<String>, String> {
    let endpoint = Endpoint::start(&play.record, PACE);
    let targets: Vec<Target> = (0..ENDPOINTS)
        .map(|number| target(number, &endpoint))
        .collect();
    let discovery = Discovery::start(&play.record, list(2, &targets));
    let limits = Limits {
        memory_mb: 48,
        sockets: 384,
        disk_mb: DISK_MB,
    };
    let mut sender = Sender::new(discovery.address, limits);
    // a new sender has held no list yet
    sender.configure(play, &list(0, &[]))?;
    sender.start(play)?;
    sender.wait_ready(play)?;
    let state = play.folder.join("state");
    let clients = Client::new(1, sender.listen, &play.record);
    let body = vec![b'b'; BODY_BYTES];
    let mut largest = 0;
    let mut number = 0;
    let mut taken_on = Vec::new();
    let began = Instant::now();
    while folder_bytes(&state) < KILL_AT_BYTES {
        if began.elapsed() > Duration::from_secs(60) {
            return Err("the folder did not fill within 60 s".to_string());
        }
        number += 1;
        let id = format!("a{number:015}");
        let answer = clients.request(&id, MESSAGE_TIME, "", &body);
        note(play, &id, &answer);
        match answer {
            Answer::Status(200 | 202) => taken_on.push(id),
            _ => std::thread::sleep(Duration::from_millis(50)),
        }
        largest = largest.max(folder_bytes(&state));
    }
    play.record.line(format_args!(
        "{number} messages, {} calls, the folder holds {} bytes, at most {largest}",
        endpoint.run_count(),
        folder_bytes(&state)
    ));
    let mut open = Vec::new();
    if play.trouble {
        sender.kill(play);
        open = taken_on;
        open.retain(|id| !endpoint.has_run(id) && !discovery.has_notice(id));
        std::thread::sleep(Duration::from_millis(600));
        sender.configure(play, &list(2, &targets))?;
        sender.start(play)?;
        sender.wait_ready(play)?;
    }
    let broken = after(play, &mut sender, &clients, &endpoint, largest)?;
    let run = open.iter().filter(|id| endpoint.has_run(id)).count();
    let told = open.iter().filter(|id| discovery.has_notice(id)).count();
    play.record.line(format_args!(
        "of {} messages taken on before the kill and not called by then, {run} were called after it, {told} ended with a notice",
        open.len()
    ));
    Ok(broken)
}

/// Hands in messages for a while, and watches the folder as the platform does.
fn after(
    play: &Play,
    sender: &mut Sender,
    clients: &Client,
    endpoint: &Endpoint,
    mut largest: u64,
) -> Result<Vec<String>, String> {
    let state = play.folder.join("state");
    let body = vec![b'b'; BODY_BYTES];
    let mut refusing_since: Option<(Instant, usize, usize)> = None;
    let mut longest = (Duration::ZERO, 0);
    let (mut taken_on, mut refused) = (0, 0);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < AFTER {
        number += 1;
        let id = format!("b{number:015}");
        let answer = clients.request(&id, MESSAGE_TIME, "", &body);
        note(play, &id, &answer);
        largest = largest.max(folder_bytes(&state));
        if matches!(answer, Answer::Status(200 | 202)) {
            taken_on += 1;
            refusing_since = None;
        } else {
            refused += 1;
            let calls = endpoint.run_count();
            let (since, count, calls_before) = refusing_since.unwrap_or((Instant::now(), 0, calls));
            refusing_since = Some((since, count + 1, calls_before));
            if calls == calls_before {
                longest = longest.max((since.elapsed(), count + 1));
            } else {
                refusing_since = None;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    play.record.line(format_args!(
        "then {taken_on} messages taken on, {refused} refused, {} in a row over {:.1} s; the folder held {largest} bytes at most, of {DISK_BYTES}",
        longest.1,
        longest.0.as_secs_f64()
    ));
    let mut broken = Vec::new();
    if largest > DISK_BYTES {
        broken.push(format!(
            "the folder held {largest} bytes, over {DISK_MB} MB: the sender has crashed"
        ));
    }
    if longest.0 >= REFUSING && longest.1 >= REFUSED {
        broken.push(format!(
            "the sender refused all {} messages for {:.1} s on end, with no attempt in between",
            longest.1,
            longest.0.as_secs_f64()
        ));
    }
    if sender.has_ended() {
        broken.push("the sender has ended".to_string());
    }
    Ok(broken)
}

fn note(play: &Play, id: &str, answer: &Answer) {
    match answer {
        Answer::Status(status) => play.record.line(format_args!("message {id}: {status}")),
        Answer::None => play.record.line(format_args!("message {id}: no answer")),
        Answer::Closed => play.record.line(format_args!("message {id}: closed")),
    }
}

/// The first endpoint is destination 7 and serves; the others are never called, as no message is for
/// their destinations.
fn target(number: usize, endpoint: &Endpoint) -> Target {
    let other = SocketAddr::from((
        [127, 1, (number / 250) as u8, (number % 250 + 1) as u8],
        8000,
    ));
    Target {
        uid: format!("s-{:08x}", 0x5be2_a07c + number),
        address: if number == 0 { endpoint.address } else { other },
        destination: if number == 0 { 7 } else { 100 + number / 2 },
    }
}
