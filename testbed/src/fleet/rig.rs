//! A fleet of real processes on loopback, with a relay between any two of them that speak, and the faults that stories
//! are told in. Dropping it ends every process that it started, by its number, and removes nothing but what it made.

use super::relay::Relay;
use super::service::Service;
use super::task_log;
use crate::error::{FleetFileError, TestbedError};
use crate::experiment::{ClassModel, Experiment};
use crate::sockets::{lock, serve_executor, Clock};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde::Deserialize;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a process may take to come up.
const START: Duration = Duration::from_secs(20);
/// How long a call at the shared service takes (milliseconds), until a story says otherwise.
const CALL_MS: u64 = 10;
/// The classes that the workers of a fleet serve.
const SITE: &str = include_str!("../../experiments/console.toml");

/// `testbed/fleets/*.toml`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    pub fleet: String,
    pub coordinators: usize,
    pub workers: usize,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default = "default_overdue_ms")]
    pub write_overdue_ms: u64,
    /// How long each act takes at the stand-in.
    #[serde(default = "default_work_ms")]
    pub work_ms: u64,
    #[serde(default, rename = "task")]
    pub tasks: Vec<FleetTask>,
    /// Overload handled as one, with so many calls in hand for each worker at a service below that all share.
    #[serde(default)]
    pub calls_part: Option<f64>,
    /// Coordinators of the older version, by name: for fleets in which two versions meet.
    #[serde(default)]
    pub older: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTask {
    pub name: String,
    pub period_s: f64,
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
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
    /// # Errors
    /// One line: the file, where, and what was expected.
    pub fn read(path: &Path) -> Result<FleetFile, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(TestbedError::file(path))?;
        FleetFile::decode(&text).map_err(|source| TestbedError::FleetFile { path: path.to_owned(), source })
    }

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

/// Where the programs are; they lie side by side in a target folder.
#[derive(Clone, Debug)]
pub struct Programs {
    pub worker: PathBuf,
    pub coordinator: PathBuf,
}

impl Programs {
    /// Those of one folder.
    ///
    /// # Errors
    /// Which of them is not there, and how to make it.
    pub fn beside(folder: &Path) -> Result<Programs, TestbedError> {
        let programs =
            Programs { worker: folder.join("port-worker"), coordinator: folder.join("fleet-coordinator") };
        for program in [&programs.worker, &programs.coordinator] {
            if !program.exists() {
                return Err(TestbedError::NotBuilt { program: program.clone() });
            }
        }
        Ok(programs)
    }
}

struct Process {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    alive: bool,
    listen: Option<SocketAddr>,
    console: Option<SocketAddr>,
}

pub struct Rig {
    pub file: FleetFile,
    pub folder: PathBuf,
    programs: Programs,
    relays: Vec<Relay>,
    processes: Vec<Process>,
    /// What all workers call below, where overload is handled as one.
    pub service: Option<Service>,
    site: Experiment,
    clock: Clock,
    over: Arc<AtomicBool>,
    doors: Vec<socket2::Socket>,
    control: Option<SocketAddr>,
}

impl Rig {
    /// Starts all of it and waits until every process listens.
    ///
    /// # Errors
    /// What did not come up, and why.
    pub fn start(file: FleetFile, folder: &Path, programs: Programs) -> Result<Rig, TestbedError> {
        Rig::start_with(file, folder, programs, true)
    }

    /// The same, with a stand-in that may take every token.
    ///
    /// # Errors
    /// As above.
    pub fn start_with(
        file: FleetFile,
        folder: &Path,
        programs: Programs,
        fenced: bool,
    ) -> Result<Rig, TestbedError> {
        std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
        let acts = task_log::start(&folder.join("acts.jsonl"), file.work_ms, fenced)?;
        let mut rig = Rig {
            relays: Vec::new(),
            processes: Vec::new(),
            service: file.calls_part.map(|_| Service::start(CALL_MS)).transpose()?,
            site: Experiment::decode(SITE)?,
            clock: Clock::from_now(),
            over: Arc::default(),
            doors: Vec::new(),
            control: None,
            folder: folder.to_owned(),
            programs,
            file,
        };
        let (coordinators, workers) = (rig.coordinators(), rig.workers());
        for to in &coordinators {
            for from in coordinators.iter().chain(&workers).filter(|from| *from != to) {
                rig.relays.push(Relay::start(from, to)?);
            }
        }
        for from in &workers {
            let relay = Relay::start(from, "acts")?;
            relay.aim(Some(acts));
            rig.relays.push(relay);
        }
        if let Some(at) = rig.service.as_ref().map(|s| s.address) {
            for from in &workers {
                let relay = Relay::start(from, "service")?;
                relay.aim(Some(at));
                rig.relays.push(relay);
            }
        }
        for name in &coordinators {
            rig.start_coordinator(name)?;
        }
        for name in &workers {
            let door = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let door = door?;
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            door.bind(&any.into()).and_then(|()| door.listen(256))?;
            door.set_nonblocking(true).and_then(|()| door.set_cloexec(false))?;
            rig.doors.push(door);
            rig.start_worker(name)?;
        }
        rig.write_json()?;
        Ok(rig)
    }

