//! Queries over the ledger's ranges. While one is split, both of its sides are read and compared, for a share of the time.

use super::Replica;
use crate::state::Command;
use quota_ledger::LedgerEntry;
use quota_ledger::splits::{Disagreement, Query, Rows, Split};
use versioned_config::Micros;

/// The pause after a dual read for each of its rows. A row read and compared takes some hundred nanoseconds, so that a tenth
/// of the time goes there at most.
const PAUSE_PER_ROW: Micros = 5;
/// The most flags of one entry.
const MAX_FLAGS: usize = 32;

/// What dual reads have found since it was last appended to the log.
#[derive(Debug, Default)]
pub(super) struct DualReads {
    flags: Vec<Disagreement>,
    compared: u64,
    not_compared: u64,
    /// The next dual read is made no earlier.
    next_at: Micros,
}

impl DualReads {
    /// Takes out the entry for the log; none where there was no query during a split.
    fn take_entry(&mut self) -> Option<LedgerEntry> {
        let queries = [self.compared, self.not_compared];
        if queries == [0, 0] {
            return None;
        }
        let mut flags = std::mem::take(&mut self.flags);
        flags.truncate(MAX_FLAGS);
        self.compared = 0;
        self.not_compared = 0;
        Some(LedgerEntry::RecordDualReads {
            queries: queries.into(),
            disagreements: flags,
        })
    }
}

impl Replica {
    /// Answers a query over the ledger's ranges; none where there is no ledger. While a range is split, its two sides are
    /// compared too, for no more than a share of the time: what does not fit counts as not compared.
    pub fn query(&mut self, now: Micros, query: &Query) -> Option<Rows> {
        let ledger = self.state.ledger.as_ref()?;
        if !ledger.split().is_some_and(Split::is_readable) {
            return Some(ledger.query(query));
        }
        if now < self.dual_reads.next_at {
            self.dual_reads.not_compared += 1;
            return Some(ledger.query(query));
        }
        let (rows, flag) = ledger.dual_read(query);
        self.dual_reads.compared += 1;
        self.dual_reads.flags.extend(flag);
        self.dual_reads.next_at = now + ledger.limits().count() as u64 * PAUSE_PER_ROW;
        Some(rows)
    }

    /// Appends what dual reads have found to the log, as leader.
    pub(super) fn log_dual_reads(&mut self) {
        if let Some(entry) = self.dual_reads.take_entry() {
            self.append(&Command::Ledger(entry));
        }
    }
}
