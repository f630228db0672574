//! The backoff between the attempts of one message.

use super::state::PendingMessage;
use crate::interface::{MILLISECOND, Micros, Outcome, SECOND};

/// Backoff before a message is tried again, at first and at most. Longer spares attempts, shorter
/// saves time.
pub(super) const INITIAL_RETRY_BACKOFF: Micros = 150 * MILLISECOND;
const MAX_RETRY_BACKOFF: Micros = 2 * SECOND;

impl PendingMessage {
    /// Sets when the message may be tried again after an attempt that ended so.
    pub(super) fn back_off(&mut self, outcome: Outcome, now: Micros) {
        // what the host could not send backs off too, or a lasting fault there would use up all
        // attempts at once
        if matches!(
            outcome,
            Outcome::Success | Outcome::NotSent { no_slot: true }
        ) {
            return;
        }
        let backoff = self.retry_backoff;
        self.retry_backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
        // another endpoint may take at once what one rejected; the route's rate limit guards the
        // destination
        let is_rejected = matches!(outcome, Outcome::Rejected { .. });
        self.retry_at = now + if is_rejected { 0 } else { backoff };
    }
}
