//! The replicated log in memory, as the consensus library reads it.

use super::recovered_log::RecoveredLog;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use std::cell::Cell;

/// Entries after a snapshot.
pub struct Log {
    pub hard: HardState,
    /// Who is a member, as of the last applied entry.
    pub members: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// A follower needs a snapshot that is newer than the one here.
    pub wanted: Cell<bool>,
}

impl Log {
    pub fn new(image: &RecoveredLog) -> Log {
        Log {
            hard: image.hard.clone(),
            members: image.snapshot.get_metadata().get_conf_state().clone(),
            snapshot: image.snapshot.clone(),
            entries: image.entries.clone(),
            wanted: Cell::new(false),
        }
    }

    /// What a disk should hold of it.
    pub fn image(&self, member: u64) -> RecoveredLog {
        RecoveredLog {
            member,
            hard: self.hard.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    pub fn start(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.start(), |e| e.index)
    }

    pub fn entries_since_snapshot(&self) -> usize {
        self.entries.len()
    }

    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.retain(|e| e.index < first.index);
        self.entries.extend_from_slice(entries);
    }

    /// A snapshot that a leader sent: it goes in the place of everything.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        self.members = snapshot.get_metadata().get_conf_state().clone();
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(snapshot.get_metadata().index);
        self.snapshot = snapshot.clone();
    }

    /// Puts the facts as of an applied entry in the place of the entries up to it, but for some that slow followers
    /// may still ask for.
    pub fn compact(&mut self, applied: u64, facts: Vec<u8>) {
        let Ok(term) = self.term(applied) else { return };
        let mut snapshot = Snapshot { data: facts.into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(self.members.clone());
        self.snapshot = snapshot;
        self.entries.retain(|e| e.index > applied);
        self.wanted.set(false);
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.members.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.start() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.start() - 1) as usize;
        let to = (high - self.start() - 1) as usize;
        let mut entries = self.entries[from..to].to_vec();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.start() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.start() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - self.start() - 1) as usize;
        self.entries.get(at).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.start() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.start() == 0 || self.start() < request_index {
            self.wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
