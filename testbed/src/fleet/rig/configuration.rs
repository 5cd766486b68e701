//! Configuration files of the rig's processes.

use super::Rig;
use crate::error::TestbedError;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// An address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";
/// An address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

impl Rig {
    /// Returns the text of a coordinator's configuration file.
    pub(super) fn coordinator_file(&self, name: &str) -> Result<String, TestbedError> {
        let mut text = format!(
            "fleet = {:?}\nname = {name:?}\nfolder = {:?}\nlisten = \"127.0.0.1:0\"\nepoch = 1\nwrite_overdue_ms = {}\n",
            self.file.fleet,
            self.folder.join(name).display().to_string(),
            self.file.write_overdue_ms
        );
        if let Some(part) = self.file.calls_part {
            let _ = writeln!(text, "overload = {{ calls_part = {part:?} }}");
        }
        if self.file.older.iter().any(|older| older == name) {
            text += "version = 1\n";
        }
        for (n, peer) in self.coordinators().iter().enumerate() {
            let address = if peer == name {
                SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))
            } else {
                self.relay(name, peer)?
            };
            let _ = write!(text, "[[coordinator]]\nname = {peer:?}\naddress = \"{address}\"\n");
        }
        text += "[[task]]\nname = \"totals\"\nttl_ms = 3000\n";
        for task in &self.file.tasks {
            let _ =
                write!(text, "[[task]]\nname = {:?}\nttl_ms = {}\npause_ms = 500\n", task.name, task.ttl_ms);
        }
        Ok(text)
    }

    /// Returns a worker's platform configuration.
    pub(super) fn worker_config(&self, name: &str, listen: SocketAddr, executor: SocketAddr) -> Value {
        let downstream = self.relay(name, "service").map_or(UNUSED_ADDRESS.to_owned(), |a| a.to_string());
        let mut config =
            self.experiment.config(&listen.to_string(), &executor.to_string(), &downstream, UNUSED_ADDRESS);
        if let Some(part) = self.file.calls_part {
            config["settings"]["domain"]["fairCalls"] = json!(part);
        }
        config["name"] = json!(name);
        config["console"] = json!(ANY_PORT);
        config
    }

    /// Returns the text of a worker's operator file; `number` is the worker's index, from 0.
    pub(super) fn operator_file(&self, name: &str, number: usize) -> Result<String, TestbedError> {
        let mut text = format!("[fleet]\nname = {:?}\ncoordinators = [", self.file.fleet);
        for to in self.coordinators() {
            let _ = write!(text, "\"{}\", ", self.relay(name, &to)?);
        }
        text += "]\n";
        if !self.file.zones.is_empty() {
            let _ = writeln!(text, "zone = {:?}", self.file.zones[number % self.file.zones.len()]);
        }
        if self.file.calls_part.is_some() {
            text += "overload = { on = true }\n";
        }
        let task_resource = self.relay(name, "acts")?;
        for task in &self.file.tasks {
            let _ = write!(
                text,
                "[[fleet.task]]\nname = {:?}\nperiod_s = {:?}\naddress = \"{}\"\npath = \"/{}\"\ndeadline_ms = {}\nsafe = {}\n",
                task.name, task.period_s, task_resource, task.name, task.deadline_ms, task.safe
            );
        }
        Ok(text)
    }
}
