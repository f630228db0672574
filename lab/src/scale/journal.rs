//! A sender that is killed with unfinished messages: how long until it is ready again, and what they take up.
//!
//! The journal is written here, in the form in which the sender writes it; what the sender says of it at its start is
//! held against what was written.

use super::discovery;
use super::process::{Process, Setup, fresh, program};
use super::resources::Memory;
use anyhow::{Context, ensure};
use clap::Args;
use serde::Serialize;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MARK: [u8; 4] = *b"MTJ1";
/// Length of a message, as that of the lab's clients.
const BODY: usize = 200;
/// Deadline and key window of the messages, us, as the configuration of `process` has them.
const DEADLINE: i64 = 14_400_000_000;
const WINDOW: i64 = 10_000_000;
const AIM: i64 = 4_000_000;
/// Bytes of disk that a message may need: its record in an old and a new file, and the reserve beside them.
const DISK_PER_MESSAGE: u64 = 4_096;
const DISK_LEAST_MB: u64 = 64;
/// The policy begins to refuse at 85% of the most that is held.
const HELD_ROOM: f64 = 1.3;

/// Sizes.
#[derive(Debug, Args)]
pub struct Order {
    /// Messages that are owed.
    #[arg(long)]
    backlog: u64,
    /// Destinations that are listed, all of them down, over which the messages spread.
    #[arg(long, default_value_t = 100)]
    destinations: u32,
    /// The sender's program.
    #[arg(long, default_value = "target/release/message-sender")]
    program: PathBuf,
    /// Folder for its configuration, state and log; emptied first.
    #[arg(long, default_value = "found/scale-journal")]
    out: PathBuf,
    /// Seconds until it counts as never ready.
    #[arg(long, default_value_t = 120)]
    most: u64,
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Figures {
    measure: &'static str,
    backlog: u64,
    destinations: u32,
    bytes_per_message: f64,
    /// From the start after the kill until it was ready; none: it never was.
    ready_ms: Option<f64>,
    /// Memory then, and what each message adds to that of a sender with none.
    resident_kib: u64,
    peak_kib: u64,
    memory_per_message: f64,
}

/// As the sender's own, in the same order.
#[derive(Serialize)]
struct Taken {
    id: String,
    key: Option<String>,
    class: &'static str,
    destination: u64,
    taken_at: i64,
    deadline: i64,
    body: Vec<u8>,
}

#[derive(Serialize)]
struct Origin {
    subject: Option<String>,
    tenant: Option<String>,
}

#[derive(Serialize)]
struct Terms {
    effect: message_sender::Effect,
    aim: i64,
    deadline: i64,
    worth: f64,
    late_share: f64,
    ordered: bool,
    attempts: u32,
}

/// Place of the entry for a message that is taken on among the journal's entries.
const TAKEN_ON: u8 = 8;

/// Measures a journal of one size.
///
/// # Errors
/// The journal can't be written, or the sender does not find in it what was written.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    let setup = Setup {
        program: program(&order.program)?,
        folder: fresh(&order.out)?,
        discovery: discovery::serve(discovery::lines(order.destinations, u32::MAX))?,
        max_held: (order.backlog as f64 * HELD_ROOM) as u64 + 1_000,
        disk_mb: DISK_LEAST_MB + order.backlog * DISK_PER_MESSAGE / 1_000_000,
    };
    setup.write()?;
    let patience = Duration::from_secs(order.most);
    let mut empty = setup.start()?;
    let ready = empty.ready(patience)?;
    ensure!(ready.is_some(), "a sender without messages was not ready");
    let before = Memory::of(empty.pid()?)?;
    empty.kill()?;
    let journal = setup.state().join("journal");
    let bytes = write(&journal, order)?;
    // killed in its first life and started again: that is what is measured
    let mut first = setup.start()?;
    first.ready(patience)?;
    first.kill()?;
    let mut second = setup.start()?;
    let ready = second.ready(patience)?;
    ensure!(
        ready.is_none() || owed(&second)? >= order.backlog,
        "owed: {}",
        second.log()?
    );
    let after = Memory::of(second.pid()?)?;
    Ok(Figures {
        measure: "journal",
        backlog: order.backlog,
        destinations: order.destinations,
        bytes_per_message: bytes as f64 / order.backlog.max(1) as f64,
        ready_ms: ready.map(|ready| ready.as_secs_f64() * 1e3),
        resident_kib: after.resident_kib,
        peak_kib: after.peak_kib,
        memory_per_message: super::resources::bytes_each(before, after, order.backlog),
    })
}

/// How many messages the sender found in its journal.
fn owed(process: &Process) -> anyhow::Result<u64> {
    let log = process.log()?;
    let line = log
        .lines()
        .find(|line| line.contains(" unfinished messages"))
        .context("nothing is owed")?;
    let number = line
        .split(" unfinished messages")
        .next()
        .and_then(|head| head.rsplit(' ').next());
    number
        .and_then(|number| number.parse().ok())
        .context("no number")
}

/// Writes a journal in which the messages are owed; its bytes.
fn write(path: &Path, order: &Order) -> anyhow::Result<u64> {
    let mut file = BufWriter::new(File::create(path)?);
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros() as i64;
    let mut bytes = 0;
    for number in 0..order.backlog {
        let record = record(number, now, number % u64::from(order.destinations.max(1)))?;
        file.write_all(&record)?;
        bytes += record.len() as u64;
    }
    file.flush()?;
    Ok(bytes)
}

fn record(number: u64, now: i64, destination: u64) -> anyhow::Result<Vec<u8>> {
    let keyed = message_sender::Effect::IdempotencyKey {
        window: WINDOW,
        same_zone_only: false,
    };
    let classes = [
        ("status", message_sender::Effect::Idempotent),
        ("report", keyed),
        ("charge", message_sender::Effect::NonIdempotent),
    ];
    let (class, effect) = classes[(number % classes.len() as u64) as usize];
    let taken = Taken {
        id: format!("{number:016x}"),
        key: Some(format!("key-{number:016x}")),
        class,
        destination,
        taken_at: now,
        deadline: now + DEADLINE,
        body: vec![b'x'; BODY],
    };
    let origin = Origin {
        subject: None,
        tenant: None,
    };
    let (worth, late_share) = (1.0, 0.0);
    let terms = Terms {
        effect,
        aim: AIM,
        deadline: DEADLINE,
        worth,
        late_share,
        ordered: false,
        attempts: 12,
    };
    let mut payload = vec![TAKEN_ON];
    payload.extend(postcard::to_allocvec(&(number, taken, origin, terms))?);
    let mut record = Vec::with_capacity(MARK.len() + 8 + payload.len());
    record.extend_from_slice(&MARK);
    record.extend_from_slice(&u32::try_from(payload.len())?.to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    record.extend_from_slice(&payload);
    Ok(record)
}
