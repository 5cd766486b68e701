//! Recovery of a folder's content, after a crash or a normal exit.

use crate::error::with_context;
use crate::layout::{first_sequence, log_name, FOLDER, MAGIC, SNAPSHOT};
use crate::record::{self, Record, HEADER_BYTES};
use crate::{Disk, StoreError};

/// The content of a store when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The latest complete snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after the snapshot, in order.
    pub records: Vec<RecoveredRecord>,
    /// Data that could not be recovered.
    pub dropped: Vec<DroppedData>,
    /// Whether data is missing that a crash can't explain: a corrupt record is followed by complete ones, or the snapshot is
    /// unreadable or missing.
    pub damaged: bool,
}

/// A recovered record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Its sequence number.
    pub sequence: u64,
    /// The appended data.
    pub body: Vec<u8>,
}

/// Data that was found but could not be recovered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DroppedData {
    /// A snapshot without a valid header or checksum. A snapshot file is synced before it gets its name, so a crash can't
    /// explain this.
    #[error("snapshot: {bytes} unreadable bytes")]
    UnreadableSnapshot {
        /// The size of the file (bytes).
        bytes: usize,
    },
    /// A log whose preceding snapshot is missing.
    #[error("{file}: the preceding snapshot is missing")]
    LogWithoutSnapshot {
        /// The log file.
        file: String,
    },
    /// The end of a log, starting with a record that was not completely written: the expected result of a crash.
    #[error("{file}: {bytes} bytes after record {last_sequence}: incomplete record")]
    IncompleteRecord {
        /// The log file.
        file: String,
        /// The size of the dropped data (bytes).
        bytes: usize,
        /// The sequence number of the last record before the dropped data.
        last_sequence: u64,
    },
    /// The end of a log, starting with a corrupt record that is followed by a later batch. A crash can't explain this.
    #[error("{file}: {bytes} bytes after record {last_sequence}: corrupt record followed by complete ones")]
    CorruptRecord {
        /// The log file.
        file: String,
        /// The size of the dropped data (bytes).
        bytes: usize,
        /// The sequence number of the last record before the dropped data.
        last_sequence: u64,
    },
}

impl DroppedData {
    /// Returns `true` unless a crash explains the loss.
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

/// The content of a folder.
pub(crate) struct FolderContents {
    pub(crate) recovered: Recovered,
    /// The last record's sequence number; without records, the last one that the snapshot covers.
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

/// Reads the snapshot. Returns the last sequence number that it covers; 0 if there is no valid snapshot.
fn read_snapshot<D: Disk>(disk: &mut D, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let Some(bytes) = with_context("read", SNAPSHOT, disk.read(SNAPSHOT))? else { return Ok(0) };
    if let Some(record) = bytes.strip_prefix(MAGIC).and_then(record::decode) {
        recovered.snapshot = Some(record.body.to_vec());
        return Ok(record.sequence);
    }
    recovered.drop_data(DroppedData::UnreadableSnapshot { bytes: bytes.len() });
    Ok(0)
}

/// Checks for logs whose snapshot is missing. A log that begins before the snapshot's end is covered by the snapshot and
/// ignored: it remains if a crash came before its removal was persisted. A log that begins later is empty unless its
/// snapshot was lost, since nothing is appended to a log before its snapshot is persisted.
fn check_for_later_logs<D: Disk>(
    disk: &mut D,
    snapshot_end: u64,
    recovered: &mut Recovered,
) -> Result<(), StoreError> {
    for name in with_context("list", FOLDER, disk.list())? {
        let Some(first) = first_sequence(&name) else { continue };
        if first <= snapshot_end + 1 {
            continue;
        }
        if with_context("read", &name, disk.read(&name))?.is_some_and(|bytes| !bytes.is_empty()) {
            recovered.drop_data(DroppedData::LogWithoutSnapshot { file: name });
        }
    }
    Ok(())
}

/// Reads the log after the snapshot. Returns the last sequence number.
fn read_log<D: Disk>(disk: &mut D, snapshot_end: u64, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let file = log_name(snapshot_end + 1);
    let bytes = with_context("read", &file, disk.read(&file))?.unwrap_or_default();
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
        // After a crash, any part of an unsynced batch may be on the disk. If a later batch follows, the earlier one had been
        // synced, since the later one is written only after that.
        recovered.drop_data(if has_later_batch(rest, last_sequence) {
            DroppedData::CorruptRecord { file, bytes, last_sequence }
        } else {
            DroppedData::IncompleteRecord { file, bytes, last_sequence }
        });
    }
    Ok(last_sequence)
}

/// Returns whether the bytes contain a complete record of a batch that starts after the first dropped record, whose sequence
/// number is `last_sequence + 1`.
fn has_later_batch(bytes: &[u8], last_sequence: u64) -> bool {
    let is_later = |record: Record| record.batch > last_sequence + 1;
    let starts = 0..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts.into_iter().any(|at| record::decode(&bytes[at..]).is_some_and(is_later))
}
