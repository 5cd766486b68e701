//! The file that describes a fleet: `testbed/fleets/*.toml`.

use crate::error::{FleetFileError, TestbedError};
use serde::Deserialize;
use std::path::Path;

/// Description of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of coordinators, named `c1` and so on.
    pub coordinators: usize,
    /// Number of workers, named `w1` and so on.
    pub workers: usize,
    /// Zones, to which the workers are assigned in turn.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Time after which a coordinator counts a disk write as overdue (milliseconds).
    #[serde(default = "default_overdue_ms")]
    pub write_overdue_ms: u64,
    /// Duration of each task call at the resource (milliseconds).
    #[serde(default = "default_work_ms")]
    pub work_ms: u64,
    /// Tasks of all workers.
    #[serde(default, rename = "task")]
    pub tasks: Vec<FleetTask>,
    /// Enables fleet-wide overload control, with this many downstream calls in flight per worker at a service that all share.
    #[serde(default)]
    pub calls_part: Option<f64>,
    /// Names of coordinators that use the older protocol version, for fleets with two versions.
    #[serde(default)]
    pub older: Vec<String>,
}

/// A task that the workers compete for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTask {
    /// Name of the task.
    pub name: String,
    /// Interval between calls (seconds).
    pub period_s: f64,
    /// Time to live of its lease (milliseconds).
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Time that the holder waits for the response to a call (milliseconds).
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a call may be carried out more than once.
    pub safe: bool,
}

fn default_overdue_ms() -> u64 {
    1000
}

fn default_work_ms() -> u64 {
    30
}

fn default_ttl_ms() -> u64 {
    3000
}

fn default_deadline_ms() -> u64 {
    500
}

impl FleetFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// The file can't be read or is invalid; the message is one line with the file, the place and what was expected.
    pub fn read(path: &Path) -> Result<FleetFile, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
        FleetFile::decode(&text).map_err(|source| TestbedError::FleetFile { path: path.to_owned(), source })
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    /// The text is invalid; the message has the place and what was expected.
    pub fn decode(text: &str) -> Result<FleetFile, FleetFileError> {
        let file: FleetFile = toml::from_str(text)?;
        if !(1..=9).contains(&file.coordinators) || file.coordinators % 2 == 0 {
            return Err(FleetFileError::CoordinatorCount { found: file.coordinators });
        }
        if !(1..=64).contains(&file.workers) {
            return Err(FleetFileError::WorkerCount { found: file.workers });
        }
        Ok(file)
    }
}
