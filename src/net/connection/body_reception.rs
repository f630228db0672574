//! Progress of a request body that is being received, by which a client that has stopped is told apart from one that is
//! slow.

use super::ConnectionState;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time without a byte of a body before it may be refused in favour of other clients.
const BODY_STALL_GRACE: Duration = Duration::from_millis(100);
/// Minimum time since the start of a body before it may be refused in favour of other clients although bytes arrive.
const BODY_SLOW_GRACE: Duration = Duration::from_millis(300);

/// Body that a connection is receiving.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedBody {
    began_at: Instant,
    last_progress_at: Instant,
    /// True if memory beyond the connection's share is reserved for the body.
    pub(super) holds_memory: bool,
    pub(super) is_refused: bool,
}

impl ReceivedBody {
    pub(super) fn new(now: Instant, holds_memory: bool) -> Self {
        ReceivedBody {
            began_at: now,
            last_progress_at: now,
            holds_memory,
            is_refused: false,
        }
    }

    /// Returns the time of the last progress if the body may be refused in favour of other clients.
    pub(super) fn refusable_since(&self, now: Instant) -> Option<Instant> {
        let is_stalled = self.last_progress_at + BODY_STALL_GRACE <= now;
        let is_slow = self.began_at + BODY_SLOW_GRACE <= now;
        (!self.is_refused && (is_stalled || is_slow)).then_some(self.last_progress_at)
    }
}

/// Registration of a body at its connection, until this is dropped.
pub struct BodyReception<'a>(pub(super) &'a ConnectionState);

impl BodyReception<'_> {
    /// Records that a part of the body has arrived.
    pub fn record_progress(&self) {
        self.0
            .update_body(|body| body.last_progress_at = Instant::now());
    }

    /// Waits until the body is refused in favour of other clients.
    pub async fn refused(&self) {
        while !self.0.is_body_refused() {
            self.0.body_refused.notified().await;
        }
    }
}

impl Drop for BodyReception<'_> {
    fn drop(&mut self) {
        self.0.body.set(None);
    }
}
