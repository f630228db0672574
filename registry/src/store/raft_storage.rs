//! The store as the raft engine reads it.

use super::Store;
use crate::wire_types::LogEntry;
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// What an entry takes in a message beside its data and context, roughly.
const ENTRY_OVERHEAD: usize = 24;

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.into(),
            (&self.membership).into(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        let position = |index: u64| (index - self.snapshot.index - 1) as usize;
        let Some(range) = self.entries.get(position(low)..position(high)) else {
            return Err(StorageError::Unavailable.into());
        };
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        // the first entry is returned however large it is
        let fits = |(number, entry): &(usize, &LogEntry)| {
            size += (entry.data.len() + entry.context.len() + ENTRY_OVERHEAD) as u64;
            *number == 0 || size <= max_size
        };
        Ok(range
            .iter()
            .enumerate()
            .take_while(fits)
            .map(|(_, entry)| entry.clone().into())
            .collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.snapshot.index {
            return Err(StorageError::Compacted.into());
        }
        self.term_of(index)
            .ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<eraftpb::Snapshot> {
        if self.snapshot.index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok((&self.snapshot).into())
    }
}
