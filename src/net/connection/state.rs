//! State of one accepted connection: what it does, since when, and whether it may be closed.

use super::body_reception::{BodyReception, ReceivedBody};
use super::{CLOSE_GRACE, STALL_GRACE, STALL_TIMEOUT};
use message_sender::memory::SMALL_HEAD_BYTES;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A request that follows an answer within this time was sent before that answer arrived.
const PIPELINED_WITHIN: Duration = Duration::from_millis(1);

/// Phase in the lifetime of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The connection accepts requests.
    Open,
    /// The connection closes as soon as no request is open on it.
    Closing,
    /// The sending side is shut; late bytes are read and discarded.
    HalfClosed,
    /// The connection is closed at once: a new connection needs its permit, or its peer accepts no bytes.
    Evicted,
}

/// Sort key of the connections that may be closed to make room; the smallest is closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosePriority {
    /// The sending side is shut already, and no request has been open since this time.
    HalfClosed(Instant),
    /// The peer has accepted no byte of its answers since this time.
    Stalled(Instant),
    /// The connection accepts requests, and none has been open since this time.
    Idle(Instant),
}

/// What a connection does, as counted in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A request is open.
    Busy,
    /// No request is open.
    Idle,
    /// The connection closes as soon as its answers are written.
    Closing,
    /// The peer accepts no more bytes of its answers at the moment.
    WriteBlocked,
}

/// State of one accepted connection, shared by the task that serves it and those that may ask it to close.
#[derive(Debug)]
pub struct ConnectionState {
    accepted_at: Instant,
    /// Time at which the last answer was produced.
    answered_at: Cell<Option<Instant>>,
    /// Time since which no request has been open; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// Time at which the first byte was received of a request whose head is still incomplete; `None` if there is none.
    request_began: Cell<Option<Instant>>,
    /// Time of the first write that the kernel's send buffer did not accept, since it last accepted one; `None` while it
    /// accepts them.
    write_blocked_since: Cell<Option<Instant>>,
    /// True while a request waits until the answers before it are written.
    awaits_writability: Cell<bool>,
    /// Notified when the kernel has accepted bytes that waited to be written.
    writable: Notify,
    /// Bytes received of a request head that is still incomplete.
    head_bytes: Cell<usize>,
    /// True once memory is reserved for a large head, until the connection ends.
    holds_head_memory: Cell<bool>,
    /// Body that is being received; `None` if there is none.
    pub(super) body: Cell<Option<ReceivedBody>>,
    /// Notified when the body is refused in favour of other clients.
    pub(super) body_refused: Notify,
    phase: Cell<Phase>,
    close_requested: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that was accepted at `now`.
    pub fn new(now: Instant) -> Self {
        ConnectionState {
            accepted_at: now,
            answered_at: Cell::default(),
            idle_since: Cell::new(Some(now)),
            request_began: Cell::default(),
            write_blocked_since: Cell::default(),
            awaits_writability: Cell::default(),
            writable: Notify::new(),
            head_bytes: Cell::default(),
            holds_head_memory: Cell::default(),
            body: Cell::default(),
            body_refused: Notify::new(),
            phase: Cell::new(Phase::Open),
            close_requested: Notify::new(),
        }
    }

    /// Records that a request is open from now on (false), or that none is (true), because its answer has been produced
    /// or the connection has ended.
    pub fn set_idle(&self, idle: bool) {
        self.set_idle_since(idle.then(Instant::now));
    }

    /// Sets the time since which no request has been open; `None` while one is.
    pub fn set_idle_since(&self, since: Option<Instant>) {
        self.idle_since.set(since);
        self.request_began.set(None);
        self.head_bytes.set(0);
    }

    /// Records that the head of a request has been received. The request is open at once, or as soon as the answers before
    /// it are written, see [`ConnectionState::answers_written`].
    pub fn begin_request(&self) {
        if self.write_blocked_since.get().is_some() {
            self.awaits_writability.set(true);
        } else {
            self.set_idle(false);
        }
    }

    /// Records that an answer was produced, so that no request is open.
    pub fn end_request(&self) {
        self.set_idle(true);
        self.answered_at.set(Some(Instant::now()));
    }

