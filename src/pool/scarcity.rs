//! Detection of scarce connections: endpoints reject calls on new connections because they have no
//! room for more connections, while calls on established connections are served. In that case each
//! idle connection that one sender keeps is a connection that another sender cannot get.
//!
//! A limit on calls, in contrast, causes rejections on new and on reused connections alike. So
//! scarcity is detected by comparing the shares of rejected calls on new and on reused connections.

use super::messages::AnswerKind;

/// Weight of the latest call in the moving average of rejections, which therefore covers about the
/// last ten calls.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum share of rejected calls on new connections for connections to start to count as scarce.
const SCARCITY_START_SHARE: f64 = 0.5;
/// Share of rejected calls on new connections at or below which connections no longer count as
/// scarce.
const SCARCITY_END_SHARE: f64 = 0.2;
/// Minimum ratio of the share of rejected calls on new connections to the share on reused
/// connections, for connections to count as scarce. A smaller ratio may come from a limit on calls.
const MIN_REJECTION_RATIO: f64 = 4.0;
/// Minimum number of calls on new connections before the share of rejected calls among them is
/// used.
const MIN_NEW_CALLS: u32 = 4;
/// Minimum number of calls on reused connections before their share of rejections is used. It is
/// lower than `MIN_NEW_CALLS`: when connections are scarce, a sender may hold only one connection.
/// That connection carries one call at a time, so there are few calls on reused connections.
const MIN_REUSED_CALLS: u32 = 2;

/// Share of rejected calls, either on new or on reused connections.
#[derive(Debug, Default)]
struct RejectedShare {
    /// Number of calls recorded so far.
    calls: u32,
    /// Moving average of rejections, from 0 (none) to 1 (all).
    share: f64,
}

impl RejectedShare {
    fn record(&mut self, is_rejected: bool) {
        self.calls = self.calls.saturating_add(1);
        // the plain mean of the first ten calls, then a moving average
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.calls));
        self.share += weight * (f64::from(u8::from(is_rejected)) - self.share);
    }
}

/// Detects from the answers on new and on reused connections whether endpoints have room for more
/// connections.
#[derive(Debug, Default)]
pub(super) struct Scarcity {
    new: RejectedShare,
    reused: RejectedShare,
    scarce: bool,
}

impl Scarcity {
    /// Records an answer. `first_call` says whether the call was the first one on its connection.
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
        let is_specific_to_new = self.new.share >= MIN_REJECTION_RATIO * self.reused.share;
        self.scarce = if self.scarce {
            self.new.share > SCARCITY_END_SHARE && is_specific_to_new
        } else {
            has_enough_calls && self.new.share >= SCARCITY_START_SHARE && is_specific_to_new
        };
    }

    /// Returns true if endpoints lack room for connections, so that idle connections should be
    /// closed for other senders.
    pub(super) fn is_scarce(&self) -> bool {
        self.scarce
    }
}
