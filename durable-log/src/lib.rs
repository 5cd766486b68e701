//! A crash-safe store: a write-ahead log of records, which a snapshot replaces from time to time.
//!
//! | module | job |
//! | --- | --- |
//! | `store` | the open store: appends, snapshots, and what a failed write means |
//! | `recovery` | reads what a folder holds after a crash |
//! | `record` | one record as bytes, with its checksum |
//! | `layout` | the names of files |
//! | `disk` | the file system as the store uses it, and the system's |
//! | `simulated` | a disk in memory that can fail and lose power |
//!
//! Guarantees: what [`Store::append`] or [`Store::replace`] returned `Ok` for is recovered by [`Store::open`] after any
//! crash, complete and in order, as long as the disk keeps what it synced. What was not acknowledged may be recovered or
//! not, but only as a prefix of what was written, never in part. Opening does not fail for what it finds: it reports what
//! it dropped, and whether a crash explains that ([`Recovered::damaged`]).
//!
//! Files, in one folder: `snapshot` (a complete state), `log.N` (records from sequence number N on), and `*.new` while one
//! of them is being written. No file is written to after a failed call: what the system then caches may not be on the
//! disk. A store that failed must be opened anew, which writes everything to new files first.

mod disk;
mod error;
mod layout;
mod record;
mod recovery;
pub mod simulated;
mod store;

pub use disk::{Disk, Folder};
pub use error::StoreError;
pub use recovery::{DroppedData, Recovered, RecoveredRecord};
pub use store::Store;

/// The largest record (bytes), which also limits how much of a file is read for one. An encoded snapshot of all that the
/// coordinators' limits allow is under 4 MiB.
pub const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

#[cfg(test)]
mod tests;
