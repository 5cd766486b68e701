//! The files of a store's folder: their names, and the first bytes of a snapshot.

/// The first bytes of a snapshot file.
pub(crate) const MAGIC: &[u8; 8] = b"hpstore1";
/// The complete state that replaces all records before it.
pub(crate) const SNAPSHOT: &str = "snapshot";
/// A snapshot while it is written.
pub(crate) const NEW_SNAPSHOT: &str = "snapshot.new";
/// How errors name the folder.
pub(crate) const FOLDER: &str = "the folder";
const LOG_PREFIX: &str = "log.";

/// The log file whose first record has this sequence number.
pub(crate) fn log_name(first_sequence: u64) -> String {
    format!("{LOG_PREFIX}{first_sequence}")
}

/// Whether this is a log file's name.
pub(crate) fn is_log(name: &str) -> bool {
    name.starts_with(LOG_PREFIX)
}

/// The sequence number of the first record of the log file with this name; `None` for other files.
pub(crate) fn first_sequence(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}
