//! What a whole list costs a sender that starts: bytes, time, memory.

use super::discovery;
use super::process::{Setup, program};
use super::resources::Memory;
use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// A sender without messages holds none.
const MAX_HELD: u64 = 1_000;
const DISK_MB: u64 = 16;

/// Sizes.
#[derive(Debug, Args)]
pub struct Order {
    /// Destinations, of one endpoint each.
    #[arg(long)]
    destinations: u32,
    /// Entries in one line at most; all in one if not told.
    #[arg(long)]
    per_line: Option<u32>,
    /// The sender's program.
    #[arg(long, default_value = "target/release/message-sender")]
    program: PathBuf,
    /// Folder for its configuration, state and log; emptied first.
    #[arg(long, default_value = "found/scale-list")]
    out: PathBuf,
    /// Seconds until it counts as never ready.
    #[arg(long, default_value_t = 60)]
    most: u64,
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Figures {
    measure: &'static str,
    destinations: u32,
    lines: usize,
    /// Of all lines, and of the longest.
    bytes: usize,
    longest: usize,
    bytes_per_destination: f64,
    /// None: it was never ready.
    ready_ms: Option<f64>,
    /// Processor time and memory once it has taken all of it in.
    cpu_ms: f64,
    resident_kib: u64,
    peak_kib: u64,
    /// What it said of lines that it could not read.
    refused: usize,
}

/// Measures a list of one size.
///
/// # Errors
/// The sender can't be started or ends.
pub fn measure(order: &Order) -> anyhow::Result<Figures> {
    let lines = discovery::lines(
        order.destinations,
        order.per_line.unwrap_or(order.destinations).max(1),
    );
    let (count, longest) = (
        lines.len(),
        lines.iter().map(String::len).max().unwrap_or(0),
    );
    let bytes = lines.iter().map(|line| line.len() + 1).sum();
    let setup = Setup {
        program: program(&order.program)?,
        folder: super::process::fresh(&order.out)?,
        discovery: discovery::serve(lines)?,
        max_held: MAX_HELD,
        disk_mb: DISK_MB,
    };
    setup.write()?;
    let mut process = setup.start()?;
    let patience = Duration::from_secs(order.most);
    let ready = process.ready(patience)?;
    let cpu = process.settle(patience)?;
    let memory = Memory::of(process.pid()?)?;
    let refused = process
        .log()?
        .lines()
        .filter(|line| line.contains("can't be read"))
        .count();
    Ok(Figures {
        measure: "list",
        destinations: order.destinations,
        lines: count,
        bytes,
        longest,
        bytes_per_destination: bytes as f64 / f64::from(order.destinations.max(1)),
        ready_ms: ready.map(|ready| ready.as_secs_f64() * 1e3),
        cpu_ms: cpu.as_secs_f64() * 1e3,
        resident_kib: memory.resident_kib,
        peak_kib: memory.peak_kib,
        refused,
    })
}
