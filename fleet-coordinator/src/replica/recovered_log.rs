//! What a coordinator's disk holds of the replicated log, as a value: records in, an image out, and the same image as one
//! record for a snapshot. Reading it needs no library's state, so a store can be opened, checked and shown without one.

use super::scan;
use durable_log::Recovered;
use raft::eraftpb::{Entry, HardState, Snapshot};

/// Kinds of records.
const HARD: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;
const MEMBER: u8 = 4;

/// The replicated log as the disk has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredLog {
    /// This member's number; 0 while it has none.
    pub member: u64,
    pub hard: HardState,
    pub snapshot: Snapshot,
    /// Those after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// One record for the disk.
pub fn hard_record(hard: &HardState) -> Vec<u8> {
    record(HARD, hard)
}

pub fn entry_record(entry: &Entry) -> Vec<u8> {
    record(ENTRY, entry)
}

pub fn snapshot_record(snapshot: &Snapshot) -> Vec<u8> {
    record(SNAPSHOT, snapshot)
}

pub fn member_record(member: u64) -> Vec<u8> {
    let mut bytes = vec![MEMBER];
    bytes.extend_from_slice(&member.to_le_bytes());
    bytes
}

fn record(kind: u8, message: &impl protobuf::Message) -> Vec<u8> {
    let mut bytes = vec![kind];
    // Into a vector: there is nothing that could fail.
    let _ = message.write_to_vec(&mut bytes);
    bytes
}

impl RecoveredLog {
    /// Reads what a store has recovered.
    ///
    /// # Errors
    /// A record with a whole checksum that can't be read: it was written by something else.
    pub fn read(recovered: &Recovered) -> Result<RecoveredLog, String> {
        let mut image = RecoveredLog::default();
        if let Some(mut rest) = recovered.snapshot.as_deref() {
            while let Some(head) = rest.get(..4).and_then(|head| head.try_into().ok()) {
                let length = u32::from_le_bytes(head) as usize;
                let part = rest.get(4..4 + length).ok_or("a snapshot's part is cut off")?;
                image.take(part)?;
                rest = &rest[4 + length..];
            }
        }
        for (sequence, record) in &recovered.records {
            image.take(record).map_err(|e| format!("record {sequence}: {e}"))?;
        }
        let index = image.snapshot.get_metadata().index;
        image.hard.commit = image.hard.commit.clamp(index, index.max(image.last()));
        Ok(image)
    }

    /// The number of the last entry; the snapshot's where there is none after it.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |e| e.index)
    }

    /// All of it as one record.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut part = |record: Vec<u8>| {
            bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
            bytes.extend_from_slice(&record);
        };
        part(member_record(self.member));
        part(hard_record(&self.hard));
        part(snapshot_record(&self.snapshot));
        self.entries.iter().for_each(|e| part(entry_record(e)));
        bytes
    }

    fn take(&mut self, record: &[u8]) -> Result<(), String> {
        let (kind, body) = record.split_first().ok_or("an empty record")?;
        match *kind {
            HARD => self.hard = scan::parse(body)?,
            ENTRY => {
                let entry: Entry = scan::parse(body)?;
                if entry.index <= self.snapshot.get_metadata().index {
                    return Ok(());
                }
                // What a new leader wrote goes in the place of what an old one did.
                self.entries.retain(|e| e.index < entry.index);
                if entry.index != self.last() + 1 {
                    return Err(format!("entry {} after {}", entry.index, self.last()));
                }
                self.entries.push(entry);
            }
            SNAPSHOT => {
                self.snapshot = scan::parse(body)?;
                let index = self.snapshot.get_metadata().index;
                self.entries.retain(|e| e.index > index);
                if self.entries.first().is_some_and(|e| e.index != index + 1) {
                    self.entries.clear();
                }
            }
            MEMBER => {
                let number = body.try_into().map_err(|_| "a member's number is not whole")?;
                self.member = u64::from_le_bytes(number);
            }
            other => return Err(format!("a record of kind {other}, which this version does not know")),
        }
        Ok(())
    }
}
