//! A fleet's file: `testbed/fleets/*.toml`.

use crate::error::{FleetFileError, TestbedError};
use serde::Deserialize;
use std::path::Path;

/// A fleet to start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The fleet's name.
    pub fleet: String,
    /// How many coordinators it has, named `c1` and so on.
    pub coordinators: usize,
    /// How many workers it has, named `w1` and so on.
    pub workers: usize,
    /// The workers' zones, in turns.
    #[serde(default)]
    pub zones: Vec<String>,
    /// After how long a coordinator counts a write as overdue (milliseconds).
    #[serde(default = "default_overdue_ms")]
    pub write_overdue_ms: u64,
    /// How long each call of a task takes at the resource (milliseconds).
    #[serde(default = "default_work_ms")]
    pub work_ms: u64,
    /// The tasks that all workers are given.
    #[serde(default, rename = "task")]
    pub tasks: Vec<FleetTask>,
    /// Overload handled as one, with so many calls in flight for each worker at a downstream service that all share.
    #[serde(default)]
    pub calls_part: Option<f64>,
    /// Coordinators of the older version, by name: for fleets in which two versions meet.
    #[serde(default)]
    pub older: Vec<String>,
}

/// A task that the workers compete for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTask {
    /// Its name.
    pub name: String,
    /// Between two calls (seconds).
    pub period_s: f64,
    /// How long its lease lasts (milliseconds).
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// How long the holder waits for the answer to a call (milliseconds).
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a call may run more than once.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line: the file, where, and what was expected.
    pub fn read(path: &Path) -> Result<FleetFile, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
        FleetFile::decode(&text).map_err(|source| TestbedError::FleetFile { path: path.to_owned(), source })
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// Where, and what was expected.
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
