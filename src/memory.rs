//! Division of the process's memory limit into shares, without sockets or clock.
//!
//! Whatever peers can make the process hold has a share. The sum of all shares is the limit, so a
//! process that keeps each share keeps its limit, whatever all peers together do.
//! `docs/CAPACITY.md` has the sums for the usual limits, beside measured peaks.

/// Largest request body that needs no reservation: it is part of the share of its connection, so
/// that small requests always find room.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;
/// Maximum length of the head of a request, and of an answer of an endpoint.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of one head that a connection may receive without a reservation.
pub const SMALL_HEAD_BYTES: usize = 4 * 1024;
/// Maximum number of bytes that one read from a connection takes.
pub const MAX_READ_BYTES: usize = 4 * 1024;
/// Reservation for a head over [`SMALL_HEAD_BYTES`]: a read buffer of twice the maximum length, and
/// the one of half that size from which the head is copied when the buffer grows.
pub const LARGE_HEAD_BYTES: usize = 3 * MAX_HEAD_BYTES;
/// Bytes for large heads and bulk bodies of endpoints' answers.
const ANSWER_BYTES: usize = 4 * LARGE_HEAD_BYTES;
/// Memory of one client connection: two read buffers of up to 16 and 8 KiB, a write buffer of
/// 8 KiB, a small body, and 4 KiB for the connection's task.
pub const CLIENT_CONNECTION_BYTES: usize = 36 * 1024 + SMALL_BODY_BYTES;
/// Memory of one connection to an endpoint: a read and a write buffer of 8 KiB each, a second read
/// buffer while a part of an answer is passed on, and the connection's task.
pub const ENDPOINT_CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of one held message beside its journal record: the driver's and the decision module's
/// entries and their indexes.
pub const MESSAGE_BYTES: usize = 1536;
/// Number of copies of a message's journal record in memory: the one that the driver and the journal share, and the one
/// in a bulk call.
pub const RECORD_COPIES: usize = 2;
/// Memory of the process without peers: program, runtime and the endpoints of a usual list.
const PROGRAM_BYTES: usize = 2_000_000;
/// Memory of the ids of messages that have ended: 4,096 entries in a map and a queue, and their text.
const ENDED_IDS_BYTES: usize = 4096 * 144 + 256 * 1024;
/// Memory for operators: 32 connections with a head of 16 KiB each, and two reports of 256 KiB in
/// three copies.
const OPERATOR_BYTES: usize = 32 * 32 * 1024 + 2 * 3 * 256 * 1024;
/// Memory of the process without clients, endpoints and messages.
const PROCESS_BYTES: usize = PROGRAM_BYTES + ENDED_IDS_BYTES + OPERATOR_BYTES;
/// Divisor of the disk limit: the copy of the journal that a compaction writes is at most half as
/// long as the limit.
const JOURNAL_COPY_DIVISOR: usize = 2;
/// Divisor of the descriptor limit for client connections.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 3;
/// Divisor of the descriptor limit for connections to endpoints.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 2;
/// Percentage of the divisible memory that client connections may take.
const CLIENTS_PERCENT: usize = 72;
/// Percentage of what is left after client connections that connections to endpoints may take.
const ENDPOINTS_PERCENT: usize = 45;
/// Maximum size of a message's body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Minimum share for large heads: one of the maximum length.
const MIN_HEAD_BYTES: usize = LARGE_HEAD_BYTES;
/// Minimum share for large bodies: two that have arrived, and two that are arriving.
const MIN_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Divisor of the share for requests: what large heads may take of it.
const HEADS_DIVISOR: usize = 4;
/// Minimum share for held messages: one message of the maximum size.
const MIN_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum length of a list that discovery sends in one piece, where the memory allows it.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Divisor of the memory limit for the length of such a list.
const LIST_DIVISOR: usize = 32;
/// Memory for a list that is received, as a multiple of its length: the buffer, and the one of half the size from which
/// it is copied when it grows.
const LIST_COPIES: usize = 2;

/// Limits of the process, as its configuration states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum memory in bytes, files of the state folder included.
    pub memory_bytes: usize,
    /// Maximum size of the state folder in bytes.
    pub disk_bytes: usize,
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
}

