//! Scarce connections: whether endpoints reject new connections for want of room, while connections that are kept are
//! served. Then each idle connection that one sender keeps is one that another waits for.
//!
//! A limit of calls rejects on new and on reused connections alike, so the difference between the two tells.

use super::messages::AnswerKind;

/// Weight of one more call in the shares: some ten calls are remembered.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Share of new connections that are rejected from which on they are scarce, and under which they are no more.
const SCARCE_SHARE: f64 = 0.5;
const AMPLE_SHARE: f64 = 0.2;
/// As often must new connections be rejected for each kept one that is.
const REJECTION_RATIO: f64 = 4.0;
/// Calls on new and on reused connections before anything is made of their shares. One that holds the only connection which
/// it could get makes few calls on it.
const MIN_NEW_CALLS: u32 = 4;
const MIN_REUSED_CALLS: u32 = 2;

/// How often calls of one kind of connection were rejected.
#[derive(Debug, Default)]
struct RejectedShare {
    calls: u32,
    share: f64,
}

impl RejectedShare {
    fn record(&mut self, is_rejected: bool) {
        self.calls = self.calls.saturating_add(1);
        // the mean of the first calls, then a moving one
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.calls));
        self.share += weight * (f64::from(u8::from(is_rejected)) - self.share);
    }
}

/// What the answers on new and on reused connections tell of the room that endpoints have for connections.
#[derive(Debug, Default)]
pub(super) struct Scarcity {
    new: RejectedShare,
    reused: RejectedShare,
    scarce: bool,
}

impl Scarcity {
    /// An answer to the first call of a connection, or to a later one.
    pub(super) fn record(&mut self, answer: AnswerKind, first_call: bool) {
        if answer == AnswerKind::Other {
            return;
        }
        let is_rejected = answer == AnswerKind::Rejected;
        let share = if first_call {
            &mut self.new
        } else {
            &mut self.reused
        };
        share.record(is_rejected);
        let has_enough_calls =
            self.new.calls >= MIN_NEW_CALLS && self.reused.calls >= MIN_REUSED_CALLS;
        let is_specific_to_new = self.new.share >= REJECTION_RATIO * self.reused.share;
        self.scarce = if self.scarce {
            self.new.share > AMPLE_SHARE && is_specific_to_new
        } else {
            has_enough_calls && self.new.share >= SCARCE_SHARE && is_specific_to_new
        };
    }

    /// True if an idle connection is better closed than kept.
    pub(super) fn is_scarce(&self) -> bool {
        self.scarce
    }
}
