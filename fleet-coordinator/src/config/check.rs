//! Semantic validation of the configuration file.

use super::{ConfigError, ConfigFile, Overload};
use crate::state_machine::LATEST_VERSION;
use port_worker::fleet::frame::{is_valid_name, MAX_TASKS};

/// The maximum number of coordinators. Every command waits for a majority, so more coordinators delay every command; nine
/// already tolerate four failures.
const MAX_COORDINATORS: usize = 9;
const MIN_WRITE_OVERDUE_MS: u64 = 50;
const MAX_WRITE_OVERDUE_MS: u64 = 60_000;
const MIN_TTL_MS: u64 = 500;
const MAX_TTL_MS: u64 = 600_000;
const MAX_BACKOFF_MS: u64 = 600_000;
const MAX_CALLS_PART: f64 = 1e6;
const MAX_RETRY_PERCENT: f64 = 100.0;

impl ConfigFile {
    /// Validates the file. Checks run in a fixed order, so that a file with several errors always reports the same one.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        self.check_names()?;
        self.check_coordinators()?;
        check_range("epoch", self.epoch, 1, u64::MAX)?;
        check_range("write_overdue_ms", self.write_overdue_ms, MIN_WRITE_OVERDUE_MS, MAX_WRITE_OVERDUE_MS)?;
        check_range("version", u64::from(self.version), 1, u64::from(LATEST_VERSION))?;
        self.check_tasks()?;
        self.overload.as_ref().map_or(Ok(()), Overload::check)
    }

    fn check_names(&self) -> Result<(), ConfigError> {
        let own = [("fleet", &self.fleet), ("name", &self.name)];
        let coordinators = self.coordinators.iter().map(|c| ("coordinator.name", &c.name));
        let tasks = self.tasks.iter().map(|task| ("task.name", &task.name));
        let zones = self.tasks.iter().flat_map(|task| task.zones.iter().map(|zone| ("task.zones", zone)));
        for (key, name) in own.into_iter().chain(coordinators).chain(tasks).chain(zones) {
            if !is_valid_name(name) {
                return Err(ConfigError::InvalidName { key, found: name.clone() });
            }
        }
        Ok(())
    }

    fn check_coordinators(&self) -> Result<(), ConfigError> {
        let count = self.coordinators.len();
        check_range("coordinator: the number of entries", count as u64, 1, MAX_COORDINATORS as u64)?;
        if count.is_multiple_of(2) {
            return Err(ConfigError::EvenCoordinators { found: count });
        }
        if !self.coordinators.iter().any(|coordinator| coordinator.name == self.name) {
            return Err(ConfigError::UnlistedName { found: self.name.clone() });
        }
        for (index, this) in self.coordinators.iter().enumerate() {
            let mut earlier = self.coordinators[..index].iter();
            if earlier.any(|other| other.name == this.name || other.address == this.address) {
                return Err(ConfigError::DuplicateCoordinator { name: this.name.clone() });
            }
        }
        Ok(())
    }

    fn check_tasks(&self) -> Result<(), ConfigError> {
        check_range("task: the number of entries", self.tasks.len() as u64, 0, MAX_TASKS as u64)?;
        for (index, task) in self.tasks.iter().enumerate() {
            let name = &task.name;
            if self.tasks[..index].iter().any(|earlier| earlier.name == *name) {
                return Err(ConfigError::DuplicateTask { name: name.clone() });
            }
            check_range(&format!("task {name}.ttl_ms"), task.ttl_ms, MIN_TTL_MS, MAX_TTL_MS)?;
            check_range(&format!("task {name}.pause_ms"), task.backoff_ms, 0, MAX_BACKOFF_MS)?;
        }
        Ok(())
    }
}

impl Overload {
    fn check(&self) -> Result<(), ConfigError> {
        check_decimal("overload.calls_part", self.calls_part, MAX_CALLS_PART)?;
        check_decimal("overload.retry_percent", self.retry_percent, MAX_RETRY_PERCENT)
    }
}

fn check_range(key: &str, found: u64, min: u64, max: u64) -> Result<(), ConfigError> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange { key: key.to_owned(), found, min, max })
}

fn check_decimal(key: &'static str, found: f64, max: f64) -> Result<(), ConfigError> {
    if (0.0..=max).contains(&found) {
        return Ok(());
    }
    Err(ConfigError::DecimalOutOfRange { key, found, max })
}
