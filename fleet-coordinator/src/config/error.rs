//! Why a coordinator's file can't be used.

use port_worker::fleet::frame::MAX_NAME_BYTES;
use std::path::PathBuf;

/// Why a coordinator's file can't be used: the place, what was found and what was expected, in one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file was read and can't be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<ConfigError>,
    },
    /// Not TOML, or not the expected keys and types.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Syntax {
        /// The line, from 1 on.
        line: usize,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// A number is out of its range.
    #[error("{key} is {found}; expected {min} to {max}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its value.
        found: u64,
        /// The smallest valid value.
        min: u64,
        /// The largest valid value.
        max: u64,
    },
    /// A fraction is out of its range, which begins at 0.
    #[error("{key} is {found}; expected 0 to {max}")]
    FractionOutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        found: f64,
        /// The largest valid value.
        max: f64,
    },
    /// Not a valid name.
    #[error("{key} is {found:?}; expected letters, digits, - _ . and at most {MAX_NAME_BYTES} of them")]
    InvalidName {
        /// The key.
        key: &'static str,
        /// Its value.
        found: String,
    },
    /// An even number of coordinators tolerates no more failures than one fewer.
    #[error("coordinator: {found} are named; expected an odd number, 3 or 5")]
    EvenCoordinators {
        /// How many are listed.
        found: usize,
    },
    /// The file's own name is not in the list of coordinators.
    #[error("name is {found:?}, which no [[coordinator]] has")]
    UnlistedName {
        /// The name.
        found: String,
    },
    /// Two coordinators have the same name or address.
    #[error("coordinator {name}: its name or address is another's as well")]
    DuplicateCoordinator {
        /// The second one's name.
        name: String,
    },
    /// Two tasks have the same name.
    #[error("task {name}: named twice")]
    DuplicateTask {
        /// The name.
        name: String,
    },
}
