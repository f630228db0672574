//! Processor time and resident memory, as the kernel tells them.

use anyhow::Context;
use rustix::process::Pid;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Processor time of this thread so far. Time in which it waits for a core is not in it.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        time.tv_sec.try_into().unwrap_or(0),
        time.tv_nsec.try_into().unwrap_or(0),
    )
}

/// Resident memory of a process in KiB: now, and the greatest so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Memory {
    pub resident_kib: u64,
    pub peak_kib: u64,
}

impl Memory {
    /// # Errors
    /// The process has ended.
    pub fn of(pid: Pid) -> anyhow::Result<Self> {
        let path = format!("/proc/{}/status", pid.as_raw_nonzero());
        let status = std::fs::read_to_string(&path).context(path)?;
        let field = |name: &str| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix(name))
                .context("no memory listed")?;
            line.trim()
                .trim_end_matches(" kB")
                .parse::<u64>()
                .context("not a size")
        };
        Ok(Memory {
            resident_kib: field("VmRSS:")?,
            peak_kib: field("VmHWM:")?,
        })
    }

    /// # Errors
    /// The kernel does not tell.
    pub fn own() -> anyhow::Result<Self> {
        Memory::of(rustix::process::getpid())
    }
}

/// Resident memory of this process, bytes.
///
/// # Errors
/// The kernel does not tell.
pub fn resident() -> anyhow::Result<u64> {
    Ok(Memory::own()?.resident_kib * 1024)
}

/// Bytes that each of `count` things has added to the resident memory.
pub fn bytes_each(before: Memory, after: Memory, count: u64) -> f64 {
    let grown = after.resident_kib.saturating_sub(before.resident_kib);
    grown as f64 * 1024.0 / count.max(1) as f64
}

/// Processor time of a process so far, user and system.
///
/// # Errors
/// The process has ended.
pub fn process_time(pid: Pid) -> anyhow::Result<Duration> {
    let path = format!("/proc/{}/stat", pid.as_raw_nonzero());
    let stat = std::fs::read_to_string(&path).context(path)?;
    // the name in parentheses may hold anything; user and system time are the 12th and 13th field after it
    let fields = stat
        .rsplit_once(')')
        .context("no name")?
        .1
        .split_whitespace()
        .skip(11)
        .take(2);
    let ticks = fields.map(str::parse::<u64>).sum::<Result<u64, _>>()?;
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    Ok(Duration::from_secs_f64(
        ticks as f64 / ticks_per_second as f64,
    ))
}