    /// A class that the workers serve.
    pub fn class(&self, name: &str) -> Option<&ClassModel> {
        self.site.class.iter().find(|c| c.name == name)
    }

    pub fn coordinators(&self) -> Vec<String> {
        (1..=self.file.coordinators).map(|n| format!("c{n}")).collect()
    }

    pub fn workers(&self) -> Vec<String> {
        (1..=self.file.workers).map(|n| format!("w{n}")).collect()
    }

    fn relay(&self, from: &str, to: &str) -> Result<SocketAddr, TestbedError> {
        let found = self.relays.iter().find(|r| r.from == from && r.to == to);
        found
            .map(|r| r.address)
            .ok_or_else(|| TestbedError::NoLink { from: from.to_owned(), to: to.to_owned() })
    }

    /// Where this worker dials the coordinators, all of them.
    pub fn links(&self, worker: &str) -> Vec<SocketAddr> {
        self.coordinators().iter().filter_map(|c| self.relay(worker, c).ok()).collect()
    }

    fn coordinator_file(&self, name: &str) -> Result<String, TestbedError> {
        let mut text = format!(
            "fleet = {:?}\nname = {name:?}\nfolder = {:?}\nlisten = \"127.0.0.1:0\"\nepoch = 1\nwrite_overdue_ms = {}\n",
            self.file.fleet,
            self.folder.join(name),
            self.file.write_overdue_ms
        );
        if let Some(part) = self.file.calls_part {
            text += &format!("overload = {{ calls_part = {part:?} }}\n");
        }
        if self.file.older.iter().any(|older| older == name) {
            text += "version = 1\n";
        }
        for (n, peer) in self.coordinators().iter().enumerate() {
            let address = match peer == name {
                // Never dialled: this one's own place in the list.
                true => SocketAddr::from(([127, 0, 0, 1], 1 + n as u16)),
                false => self.relay(name, peer)?,
            };
            text += &format!("[[coordinator]]\nname = {peer:?}\naddress = \"{address}\"\n");
        }
        text += "[[task]]\nname = \"totals\"\nttl_ms = 3000\n";
        for task in &self.file.tasks {
            text += &format!("[[task]]\nname = {:?}\nttl_ms = {}\npause_ms = 500\n", task.name, task.ttl_ms);
        }
        Ok(text)
    }

