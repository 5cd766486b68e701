//! The replicated log as a coordinator's disk holds it: decoded from records, and encoded as records or as one snapshot.
//! Decoding needs no state of the consensus library, so a store can be opened, checked and shown without one.

use super::scan::{self, ParseError};
use crate::ids::MemberId;
use durable_log::{Recovered, RecoveredRecord};
use raft::eraftpb::{Entry, HardState, Snapshot};

/// The first byte of a record.
const HARD_STATE: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;
const MEMBER: u8 = 4;
/// The length before each part of a snapshot (bytes).
const LENGTH_BYTES: usize = 4;

/// Why a record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record has no bytes.
    #[error("an empty record")]
    Empty,
    /// The record's kind is not known.
    #[error("a record of kind {0}, which this version does not know")]
    UnknownKind(u8),
    /// The record's message can't be parsed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// An entry does not follow the one before.
    #[error("entry {index} after {last}")]
    Gap {
        /// The entry's index.
        index: u64,
        /// The last index before it.
        last: u64,
    },
    /// A member's number has not eight bytes.
    #[error("a member's number is not whole")]
    MemberNumber,
}

/// Why what a store recovered is not a replicated log: something else wrote it.
#[derive(Debug, thiserror::Error)]
pub enum RecoveredLogError {
    /// A part of the snapshot is shorter than its length says.
    #[error("a snapshot's part is cut off")]
    TruncatedPart,
    /// A part of the snapshot can't be decoded.
    #[error(transparent)]
    Part(#[from] RecordError),
    /// A record after the snapshot can't be decoded.
    #[error("record {sequence}: {source}")]
    Record {
        /// The record's sequence number.
        sequence: u64,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// The replicated log as the disk holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredLog {
    /// This member; none while the disk is empty.
    pub member: MemberId,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot; its index is 0 while there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// The hard state as a record.
#[must_use]
pub fn hard_state_record(hard_state: &HardState) -> Vec<u8> {
    record(HARD_STATE, hard_state)
}

/// An entry as a record.
#[must_use]
pub fn entry_record(entry: &Entry) -> Vec<u8> {
    record(ENTRY, entry)
}

/// A snapshot as a record.
#[must_use]
pub fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    record(SNAPSHOT, snapshot)
}

/// A member's number as a record.
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
    /// Decodes what a store has recovered.
    ///
    /// # Errors
    /// A record with a valid checksum that can't be decoded: something else wrote it.
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

    /// The last entry's index; the snapshot's where there is no entry.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |entry| entry.index)
    }

    /// Encodes all of it as one record: each part with its length before it.
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
                let number = body.try_into().map_err(|_| RecordError::MemberNumber)?;
                self.member = MemberId(u64::from_le_bytes(number));
            }
            other => return Err(RecordError::UnknownKind(other)),
        }
        Ok(())
    }

    /// What a new leader wrote replaces what an earlier one wrote from the same index on.
    fn read_entry(&mut self, entry: Entry) -> Result<(), RecordError> {
        if entry.index <= self.snapshot.get_metadata().index {
            return Ok(());
        }
        self.entries.retain(|earlier| earlier.index < entry.index);
        if entry.index != self.last() + 1 {
            return Err(RecordError::Gap { index: entry.index, last: self.last() });
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
