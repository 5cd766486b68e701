//! A fleet of real processes on loopback, which communicate through relays. Tests inject network faults into the relays and
//! other faults into the processes. Dropping a rig kills only the processes that it started, each through its own handle.

mod calls;
mod configuration;
mod faults_command;
mod fleet_file;
mod processes;
mod programs;
mod relays;

pub use calls::{call, get};
pub use faults_command::{request_fault, serve};
pub use fleet_file::{FleetFile, FleetTask};
pub use programs::Programs;

use super::relay::Relay;
use super::service::Service;
use super::task_log::{self, Fencing};
use crate::error::TestbedError;
use crate::experiment::{ClassModel, Experiment};
use crate::loopback::Clock;
use processes::Process;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Duration of a call at the shared service until a test changes it (milliseconds).
const CALL_MS: u64 = 10;
/// The experiment whose classes the workers serve.
const EXPERIMENT: &str = include_str!("../../../experiments/console.toml");
/// File in which the resource logs task calls.
const TASK_LOG: &str = "acts.jsonl";

/// A running fleet.
pub struct Rig {
    /// Description of the fleet.
    pub file: FleetFile,
    /// Folder of its files.
    pub folder: PathBuf,
    programs: Programs,
    relays: Vec<Relay>,
    processes: Vec<Process>,
    /// Downstream service of all workers; `None` without fleet-wide overload control.
    pub service: Option<Service>,
    experiment: Experiment,
    clock: Clock,
    /// Stops the threads of the executors.
    stop: Arc<AtomicBool>,
    /// Listening sockets of the workers, by index.
    listeners: Vec<socket2::Socket>,
    /// Address on which `testbed fleet` accepts fault commands.
    control: Option<SocketAddr>,
}

impl Rig {
    /// Starts the fleet and waits until every process listens.
    ///
    /// # Errors
    /// A process does not start.
    pub fn start(file: FleetFile, folder: &Path, programs: Programs) -> Result<Rig, TestbedError> {
        Rig::start_with(file, folder, programs, Fencing::Enforced)
    }

    /// Starts the fleet like [`Rig::start`]; `fencing` says whether the task resource rejects outdated fencing tokens.
    ///
    /// # Errors
    /// A process does not start.
    pub fn start_with(
        file: FleetFile,
        folder: &Path,
        programs: Programs,
        fencing: Fencing,
    ) -> Result<Rig, TestbedError> {
        std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
        let task_resource = task_log::start(&folder.join(TASK_LOG), file.work_ms, fencing)?;
        let mut rig = Rig {
            relays: Vec::new(),
            processes: Vec::new(),
            service: file.calls_part.map(|_| Service::start(CALL_MS)).transpose()?,
            experiment: Experiment::decode(EXPERIMENT)?,
            clock: Clock::from_now(),
            stop: Arc::default(),
            listeners: Vec::new(),
            control: None,
            folder: folder.to_owned(),
            programs,
            file,
        };
        rig.start_relays(task_resource)?;
        for name in rig.coordinators() {
            rig.start_coordinator(&name)?;
        }
        for name in rig.workers() {
            rig.listeners.push(processes::bind_listener()?);
            rig.start_worker(&name)?;
        }
        rig.write_json()?;
        Ok(rig)
    }

    /// Sets the programs for processes that are started from now on.
    pub fn set_programs(&mut self, programs: Programs) {
        self.programs = programs;
    }

    /// Returns a class that the workers serve.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ClassModel> {
        self.experiment.class.iter().find(|c| c.name == name)
    }

    /// Returns the names of all coordinators.
    #[must_use]
    pub fn coordinators(&self) -> Vec<String> {
        (1..=self.file.coordinators).map(|n| format!("c{n}")).collect()
    }

    /// Returns the names of all workers.
    #[must_use]
    pub fn workers(&self) -> Vec<String> {
        (1..=self.file.workers).map(|n| format!("w{n}")).collect()
    }

    /// Returns the address of a running coordinator, or of a running worker's console.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let process = self.processes.iter().find(|p| p.name == name && p.alive)?;
        if name.starts_with('c') {
            process.listen
        } else {
            process.console
        }
    }

    /// Returns the address on which a worker accepts clients.
    #[must_use]
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        self.processes.iter().find(|p| p.name == name)?.listen
    }

    /// Returns the addresses of the running coordinators.
    #[must_use]
    pub fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        self.coordinators().iter().filter_map(|name| self.address(name)).collect()
    }

    /// Returns the task calls that the resource has logged.
    #[must_use]
    pub fn task_calls(&self) -> Vec<task_log::TaskCall> {
        task_log::read(&self.folder.join(TASK_LOG))
    }

    /// Returns a process's id.
    #[must_use]
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.iter().find(|p| p.name == name).map(|p| p.child.id())
    }

    /// Returns the line that `testbed fleet` prints for each process.
    #[must_use]
    pub fn process_lines(&self) -> Vec<String> {
        let text = |a: Option<SocketAddr>| a.map_or_else(|| "-".to_owned(), |a| a.to_string());
        let line = |p: &Process| {
            format!("{} pid {} listen {} console {}", p.name, p.child.id(), text(p.listen), text(p.console))
        };
        self.processes.iter().map(line).collect()
    }

    /// Replaces `fleet.json`, which describes the running fleet to `testbed fault` and the operator.
    fn write_json(&self) -> Result<(), TestbedError> {
        let describe = |kind: char| -> Vec<Value> {
            let text = |a: Option<SocketAddr>| a.map(|a| a.to_string());
            let row = |p: &Process| match kind {
                'c' => json!({"name": p.name, "pid": p.child.id(), "listen": text(p.listen)}),
                _ => {
                    json!({"name": p.name, "pid": p.child.id(), "listen": text(p.listen), "console": text(p.console)})
                }
            };
            self.processes.iter().filter(|p| p.name.starts_with(kind)).map(row).collect()
        };
        let addresses: Vec<String> = self.coordinator_addresses().iter().map(SocketAddr::to_string).collect();
        let description = json!({
            "coordinators": describe('c'), "workers": describe('w'), "acts": TASK_LOG,
            "fleet": format!("--fleet {} --coordinators {}", self.file.fleet, addresses.join(",")),
            "control": self.control.map(|a| a.to_string()),
        });
        let (new, path) = (self.folder.join("fleet.json.new"), self.folder.join("fleet.json"));
        std::fs::write(&new, format!("{description:#}\n"))
            .and_then(|()| std::fs::rename(&new, &path))
            .map_err(TestbedError::file(&path))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for process in self.processes.iter_mut().filter(|p| p.alive) {
            // SIGKILL ends a suspended process too.
            process.kill();
        }
    }
}
