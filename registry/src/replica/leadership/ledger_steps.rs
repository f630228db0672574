//! The entries of the quota ledger that the leader proposes: its beginning, holders of ranges, the steps of a split.

use crate::state::{Command, State};
use quota_ledger::LedgerEntry;
use quota_ledger::freeze::{ChangeKind, FreezeError, FreezeState, ResourceChange};
use quota_ledger::splits::{Split, SplitError};
use std::collections::BTreeMap;
use versioned_config::Micros;

/// A replica that was not heard for so long holds no range: two elections' time, in which a new leader would be found.
const REPLICA_TIMEOUT: Micros = 2_000_000;
/// Keys that a split copies or compares in one step.
const KEYS_PER_STEP: u64 = 256;
/// A split is compared for at least so long.
const MIN_SPLIT_TIME: Micros = 3_000_000;
/// A split that takes longer is undone.
const MAX_SPLIT_TIME: Micros = 120_000_000;

/// The leader's part of the ledger.
#[derive(Debug, Default)]
pub(super) struct LedgerSteps {
    /// Whether this leader has proposed the ledger's beginning.
    begin_proposed: bool,
    /// The ranges, by first destination, for which this leader has proposed a holder, with the epoch that it ends.
    holders_proposed: BTreeMap<u64, u64>,
    /// Since when a split is under way, as this leader knows.
    split_since: Option<Micros>,
}

impl LedgerSteps {
    /// The entries that are due: the ledger's beginning, holders for ranges whose holder is not alive, the split's next step.
    pub fn steps(
        &mut self,
        now: Micros,
        state: &State,
        initial: &[Command],
        last_heard: &BTreeMap<u64, Micros>,
    ) -> Vec<Command> {
        let Some(ledger) = &state.ledger else {
            return self.begin(initial).into_iter().collect();
        };
        let mut due: Vec<LedgerEntry> = Vec::new();
        match ledger.split() {
            None => self.split_since = None,
            Some(split) => {
                let since = *self.split_since.get_or_insert(now);
                due.extend(split_step(now, since, split, &state.freeze));
            }
        }
        let is_alive = |(_, heard): &(&u64, &Micros)| now < **heard + REPLICA_TIMEOUT;
        let alive: Vec<u64> = last_heard
            .iter()
            .filter(is_alive)
            .map(|(id, _)| *id)
            .collect();
        due.extend(ledger.allocator_assignments(&alive));
        due.retain(|entry| self.is_new(entry));
        due.into_iter().map(Command::Ledger).collect()
    }

    fn begin(&mut self, initial: &[Command]) -> Option<Command> {
        let begin = initial
            .iter()
            .find(|command| matches!(command, Command::Ledger(_)))?;
        if self.begin_proposed {
            return None;
        }
        self.begin_proposed = true;
        Some(begin.clone())
    }

    /// Whether an entry has not been proposed yet, or is one that may be proposed again.
    fn is_new(&mut self, entry: &LedgerEntry) -> bool {
        match entry {
            LedgerEntry::AssignAllocator { shard, epoch, .. } => {
                self.holders_proposed.insert(*shard, *epoch) != Some(*epoch)
            }
            _ => true,
        }
    }

    /// The engine did not append an entry.
    pub fn not_appended(&mut self, entry: &LedgerEntry) {
        match entry {
            LedgerEntry::AssignAllocator { shard, .. } => drop(self.holders_proposed.remove(shard)),
            _ => self.begin_proposed = false,
        }
    }
}

/// The next entry of a split: what has been compared as a whole is cut over, anything else is undone, so that nothing is left
/// half done.
fn split_step(
    now: Micros,
    since: Micros,
    split: &Split,
    freeze: &FreezeState,
) -> Option<LedgerEntry> {
    if split.disagreement_count > 0 {
        return Some(LedgerEntry::RollBack(SplitError::Disagreements(
            split.disagreement_count,
        )));
    }
    let long_enough = now >= since + MIN_SPLIT_TIME;
    if split.planted_fault.is_some() && split.compared_all && long_enough {
        return Some(LedgerEntry::RollBack(SplitError::Rehearsed));
    }
    let proven = split.is_proven();
    let matter = ResourceChange {
        destinations: vec![split.first],
        ..ResourceChange::of_all(ChangeKind::Split)
    };
    if let Err(FreezeError::Held { window, .. }) = freeze.check_changes(&[matter], false)
        && !proven
    {
        return Some(LedgerEntry::RollBack(SplitError::Frozen(window)));
    }
    if proven && long_enough {
        return Some(LedgerEntry::CutOver);
    }
    if now >= since + MAX_SPLIT_TIME {
        return Some(LedgerEntry::RollBack(SplitError::TimedOut));
    }
    (!proven).then_some(LedgerEntry::AdvanceSplit(KEYS_PER_STEP))
}
