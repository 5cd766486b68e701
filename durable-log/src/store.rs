//! The open store: appends and snapshots.

use crate::error::with_context;
use crate::layout::{is_log, log_name, FOLDER, MAGIC, NEW_SNAPSHOT, SNAPSHOT};
use crate::recovery::{self, FolderContents, Recovered};
use crate::{record, Disk, StoreError, MAX_RECORD_BYTES};

/// The largest part of a snapshot that one call writes (bytes), so that no call keeps the disk busy for long.
const WRITE_STEP_BYTES: usize = 64 * 1024;

/// An open store.
pub struct Store<D: Disk> {
    disk: D,
    next_sequence: u64,
    /// The name of the current log file.
    log: String,
    /// Set during a write, and after one failed: no further writes are accepted.
    failed: bool,
    /// The size of the log since the last snapshot (bytes).
    log_bytes: u64,
}

impl<D: Disk> Store<D> {
    /// Recovers the folder's content and writes it to new files. That drops an incomplete record at the end of the log, and
    /// persists data that a failed sync may have left only in the operating system's cache. `encode` creates a snapshot of
    /// the recovered data.
    ///
    /// # Errors
    /// The folder can't be read or written now, or the snapshot is too large. No data is lost.
    pub fn open(
        mut disk: D,
        encode: impl FnOnce(&Recovered) -> Vec<u8>,
    ) -> Result<(Store<D>, Recovered), StoreError> {
        let FolderContents { recovered, last_sequence } = recovery::read(&mut disk)?;
        let next_sequence = last_sequence + 1;
        let mut store = Store { disk, next_sequence, log: String::new(), failed: false, log_bytes: 0 };
        let snapshot = encode(&recovered);
        store.replace(&snapshot)?;
        Ok((store, recovered))
    }

    /// Returns the disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Returns the size of the log since the last snapshot (bytes).
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Appends records as one batch, with a single sync.
    ///
    /// # Errors
    /// A record exceeds [`MAX_RECORD_BYTES`], in which case nothing is written; or the disk fails, in which case the next
    /// opening recovers none, some or all of the records, without gaps.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<(), StoreError> {
        let mut lengths = records.iter().map(|record| record.as_ref().len());
        if let Some(length) = lengths.find(|length| *length > MAX_RECORD_BYTES) {
            return Err(StoreError::TooLarge(length));
        }
        self.write(|store| store.append_batch(records))
    }

    fn append_batch<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<(), StoreError> {
        let batch = self.next_sequence;
        let mut bytes = Vec::new();
        for record in records {
            record::encode(&mut bytes, self.next_sequence, batch, record.as_ref());
            self.next_sequence += 1;
        }
        with_context("append", &self.log, self.disk.append(&self.log, &bytes))?;
        with_context("sync", &self.log, self.disk.sync(&self.log))?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all previous data with a snapshot and starts a new log.
    ///
    /// # Errors
    /// The snapshot exceeds [`MAX_RECORD_BYTES`], in which case nothing is written; or the disk fails, in which case the next
    /// opening recovers either the previous state or the snapshot.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        if snapshot.len() > MAX_RECORD_BYTES {
            return Err(StoreError::TooLarge(snapshot.len()));
        }
        self.write(|store| store.replace_files(snapshot))
    }

    fn replace_files(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        let disk = &mut self.disk;
        let covered = self.next_sequence - 1;
        write_new_snapshot(disk, covered, snapshot)?;
        // Create the log before the snapshot is renamed. A snapshot without its log would be complete too, but if the log were
        // created later, a log that was lost could not be distinguished from one that was never created.
        let log = log_name(self.next_sequence);
        with_context("create", &log, disk.create(&log))?;
        with_context("sync", &log, disk.sync(&log))?;
        with_context("rename", NEW_SNAPSHOT, disk.rename(NEW_SNAPSHOT, SNAPSHOT))?;
        with_context("sync", FOLDER, disk.sync_folder())?;
        remove_other_logs(disk, &log)?;
        self.log = log;
        self.log_bytes = 0;
        Ok(())
    }

    /// Runs a write operation. Once one has failed, all later ones are rejected.
    fn write(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::PreviousWriteFailed);
        }
        self.failed = true;
        operation(self)?;
        self.failed = false;
        Ok(())
    }
}

fn write_new_snapshot<D: Disk>(disk: &mut D, covered: u64, snapshot: &[u8]) -> Result<(), StoreError> {
    let mut bytes = MAGIC.to_vec();
    record::encode(&mut bytes, covered, covered, snapshot);
    with_context("create", NEW_SNAPSHOT, disk.create(NEW_SNAPSHOT))?;
    for step in bytes.chunks(WRITE_STEP_BYTES) {
        with_context("append", NEW_SNAPSHOT, disk.append(NEW_SNAPSHOT, step))?;
    }
    with_context("sync", NEW_SNAPSHOT, disk.sync(NEW_SNAPSHOT))
}

fn remove_other_logs<D: Disk>(disk: &mut D, log: &str) -> Result<(), StoreError> {
    let names = with_context("list", FOLDER, disk.list())?;
    for name in names.iter().filter(|name| is_log(name) && *name != log) {
        with_context("remove", name, disk.remove(name))?;
    }
    Ok(())
}
