//! The coordinator's configuration file (TOML). Its keys are an interface to operators and must not change.

mod check;
mod error;

pub use error::ConfigError;

use crate::coordinator::{CoordinatorAddress, CoordinatorConfig};
use crate::leader_state::SafetyChecks;
use crate::state_machine::{Task, LATEST_VERSION};
use port_worker::fleet::overload::leader::OverloadLeaderSettings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The content of the configuration file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// The fleet's name.
    pub fleet: String,
    /// This coordinator's name.
    pub name: String,
    /// The data folder. It must contain only this coordinator's files.
    pub folder: PathBuf,
    /// The listen address, if different from the coordinator's address in the list.
    pub listen: Option<SocketAddr>,
    /// The version of the task list. The tasks take effect if this epoch is higher than the fleet's current one.
    pub epoch: u64,
    /// A write that takes longer than this suspends the coordinator (milliseconds).
    #[serde(default = "default_write_overdue_ms")]
    pub write_overdue_ms: u64,
    /// The latest protocol version to report as supported. Keeps a fleet at an older version until all coordinators run
    /// the new program.
    #[serde(default = "default_version")]
    pub version: u32,
    /// All coordinators, including this one.
    #[serde(rename = "coordinator")]
    pub coordinators: Vec<CoordinatorEntry>,
    /// The fleet's tasks.
    #[serde(default, rename = "task")]
    pub tasks: Vec<Task>,
    /// Fleet-wide overload control; must be the same in all coordinators' files.
    pub overload: Option<Overload>,
}

/// The table `[overload]`: settings of fleet-wide overload control.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Overload {
    /// A worker's base allocation: the mean number of calls that it may have in flight at the downstream service. A worker
    /// lends at most a quarter of that, whatever it reports.
    pub calls_part: f64,
    /// Retries admitted while the fleet is at capacity, as a percentage of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: f64,
}

/// An entry of the array of tables `[[coordinator]]`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorEntry {
    /// The coordinator's name.
    pub name: String,
    /// The address to which workers and other coordinators connect.
    pub address: SocketAddr,
}

fn default_retry_percent() -> f64 {
    10.0
}

fn default_write_overdue_ms() -> u64 {
    1000
}

fn default_version() -> u32 {
    LATEST_VERSION
}

impl ConfigFile {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// One line with the file, the key and the expected value.
    pub fn read(path: &Path) -> Result<ConfigFile, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
        ConfigFile::decode(&text)
            .map_err(|error| ConfigError::Invalid { path: path.to_owned(), source: Box::new(error) })
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    /// One line with the key and the expected value.
    pub fn decode(text: &str) -> Result<ConfigFile, ConfigError> {
        let file: ConfigFile = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_of(text, span.start));
            ConfigError::Syntax { line, source: Box::new(error) }
        })?;
        file.check()?;
        Ok(file)
    }

    /// Returns the listen address.
    #[must_use]
    pub fn listen_address(&self) -> Option<SocketAddr> {
        let own = || self.coordinators.iter().find(|coordinator| coordinator.name == self.name);
        self.listen.or_else(|| own().map(|coordinator| coordinator.address))
    }

    /// Returns the keys whose value differs in `other` and that are applied only at a restart: all except `epoch` and `task`.
    #[must_use]
    pub fn restart_keys(&self, other: &ConfigFile) -> Vec<&'static str> {
        let changes = [
            ("fleet", self.fleet != other.fleet),
            ("name", self.name != other.name),
            ("folder", self.folder != other.folder),
            ("listen", self.listen != other.listen),
            ("write_overdue_ms", self.write_overdue_ms != other.write_overdue_ms),
            ("version", self.version != other.version),
            ("coordinator", self.coordinators != other.coordinators),
            ("overload", self.overload != other.overload),
        ];
        changes.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }

    /// Returns the coordinator's settings.
    #[must_use]
    pub fn coordinator_config(&self) -> CoordinatorConfig {
        let coordinators = self
            .coordinators
            .iter()
            .map(|entry| CoordinatorAddress { name: entry.name.clone(), address: entry.address.to_string() });
        CoordinatorConfig {
            fleet: self.fleet.clone(),
            name: self.name.clone(),
            coordinators: coordinators.collect(),
            epoch: self.epoch,
            tasks: self.tasks.clone(),
            write_overdue_s: self.write_overdue_ms as f64 / 1000.0,
            version: self.version,
            safety_checks: SafetyChecks::default(),
            overload: self.overload.map(|overload| OverloadLeaderSettings {
                base_calls: overload.calls_part,
                retry_share: overload.retry_percent / 100.0,
            }),
        }
    }
}

/// Returns the number of the line that contains the byte at this offset, starting at 1.
fn line_of(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.split(|byte| *byte == b'\n').count()
}

#[cfg(test)]
mod tests;
