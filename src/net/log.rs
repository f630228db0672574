//! The log of the process on stderr. A reader that stops reading must not hold the process up: while its pipe is full,
//! lines are dropped and counted.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::fmt::Arguments;
use std::io::{Stderr, Write, stderr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum length of a line in bytes. A pipe that is reported as writable takes so many without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Time in milliseconds for which a line waits for a reader that is merely late.
const READER_GRACE_MS: u8 = 50;

/// Number of lines that were dropped since the last one that was written. While there are any, the reader counts as
/// stopped, and further lines do not wait for it.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes a line to the log on stderr, unless its reader has stopped. Errors are ignored: `eprintln!` would panic and end the
/// sender if the reader of stderr has closed the pipe.
pub fn log(line: Arguments<'_>) {
    let mut log = stderr();
    if has_reader_stopped(&log) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    let text = if dropped > 0 {
        format!("log: {dropped} lines dropped, stderr was not read\n{line}")
    } else {
        line.to_string()
    };
    let _ = log.write_all(&line_of(text));
}

/// Returns the bytes of the line, cut to [`MAX_LINE_BYTES`] with its line end.
fn line_of(text: String) -> Vec<u8> {
    let mut bytes = text.into_bytes();
    bytes.truncate(MAX_LINE_BYTES - 1);
    bytes.push(b'\n');
    bytes
}

/// Returns whether a write would wait for a reader that has stopped. False if the system does not tell.
fn has_reader_stopped(log: &Stderr) -> bool {
    let has_dropped = DROPPED_LINES.load(Ordering::Relaxed) > 0;
    let grace = if has_dropped {
        PollTimeout::ZERO
    } else {
        PollTimeout::from(READER_GRACE_MS)
    };
    let mut descriptors = [PollFd::new(log.as_fd(), PollFlags::POLLOUT)];
    poll(&mut descriptors, grace) == Ok(0)
}

#[cfg(test)]
mod tests;
