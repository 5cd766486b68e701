//! A crash-safe store: a write-ahead log of records, and now and then a snapshot that takes its place.
//!
//! Owed to callers: what [`Store::append`] or [`Store::replace`] returned `Ok` for comes back from [`Store::open`]
//! after any crash, whole and in order, as long as the disk told the truth of its syncs. What was not acknowledged may
//! come back or not, but only as a prefix of what was written, never in part. Opening never fails for what it finds: it
//! says what it dropped, and whether that can be explained by a crash ([`Recovered::damaged`]).
//!
//! Files, in one folder: `snapshot` (a whole state), `log.N` (records from sequence number N on), and `*.new` while one
//! of them is being made. No file is ever written to again after a failed call: what the system then holds in memory
//! may not be on the disk, so a store that failed must be opened anew, which writes all of it to new files first.

mod disk;
pub mod simulated;

pub use disk::{Disk, Folder};

use std::io;

/// The largest record, and with its frame the largest part of a file that is read for one (bytes). An encoded snapshot
/// of all that the coordinators' bounds allow is under 4 MiB.
pub const RECORD_MOST_BYTES: usize = 16 * 1024 * 1024;
/// A snapshot is written in steps of this size, so that no single call holds the disk for long (bytes).
const STEP_BYTES: usize = 64 * 1024;
const HEAD: usize = 24;
const MAGIC: &[u8; 8] = b"hpstore1";
const SNAPSHOT: &str = "snapshot";
const NEW: &str = "snapshot.new";

/// What can go wrong while writing; the store is of no use after it.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("{call} {file}: {source}")]
    Disk { call: &'static str, file: String, source: io::Error },
    #[error("a record of {0} bytes; at most {RECORD_MOST_BYTES} are kept")]
    TooLarge(usize),
    #[error("the store failed before; it must be opened anew")]
    Spent,
}

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest whole snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, in order, with their sequence numbers.
    pub records: Vec<(u64, Vec<u8>)>,
    /// What was left out, and why, a sentence each.
    pub dropped: Vec<String>,
    /// Something is missing that no crash explains: whole records lie behind a bad one, or a snapshot can't be read.
    pub damaged: bool,
}

/// An open store.
pub struct Store<D: Disk> {
    disk: D,
    next: u64,
    log: String,
    spent: bool,
    /// Bytes in the log since the snapshot.
    log_bytes: u64,
}

impl<D: Disk> Store<D> {
    /// Reads what is there, and writes it to new files before anything is added: guards against a torn tail, and
    /// against what an earlier failed sync left in memory only. `encode` makes a snapshot of what was recovered.
    ///
    /// # Errors
    /// The disk's, where the folder can't be read or written now; nothing is lost by that.
    pub fn open(
        mut disk: D,
        encode: impl FnOnce(&Recovered) -> Vec<u8>,
    ) -> Result<(Store<D>, Recovered), Failure> {
        let (recovered, last) = read(&mut disk)?;
        let mut store = Store { disk, next: last + 1, log: String::new(), spent: false, log_bytes: 0 };
        let snapshot = encode(&recovered);
        store.replace(&snapshot)?;
        Ok((store, recovered))
    }

    /// The disk, for whoever watches its bounds.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Bytes written to the log since the last snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Adds records and syncs once for all of them.
    ///
    /// # Errors
    /// The disk's; whether any of the records are kept is open then.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<(), Failure> {
        if let Some(large) = records.iter().map(|r| r.as_ref().len()).find(|n| *n > RECORD_MOST_BYTES) {
            return Err(Failure::TooLarge(large));
        }
        self.guarded(|store| {
            let (mut bytes, batch) = (Vec::new(), store.next);
            for record in records {
                frame(&mut bytes, store.next, batch, record.as_ref());
                store.next += 1;
            }
            let log = store.log.clone();
            did("append", &log, store.disk.append(&log, &bytes))?;
            did("sync", &log, store.disk.sync(&log))?;
            store.log_bytes += bytes.len() as u64;
            Ok(())
        })
    }

    /// Puts a snapshot in the place of all that was written before, and begins a new log.
    ///
    /// # Errors
    /// The disk's; what is found at the next opening is then the state before or the new one.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<(), Failure> {
        if snapshot.len() > RECORD_MOST_BYTES {
            return Err(Failure::TooLarge(snapshot.len()));
        }
        self.guarded(|store| {
            let covered = store.next - 1;
            let mut bytes = MAGIC.to_vec();
            frame(&mut bytes, covered, covered, snapshot);
            did("create", NEW, store.disk.create(NEW))?;
            for step in bytes.chunks(STEP_BYTES) {
                did("append", NEW, store.disk.append(NEW, step))?;
            }
            did("sync", NEW, store.disk.sync(NEW))?;
            // The log comes first: a snapshot without it would be whole, but a log that is renamed later could not
            // be told from one that was lost.
            let log = format!("log.{}", store.next);
            did("create", &log, store.disk.create(&log))?;
            did("sync", &log, store.disk.sync(&log))?;
            did("rename", NEW, store.disk.rename(NEW, SNAPSHOT))?;
            did("sync", "the folder", store.disk.sync_folder())?;
            let old: Vec<String> = did("list", "the folder", store.disk.list())?
                .into_iter()
                .filter(|name| name.starts_with("log.") && *name != log)
                .collect();
            for name in old {
                did("remove", &name, store.disk.remove(&name))?;
            }
            store.log = log;
            store.log_bytes = 0;
            Ok(())
        })
    }

    fn guarded(&mut self, write: impl FnOnce(&mut Self) -> Result<(), Failure>) -> Result<(), Failure> {
        if self.spent {
            return Err(Failure::Spent);
        }
        self.spent = true;
        write(self)?;
        self.spent = false;
        Ok(())
    }
}

