//! The open store.

use crate::error::in_operation;
use crate::layout::{is_log, log_name, FOLDER, MAGIC, NEW_SNAPSHOT, SNAPSHOT};
use crate::recovery::{self, FolderContents, Recovered};
use crate::{record, Disk, StoreError, MAX_RECORD_BYTES};

/// A snapshot is written in steps of this size, so that no single call blocks the disk for long (bytes).
const WRITE_STEP_BYTES: usize = 64 * 1024;

/// An open store.
pub struct Store<D: Disk> {
    disk: D,
    next_sequence: u64,
    /// The name of the log file that is appended to.
    log: String,
    /// A write has failed, or runs now: the store can't be written to.
    failed: bool,
    /// Bytes in the log since the snapshot.
    log_bytes: u64,
}

impl<D: Disk> Store<D> {
    /// Reads what is there, and writes it to new files before anything is added: that removes a torn tail, and what an
    /// earlier failed sync left in the system's cache only. `encode` makes a snapshot of what was recovered.
    ///
    /// # Errors
    /// The disk's, where the folder can't be read or written now; nothing is lost by that.
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

    /// The disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Bytes written to the log since the last snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Appends records, and syncs once for all of them.
    ///
    /// # Errors
    /// A record that is too large, which writes nothing; else the disk's, after which any of the records may be
    /// recovered or not.
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
        in_operation("append", &self.log, self.disk.append(&self.log, &bytes))?;
        in_operation("sync", &self.log, self.disk.sync(&self.log))?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all that was written before by a snapshot, and begins a new log.
    ///
    /// # Errors
    /// A snapshot that is too large, which writes nothing; else the disk's, after which the next opening finds the state
    /// before or the new one.
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
        // The log is created first: a snapshot without its log would be complete, but a log that is created later could
        // not be distinguished from one that was lost.
        let log = log_name(self.next_sequence);
        in_operation("create", &log, disk.create(&log))?;
        in_operation("sync", &log, disk.sync(&log))?;
        in_operation("rename", NEW_SNAPSHOT, disk.rename(NEW_SNAPSHOT, SNAPSHOT))?;
        in_operation("sync", FOLDER, disk.sync_folder())?;
        remove_other_logs(disk, &log)?;
        self.log = log;
        self.log_bytes = 0;
        Ok(())
    }

    /// Runs a write; after one that failed the store can't be written to.
    fn write(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::FailedBefore);
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
    in_operation("create", NEW_SNAPSHOT, disk.create(NEW_SNAPSHOT))?;
    for step in bytes.chunks(WRITE_STEP_BYTES) {
        in_operation("append", NEW_SNAPSHOT, disk.append(NEW_SNAPSHOT, step))?;
    }
    in_operation("sync", NEW_SNAPSHOT, disk.sync(NEW_SNAPSHOT))
}

fn remove_other_logs<D: Disk>(disk: &mut D, log: &str) -> Result<(), StoreError> {
    let names = in_operation("list", FOLDER, disk.list())?;
    for name in names.iter().filter(|name| is_log(name) && *name != log) {
        in_operation("remove", name, disk.remove(name))?;
    }
    Ok(())
}
