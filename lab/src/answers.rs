//! Answers on their way to a sender: how they are broken off, and what of them counts.
//!
//! A call counts as answered once the whole first line of its answer is about to be written to the sender; in a bulk call,
//! once the whole answer is. What the sender says of it plays no part.

use crate::history::{Event, History};
use crate::locking::lock;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between two bytes of an answer that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(3);
/// What follows an answer that does not end where it should: it would pass for the answer to a later call.
const STRAY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// What goes wrong with answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFaultKind {
    /// The connection is closed within the answer.
    Close,
    /// The connection is reset within the answer.
    Reset,
    /// Nothing follows a part of the answer, and the connection stays open.
    Silence,
    /// The answer comes a byte at a time.
    Drip,
    /// A second answer follows at once.
    Trailing,
}

/// The answers of one party that go wrong.
#[derive(Debug)]
pub struct AnswerFaults {
    active: Option<ActiveFault>,
    random: Pcg64,
}

#[derive(Debug, Clone, Copy)]
struct ActiveFault {
    kind: AnswerFaultKind,
    /// Share of the answers.
    share: f64,
}

impl AnswerFaults {
    /// None goes wrong yet.
    pub fn new(seed: u64) -> Self {
        AnswerFaults {
            active: None,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// From now on this share of the answers goes wrong.
    pub fn begin(&mut self, kind: AnswerFaultKind, share: f64) {
        self.active = Some(ActiveFault { kind, share });
    }

    /// No answer goes wrong any more.
    pub fn end(&mut self) {
        self.active = None;
    }

    /// What goes wrong with the next answer.
    pub fn draw(&mut self) -> Option<AnswerFault> {
        let ActiveFault { kind, share } = self.active?;
        if !self.random.random_bool(share) {
            return None;
        }
        let mut cut = || Cut {
            part: *[Part::StatusLine, Part::Head, Part::Body]
                .choose(&mut self.random)
                .expect("there are some"),
            fraction: self.random.random_range(0.0..1.0),
        };
        Some(match kind {
            AnswerFaultKind::Close => AnswerFault::Break(cut(), Ending::Close),
            AnswerFaultKind::Reset => AnswerFault::Break(cut(), Ending::Reset),
            AnswerFaultKind::Silence => AnswerFault::Break(cut(), Ending::Silence),
            AnswerFaultKind::Drip => AnswerFault::Drip,
            AnswerFaultKind::Trailing => AnswerFault::Trailing,
        })
    }
}

/// What goes wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerFault {
    /// It breaks off.
    Break(Cut, Ending),
    /// It comes a byte at a time.
    Drip,
    /// Another answer follows it.
    Trailing,
}

/// What follows the part of an answer that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The connection ends in order.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing.
    Silence,
}

/// Where an answer breaks off.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cut {
    part: Part,
    /// From the beginning of the part, 0, to its end, 1.
    fraction: f64,
}

/// A part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    StatusLine,
    Head,
    Body,
}

impl Cut {
    /// Bytes of the answer that are written.
    fn length(self, answer: &[u8]) -> usize {
        let line_end = after(answer, b"\n");
        let head_end = after(answer, b"\r\n\r\n");
        let (from, to) = match self.part {
            Part::StatusLine => (0, line_end),
            Part::Head => (line_end, head_end),
            Part::Body => (head_end, answer.len()),
        };
        let offset = self.fraction * (to - from + 1) as f64;
        from + (offset as usize).min(to - from)
    }
}

/// Where what ends with `end` is over; the whole length where it does not come.
fn after(answer: &[u8], end: &[u8]) -> usize {
    let found = answer.windows(end.len()).position(|part| part == end);
    found.map_or(answer.len(), |at| at + end.len())
}

/// A call that has no answer yet; dropped before that, it is recorded as abandoned.
#[derive(Debug)]
pub struct OpenCall {
    history: Arc<History>,
    /// The ids of its messages.
    ids: Vec<String>,
    endpoint: usize,
    sender: usize,
    is_answered: bool,
}

impl OpenCall {
    /// A call with these messages that has come in whole.
    pub fn new(history: Arc<History>, ids: Vec<String>, endpoint: usize, sender: usize) -> Self {
        OpenCall {
            history,
            ids,
            endpoint,
            sender,
            is_answered: false,
        }
    }

