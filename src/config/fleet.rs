//! `[fleet]` of an operator's file: the coordinators, and the tasks for which this worker is a candidate.

mod error;

use super::Config;
use crate::fleet::frame::{is_valid_name, MAX_TASKS};
use crate::fleet::tasks::Schedule;
use crate::fleet::{MembershipConfig, TOTALS_TASK};
pub use error::FleetConfigError;
use serde::Deserialize;
use std::net::SocketAddr;

/// Largest number of coordinators of a fleet.
const MAX_COORDINATORS: usize = 9;
/// Largest clock drift that can be set (percent).
const MAX_DRIFT_PERCENT: f64 = 50.0;
/// Shortest period of a task (seconds).
const MIN_PERIOD_S: f64 = 0.1;
/// Longest period of a task (seconds): a week.
const MAX_PERIOD_S: f64 = 7.0 * 86_400.0;
/// Shortest deadline of a call (milliseconds).
const MIN_DEADLINE_MS: f64 = 10.0;
/// Longest deadline of a call (milliseconds).
const MAX_DEADLINE_MS: f64 = 60_000.0;

/// Membership of a fleet. `docs/operators/fleet.md` explains each setting.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The name of the fleet.
    pub name: String,
    /// The zone that this worker runs in.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// The addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// Largest relative drift between the clocks of a worker and a coordinator (percent).
    #[serde(default = "default_drift_percent")]
    pub drift_percent: f64,
    /// Whether this worker is a candidate to compute the fleet's totals.
    #[serde(default = "default_totals", rename = "totals")]
    pub computes_totals: bool,
    /// The tasks for which this worker is a candidate.
    #[serde(default, rename = "task")]
    pub tasks: Vec<TaskSettings>,
    /// This worker's participation in fleet-wide overload control.
    pub overload: Option<OverloadSettings>,
}

/// A worker's participation in fleet-wide overload control. The settings of the overload control itself are the same for all
/// workers, and are in the coordinators' file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OverloadSettings {
    /// Whether this worker participates.
    pub on: bool,
}

/// A call that one worker makes on behalf of the fleet once per period.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskSettings {
    /// The name of the task.
    pub name: String,
    /// The length of a period (seconds).
    pub period_s: f64,
    /// The address to call.
    pub address: SocketAddr,
    /// The path of the request.
    #[serde(default = "default_path")]
    pub path: String,
    /// The deadline of a call (milliseconds).
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: f64,
    /// Whether a call with an indeterminate outcome may be retried within its period.
    #[serde(rename = "safe")]
    pub idempotent: bool,
}

fn default_zone() -> String {
    "none".to_owned()
}

fn default_drift_percent() -> f64 {
    10.0
}

fn default_totals() -> bool {
    true
}

fn default_path() -> String {
    "/".to_owned()
}

fn default_deadline_ms() -> f64 {
    500.0
}

impl FleetSettings {
    pub(super) fn check(&self) -> Result<(), FleetConfigError> {
        check_name("name", &self.name)?;
        check_name("zone", &self.zone)?;
        let coordinators = self.coordinators.len() as f64;
        check_range("coordinators: the number of entries", coordinators, 1.0, MAX_COORDINATORS as f64)?;
        check_range("drift_percent", self.drift_percent, 0.0, MAX_DRIFT_PERCENT)?;
        // The fleet's totals count as one task.
        check_range("task: the number of entries", self.tasks.len() as f64, 0.0, (MAX_TASKS - 1) as f64)?;
        for task in &self.tasks {
            self.check_task(task)?;
        }
        Ok(())
    }

    fn check_task(&self, task: &TaskSettings) -> Result<(), FleetConfigError> {
        check_name("task.name", &task.name)?;
        let same_name = self.tasks.iter().filter(|other| other.name == task.name).count();
        if task.name == TOTALS_TASK || same_name > 1 {
            return Err(FleetConfigError::DuplicateTask { name: task.name.clone() });
        }
        let key = |field: &str| format!("task {}.{field}", task.name);
        check_range(&key("period_s"), task.period_s, MIN_PERIOD_S, MAX_PERIOD_S)?;
        check_range(&key("deadline_ms"), task.deadline_ms, MIN_DEADLINE_MS, MAX_DEADLINE_MS)?;
        if !task.path.starts_with('/') || !task.path.bytes().all(|byte| byte.is_ascii_graphic()) {
            let (task, found) = (task.name.clone(), task.path.clone());
            return Err(FleetConfigError::InvalidPath { task, found });
        }
        Ok(())
    }

    /// Whether this worker participates in fleet-wide overload control.
    #[must_use]
    pub fn overload_enabled(&self) -> bool {
        self.overload.as_ref().is_some_and(|overload| overload.on)
    }

    /// Creates the configuration of the membership, without overload control. The caller adds overload control, which
    /// needs the worker's base allocation and so depends on the platform's settings.
    #[must_use]
    pub fn membership(&self, config: &Config) -> MembershipConfig {
        MembershipConfig {
            fleet: self.name.clone(),
            name: config.name.clone(),
            zone: self.zone.clone(),
            coordinators: self.coordinators.clone(),
            drift: self.drift_percent / 100.0,
            computes_totals: self.computes_totals,
            tasks: self.tasks.iter().map(TaskSettings::schedule).collect(),
            overload: None,
        }
    }
}

impl TaskSettings {
    fn schedule(&self) -> Schedule {
        Schedule {
            name: self.name.clone(),
            period_s: self.period_s,
            address: self.address,
            path: self.path.clone(),
            deadline_s: self.deadline_ms / 1000.0,
            idempotent: self.idempotent,
        }
    }
}

fn check_name(key: &'static str, name: &str) -> Result<(), FleetConfigError> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(FleetConfigError::InvalidName { key, found: name.to_owned() })
}

fn check_range(key: &str, found: f64, min: f64, max: f64) -> Result<(), FleetConfigError> {
    if (min..=max).contains(&found) {
        return Ok(());
    }
    Err(FleetConfigError::OutOfRange { key: key.to_owned(), found, min, max })
}

#[cfg(test)]
mod tests;
