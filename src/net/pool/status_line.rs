//! Incremental parser of an answer's status line: finds out whether a complete line with status 200 has been received.

/// Proof that a complete status line with 200, up to its line feed, has been received. Only the parser creates it.
#[derive(Debug, Clone, Copy)]
pub struct SuccessLine(());

/// Start of a status line of HTTP/1.0 or HTTP/1.1, up to the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// Status 200 with the space that separates it from the version.
const STATUS_200: &[u8] = b" 200";

/// State of the status line parser.
#[derive(Debug, Clone, Copy, Default)]
enum Progress {
    /// The given number of bytes of version and status have been received, and all match HTTP/1.0 or HTTP/1.1 and 200.
    Prefix(usize),
    /// The status 200 has been received; a space, a carriage return or the line feed must follow.
    Status,
    /// The space after the status has been received; the reason phrase follows, up to the line feed.
    Reason,
    /// A carriage return has followed the status directly; only the line feed may follow.
    CarriageReturn,
    /// The complete line with status 200 has been received.
    Success,
    /// The line has another status, or is no valid status line of HTTP/1.0 or HTTP/1.1.
    #[default]
    NotSuccess,
}

/// Status line parser that accepts the bytes of an answer in pieces of any size.
#[derive(Debug)]
pub(super) struct StatusLineReader(Progress);

impl Default for StatusLineReader {
    fn default() -> Self {
        StatusLineReader(Progress::Prefix(0))
    }
}

impl StatusLineReader {
    /// Parses the next bytes of the answer; bytes after the line are ignored.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if matches!(self.0, Progress::Success | Progress::NotSuccess) {
                return;
            }
            self.0 = advance(self.0, byte);
        }
    }

    /// Returns the proof of success once a whole line with status 200 has been parsed.
    pub(super) fn success(&self) -> Option<SuccessLine> {
        matches!(self.0, Progress::Success).then_some(SuccessLine(()))
    }
}

fn advance(progress: Progress, byte: u8) -> Progress {
    match (progress, byte) {
        (Progress::Prefix(length), _) => advance_prefix(length, byte),
        (Progress::Status, b' ') => Progress::Reason,
        (Progress::Status, b'\r') => Progress::CarriageReturn,
        (Progress::Status | Progress::Reason | Progress::CarriageReturn, b'\n') => {
            Progress::Success
        }
        (Progress::Reason, _) => Progress::Reason,
        _ => Progress::NotSuccess,
    }
}

fn advance_prefix(length: usize, byte: u8) -> Progress {
    let is_expected = match length.checked_sub(VERSION_PREFIX.len()) {
        None => byte == VERSION_PREFIX[length],
        Some(0) => matches!(byte, b'0' | b'1'),
        Some(after_version) => byte == STATUS_200[after_version - 1],
    };
    if !is_expected {
        Progress::NotSuccess
    } else if length == VERSION_PREFIX.len() + STATUS_200.len() {
        Progress::Status
    } else {
        Progress::Prefix(length + 1)
    }
}

#[cfg(test)]
mod tests;
