//! What can go wrong while a store is read or written.

use crate::MAX_RECORD_BYTES;
use std::io;

/// Why a store can't be read or written. After a failed write the store must be opened anew.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A call to the disk failed.
    #[error("{operation} {file}: {source}")]
    Disk {
        /// The call.
        operation: &'static str,
        /// The file that it was for.
        file: String,
        /// The disk's error.
        source: io::Error,
    },
    /// A record or snapshot of this size (bytes) is too large.
    #[error("a record of {0} bytes; at most {MAX_RECORD_BYTES} are kept")]
    TooLarge(usize),
    /// An earlier write failed.
    #[error("the store failed before; it must be opened anew")]
    FailedBefore,
}

/// Adds to a disk's error what was called for which file.
pub(crate) fn in_operation<T>(
    operation: &'static str,
    file: &str,
    result: io::Result<T>,
) -> Result<T, StoreError> {
    result.map_err(|source| StoreError::Disk { operation, file: file.to_owned(), source })
}
