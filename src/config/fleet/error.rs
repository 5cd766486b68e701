//! Errors in `[fleet]` of an operator's file.

use crate::fleet::frame::MAX_NAME_BYTES;
use crate::fleet::TOTALS_TASK;

/// An invalid setting in `[fleet]`. Its message is one line with the key, the value found and the value expected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetConfigError {
    /// A name is empty, too long, or has a character that is not allowed.
    #[error("fleet.{key} is {found:?}; expected 1 to {MAX_NAME_BYTES} ASCII letters, digits, - _ or .")]
    InvalidName {
        /// The key within the block.
        key: &'static str,
        /// The name.
        found: String,
    },
    /// A number, or the number of entries of a list, is out of its range.
    #[error("fleet.{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key within the block; for a list, followed by a phrase that says that its entries are counted.
        key: String,
        /// The number, or the number of entries.
        found: f64,
        /// The least value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// Two tasks have the same name, or a task has the name that is reserved for the totals.
    #[error("fleet.task.name is {name:?}; expected a unique name other than {TOTALS_TASK:?}")]
    DuplicateTask {
        /// The name.
        name: String,
    },
    /// A path does not begin with a slash, or has characters that are not allowed in a request line.
    #[error("fleet.task {task}.path is {found:?}; expected / followed by printable ASCII without spaces")]
    InvalidPath {
        /// The name of the task.
        task: String,
        /// The path.
        found: String,
    },
}
