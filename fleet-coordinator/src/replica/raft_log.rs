//! The replicated log in memory, as storage for the Raft library.

use super::recovered_log::RecoveredLog;
use crate::ids::MemberId;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use std::cell::Cell;

/// A snapshot and the entries after it, without gaps.
pub struct RaftLog {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The configuration as of the last applied entry.
    pub members: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Whether a follower needs a newer snapshot than this one. A `Cell`, since the library requests snapshots through a
    /// shared reference.
    pub snapshot_wanted: Cell<bool>,
}

impl RaftLog {
    /// Creates the log from what was recovered from disk.
    pub fn new(recovered: &RecoveredLog) -> RaftLog {
        RaftLog {
            hard_state: recovered.hard_state.clone(),
            members: recovered.snapshot.get_metadata().get_conf_state().clone(),
            snapshot: recovered.snapshot.clone(),
            entries: recovered.entries.clone(),
            snapshot_wanted: Cell::new(false),
        }
    }

    /// Returns the log in the form that is stored on disk.
    pub fn to_recovered(&self, member: MemberId) -> RecoveredLog {
        RecoveredLog {
            member,
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    /// Returns the snapshot's index; 0 if there is none.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the last entry's index, or the snapshot's if there are no entries.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_index(), |entry| entry.index)
    }

    pub fn entries_since_snapshot(&self) -> usize {
        self.entries.len()
    }

    /// Appends entries, replacing existing ones from the first new entry's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|entry| entry.index < first.index);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log with a snapshot from a leader.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        self.members = snapshot.get_metadata().get_conf_state().clone();
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.get_metadata().index);
        self.snapshot = snapshot.clone();
    }

    /// Replaces the entries up to `applied` with a snapshot of the state at that entry.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) {
        let Ok(term) = self.term(applied) else { return };
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = applied;
        metadata.term = term;
        metadata.set_conf_state(self.members.clone());
        self.snapshot = snapshot;
        self.entries.retain(|entry| entry.index > applied);
        self.snapshot_wanted.set(false);
    }

    /// Returns the position in `entries` of the entry with this index, which must be greater than the snapshot's.
    fn offset(&self, index: u64) -> usize {
        (index - self.snapshot_index() - 1) as usize
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.members.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let mut entries = self.entries[self.offset(low)..self.offset(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.snapshot_index() == 0 || self.snapshot_index() < request_index {
            self.snapshot_wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
