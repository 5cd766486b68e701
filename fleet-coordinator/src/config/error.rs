//! Errors in the coordinator's configuration file.

use port_worker::fleet::frame::MAX_NAME_BYTES;
use std::path::PathBuf;

/// Why the configuration file can't be used: the place, the value found and the value expected, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file was read but is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// The file is not valid TOML, or has unexpected keys or types.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Syntax {
        /// The line, starting at 1.
        line: usize,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// An integer, or the number of entries of a list, is out of range.
    #[error("{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key; for a list, followed by a phrase that says that its entries are counted.
        key: String,
        /// The integer, or the number of entries.
        found: u64,
        /// The smallest valid value.
        min: u64,
        /// The largest valid value.
        max: u64,
    },
    /// A decimal number is out of range; the minimum is 0.
    #[error("{key} is {found}; expected 0 to {max}")]
    DecimalOutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        found: f64,
        /// The largest valid value.
        max: f64,
    },
    /// A name is not valid.
    #[error("{key} is {found:?}; expected 1 to {MAX_NAME_BYTES} ASCII letters, digits, - _ or .")]
    InvalidName {
        /// The key.
        key: &'static str,
        /// Its value.
        found: String,
    },
    /// The number of coordinators is even. A fleet with one coordinator fewer tolerates as many failures.
    #[error("coordinator: found {found}; expected an odd number of entries, such as 3 or 5")]
    EvenCoordinators {
        /// How many are listed.
        found: usize,
    },
    /// The coordinator's own name is not in the list of coordinators.
    #[error("name is {found:?}; expected the name of a [[coordinator]]")]
    UnlistedName {
        /// The name.
        found: String,
    },
    /// Two coordinators have the same name or address.
    #[error("coordinator {name}: duplicate name or address")]
    DuplicateCoordinator {
        /// The name of the second one.
        name: String,
    },
    /// Two tasks have the same name.
    #[error("task {name}: duplicate name")]
    DuplicateTask {
        /// The name.
        name: String,
    },
}
