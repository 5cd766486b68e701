//! File names in a store's folder, and the magic number of snapshot files.

/// The first bytes of a snapshot file.
pub(crate) const MAGIC: &[u8; 8] = b"hpstore1";
/// The snapshot file: the complete state up to a sequence number.
pub(crate) const SNAPSHOT: &str = "snapshot";
/// A snapshot that is being written.
pub(crate) const NEW_SNAPSHOT: &str = "snapshot.new";
/// The folder's name in error messages.
pub(crate) const FOLDER: &str = "the folder";
const LOG_PREFIX: &str = "log.";

/// Returns the name of the log file whose first record has this sequence number.
pub(crate) fn log_name(first_sequence: u64) -> String {
    format!("{LOG_PREFIX}{first_sequence}")
}

/// Returns whether this is the name of a log file.
pub(crate) fn is_log(name: &str) -> bool {
    name.starts_with(LOG_PREFIX)
}

/// Returns the sequence number of the log file's first record; `None` for other files.
pub(crate) fn first_sequence(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}