    /// Lets other tasks run first if a request follows an answer at once, so that a client with many requests gets no more
    /// of a turn than one of them.
    pub async fn take_turn(&self) {
        let answered_at = self.answered_at.get();
        if answered_at.is_some_and(|answered_at| answered_at.elapsed() < PIPELINED_WITHIN) {
            yield_now().await;
        }
    }

    /// Waits until the kernel has accepted all answers that were written, so that at most one answer waits in memory.
    /// Meanwhile the request counts as not yet received.
    pub async fn answers_written(&self) {
        while self.write_blocked_since.get().is_some() {
            self.writable.notified().await;
        }
        self.awaits_writability.set(false);
    }

    /// Registers a body that is received from now on. `holds_memory` is true if memory beyond the connection's share is
    /// reserved for it.
    pub fn receive_body(&self, holds_memory: bool) -> BodyReception<'_> {
        let body = ReceivedBody::new(Instant::now(), holds_memory);
        self.body.set(Some(body));
        BodyReception(self)
    }

    pub(super) fn update_body(&self, update: impl FnOnce(&mut ReceivedBody)) {
        if let Some(mut body) = self.body.get() {
            update(&mut body);
            self.body.set(Some(body));
        }
    }

    pub(super) fn is_body_refused(&self) -> bool {
        self.body.get().is_some_and(|body| body.is_refused)
    }

    /// Returns since when the client has sent nothing of the body that it is sending, or of the head for which memory is
    /// reserved, if it may be refused in favour of other clients.
    pub fn stalled_request(&self, now: Instant) -> Option<StalledRequest> {
        let body = self.body.get().and_then(|body| {
            let since = body.refusable_since(now)?;
            Some(StalledRequest {
                since,
                holds_memory: body.holds_memory,
            })
        });
        body.or_else(|| self.stalled_large_head(now))
    }

    fn stalled_large_head(&self, now: Instant) -> Option<StalledRequest> {
        let is_closable = self.phase.get() == Phase::Open && self.may_close(now);
        let since = self.request_began.get()?;
        (is_closable && self.holds_head_memory.get()).then_some(StalledRequest {
            since,
            holds_memory: true,
        })
    }

    /// Refuses the request that [`ConnectionState::stalled_request`] has returned.
    pub fn refuse_stalled_request(&self) {
        if self.body.get().is_none() {
            return self.request_close();
        }
        self.update_body(|body| body.is_refused = true);
        self.body_refused.notify_one();
    }

    /// Returns true if more of an incomplete head may be read only once memory is reserved for it.
    pub(super) fn needs_head_memory(&self) -> bool {
        self.idle_since.get().is_some()
            && self.head_bytes.get() >= SMALL_HEAD_BYTES
            && !self.holds_head_memory.get()
    }

    pub(super) fn set_holds_head_memory(&self) {
        self.holds_head_memory.set(true);
    }

    /// Returns true if memory is reserved for the connection's read buffer, which has grown by a large head.
    pub fn holds_head_memory(&self) -> bool {
        self.holds_head_memory.get()
    }

    /// Returns the sort key for closing this connection to make room; `None` if it may not be closed now.
    pub fn close_priority(&self, now: Instant) -> Option<ClosePriority> {
        match self.phase.get() {
            Phase::HalfClosed => self.idle_since.get().map(ClosePriority::HalfClosed),
            Phase::Evicted => None,
            Phase::Open | Phase::Closing if self.write_blocked_since.get().is_some() => self
                .stalled_since(now, STALL_GRACE)
                .map(ClosePriority::Stalled),
            Phase::Open if self.may_close(now) => self.idle_since.get().map(ClosePriority::Idle),
            Phase::Open | Phase::Closing => None,
        }
    }

    /// Returns when the connection was accepted, if it has been in use for long enough to give way to another client.
    pub fn in_use_since(&self, now: Instant) -> Option<Instant> {
        let is_due = self.accepted_at + CLOSE_GRACE <= now;
        (is_due && self.phase.get() == Phase::Open).then_some(self.accepted_at)
    }

    /// Returns what the connection does now.
    pub fn activity(&self) -> Activity {
        if self.write_blocked_since.get().is_some() {
            Activity::WriteBlocked
        } else if self.is_closing() {
            Activity::Closing
        } else if self.idle_since.get().is_some() {
            Activity::Idle
        } else {
            Activity::Busy
        }
    }

    /// Asks the connection to close as soon as no request is open and its answers are written.
    pub fn request_close(&self) {
        if self.phase.get() == Phase::Open {
            self.phase.set(Phase::Closing);
        }
        self.close_requested.notify_one();
    }

    /// Asks the connection to close since a new one needs its permit: at once if its sending side is already shut or its
    /// peer has accepted no byte for [`STALL_GRACE`], else as [`ConnectionState::request_close`].
    pub fn make_room(&self, now: Instant) {
        let is_stalled = self.stalled_since(now, STALL_GRACE).is_some();
        if is_stalled || self.phase.get() == Phase::HalfClosed {
            self.phase.set(Phase::Evicted);
        }
        self.request_close();
    }

    /// Returns the time since which the peer has accepted no byte of its answers, if that is at least `duration` and no
    /// request is open. An open request gets its answer first.
    fn stalled_since(&self, now: Instant, duration: Duration) -> Option<Instant> {
        self.idle_since.get()?;
        let since = self.write_blocked_since.get()?;
        (since + duration <= now).then_some(since)
    }

    pub(super) fn record_write(&self, is_blocked: bool) {
        let since = self.write_blocked_since.get();
        if !is_blocked && since.is_some() {
            self.writable.notify_one();
        }
        let since = since.or_else(|| Some(Instant::now()));
        self.write_blocked_since.set(since.filter(|_| is_blocked));
    }

    pub(super) fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// Waits until the connection is asked to close.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Returns true if the connection was asked to close.
    pub fn is_closing(&self) -> bool {
        self.phase.get() != Phase::Open
    }

    /// Waits until the connection must be closed at once.
    pub(super) async fn evicted(&self) {
        while self.phase.get() != Phase::Evicted {
            self.close_requested.notified().await;
        }
    }

    /// Returns the time from which the connection may be closed: [`CLOSE_GRACE`] after the end of the last request, or
    /// after the first byte of a request head that is still incomplete. `None` while a request is open or waits until
    /// earlier answers are written.
    fn closable_from(&self) -> Option<Instant> {
        let idle = self.idle_since.get()?;
        if self.awaits_writability.get() {
            return None;
        }
        Some(self.request_began.get().unwrap_or(idle).max(idle) + CLOSE_GRACE)
    }

    /// Returns the time of the next check, and asks the connection to close if it has been idle for `idle_timeout` or
    /// its peer has accepted no byte for [`STALL_TIMEOUT`].
    pub(super) fn next_check(&self, now: Instant, idle_timeout: Duration) -> Instant {
        if self.stalled_since(now, STALL_TIMEOUT).is_some() {
            self.phase.set(Phase::Evicted);
            return now;
        }
        match self.idle_since.get() {
            // the close follows the answer of the open request by at least `CLOSE_GRACE`, so it is not due earlier
            None if self.is_closing() => now + CLOSE_GRACE,
            None => now + idle_timeout,
            Some(_) if self.is_closing() => self
                .closable_from()
                .filter(|from| *from > now)
                .unwrap_or(now + CLOSE_GRACE),
            Some(since) if since + idle_timeout <= now => {
                self.request_close();
                now
            }
            Some(since) => since + idle_timeout,
        }
    }

    pub(super) fn may_close(&self, now: Instant) -> bool {
        self.closable_from().is_some_and(|from| from <= now)
    }

    /// Records that bytes of a request were received.
    pub(super) fn record_read(&self, bytes: usize) {
        if self.idle_since.get().is_none() {
            return;
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
        if self.request_began.get().is_none() {
            self.request_began.set(Some(Instant::now()));
        }
    }
}

/// Request whose client has stopped sending it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalledRequest {
    /// Time of the last progress.
    pub since: Instant,
    /// True if memory beyond the connection's share is reserved for the request.
    pub holds_memory: bool,
}

#[cfg(test)]
mod tests;
