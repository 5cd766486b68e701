//! A crash-safe store: a write-ahead log of records that is periodically replaced by a snapshot.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `store` | the open store: appends, snapshots, handling of failed writes |
//! | `recovery` | reading of a folder after a crash |
//! | `record` | the encoding of a record, with its checksum |
//! | `layout` | file names |
//! | `disk` | the file system interface, and its implementation on the operating system |
//! | `simulated` | an in-memory disk that can fail and lose power |
//!
//! Guarantees: data for which [`Store::append`] or [`Store::replace`] returned `Ok` is recovered by [`Store::open`] after
//! any crash, complete and in order, as long as the disk keeps synced data. Unacknowledged data may or may not be
//! recovered, but only as a prefix of what was written and never as a partial record. Opening does not fail because of the
//! folder's content: it reports the data that it dropped, and whether a crash explains that ([`Recovered::damaged`]).
//!
//! Files, in one folder: `snapshot` (a complete state), `log.N` (records from sequence number N), and `snapshot.new` while a
//! snapshot is being written. No file is written to after a failed call, since a failed sync may leave data in the operating
//! system's cache that never reaches the disk. A store that failed must be reopened, which first writes all recovered data
//! to new files.

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

/// The maximum size of the body of a record, and of a snapshot (bytes). A record in a file that announces a longer body is
/// treated as unreadable. With all limits of the coordinators exhausted, an encoded snapshot is under 4 MiB.
pub const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

#[cfg(test)]
mod tests;
