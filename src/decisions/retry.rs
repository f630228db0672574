//! Backoff between the attempts of one message.

use super::state::PendingMessage;
use crate::interface::{MILLISECOND, Micros, Outcome, SECOND};

/// Backoff after the first failed attempt of a message. Longer spares attempts; shorter saves time.
pub(super) const INITIAL_RETRY_BACKOFF: Micros = 150 * MILLISECOND;
/// Maximum backoff after failed attempts of a message. Longer spares attempts; shorter saves time.
const MAX_RETRY_BACKOFF: Micros = 2 * SECOND;

impl PendingMessage {
    /// Sets the time from which the message may be tried again, after an attempt that ended with
    /// `outcome`.
    pub(super) fn back_off(&mut self, outcome: Outcome, now: Micros) {
        // a message that the driver could not send backs off too, unless only a call slot was
        // missing; otherwise a lasting local fault would use up all attempts at once
        if matches!(
            outcome,
            Outcome::Success | Outcome::NotSent { no_slot: true }
        ) {
            return;
        }
        let backoff = self.retry_backoff;
        self.retry_backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
        // another endpoint may accept at once what this one rejected; the rate limit of the route
        // protects the destination
        let is_rejected = matches!(outcome, Outcome::Rejected { .. });
        self.retry_at = now + if is_rejected { 0 } else { backoff };
    }
}