    fn start_coordinator(&mut self, name: &str) -> Result<(), TestbedError> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, self.coordinator_file(name)?).map_err(TestbedError::file(&path))?;
        let mut command = Command::new(&self.programs.coordinator);
        command.arg("--config").arg(&path);
        let mut process = self.spawn(name, command)?;
        let listen = process.wait_address(" at=")?;
        process.listen = Some(listen);
        self.relays.iter().filter(|r| r.to == name).for_each(|r| r.aim(Some(listen)));
        self.put(process);
        Ok(())
    }

    fn start_worker(&mut self, name: &str) -> Result<(), TestbedError> {
        let process = self.spawn_worker(name)?;
        self.put(process);
        Ok(())
    }

    fn spawn_worker(&mut self, name: &str) -> Result<Process, TestbedError> {
        let number = self
            .workers()
            .iter()
            .position(|w| w == name)
            .ok_or_else(|| TestbedError::UnknownProcess { name: name.to_owned() })?;
        let executor = TcpListener::bind("127.0.0.1:0")?;
        let executor_at = executor.local_addr()?;
        // Its thread ends with the fleet.
        drop(serve_executor(executor, &self.site, self.clock, &self.over));
        let listen = self.doors[number]
            .local_addr()
            .ok()
            .and_then(|a| a.as_socket())
            .ok_or(TestbedError::ListenerWithoutAddress)?;
        let nobody = "127.0.0.1:9".to_owned();
        let below = self.relay(name, "service").map_or(nobody.clone(), |a| a.to_string());
        let mut config = self.site.config(&listen.to_string(), &executor_at.to_string(), &below, &nobody);
        if let Some(part) = self.file.calls_part {
            config["settings"]["domain"]["fairCalls"] = json!(part);
        }
        config["name"] = json!(name);
        config["console"] = json!("127.0.0.1:0");
        let mut operator = format!("[fleet]\nname = {:?}\ncoordinators = [", self.file.fleet);
        for to in self.coordinators() {
            operator += &format!("\"{}\", ", self.relay(name, &to)?);
        }
        operator += "]\n";
        if !self.file.zones.is_empty() {
            operator += &format!("zone = {:?}\n", self.file.zones[number % self.file.zones.len()]);
        }
        if self.file.calls_part.is_some() {
            operator += "overload = { on = true }\n";
        }
        let acts = self.relay(name, "acts")?;
        for task in &self.file.tasks {
            operator += &format!(
                "[[fleet.task]]\nname = {:?}\nperiod_s = {:?}\naddress = \"{}\"\npath = \"/{}\"\ndeadline_ms = {}\nsafe = {}\n",
                task.name, task.period_s, acts, task.name, task.deadline_ms, task.safe
            );
        }
        let meets = self.folder.join(format!("{name}-meets"));
        std::fs::create_dir_all(&meets).map_err(TestbedError::file(&meets))?;
        let write = |file: String, text: &str| {
            let path = self.folder.join(file);
            std::fs::write(&path, text).map_err(TestbedError::file(&path)).map(|()| path)
        };
        let config = write(format!("{name}.json"), &config.to_string())?;
        let operator = write(format!("{name}.toml"), &operator)?;
        let mut command = Command::new(&self.programs.worker);
        command.env("ROUTER_CONFIG", config).env("TMPDIR", meets);
        command.env("ROUTER_SOCKET_FD", self.doors[number].as_raw_fd().to_string());
        command.arg("--operator").arg(operator);
        let mut process = self.spawn(name, command)?;
        process.console = Some(process.wait_address("console on ")?);
        process.listen = Some(listen);
        Ok(process)
    }

    fn spawn(&self, name: &str, mut command: Command) -> Result<Process, TestbedError> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(TestbedError::component(name))?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let (own, path) = (lines.clone(), self.folder.join(format!("{name}.log")));
            let mut log = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = writeln!(log, "{line}");
                    lock(&own).push(line);
                }
            });
        }
        Ok(Process { name: name.to_owned(), child, lines, alive: true, listen: None, console: None })
    }

    /// Takes the place of the process of this name, if there was one.
    fn put(&mut self, process: Process) {
        match self.processes.iter_mut().find(|p| p.name == process.name) {
            Some(old) => *old = process,
            None => self.processes.push(process),
        }
    }

    fn process(&mut self, name: &str) -> Result<&mut Process, TestbedError> {
        self.processes
            .iter_mut()
            .find(|p| p.name == name)
            .ok_or_else(|| TestbedError::UnknownProcess { name: name.to_owned() })
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<(), TestbedError> {
        let process = self.process(name)?;
        let pid = Pid::from_child(&process.child);
        if !process.alive {
            return Err(TestbedError::NotRunning { name: name.to_owned() });
        }
        kill_process(pid, signal).map_err(|e| TestbedError::component(name)(e.into()))
    }

    /// SIGKILL: the machine drops.
    ///
    /// # Errors
    /// There is no such process, or it does not run.
    pub fn kill(&mut self, name: &str) -> Result<(), TestbedError> {
        let process = self.process(name)?;
        if !process.alive {
            return Err(TestbedError::NotRunning { name: name.to_owned() });
        }
        process.end();
        self.relays.iter().filter(|r| r.to == name).for_each(|r| r.aim(None));
        self.write_json()
    }

    /// Starts a process that was killed, with the disk that it left.
    ///
    /// # Errors
    /// It runs, or does not come up.
    pub fn start_again(&mut self, name: &str) -> Result<(), TestbedError> {
        if self.process(name)?.alive {
            return Err(TestbedError::Running { name: name.to_owned() });
        }
        match name.starts_with('c') {
            true => self.start_coordinator(name)?,
            false => self.start_worker(name)?,
        }
        self.write_json()
    }

    /// The notice to leave, and the end.
    ///
    /// # Errors
    /// It does not run, or did not end in time.
    pub fn terminate(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::TERM)?;
        let process = self.process(name)?;
        let until = Instant::now() + START;
        while Instant::now() < until {
            if process.child.try_wait()?.is_some() {
                process.alive = false;
                return self.write_json();
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(TestbedError::DidNotEnd { name: name.to_owned() })
    }

    /// A second process takes the worker's place while it serves; the first is told to leave when the second is ready.
    ///
    /// # Errors
    /// The second did not get ready.
    pub fn replace(&mut self, name: &str) -> Result<(), TestbedError> {
        let new = self.spawn_worker(name)?;
        let console = new.console.ok_or(TestbedError::Missing("console"))?;
        let until = Instant::now() + START;
        while !get(console, "/-/ready").is_ok_and(|reply| reply.starts_with("HTTP/1.1 200")) {
            if Instant::now() > until {
                return Err(TestbedError::SuccessorNotReady { name: name.to_owned() });
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.terminate(name)?;
        self.put(new);
        self.write_json()
    }

    pub fn pause(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::STOP)
    }

    pub fn resume(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::CONT)
    }

    /// The disk is full for this process: writes fail, as there.
    pub fn fill(&mut self, name: &str, full: bool) -> Result<(), TestbedError> {
        let pid = Pid::from_child(&self.process(name)?.child);
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        prlimit(Some(pid), Resource::Fsize, limit)
            .map(|_| ())
            .map_err(|e| TestbedError::component(name)(e.into()))
    }

    /// The folder of a coordinator that does not run is lost.
    pub fn wipe(&mut self, name: &str) -> Result<(), TestbedError> {
        if self.process(name)?.alive {
            return Err(TestbedError::Running { name: name.to_owned() });
        }
        let folder = self.folder.join(name);
        std::fs::remove_dir_all(&folder).map_err(TestbedError::file(&folder))
    }

    /// Bytes from one to the other are held back, or go on; both ways unless `one_way`.
    ///
    /// # Errors
    /// The two do not speak.
    pub fn cut(&mut self, from: &str, to: &str, one_way: bool, cut: bool) -> Result<(), TestbedError> {
        let speak = |r: &&Relay| (r.from == from && r.to == to) || (r.from == to && r.to == from);
        if !self.relays.iter().any(|r| speak(&r)) {
            return Err(TestbedError::NotConnected { from: from.to_owned(), to: to.to_owned() });
        }
        for relay in self.relays.iter().filter(speak) {
            relay.set_cut(from, to, cut);
            if !one_way {
                relay.set_cut(to, from, cut);
            }
        }
        Ok(())
    }

    /// All connections between the two are reset.
    pub fn reset(&mut self, from: &str, to: &str) {
        let speak = |r: &&Relay| (r.from == from && r.to == to) || (r.from == to && r.to == from);
        self.relays.iter().filter(speak).for_each(Relay::reset);
    }

    /// What is between the two takes so much longer, each way.
    pub fn delay(&mut self, from: &str, to: &str, delay_ms: u64) {
        let speak = |r: &&Relay| (r.from == from && r.to == to) || (r.from == to && r.to == from);
        self.relays.iter().filter(speak).for_each(|r| r.set_delay_ms(delay_ms));
    }

    /// Where a coordinator listens, or a worker's console.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let process = self.processes.iter().find(|p| p.name == name && p.alive)?;
        if name.starts_with('c') {
            process.listen
        } else {
            process.console
        }
    }

    /// Where a worker lets clients in.
    pub fn door(&self, name: &str) -> Option<SocketAddr> {
        self.processes.iter().find(|p| p.name == name)?.listen
    }

    /// All coordinators that run.
    pub fn asked(&self) -> Vec<SocketAddr> {
        self.coordinators().iter().filter_map(|name| self.address(name)).collect()
    }

    pub fn acts(&self) -> Vec<task_log::ActLine> {
        task_log::read(&self.folder.join("acts.jsonl"))
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.iter().find(|p| p.name == name).map(|p| p.child.id())
    }

    /// The line for each process that `fleet` prints.
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
        let asked: Vec<String> = self.asked().iter().map(SocketAddr::to_string).collect();
        let whole = json!({
            "coordinators": of('c'), "workers": of('w'), "acts": "acts.jsonl",
            "fleet": format!("--fleet {} --coordinators {}", self.file.fleet, asked.join(",")),
            "control": self.control.map(|a| a.to_string()),
        });
        let (new, path) = (self.folder.join("fleet.json.new"), self.folder.join("fleet.json"));
        std::fs::write(&new, format!("{whole:#}\n"))
            .and_then(|()| std::fs::rename(&new, &path))
            .map_err(TestbedError::file(&path))
    }

    /// Carries out one fault, in the words of the command line.
    ///
    /// # Errors
    /// Why it can't be done.
    pub fn fault(&mut self, words: &[&str]) -> Result<(), TestbedError> {
        match words {
            ["cut", a, b] => self.cut(a, b, false, true),
            ["cut", a, b, "--one-way"] => self.cut(a, b, true, true),
            ["heal", a, b] => self.cut(a, b, false, false),
            ["pause", name] => self.pause(name),
            ["resume", name] => self.resume(name),
            ["kill", name] => self.kill(name),
            ["start", name] => self.start_again(name),
            ["fill", name] => self.fill(name, true),
            ["free", name] => self.fill(name, false),
            other => Err(TestbedError::UnknownFault { words: other.join(" ") }),
        }
    }
}

