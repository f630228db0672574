//! How far this node trusts itself: Lifeguard's local health score (section IV-A), isolation, and pauses of the
//! process.

use super::Node;
use crate::Micros;
use crate::output::{Change, Output};

/// Lifeguard's greatest local health score S: periods and time-outs grow to at most nine times (section IV-A).
const MAX_HEALTH_SCORE: u32 = 8;
/// The score after a pause of the process.
const HEALTH_SCORE_AFTER_PAUSE: u32 = MAX_HEALTH_SCORE / 2;
/// A call that comes later than this fraction (one half) of a period shows a pause of the process.
const PAUSE_PERIOD_DIVISOR: Micros = 2;
/// Probes in a row without any answer after which a node counts itself as isolated.
const ISOLATION_PROBES: u32 = 3;

impl Node {
    /// Time-outs stretched by the local health score (Lifeguard, section IV-A).
    pub(super) fn stretched_by_health(&self, time: Micros) -> Micros {
        time * Micros::from(self.health + 1)
    }

    pub(super) fn worsen_health(&mut self, by: u32) {
        if self.settings.lifeguard {
            self.health = (self.health + by).min(MAX_HEALTH_SCORE);
        }
    }

    pub(super) fn improve_health(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    /// Too many probes in a row had no answer at all.
    pub(super) fn is_unanswered(&self) -> bool {
        self.unanswered_probes >= ISOLATION_PROBES
    }

    /// Whether this node has reason to doubt itself rather than the others.
    pub(super) fn is_isolated(&self) -> bool {
        self.has_yielded || self.is_unanswered()
    }

    /// Reports a change of isolation.
    pub(super) fn report_isolation(&self, was_isolated: bool, output: &mut Output) {
        let isolated = self.is_isolated();
        if isolated != was_isolated {
            output.changes.push(Change::Isolation { isolated });
        }
    }

    /// Somebody answered: this node hears and is heard.
    pub(super) fn record_answer(&mut self, output: &mut Output) {
        let was_isolated = self.is_isolated();
        self.unanswered_probes = 0;
        self.has_been_answered = true;
        self.report_isolation(was_isolated, output);
    }

    /// A process that stood still missed answers, so nothing that ran out meanwhile counts against others. An
    /// extension, in the spirit of Lifeguard's local health.
    pub(super) fn detect_pause(&mut self, now: Micros, output: &mut Output) {
        let micros = now.saturating_sub(self.next_deadline);
        if micros <= self.settings.protocol_period / PAUSE_PERIOD_DIVISOR {
            return;
        }
        output.changes.push(Change::Paused { micros });
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe_at = now;
        self.push_pull.postpone_to(now);
        self.postpone_suspicions(now, micros);
        self.has_been_answered = false;
        if self.settings.lifeguard {
            self.health = HEALTH_SCORE_AFTER_PAUSE;
        }
        // the clock goes on from here: no second pause is seen in the same one
        self.next_deadline = now;
    }
}
