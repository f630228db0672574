//! Queries over the ledger's ranges. While one is split, both of its sides are read and compared, for a share of the time.

use super::Replica;
use crate::state::Command;
use quota_ledger::LedgerEntry;
use quota_ledger::splits::{Disagreement, Query, Rows, Split};
use versioned_config::Micros;

/// What is left free after a dual read, for each row of it, and flags of them in one entry.
const COMPARE_ROW: Micros = 5;
const FLAGS_TOLD: usize = 32;

/// What dual reads have found since it was logged last.
#[derive(Debug, Default)]
pub(super) struct DualReads {
    flags: Vec<Disagreement>,
    compared: u64,
    not_compared: u64,
    /// When the next may be.
    next: Micros,
}

impl DualReads {
    /// The entry that logs it; none where there was no such read.
    fn take_entry(&mut self) -> Option<LedgerEntry> {
        let queries = [self.compared, self.not_compared];
        if queries == [0, 0] {
            return None;
        }
        let mut flags = std::mem::take(&mut self.flags);
        flags.truncate(FLAGS_TOLD);
        (self.compared, self.not_compared) = (0, 0);
        Some(LedgerEntry::RecordDualReads { queries, flags })
    }
}

impl Replica {
    /// Answers a query over the ledger's ranges. While one is split, its two sides are compared too, for no more than a share
    /// of the time: what does not fit counts as not compared.
    pub fn query(&mut self, now: Micros, query: &Query) -> Option<Rows> {
        let book = self.state.ledger.as_ref()?;
        if !book.split().is_some_and(Split::reads_both) {
            return Some(book.query(query));
        }
        let size = book.limits().count() as u64;
        if now < self.dual_reads.next {
            self.dual_reads.not_compared += 1;
            return Some(book.query(query));
        }
        let (rows, flag) = book.dual_read(query);
        self.dual_reads.compared += 1;
        self.dual_reads.flags.extend(flag);
        // a row read and compared takes some hundred nanoseconds: a tenth of the time goes there at most
        self.dual_reads.next = now + size * COMPARE_ROW;
        Some(rows)
    }

    /// What dual reads here have found, for the log, which this one leads.
    pub(super) fn log_dual_reads(&mut self) {
        if let Some(entry) = self.dual_reads.take_entry() {
            self.append(&Command::Ledger(entry));
        }
    }
}
