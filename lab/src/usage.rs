//! What the senders' processes use, as the kernel tells it.

use rustix::process::Pid;
use serde::Serialize;
use std::path::Path;

/// Of all processes that run at the end: the median and the most.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct Usage {
    /// CPU time since the start, ms.
    pub cpu_ms: (u64, u64),
    /// Greatest resident memory, KiB.
    pub memory_kib: (u64, u64),
    /// Descriptors that are open.
    pub descriptors: (u64, u64),
}

/// One process; none if it has ended.
fn of(pid: Pid) -> Option<[u64; 3]> {
    let folder = format!("/proc/{}", pid.as_raw_nonzero());
    let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
    // the name in parentheses may hold anything; user and system time are the 12th and 13th after it
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?;
    let cpu_ms = ticks * 1000 / rustix::param::clock_ticks_per_second();
    let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
    let memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let memory_kib = memory.trim().trim_end_matches(" kB").parse().ok()?;
    let descriptors = std::fs::read_dir(format!("{folder}/fd")).ok()?.count() as u64;
    Some([cpu_ms, memory_kib, descriptors])
}

/// Resident anonymous memory of a process in bytes; `None` if it has ended.
pub fn anonymous_bytes(pid: Pid) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero())).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kibibytes * 1024)
}

/// Length of all files of a folder in bytes; 0 if there is none.
pub fn folder_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten();
    files
        .filter_map(|file| Some(file.ok()?.metadata().ok()?.len()))
        .sum()
}

/// All of these that still run.
pub fn measure(pids: impl Iterator<Item = Pid>) -> Usage {
    let all: Vec<[u64; 3]> = pids.filter_map(of).collect();
    let spread = |at: usize| {
        let mut values: Vec<u64> = all.iter().map(|one| one[at]).collect();
        values.sort_unstable();
        (
            values.get(values.len() / 2).copied().unwrap_or(0),
            values.last().copied().unwrap_or(0),
        )
    };
    Usage {
        cpu_ms: spread(0),
        memory_kib: spread(1),
        descriptors: spread(2),
    }
}

#[cfg(test)]
mod tests;
