//! `[fleet]` of an operator's file: the coordinators, and the tasks that this worker would carry out for all.

use super::Config;
use crate::fleet::frame::{is_valid_name, MAX_NAME_BYTES, MAX_TASKS};
use crate::fleet::tasks::Schedule;
use crate::fleet::{MembershipConfig, TOTALS};
use serde::Deserialize;
use std::net::SocketAddr;

/// What each setting is for is in `docs/operators/fleet.md`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    pub name: String,
    #[serde(default = "default_zone")]
    pub zone: String,
    pub coordinators: Vec<SocketAddr>,
    /// How far the clocks of a worker and a coordinator may run apart, both together (percent).
    #[serde(default = "default_drift_percent")]
    pub drift_percent: f64,
    /// Whether this worker would add up the figures of all.
    #[serde(default = "default_totals")]
    pub totals: bool,
    #[serde(default, rename = "task")]
    pub tasks: Vec<TaskSettings>,
    /// Takes part in handling overload as one.
    pub overload: Option<OverloadSettings>,
}

/// What the fleet decides of it stands in the coordinators' file, the same for all workers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OverloadSettings {
    pub on: bool,
}

/// A call that one worker makes for all, once a period.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskSettings {
    pub name: String,
    pub period_s: f64,
    pub address: SocketAddr,
    #[serde(default = "default_path")]
    pub path: String,
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: f64,
    /// Whether a call of unknown outcome may be made again in its period.
    pub safe: bool,
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

/// Coordinators at most.
const COORDINATORS_MOST: usize = 9;

impl FleetSettings {
    pub(super) fn check(&self) -> Result<(), String> {
        let name = |key: &str, name: &str| {
            match is_valid_name(name) {
            true => Ok(()),
            false => Err(format!(
                "fleet.{key} is {name:?}; expected letters, digits, - _ . and at most {MAX_NAME_BYTES} of them"
            )),
        }
        };
        let within = |key: String, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("fleet.{key} is {value}; expected {least} to {most}")),
        };
        name("name", &self.name)?;
        name("zone", &self.zone)?;
        within("coordinators".to_owned(), self.coordinators.len() as f64, 1.0, COORDINATORS_MOST as f64)?;
        within("drift_percent".to_owned(), self.drift_percent, 0.0, 50.0)?;
        within("task".to_owned(), self.tasks.len() as f64, 0.0, (MAX_TASKS - 1) as f64)?;
        for task in &self.tasks {
            name("task.name", &task.name)?;
            if task.name == TOTALS || self.tasks.iter().filter(|t| t.name == task.name).count() > 1 {
                return Err(format!("fleet.task.name is {:?}, which is taken", task.name));
            }
            within(format!("task {}.period_s", task.name), task.period_s, 0.1, 7.0 * 86_400.0)?;
            within(format!("task {}.deadline_ms", task.name), task.deadline_ms, 10.0, 60_000.0)?;
            if !task.path.starts_with('/') || !task.path.bytes().all(|b| b.is_ascii_graphic()) {
                return Err(format!(
                    "fleet.task {}.path is {:?}; a path begins with /",
                    task.name, task.path
                ));
            }
        }
        Ok(())
    }

    /// Whether it takes part in handling overload as one.
    pub fn overload(&self) -> bool {
        self.overload.as_ref().is_some_and(|o| o.on)
    }

    /// What the decisions need of it; the part of the calls below comes from the platform's settings.
    pub fn plan(&self, config: &Config) -> MembershipConfig {
        MembershipConfig {
            fleet: self.name.clone(),
            name: config.name.clone(),
            zone: self.zone.clone(),
            coordinators: self.coordinators.clone(),
            drift: self.drift_percent / 100.0,
            computes_totals: self.totals,
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
            safe: self.safe,
        }
    }
}

#[cfg(test)]
mod tests;
