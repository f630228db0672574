//! Ids of messages that have ended. An id that comes again meets the message that had it first.

use hyper::header::HeaderValue;
use std::collections::{HashMap, VecDeque};

/// Maximum number of remembered ids. A client whose connection closed before the response submits
/// its message again, and must learn how it ended.
const MAX_ENDED_IDS: usize = 4096;

/// Maximum number of bytes of all remembered ids together.
const MAX_ENDED_BYTES: usize = 256 * 1024;

/// How a message ended that must not run again under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageEnd {
    /// It was delivered.
    Delivered,
    /// Its last client left before the response, and a call with it may have run.
    MayHaveRun,
}

/// The most recently ended ids, at most [`MAX_ENDED_IDS`] with [`MAX_ENDED_BYTES`].
#[derive(Debug, Default)]
pub(super) struct EndedIds {
    ends: HashMap<HeaderValue, MessageEnd>,
    /// The ids of `ends`, oldest first.
    order: VecDeque<HeaderValue>,
    /// Bytes of all ids together.
    bytes: usize,
}

impl EndedIds {
    /// Remembers how a message ended, and forgets the oldest ids if there are too many. A delivery
    /// takes the place of an earlier uncertain end.
    pub(super) fn remember(&mut self, id: HeaderValue, end: MessageEnd) {
        if let Some(known) = self.ends.get_mut(&id) {
            if end == MessageEnd::Delivered {
                *known = end;
            }
            return;
        }
        self.bytes += id.len();
        self.order.push_back(id.clone());
        self.ends.insert(id, end);
        while self.order.len() > MAX_ENDED_IDS || self.bytes > MAX_ENDED_BYTES {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.bytes -= oldest.len();
            self.ends.remove(&oldest);
        }
    }

    pub(super) fn get(&self, id: &HeaderValue) -> Option<MessageEnd> {
        self.ends.get(id).copied()
    }

    /// Returns the ids with their ends, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&HeaderValue, MessageEnd)> {
        let end = |id: &HeaderValue| self.ends.get(id).copied();
        self.order.iter().filter_map(move |id| Some((id, end(id)?)))
    }
}

#[cfg(test)]
mod tests;
