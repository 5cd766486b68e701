//! Errors of the store.

use crate::MAX_RECORD_BYTES;
use std::io;

/// Why a store can't be read or written. After a failed write the store must be reopened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A disk operation failed.
    #[error("{operation} {file}: {source}")]
    Disk {
        /// The operation, named after the method of [`Disk`](crate::Disk).
        operation: &'static str,
        /// The name of the file, or "the folder".
        file: String,
        /// The disk's error.
        source: io::Error,
    },
    /// A record or snapshot of this size (bytes) exceeds [`MAX_RECORD_BYTES`].
    #[error("record or snapshot of {0} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes")]
    TooLarge(usize),
    /// An earlier write failed.
    #[error("an earlier write failed; the store must be reopened")]
    PreviousWriteFailed,
}

/// Adds the operation and the file to a disk error.
pub(crate) fn with_context<T>(
    operation: &'static str,
    file: &str,
    result: io::Result<T>,
) -> Result<T, StoreError> {
    result.map_err(|source| StoreError::Disk { operation, file: file.to_owned(), source })
}