/// Shares of the memory limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Bytes for the process without peers.
    pub process_bytes: usize,
    /// Bytes for the files of the state folder, which count as memory.
    pub file_bytes: usize,
    /// Bytes for the copy of the journal during a compaction.
    pub journal_copy_bytes: usize,
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Bytes for heads of requests over [`SMALL_HEAD_BYTES`].
    pub head_bytes: usize,
    /// Bytes for bodies of requests over [`SMALL_BODY_BYTES`].
    pub body_bytes: usize,
    /// Bytes for messages that are accepted and not complete.
    pub message_bytes: usize,
    /// Maximum number of connections to endpoints.
    pub endpoint_connections: usize,
    /// Bytes for heads of endpoints' answers over [`SMALL_HEAD_BYTES`] and for bodies of bulk answers
    /// over [`SMALL_BODY_BYTES`].
    pub answer_bytes: usize,
    /// Maximum length in bytes of a list that discovery sends in one piece.
    pub max_list_bytes: usize,
}

impl MemoryShares {
    /// Divides the limits. Each share has a minimum, with which the process still works, so the sum
    /// of the shares exceeds a memory limit that is too small for all of them; see
    /// [`MemoryShares::total_bytes`].
    pub fn divide(limits: ProcessLimits) -> Self {
        let process_bytes = PROCESS_BYTES;
        let file_bytes = limits.disk_bytes;
        let journal_copy_bytes = limits.disk_bytes / JOURNAL_COPY_DIVISOR;
        let answer_bytes = ANSWER_BYTES;
        let max_list_bytes = (limits.memory_bytes / LIST_DIVISOR).min(MAX_LIST_BYTES);
        let fixed_bytes = process_bytes
            + file_bytes
            + journal_copy_bytes
            + answer_bytes
            + LIST_COPIES * max_list_bytes;
        let divisible = limits.memory_bytes.saturating_sub(fixed_bytes);

        let affordable = percent(divisible, CLIENTS_PERCENT) / CLIENT_CONNECTION_BYTES;
        let client_connections = (limits.descriptors / CLIENT_DESCRIPTOR_DIVISOR)
            .min(affordable)
            .max(1);
        let divisible = divisible.saturating_sub(client_connections * CLIENT_CONNECTION_BYTES);

        let affordable = percent(divisible, ENDPOINTS_PERCENT) / ENDPOINT_CONNECTION_BYTES;
        let endpoint_connections = (limits.descriptors / ENDPOINT_DESCRIPTOR_DIVISOR)
            .min(affordable)
            .max(1);
        let divisible = divisible.saturating_sub(endpoint_connections * ENDPOINT_CONNECTION_BYTES);

        let head_bytes = (divisible / 2 / HEADS_DIVISOR)
            .min(client_connections * LARGE_HEAD_BYTES)
            .max(MIN_HEAD_BYTES);
        let body_bytes = (divisible / 2 - divisible / 2 / HEADS_DIVISOR)
            .min(client_connections * MAX_BODY_BYTES)
            .max(MIN_BODY_BYTES);
        let message_bytes = divisible
            .saturating_sub(head_bytes + body_bytes)
            .max(MIN_MESSAGE_BYTES);
        MemoryShares {
            process_bytes,
            file_bytes,
            journal_copy_bytes,
            client_connections,
            head_bytes,
            body_bytes,
            message_bytes,
            endpoint_connections,
            answer_bytes,
            max_list_bytes,
        }
    }

    /// Returns the sum of all shares in bytes, the most that the process holds for all its peers
    /// together.
    pub fn total_bytes(&self) -> usize {
        self.process_bytes
            + self.file_bytes
            + self.journal_copy_bytes
            + self.client_connections * CLIENT_CONNECTION_BYTES
            + self.head_bytes
            + self.body_bytes
            + self.message_bytes
            + self.endpoint_connections * ENDPOINT_CONNECTION_BYTES
            + self.answer_bytes
            + LIST_COPIES * self.max_list_bytes
    }

    /// Returns whether one more message whose journal record has `new_record_bytes` finds room
    /// beside `messages` held ones, whose records have `record_bytes` together.
    pub fn has_message_room(
        &self,
        messages: usize,
        record_bytes: usize,
        new_record_bytes: usize,
    ) -> bool {
        let records = RECORD_COPIES * (record_bytes + new_record_bytes);
        (messages + 1) * MESSAGE_BYTES + records <= self.message_bytes
    }
}

fn percent(bytes: usize, percent: usize) -> usize {
    bytes / 100 * percent
}

#[cfg(test)]
mod tests;
