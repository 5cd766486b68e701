//! A coordinator's file.

use crate::coordinator::CoordinatorConfig;
use crate::leader_state::SafetyChecks;
use crate::state_machine::{Task, LATEST};
use port_worker::fleet::frame::{is_valid_name, MAX_NAME_BYTES, MAX_TASKS};
use port_worker::fleet::overload::leader::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Coordinators at most: more than that cost every command and make nothing safer.
const COORDINATORS_MOST: usize = 9;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub fleet: String,
    pub name: String,
    /// Where its log is kept; nothing else may be in it.
    pub folder: PathBuf,
    /// Where it listens, if that is not its own address in the list.
    pub listen: Option<SocketAddr>,
    /// A higher one than the fleet has taken up brings the tasks of this file into force.
    pub epoch: u64,
    #[serde(default = "default_overdue_ms")]
    pub write_overdue_ms: u64,
    /// What this program may claim to understand: to hold a fleet at the older version until all have the new one.
    #[serde(default = "latest")]
    pub version: u32,
    #[serde(rename = "coordinator")]
    pub coordinators: Vec<Peer>,
    #[serde(default, rename = "task")]
    pub tasks: Vec<Task>,
    /// Overload handled by the fleet as one; the same at all coordinators.
    pub overload: Option<Overload>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Overload {
    /// What a worker may have in hand at the service below by itself (mean number of calls): a worker lends a quarter
    /// of that at most, whatever it says.
    pub calls_part: f64,
    /// Further tries that the fleet takes for each first one while it is short (percent).
    #[serde(default = "default_retry_percent")]
    pub retry_percent: f64,
}

fn default_retry_percent() -> f64 {
    10.0
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    pub name: String,
    pub address: SocketAddr,
}

fn default_overdue_ms() -> u64 {
    1000
}

fn latest() -> u32 {
    LATEST
}

impl File {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line: the file, the key, and what was expected.
    pub fn read(path: &Path) -> Result<File, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        File::decode(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// # Errors
    /// One line: the key, and what was expected.
    pub fn decode(text: &str) -> Result<File, String> {
        let file: File = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |span| span.start.min(text.len()));
            let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: u64, least: u64, most: u64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{key} is {value}; expected {least} to {most}")),
        };
        let words = [("fleet", &self.fleet), ("name", &self.name)];
        let peers = self.coordinators.iter().map(|p| ("coordinator.name", &p.name));
        let tasks = self.tasks.iter().map(|t| ("task.name", &t.name));
        let zones = self.tasks.iter().flat_map(|t| t.zones.iter().map(|z| ("task.zones", z)));
        for (key, word) in words.into_iter().chain(peers).chain(tasks).chain(zones) {
            if !is_valid_name(word) {
                return Err(format!(
                    "{key} is {word:?}; expected letters, digits, - _ . and at most {MAX_NAME_BYTES} of them"
                ));
            }
        }
        within("coordinator", self.coordinators.len() as u64, 1, COORDINATORS_MOST as u64)?;
        if self.coordinators.len() % 2 == 0 {
            let count = self.coordinators.len();
            return Err(format!("coordinator: {count} are named; expected an odd number, 3 or 5"));
        }
        if !self.coordinators.iter().any(|p| p.name == self.name) {
            return Err(format!("name is {:?}, which no [[coordinator]] has", self.name));
        }
        for (n, peer) in self.coordinators.iter().enumerate() {
            if self.coordinators[..n].iter().any(|p| p.name == peer.name || p.address == peer.address) {
                return Err(format!("coordinator {}: its name or address is another's as well", peer.name));
            }
        }
        within("epoch", self.epoch, 1, u64::MAX)?;
        within("write_overdue_ms", self.write_overdue_ms, 50, 60_000)?;
        within("version", u64::from(self.version), 1, u64::from(LATEST))?;
        within("task", self.tasks.len() as u64, 0, MAX_TASKS as u64)?;
        for (n, task) in self.tasks.iter().enumerate() {
            if self.tasks[..n].iter().any(|t| t.name == task.name) {
                return Err(format!("task {}: named twice", task.name));
            }
            within(&format!("task {}.ttl_ms", task.name), task.ttl_ms, 500, 600_000)?;
            within(&format!("task {}.pause_ms", task.name), task.pause_ms, 0, 600_000)?;
        }
        if let Some(overload) = &self.overload {
            for (key, value, most) in [
                ("overload.calls_part", overload.calls_part, 1e6),
                ("overload.retry_percent", overload.retry_percent, 100.0),
            ] {
                if !(0.0..=most).contains(&value) {
                    return Err(format!("{key} is {value}; expected 0 to {most}"));
                }
            }
        }
        Ok(())
    }

    /// Where it listens.
    pub fn listens(&self) -> Option<SocketAddr> {
        self.listen.or_else(|| self.coordinators.iter().find(|p| p.name == self.name).map(|p| p.address))
    }

    pub fn setup(&self) -> CoordinatorConfig {
        CoordinatorConfig {
            fleet: self.fleet.clone(),
            name: self.name.clone(),
            coordinators: self.coordinators.iter().map(|p| (p.name.clone(), p.address.to_string())).collect(),
            epoch: self.epoch,
            tasks: self.tasks.clone(),
            overdue_s: self.write_overdue_ms as f64 / 1000.0,
            version: self.version,
            guards: SafetyChecks::default(),
            overload: self
                .overload
                .map(|o| Settings { base_calls: o.calls_part, retry_share: o.retry_percent / 100.0 }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_checked_with_one_line_that_says_what_was_expected() {
        let good = include_str!("../../deploy/coordinator.toml");
        let file = File::decode(good).unwrap();
        assert_eq!(file.listens().unwrap().port(), 7101);
        for (from, to, said) in [
            ("name = \"c1\"  ", "name = \"c9\"  ", "name is \"c9\", which no [[coordinator]] has"),
            ("127.0.0.1:7102", "127.0.0.1:7101", "coordinator c2: its name or address"),
            ("epoch = 1", "epoch = 0", "epoch is 0; expected 1"),
            ("ttl_ms = 3000", "ttl_ms = 3", "task totals.ttl_ms is 3; expected 500"),
            ("ttl_ms = 3000", "tll_ms = 3000", "line 26: unknown field `tll_ms`"),
            ("\"totals\"", "\"to tals\"", "task.name is \"to tals\"; expected letters"),
            (
                "epoch = 1",
                "overload = { calls_part = -1.0 }\nepoch = 1",
                "overload.calls_part is -1; expected 0 to",
            ),
            (
                "[[coordinator]]\nname = \"c3\"\naddress = \"127.0.0.1:7103\"\n",
                "",
                "coordinator: 2 are named",
            ),
        ] {
            let text = good.replacen(from, to, 1);
            assert_ne!(text, good, "{from} is not in the file");
            let error = File::decode(&text).expect_err(said);
            assert!(error.starts_with(said) && !error.contains('\n'), "{error}, not {said}");
        }
    }
}
