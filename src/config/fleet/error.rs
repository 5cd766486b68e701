//! Errors in `[fleet]` of an operator's file.

use crate::fleet::frame::MAX_NAME_BYTES;

/// An invalid setting in `[fleet]`. Its message is one line with the key, the value found and the value expected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetConfigError {
    /// A name is empty, too long, or has a character that is not allowed.
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
    /// Two tasks have the same name, or one has the name of the totals' task.
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
