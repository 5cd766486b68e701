//! A fleet of real processes on loopback, with a relay between any two of them that speak, and the faults that tests
//! put between them. Dropping it ends every process that it started, by its number, and removes nothing but what it made.

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

/// How long a call at the shared service takes (milliseconds), until a test says otherwise.
const CALL_MS: u64 = 10;
/// The classes that the workers of a fleet serve.
const SITE: &str = include_str!("../../../experiments/console.toml");
/// The file in which the resource logs the tasks' calls.
const TASK_LOG: &str = "acts.jsonl";

/// A fleet that runs.
pub struct Rig {
    /// What was started.
    pub file: FleetFile,
    /// Where its files are.
    pub folder: PathBuf,
    programs: Programs,
    relays: Vec<Relay>,
    processes: Vec<Process>,
    /// The downstream service of all workers, where overload is handled as one.
    pub service: Option<Service>,
    site: Experiment,
    clock: Clock,
    /// Ends the threads of the executors.
    over: Arc<AtomicBool>,
    /// The workers' listening sockets, by their order.
    listeners: Vec<socket2::Socket>,
    /// Where faults are taken.
    control: Option<SocketAddr>,
}

impl Rig {
    /// Starts all of it and waits until every process listens.
    ///
    /// # Errors
    /// What did not come up, and why.
    pub fn start(file: FleetFile, folder: &Path, programs: Programs) -> Result<Rig, TestbedError> {
        Rig::start_with(file, folder, programs, Fencing::Enforced)
    }

    /// The same, with a resource that may accept every token.
    ///
    /// # Errors
    /// As above.
    pub fn start_with(
        file: FleetFile,
        folder: &Path,
        programs: Programs,
        fencing: Fencing,
    ) -> Result<Rig, TestbedError> {
        std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
        let acts = task_log::start(&folder.join(TASK_LOG), file.work_ms, fencing)?;
        let mut rig = Rig {
            relays: Vec::new(),
            processes: Vec::new(),
            service: file.calls_part.map(|_| Service::start(CALL_MS)).transpose()?,
            site: Experiment::decode(SITE)?,
            clock: Clock::from_now(),
            over: Arc::default(),
            listeners: Vec::new(),
            control: None,
            folder: folder.to_owned(),
            programs,
            file,
        };
        rig.start_relays(acts)?;
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

    /// Sets the programs that are started from now on. Processes that run are not affected.
    pub fn set_programs(&mut self, programs: Programs) {
        self.programs = programs;
    }

    /// A class that the workers serve.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ClassModel> {
        self.site.class.iter().find(|c| c.name == name)
    }

    /// The names of all coordinators.
    #[must_use]
    pub fn coordinators(&self) -> Vec<String> {
        (1..=self.file.coordinators).map(|n| format!("c{n}")).collect()
    }

    /// The names of all workers.
    #[must_use]
    pub fn workers(&self) -> Vec<String> {
        (1..=self.file.workers).map(|n| format!("w{n}")).collect()
    }

    /// Where a coordinator listens, or a worker's console.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let process = self.processes.iter().find(|p| p.name == name && p.alive)?;
        if name.starts_with('c') {
            process.listen
        } else {
            process.console
        }
    }

    /// Where a worker listens for clients.
    #[must_use]
    pub fn listen_address(&self, name: &str) -> Option<SocketAddr> {
        self.processes.iter().find(|p| p.name == name)?.listen
    }

    /// All coordinators that run.
    #[must_use]
    pub fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        self.coordinators().iter().filter_map(|name| self.address(name)).collect()
    }

    /// The calls that the tasks' resource has logged.
    #[must_use]
    pub fn task_calls(&self) -> Vec<task_log::TaskCall> {
        task_log::read(&self.folder.join(TASK_LOG))
    }

    /// A process's number.
    #[must_use]
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.iter().find(|p| p.name == name).map(|p| p.child.id())
    }

    /// The line for each process that `fleet` prints.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let text = |a: Option<SocketAddr>| a.map_or_else(|| "-".to_owned(), |a| a.to_string());
        let line = |p: &Process| {
            format!("{} pid {} listen {} console {}", p.name, p.child.id(), text(p.listen), text(p.console))
        };
        self.processes.iter().map(line).collect()
    }

    fn write_json(&self) -> Result<(), TestbedError> {
        let of = |kind: char| -> Vec<Value> {
            let some = |a: Option<SocketAddr>| a.map(|a| a.to_string());
            let row = |p: &Process| match kind {
                'c' => json!({"name": p.name, "pid": p.child.id(), "listen": some(p.listen)}),
                _ => {
                    json!({"name": p.name, "pid": p.child.id(), "listen": some(p.listen), "console": some(p.console)})
                }
            };
            self.processes.iter().filter(|p| p.name.starts_with(kind)).map(row).collect()
        };
        let asked: Vec<String> = self.coordinator_addresses().iter().map(SocketAddr::to_string).collect();
        let whole = json!({
            "coordinators": of('c'), "workers": of('w'), "acts": TASK_LOG,
            "fleet": format!("--fleet {} --coordinators {}", self.file.fleet, asked.join(",")),
            "control": self.control.map(|a| a.to_string()),
        });
        let (new, path) = (self.folder.join("fleet.json.new"), self.folder.join("fleet.json"));
        std::fs::write(&new, format!("{whole:#}\n"))
            .and_then(|()| std::fs::rename(&new, &path))
            .map_err(TestbedError::file(&path))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for process in self.processes.iter_mut().filter(|p| p.alive) {
            // One that is stopped dies all the same.
            process.end();
        }
    }
}
