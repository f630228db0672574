//! Memory of the process as the driver sees it: the share for held messages, and what the log of the
//! memory tells.

use super::Driver;
use crate::net::RateLimitedLog;
use crate::net::journal::AcceptedMessage;
use crate::net::memory_log::{HeldForPeers, MemoryLog};
use message_sender::memory::MemoryShares;

/// Upper bound of the bytes of a message's journal record without the body: id, key, subject and tenant
/// of 256 bytes each, and the rest.
const MAX_RECORD_HEAD_BYTES: usize = 1536;

/// Shares of the memory limit, and the log of what the process uses of it.
pub struct DriverMemory {
    /// Shares of the memory limit.
    pub shares: MemoryShares,
    /// Log of the memory of the process.
    pub log: MemoryLog,
    refusals: RateLimitedLog,
}

impl DriverMemory {
    /// Creates the memory of a process with these shares.
    pub fn new(shares: MemoryShares, log: MemoryLog) -> Self {
        DriverMemory {
            shares,
            log,
            refusals: RateLimitedLog::default(),
        }
    }

    /// Logs that a message found no room.
    pub(super) fn log_refusal(&self) {
        let share = self.shares.message_bytes;
        self.refusals.log(format_args!(
            "memory: messages are refused, the share of {share} bytes for held messages is full"
        ));
    }
}

impl Driver {
    /// Returns whether the share of the memory for held messages has room for one more.
    pub(super) fn has_room_for(&self, message: &AcceptedMessage) -> bool {
        let record_bytes = message.body.len() + MAX_RECORD_HEAD_BYTES;
        let held_bytes = usize::try_from(self.journal.compacted_bytes()).unwrap_or(usize::MAX);
        let messages = self.journal.unfinished().len();
        self.memory
            .shares
            .has_message_room(messages, held_bytes, record_bytes)
    }

    /// Returns what the process holds for its peers.
    pub(super) fn held_for_peers(&self) -> HeldForPeers {
        HeldForPeers {
            client_connections: self.process.client_slots.in_use(),
            messages: self.journal.unfinished().len(),
            calls: self.calls_in_flight.len(),
        }
    }
}