impl Process {
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.alive = false;
    }

    fn wait_address(&mut self, mark: &str) -> Result<SocketAddr, TestbedError> {
        let until = Instant::now() + START;
        while Instant::now() < until {
            let found = lock(&self.lines).iter().find_map(|l| Some(l.split_once(mark)?.1.to_owned()));
            if let Some(text) = found {
                let parsed = text.trim().parse();
                return parsed.map_err(|_| TestbedError::NoAddress { name: self.name.clone(), found: text });
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                thread::sleep(Duration::from_millis(50));
                let log = lock(&self.lines).clone();
                return Err(TestbedError::EndedAtStart { name: self.name.clone(), status, log });
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.end();
        Err(TestbedError::DidNotStart { name: self.name.clone() })
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

/// One call at a console; the whole reply.
///
/// # Errors
/// The system's.
pub fn get(at: SocketAddr, path: &str) -> Result<String, TestbedError> {
    call(at, "GET", path)
}

/// # Errors
/// The system's.
pub fn call(at: SocketAddr, method: &str, path: &str) -> Result<String, TestbedError> {
    let mut stream =
        TcpStream::connect_timeout(&at, Duration::from_secs(2)).map_err(TestbedError::peer(at))?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(TestbedError::peer(at))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .map_err(TestbedError::peer(at))?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).map_err(TestbedError::peer(at))?;
    Ok(reply)
}

/// `testbed fleet`: starts a fleet, prints a line a process, and carries out what `testbed fault` asks until
/// `over` says so.
///
/// # Errors
/// What did not come up.
pub fn serve(
    file: FleetFile,
    folder: &Path,
    programs: Programs,
    over: &AtomicBool,
) -> Result<(), TestbedError> {
    let door = TcpListener::bind("127.0.0.1:0")?;
    door.set_nonblocking(true)?;
    let mut rig = Rig::start(file, folder, programs)?;
    rig.control = door.local_addr().ok();
    rig.write_json()?;
    rig.lines().iter().for_each(|line| println!("{line}"));
    while !over.load(Ordering::Relaxed) {
        let Ok((stream, _)) = door.accept() else {
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_ok() {
            let result = rig.fault(&line.split_whitespace().collect::<Vec<_>>());
            let _ = writeln!(
                &stream,
                "{}",
                result.err().map_or_else(|| "done".to_owned(), |fault| fault.to_string())
            );
        }
    }
    Ok(())
}

/// `testbed fault`: asks the fleet of this folder for a fault.
///
/// # Errors
/// There is no fleet, or why it can't be done.
pub fn ask_fault(folder: &Path, words: &[String]) -> Result<(), TestbedError> {
    let path = folder.join("fleet.json");
    let text = std::fs::read_to_string(&path).map_err(TestbedError::file(&path))?;
    let fleet: Value =
        serde_json::from_str(&text).map_err(|source| TestbedError::Json { path: path.clone(), source })?;
    let control: SocketAddr =
        fleet["control"].as_str().and_then(|a| a.parse().ok()).ok_or(TestbedError::NoFaultControl)?;
    let mut stream = TcpStream::connect(control).map_err(TestbedError::peer(control))?;
    writeln!(stream, "{}", words.join(" "))?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    match reply.trim() {
        "done" => Ok(()),
        reply => Err(TestbedError::FaultRejected { reply: reply.to_owned() }),
    }
}