fn did<T>(call: &'static str, file: &str, result: io::Result<T>) -> Result<T, Failure> {
    result.map_err(|source| Failure::Disk { call, file: file.to_owned(), source })
}

/// Length, checksum, sequence number, the first sequence number that was synced with it, bytes; the checksum covers all
/// but itself.
fn frame(out: &mut Vec<u8>, sequence: u64, batch: u64, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(sequence, batch, bytes).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&batch.to_le_bytes());
    out.extend_from_slice(bytes);
}

fn checksum(sequence: u64, batch: u64, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(bytes.len() as u32).to_le_bytes());
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

/// A record as it was read.
struct Whole<'a> {
    sequence: u64,
    batch: u64,
    body: &'a [u8],
}

/// The record at the front of these bytes, if it is whole.
fn record(bytes: &[u8]) -> Option<Whole<'_>> {
    let short = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let long = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
    let length = short(0)? as usize;
    if length > RECORD_MOST_BYTES {
        return None;
    }
    let (sequence, batch) = (long(8)?, long(16)?);
    let body = bytes.get(HEAD..HEAD + length)?;
    (checksum(sequence, batch, body) == short(4)?).then_some(Whole { sequence, batch, body })
}

/// Whether a whole record lies in these bytes that was written after what follows `last` had been synced.
fn whole_behind(bytes: &[u8], last: u64) -> bool {
    (0..bytes.len().saturating_sub(HEAD - 1))
        .any(|at| record(&bytes[at..]).is_some_and(|whole| whole.batch > last + 1))
}

fn read<D: Disk>(disk: &mut D) -> Result<(Recovered, u64), Failure> {
    let mut found = Recovered::default();
    let mut last = 0;
    if let Some(bytes) = did("read", SNAPSHOT, disk.read(SNAPSHOT))? {
        match bytes.strip_prefix(MAGIC).and_then(record) {
            Some(whole) => (last, found.snapshot) = (whole.sequence, Some(whole.body.to_vec())),
            None => {
                // It was whole before it got its name.
                found.damaged = true;
                found.dropped.push(format!("snapshot: {} bytes that can't be read", bytes.len()));
            }
        }
    }
    // A log that begins before the snapshot's end is covered by it, to its last record; a removal may not have
    // reached the disk. One that begins later is empty unless the snapshot between is lost.
    let own = format!("log.{}", last + 1);
    for name in did("list", "the folder", disk.list())? {
        let Some(first) = name.strip_prefix("log.").and_then(|n| n.parse::<u64>().ok()) else { continue };
        if first > last + 1 && did("read", &name, disk.read(&name))?.is_some_and(|b| !b.is_empty()) {
            found.damaged = true;
            found.dropped.push(format!("{name}: the snapshot before it is missing"));
        }
    }
    let bytes = did("read", &own, disk.read(&own))?.unwrap_or_default();
    let mut at = 0;
    while let Some(whole) = record(&bytes[at..]).filter(|whole| whole.sequence == last + 1) {
        found.records.push((whole.sequence, whole.body.to_vec()));
        (last, at) = (whole.sequence, at + HEAD + whole.body.len());
    }
    let rest = &bytes[at..];
    if !rest.is_empty() {
        // Parts of one unsynced batch may reach the disk in any order; a later batch only after a sync.
        let rotten = whole_behind(rest, last);
        found.damaged |= rotten;
        let why = if rotten { "whole records lie behind a bad one" } else { "a record that is not whole" };
        found.dropped.push(format!("{own}: {} bytes after record {last}: {why}", rest.len()));
    }
    Ok((found, last))
}

#[cfg(test)]
mod tests;
