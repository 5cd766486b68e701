//! Why `[fleet]` of an operator's file can't be used.

use crate::fleet::frame::MAX_NAME_BYTES;

/// A fault in `[fleet]`. Its text is one line that names the key, what was found and what was expected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetConfigError {
    /// A name has a character that is not allowed, or too many of them.
    #[error(
        "fleet.{key} is {found:?}; expected letters, digits, - _ . and at most {MAX_NAME_BYTES} of them"
    )]
    InvalidName {
        /// The key, without the block.
        key: &'static str,
        /// The name.
        found: String,
    },
    /// A number, or a number of entries, is out of its range.
    #[error("fleet.{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key, without the block.
        key: String,
        /// The number.
        found: f64,
        /// The least that is accepted.
        min: f64,
        /// The most that is accepted.
        max: f64,
    },
    /// Two tasks have the same name, or one has that of the fleet's own task.
    #[error("fleet.task.name is {name:?}, which is taken")]
    DuplicateTask {
        /// The name.
        name: String,
    },
    /// A path is not absolute, or has characters that can't stand in a request line.
    #[error("fleet.task {task}.path is {found:?}; a path begins with /")]
    InvalidPath {
        /// Name of the task.
        task: String,
        /// The path.
        found: String,
    },
}
