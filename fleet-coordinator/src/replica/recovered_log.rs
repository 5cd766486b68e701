//! The replicated log as stored on disk: decoded from records, and encoded as records or as one snapshot. Decoding needs
//! no Raft node, so a store can be opened and inspected without one.

use super::scan::{self, ParseError};
use crate::ids::MemberId;
use durable_log::{Recovered, RecoveredRecord};
use raft::eraftpb::{Entry, HardState, Snapshot};

// Kinds of records. The first byte of a record is its kind.
const HARD_STATE: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;
const MEMBER: u8 = 4;
/// The size of the length prefix of each part of a snapshot (bytes).
const LENGTH_BYTES: usize = 4;

/// Why a record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record is empty.
    #[error("empty record")]
    Empty,
    /// The record's kind is unknown.
    #[error("unknown record kind {0}; expected {HARD_STATE} to {MEMBER}")]
    UnknownKind(u8),
    /// The record's message can't be parsed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// An entry does not directly follow the one before it.
    #[error("gap in the log: entry {index} follows entry {previous_index}")]
    Gap {
        /// The entry's index.
        index: u64,
        /// The last index before it.
        previous_index: u64,
    },
    /// A member number has this length (bytes) instead of eight bytes.
    #[error("member number of {0} bytes; expected 8 bytes")]
    MemberNumber(usize),
}

/// Why the content of a store is not a replicated log. Its checksums are valid, so another program has written it.
#[derive(Debug, thiserror::Error)]
pub enum RecoveredLogError {
    /// A part of the snapshot is shorter than its length prefix says.
    #[error("truncated part of the snapshot")]
    TruncatedPart,
    /// A part of the snapshot can't be decoded.
    #[error(transparent)]
    Part(#[from] RecordError),
    /// A record after the snapshot can't be decoded.
    #[error("record {sequence}: {source}")]
    Record {
        /// The record's sequence number.
        sequence: u64,
        /// Why it can't be decoded.
        source: RecordError,
    },
}

/// The replicated log as stored on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredLog {
    /// This member; [`MemberId::NONE`] if the disk holds none.
    pub member: MemberId,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Encodes the hard state as a record.
#[must_use]
pub fn hard_state_record(hard_state: &HardState) -> Vec<u8> {
    record(HARD_STATE, hard_state)
}

/// Encodes an entry as a record.
#[must_use]
pub fn entry_record(entry: &Entry) -> Vec<u8> {
    record(ENTRY, entry)
}

/// Encodes a snapshot as a record.
#[must_use]
pub fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    record(SNAPSHOT, snapshot)
}

/// Encodes a member number as a record.
#[must_use]
pub fn member_record(member: MemberId) -> Vec<u8> {
    let mut bytes = vec![MEMBER];
    bytes.extend_from_slice(&member.0.to_le_bytes());
    bytes
}

fn record(kind: u8, message: &impl protobuf::Message) -> Vec<u8> {
    let mut bytes = vec![kind];
    // Writing to a vector can't fail.
    let _ = message.write_to_vec(&mut bytes);
    bytes
}

impl RecoveredLog {
    /// Decodes the content of a store.
    ///
    /// # Errors
    /// A part of the snapshot or a record can't be decoded. Its checksum is valid, so another program has written it.
    pub fn read(recovered: &Recovered) -> Result<RecoveredLog, RecoveredLogError> {
        let mut log = RecoveredLog::default();
        if let Some(snapshot) = &recovered.snapshot {
            log.read_parts(snapshot)?;
        }
        for RecoveredRecord { sequence, body } in &recovered.records {
            let result = log.read_record(body);
            result.map_err(|source| RecoveredLogError::Record { sequence: *sequence, source })?;
        }
        let index = log.snapshot.get_metadata().index;
        log.hard_state.commit = log.hard_state.commit.clamp(index, index.max(log.last()));
        Ok(log)
    }

    /// Returns the last entry's index, or the snapshot's if there are no entries.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |entry| entry.index)
    }

    /// Encodes the complete log as one record, in which each part has a length prefix.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut push_part = |record: Vec<u8>| {
            bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&record);
        };
        push_part(member_record(self.member));
        push_part(hard_state_record(&self.hard_state));
        push_part(snapshot_record(&self.snapshot));
        for entry in &self.entries {
            push_part(entry_record(entry));
        }
        bytes
    }

    fn read_parts(&mut self, mut rest: &[u8]) -> Result<(), RecoveredLogError> {
        while let Some(head) = rest.get(..LENGTH_BYTES).and_then(|head| head.try_into().ok()) {
            let end = LENGTH_BYTES + u32::from_le_bytes(head) as usize;
            let part = rest.get(LENGTH_BYTES..end).ok_or(RecoveredLogError::TruncatedPart)?;
            self.read_record(part)?;
            rest = &rest[end..];
        }
        Ok(())
    }

    fn read_record(&mut self, record: &[u8]) -> Result<(), RecordError> {
        let (kind, body) = record.split_first().ok_or(RecordError::Empty)?;
        match *kind {
            HARD_STATE => self.hard_state = scan::parse(body)?,
            ENTRY => self.read_entry(scan::parse(body)?)?,
            SNAPSHOT => self.read_snapshot(scan::parse(body)?),
            MEMBER => {
                let number = body.try_into().map_err(|_| RecordError::MemberNumber(body.len()))?;
                self.member = MemberId(u64::from_le_bytes(number));
            }
            other => return Err(RecordError::UnknownKind(other)),
        }
        Ok(())
    }

    /// Adds an entry, and drops the entries from its index on: they were not committed, and a new leader has replaced them.
    fn read_entry(&mut self, entry: Entry) -> Result<(), RecordError> {
        if entry.index <= self.snapshot.get_metadata().index {
            return Ok(());
        }
        self.entries.retain(|earlier| earlier.index < entry.index);
        if entry.index != self.last() + 1 {
            return Err(RecordError::Gap { index: entry.index, previous_index: self.last() });
        }
        self.entries.push(entry);
        Ok(())
    }

    fn read_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        let index = self.snapshot.get_metadata().index;
        self.entries.retain(|entry| entry.index > index);
        if self.entries.first().is_some_and(|entry| entry.index != index + 1) {
            self.entries.clear();
        }
    }
}
