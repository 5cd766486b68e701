//! Reading what a folder holds after a crash.

use crate::error::in_operation;
use crate::layout::{first_sequence, log_name, FOLDER, MAGIC, SNAPSHOT};
use crate::record::{self, Record, HEADER_BYTES};
use crate::{Disk, StoreError};

/// What was recovered when a store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest complete snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, in order.
    pub records: Vec<RecoveredRecord>,
    /// What was dropped.
    pub dropped: Vec<DroppedData>,
    /// Something is missing that no crash explains: complete records follow a bad one, or a snapshot can't be read.
    pub damaged: bool,
}

/// A record that was recovered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Its sequence number.
    pub sequence: u64,
    /// What was appended.
    pub body: Vec<u8>,
}

/// Data that was found and could not be recovered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DroppedData {
    /// A snapshot without a valid header or checksum. It was synced before it was renamed, so no crash explains it.
    #[error("snapshot: {bytes} bytes that can't be read")]
    UnreadableSnapshot {
        /// The size of the file (bytes).
        bytes: usize,
    },
    /// A log whose snapshot is lost.
    #[error("{file}: the snapshot before it is missing")]
    LogWithoutSnapshot {
        /// The log file.
        file: String,
    },
    /// The end of a log from a record on that was not written completely, as a crash leaves it.
    #[error("{file}: {bytes} bytes after record {last_sequence}: a record that is not whole")]
    IncompleteRecord {
        /// The log file.
        file: String,
        /// The size of the end (bytes).
        bytes: usize,
        /// The last complete record before it.
        last_sequence: u64,
    },
    /// The end of a log from a bad record on that later batches follow. No crash explains it.
    #[error("{file}: {bytes} bytes after record {last_sequence}: whole records lie behind a bad one")]
    CorruptRecord {
        /// The log file.
        file: String,
        /// The size of the end (bytes).
        bytes: usize,
        /// The last complete record before it.
        last_sequence: u64,
    },
}

impl DroppedData {
    /// Whether no crash explains this.
    fn is_damage(&self) -> bool {
        !matches!(self, DroppedData::IncompleteRecord { .. })
    }
}

impl Recovered {
    fn drop_data(&mut self, dropped: DroppedData) {
        self.damaged |= dropped.is_damage();
        self.dropped.push(dropped);
    }
}

/// What a folder holds.
pub(crate) struct FolderContents {
    pub(crate) recovered: Recovered,
    /// The sequence number of the last record, or the last that the snapshot covers.
    pub(crate) last_sequence: u64,
}

/// Reads the snapshot and the log after it.
pub(crate) fn read<D: Disk>(disk: &mut D) -> Result<FolderContents, StoreError> {
    let mut recovered = Recovered::default();
    let snapshot_end = read_snapshot(disk, &mut recovered)?;
    check_for_later_logs(disk, snapshot_end, &mut recovered)?;
    let last_sequence = read_log(disk, snapshot_end, &mut recovered)?;
    Ok(FolderContents { recovered, last_sequence })
}

/// Returns the last sequence number that the snapshot covers; 0 without one.
fn read_snapshot<D: Disk>(disk: &mut D, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let Some(bytes) = in_operation("read", SNAPSHOT, disk.read(SNAPSHOT))? else { return Ok(0) };
    if let Some(record) = bytes.strip_prefix(MAGIC).and_then(record::decode) {
        recovered.snapshot = Some(record.body.to_vec());
        return Ok(record.sequence);
    }
    recovered.drop_data(DroppedData::UnreadableSnapshot { bytes: bytes.len() });
    Ok(0)
}

/// A log that begins before the snapshot's end is covered by it: its removal may not have been synced. One that begins
/// later is empty, unless the snapshot before it is lost.
fn check_for_later_logs<D: Disk>(
    disk: &mut D,
    snapshot_end: u64,
    recovered: &mut Recovered,
) -> Result<(), StoreError> {
    for name in in_operation("list", FOLDER, disk.list())? {
        let Some(first) = first_sequence(&name) else { continue };
        if first <= snapshot_end + 1 {
            continue;
        }
        if in_operation("read", &name, disk.read(&name))?.is_some_and(|bytes| !bytes.is_empty()) {
            recovered.drop_data(DroppedData::LogWithoutSnapshot { file: name });
        }
    }
    Ok(())
}

/// Returns the last sequence number.
fn read_log<D: Disk>(disk: &mut D, snapshot_end: u64, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let file = log_name(snapshot_end + 1);
    let bytes = in_operation("read", &file, disk.read(&file))?.unwrap_or_default();
    let mut last_sequence = snapshot_end;
    let mut at = 0;
    while let Some(record) = record::decode(&bytes[at..]).filter(|r| r.sequence == last_sequence + 1) {
        last_sequence = record.sequence;
        at += record.encoded_bytes();
        recovered.records.push(RecoveredRecord { sequence: record.sequence, body: record.body.to_vec() });
    }
    let rest = &bytes[at..];
    if !rest.is_empty() {
        let bytes = rest.len();
        // Parts of one unsynced batch may reach the disk in any order; a later batch only after a sync.
        recovered.drop_data(if has_later_batch(rest, last_sequence) {
            DroppedData::CorruptRecord { file, bytes, last_sequence }
        } else {
            DroppedData::IncompleteRecord { file, bytes, last_sequence }
        });
    }
    Ok(last_sequence)
}

/// Whether these bytes hold a complete record that was written after what follows `last` had been synced.
fn has_later_batch(bytes: &[u8], last: u64) -> bool {
    let is_later = |record: Record| record.batch > last + 1;
    let starts = 0..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts.into_iter().any(|at| record::decode(&bytes[at..]).is_some_and(is_later))
}
