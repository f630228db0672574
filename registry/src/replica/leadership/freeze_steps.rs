//! The steps of the freeze calendar that the leader proposes: windows that begin or end, calendars that have settled.

use quota_ledger::freeze::schedule::Clocks;
use quota_ledger::freeze::{FreezeEntry, FreezeState};
use versioned_config::Micros;

/// The pause after steps were proposed.
const PROPOSAL_INTERVAL: Micros = 300_000;
/// How long a calendar and the one before it are both in force: every sender that is reached has polled twice in it.
const SETTLE_TIME: Micros = 3_000_000;

/// A calendar that has not settled yet.
#[derive(Debug, Clone, Copy)]
struct Settling {
    rev: u64,
    since: Micros,
}

/// The leader's part of the freeze.
#[derive(Debug, Default)]
pub(super) struct FreezeSteps {
    /// When steps were last proposed.
    proposed_at: Micros,
    settling: Option<Settling>,
    /// Whether the clocks differed when they were last compared.
    clocks_differ: bool,
}

impl FreezeSteps {
    /// The entries that are due.
    pub fn steps(&mut self, now: Micros, freeze: &FreezeState, clocks: Clocks) -> Vec<FreezeEntry> {
        self.compare_clocks(clocks);
        if now < self.proposed_at + PROPOSAL_INTERVAL {
            return Vec::new();
        }
        let mut due = freeze.due_entries(clocks);
        due.extend(self.settle_step(now, freeze));
        if !due.is_empty() {
            self.proposed_at = now;
        }
        due
    }

    fn compare_clocks(&mut self, clocks: Clocks) {
        let differ = clocks.differ();
        if differ != self.clocks_differ {
            self.clocks_differ = differ;
            let Clocks { wall_ms, log_ms } = clocks;
            tracing::warn!(
                wall_ms,
                log_ms,
                differ,
                "wall clock and log clock: the stricter one holds"
            );
        }
    }

    fn settle_step(&mut self, now: Micros, freeze: &FreezeState) -> Option<FreezeEntry> {
        let rev = freeze.previous_calendar().map(|_| freeze.revision());
        if rev != self.settling.map(|settling| settling.rev) {
            self.settling = rev.map(|rev| Settling { rev, since: now });
        }
        let Settling { rev, since } = self.settling?;
        (now >= since + SETTLE_TIME).then_some(FreezeEntry::SettleCalendar(rev))
    }
}
