//! The processes of a fleet: starting, signalling, replacing and limiting them.

use super::{get, Rig};
use crate::error::TestbedError;
use crate::loopback::serve_executor;
use crate::sync::lock;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which a process must start, or end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Backlog of a worker's listening socket.
const LISTEN_BACKLOG: i32 = 256;

/// A process that the rig started, and its log.
pub(super) struct Process {
    pub name: String,
    pub child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Whether the process runs, as far as the rig knows: `false` once the rig has killed or terminated it.
    pub alive: bool,
    pub listen: Option<SocketAddr>,
    pub console: Option<SocketAddr>,
}

impl Process {
    /// Kills the process with SIGKILL, which ends a suspended process too, and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.alive = false;
    }

    /// Waits for the log line with `marker`, and parses the address that follows it.
    fn wait_address(&mut self, marker: &str) -> Result<SocketAddr, TestbedError> {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            let found = lock(&self.lines).iter().find_map(|l| Some(l.split_once(marker)?.1.to_owned()));
            if let Some(text) = found {
                let parsed = text.split(' ').next().unwrap_or_default().parse();
                return parsed.map_err(|_| TestbedError::NoAddress { name: self.name.clone(), found: text });
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                // The thread that reads the log may not have reached the last lines yet.
                thread::sleep(Duration::from_millis(50));
                let log = lock(&self.lines).clone();
                return Err(TestbedError::EndedAtStart { name: self.name.clone(), status, log });
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        Err(TestbedError::DidNotStart { name: self.name.clone(), limit: PROCESS_TIMEOUT })
    }
}

/// Opens a listening socket that a worker's processes inherit and that outlives them.
pub(super) fn bind_listener() -> Result<socket2::Socket, TestbedError> {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any.into())?;
    listener.listen(LISTEN_BACKLOG)?;
    listener.set_nonblocking(true)?;
    listener.set_cloexec(false)?;
    Ok(listener)
}

