//! Reading what a folder holds after a crash.

use crate::error::in_operation;
use crate::record::{self, Record, HEADER_BYTES};
use crate::store::{log_name, FOLDER, LOG_PREFIX, MAGIC, SNAPSHOT};
use crate::{Disk, StoreError};

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest complete snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, in order, with their sequence numbers.
    pub records: Vec<(u64, Vec<u8>)>,
    /// What was dropped, and why; a sentence each.
    pub dropped: Vec<String>,
    /// Something is missing that no crash explains: complete records follow a bad one, or a snapshot can't be read.
    pub damaged: bool,
}

impl Recovered {
    fn drop_as_damage(&mut self, reason: String) {
        self.damaged = true;
        self.dropped.push(reason);
    }
}

/// Reads the snapshot and the log after it; also returns the last sequence number.
pub(crate) fn read<D: Disk>(disk: &mut D) -> Result<(Recovered, u64), StoreError> {
    let mut recovered = Recovered::default();
    let snapshot_end = read_snapshot(disk, &mut recovered)?;
    check_for_later_logs(disk, snapshot_end, &mut recovered)?;
    let last = read_log(disk, snapshot_end, &mut recovered)?;
    Ok((recovered, last))
}

/// Returns the last sequence number that the snapshot covers; 0 without one.
fn read_snapshot<D: Disk>(disk: &mut D, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let Some(bytes) = in_operation("read", SNAPSHOT, disk.read(SNAPSHOT))? else { return Ok(0) };
    if let Some(record) = bytes.strip_prefix(MAGIC).and_then(record::decode) {
        recovered.snapshot = Some(record.body.to_vec());
        return Ok(record.sequence);
    }
    // It was synced before it was renamed, so no crash leaves an incomplete one.
    recovered.drop_as_damage(format!("snapshot: {} bytes that can't be read", bytes.len()));
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
        let number = name.strip_prefix(LOG_PREFIX).and_then(|number| number.parse::<u64>().ok());
        let Some(first) = number else { continue };
        if first <= snapshot_end + 1 {
            continue;
        }
        if in_operation("read", &name, disk.read(&name))?.is_some_and(|bytes| !bytes.is_empty()) {
            recovered.drop_as_damage(format!("{name}: the snapshot before it is missing"));
        }
    }
    Ok(())
}

/// Returns the last sequence number.
fn read_log<D: Disk>(disk: &mut D, snapshot_end: u64, recovered: &mut Recovered) -> Result<u64, StoreError> {
    let name = log_name(snapshot_end + 1);
    let bytes = in_operation("read", &name, disk.read(&name))?.unwrap_or_default();
    let mut last = snapshot_end;
    let mut at = 0;
    while let Some(record) = record::decode(&bytes[at..]).filter(|record| record.sequence == last + 1) {
        recovered.records.push((record.sequence, record.body.to_vec()));
        last = record.sequence;
        at += record.encoded_bytes();
    }
    let rest = &bytes[at..];
    if !rest.is_empty() {
        // Parts of one unsynced batch may reach the disk in any order; a later batch only after a sync.
        let is_damage = has_later_batch(rest, last);
        recovered.damaged |= is_damage;
        let why = if is_damage { "whole records lie behind a bad one" } else { "a record that is not whole" };
        recovered.dropped.push(format!("{name}: {} bytes after record {last}: {why}", rest.len()));
    }
    Ok(last)
}

/// Whether these bytes hold a complete record that was written after what follows `last` had been synced.
fn has_later_batch(bytes: &[u8], last: u64) -> bool {
    let is_later = |record: Record| record.batch > last + 1;
    let starts = 0..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts.into_iter().any(|at| record::decode(&bytes[at..]).is_some_and(is_later))
}