    fn record_answered(mut self, status: u16) {
        self.is_answered = true;
        let (endpoint, sender) = (self.endpoint, self.sender);
        for id in std::mem::take(&mut self.ids) {
            self.history.record(Event::CallAnswered {
                id,
                endpoint,
                sender,
                status,
            });
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let (endpoint, sender) = (self.endpoint, self.sender);
        for id in std::mem::take(&mut self.ids) {
            self.history.record(Event::CallAbandoned {
                id,
                endpoint,
                sender,
            });
        }
    }
}

/// The answers on one connection.
#[derive(Debug, Default)]
pub struct AnswerTrack(Mutex<TrackState>);

#[derive(Debug, Default)]
struct TrackState {
    /// The call whose answer comes next.
    call: Option<OpenCall>,
    /// What goes wrong with that answer.
    fault: Option<AnswerFault>,
    /// What of that answer has passed.
    passed: Vec<u8>,
    /// Nothing passes any more.
    is_silent: bool,
}

/// What passes of a piece of an answer, and what follows it.
#[derive(Debug, PartialEq)]
pub struct Passage {
    /// The bytes that pass.
    pub bytes: Vec<u8>,
    /// Time between two of them; none: they pass at once.
    pub interval: Option<Duration>,
    /// Set where nothing passes after them.
    pub ending: Option<Ending>,
}

impl Passage {
    /// All of a piece, at once.
    pub fn unchanged(bytes: Vec<u8>) -> Self {
        Passage {
            bytes,
            interval: None,
            ending: None,
        }
    }
}

impl AnswerTrack {
    /// The next answer is the one to this call.
    pub fn expect(&self, call: Option<OpenCall>, fault: Option<AnswerFault>) {
        let mut state = lock(&self.0);
        state.call = call;
        state.fault = fault;
        state.passed.clear();
    }

    /// The sender gives up the call whose answer has not passed.
    pub fn abandon(&self) {
        let call = lock(&self.0).call.take();
        drop(call);
    }

    /// Records what these bytes complete, of a piece that passes byte by byte.
    pub fn record(&self, bytes: &[u8], is_whole: bool) {
        lock(&self.0).record(bytes, is_whole);
    }

    /// What passes of this piece. What it completes is recorded, before the sender can act on it; of one that passes byte
    /// by byte, [`AnswerTrack::record`] does so.
    pub fn pass(&self, piece: Vec<u8>) -> Passage {
        let mut state = lock(&self.0);
        let mut passage = Passage::unchanged(piece);
        if state.is_silent {
            passage.bytes.clear();
            return passage;
        }
        match state.fault.take() {
            Some(AnswerFault::Break(cut, ending)) => {
                let length = cut.length(&passage.bytes);
                let is_whole = length == passage.bytes.len();
                passage.bytes.truncate(length);
                passage.ending = Some(ending);
                state.is_silent = true;
                state.record(&passage.bytes, is_whole);
                if ending != Ending::Silence {
                    state.call = None;
                }
                return passage;
            }
            Some(AnswerFault::Drip) => {
                passage.interval = Some(DRIP_INTERVAL);
                return passage;
            }
            Some(AnswerFault::Trailing) => {
                state.record(&passage.bytes, true);
                passage.bytes.extend_from_slice(STRAY_ANSWER);
                return passage;
            }
            None => {}
        }
        state.record(&passage.bytes, true);
        passage
    }
}

impl TrackState {
    /// Records the call's answer, if what has passed is enough of it.
    fn record(&mut self, bytes: &[u8], is_whole: bool) {
        let Some(call) = &self.call else {
            return;
        };
        self.passed.extend_from_slice(bytes);
        let is_bulk = call.ids.len() > 1;
        if is_bulk && !is_whole {
            return;
        }
        if let Some(status) = status_of(&self.passed)
            && let Some(call) = self.call.take()
        {
            call.record_answered(status);
        }
    }
}

/// The status in a first line that has come whole.
fn status_of(answer: &[u8]) -> Option<u16> {
    let end = answer.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&answer[..end]).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

#[cfg(test)]
mod tests;
