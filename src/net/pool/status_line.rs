//! The first line of an answer, as far as it has come: whether it says 200, and whether it is whole.

/// Proof that a first line with 200 has come whole, up to its line feed.
#[derive(Debug, Clone, Copy)]
pub struct SuccessLine(());

/// What a first line with 200 begins with, but for the minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// The status after the version.
const STATUS: &[u8] = b" 200";

/// How far the first line of an answer has come.
#[derive(Debug, Clone, Copy, Default)]
enum Progress {
    /// So many bytes of version and status have come.
    Prefix(usize),
    /// The status has come; a space, a carriage return or the line feed follows.
    Status,
    /// After the space: the reason, up to the line feed.
    Reason,
    /// A carriage return right after the status.
    CarriageReturn,
    /// All of it.
    Whole,
    /// It says something else.
    #[default]
    Other,
}

/// Reads a first line byte by byte.
#[derive(Debug)]
pub(super) struct StatusLineReader(Progress);

impl Default for StatusLineReader {
    fn default() -> Self {
        StatusLineReader(Progress::Prefix(0))
    }
}

impl StatusLineReader {
    /// Takes the next bytes of the answer.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if matches!(self.0, Progress::Whole | Progress::Other) {
                return;
            }
            self.0 = next(self.0, byte);
        }
    }

    /// The line, once it has come whole and says 200.
    pub(super) fn success(&self) -> Option<SuccessLine> {
        matches!(self.0, Progress::Whole).then_some(SuccessLine(()))
    }
}

fn next(progress: Progress, byte: u8) -> Progress {
    match (progress, byte) {
        (Progress::Prefix(length), _) => after_prefix(length, byte),
        (Progress::Status, b' ') => Progress::Reason,
        (Progress::Status, b'\r') => Progress::CarriageReturn,
        (Progress::Status | Progress::Reason | Progress::CarriageReturn, b'\n') => Progress::Whole,
        (Progress::Reason, _) => Progress::Reason,
        _ => Progress::Other,
    }
}

fn after_prefix(length: usize, byte: u8) -> Progress {
    let is_expected = match length.checked_sub(VERSION.len()) {
        None => byte == VERSION[length],
        Some(0) => matches!(byte, b'0' | b'1'),
        Some(after_version) => byte == STATUS[after_version - 1],
    };
    if !is_expected {
        Progress::Other
    } else if length == VERSION.len() + STATUS.len() {
        Progress::Status
    } else {
        Progress::Prefix(length + 1)
    }
}

#[cfg(test)]
mod tests;