impl Rig {
    pub(super) fn start_coordinator(&mut self, name: &str) -> Result<(), TestbedError> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, self.coordinator_file(name)?).map_err(TestbedError::file(&path))?;
        let mut command = Command::new(&self.programs.coordinator);
        command.arg("--config").arg(&path);
        let mut process = self.spawn(name, command)?;
        let listen = process.wait_address(" address=")?;
        process.listen = Some(listen);
        self.relays.iter().filter(|r| r.to == name).for_each(|r| r.set_target(Some(listen)));
        self.insert_process(process);
        Ok(())
    }

    pub(super) fn start_worker(&mut self, name: &str) -> Result<(), TestbedError> {
        let process = self.spawn_worker(name)?;
        self.insert_process(process);
        Ok(())
    }

    fn spawn_worker(&mut self, name: &str) -> Result<Process, TestbedError> {
        let number = self
            .workers()
            .iter()
            .position(|w| w == name)
            .ok_or_else(|| TestbedError::UnknownProcess { name: name.to_owned() })?;
        let executor = TcpListener::bind("127.0.0.1:0")?;
        let executor_address = executor.local_addr()?;
        // The executor's thread is not joined; it ends once the rig has set `stop`.
        drop(serve_executor(executor, &self.experiment, self.clock, &self.stop));
        let listen = self.listeners[number]
            .local_addr()
            .ok()
            .and_then(|a| a.as_socket())
            .ok_or(TestbedError::ListenerWithoutAddress)?;
        let config = self.worker_config(name, listen, executor_address);
        let operator = self.operator_file(name, number)?;
        let temp_folder = self.folder.join(format!("{name}-temp"));
        std::fs::create_dir_all(&temp_folder).map_err(TestbedError::file(&temp_folder))?;
        let config = self.write_file(format!("{name}.json"), &config.to_string())?;
        let operator = self.write_file(format!("{name}.toml"), &operator)?;
        let mut command = Command::new(&self.programs.worker);
        command.env("ROUTER_CONFIG", config).env("TMPDIR", temp_folder);
        command.env("ROUTER_SOCKET_FD", self.listeners[number].as_raw_fd().to_string());
        command.arg("--operator").arg(operator);
        let mut process = self.spawn(name, command)?;
        process.console = Some(process.wait_address("frontend=console address=")?);
        process.listen = Some(listen);
        Ok(process)
    }

    fn write_file(&self, name: String, text: &str) -> Result<PathBuf, TestbedError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(TestbedError::file(&path))?;
        Ok(path)
    }

    /// Starts a program; its log lines are kept, and appended to a file.
    fn spawn(&self, name: &str, mut command: Command) -> Result<Process, TestbedError> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(TestbedError::component(name))?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            let (kept_lines, path) = (lines.clone(), self.folder.join(format!("{name}.log")));
            let mut log = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = writeln!(log, "{line}");
                    lock(&kept_lines).push(line);
                }
            });
        }
        Ok(Process { name: name.to_owned(), child, lines, alive: true, listen: None, console: None })
    }

    /// Adds a process, in place of the one with the same name if there is one.
    fn insert_process(&mut self, process: Process) {
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

    /// Kills a process with SIGKILL. The relays to it then close new connections.
    ///
    /// # Errors
    /// There is no such process, or it is not running.
    pub fn kill(&mut self, name: &str) -> Result<(), TestbedError> {
        let process = self.process(name)?;
        if !process.alive {
            return Err(TestbedError::NotRunning { name: name.to_owned() });
        }
        process.kill();
        self.relays.iter().filter(|r| r.to == name).for_each(|r| r.set_target(None));
        self.write_json()
    }

    /// Starts a process that has ended, with the data that it left.
    ///
    /// # Errors
    /// There is no such process, it is still running, or it does not start.
    pub fn restart(&mut self, name: &str) -> Result<(), TestbedError> {
        if self.process(name)?.alive {
            return Err(TestbedError::Running { name: name.to_owned() });
        }
        if name.starts_with('c') {
            self.start_coordinator(name)?;
        } else {
            self.start_worker(name)?;
        }
        self.write_json()
    }

    /// Sends SIGTERM and waits until the process has ended.
    ///
    /// # Errors
    /// It is not running, or does not end in time.
    pub fn terminate(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::TERM)?;
        let process = self.process(name)?;
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if process.child.try_wait()?.is_some() {
                process.alive = false;
                return self.write_json();
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(TestbedError::DidNotEnd { name: name.to_owned(), limit: PROCESS_TIMEOUT })
    }

    /// Hot restarts a worker: starts a successor, and terminates the predecessor once the successor is ready.
    ///
    /// # Errors
    /// The successor does not get ready.
    pub fn replace(&mut self, name: &str) -> Result<(), TestbedError> {
        let new = self.spawn_worker(name)?;
        let console = new.console.ok_or(TestbedError::Missing("console"))?;
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while !get(console, "/-/ready").is_ok_and(|response| response.starts_with("HTTP/1.1 200")) {
            if Instant::now() > deadline {
                return Err(TestbedError::SuccessorNotReady {
                    name: name.to_owned(),
                    limit: PROCESS_TIMEOUT,
                });
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.terminate(name)?;
        self.insert_process(new);
        self.write_json()
    }

    /// Suspends a process with SIGSTOP.
    ///
    /// # Errors
    /// There is no such process, or it is not running.
    pub fn pause(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// There is no such process, or it is not running.
    pub fn resume(&mut self, name: &str) -> Result<(), TestbedError> {
        self.signal(name, Signal::CONT)
    }

    /// Simulates a full disk for this process if `full`: a file size limit of 0 makes its writes fail. Otherwise lifts the limit.
    ///
    /// # Errors
    /// There is no such process, or the limit can't be set.
    pub fn fill(&mut self, name: &str, full: bool) -> Result<(), TestbedError> {
        let pid = Pid::from_child(&self.process(name)?.child);
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        prlimit(Some(pid), Resource::Fsize, limit)
            .map(|_| ())
            .map_err(|e| TestbedError::component(name)(e.into()))
    }

    /// Deletes the folder of a coordinator that is not running.
    ///
    /// # Errors
    /// There is no such process, it is running, or the folder can't be deleted.
    pub fn wipe(&mut self, name: &str) -> Result<(), TestbedError> {
        if self.process(name)?.alive {
            return Err(TestbedError::Running { name: name.to_owned() });
        }
        let folder = self.folder.join(name);
        std::fs::remove_dir_all(&folder).map_err(TestbedError::file(&folder))
    }
}
