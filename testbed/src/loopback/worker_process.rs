//! The process of the worker under test.

use crate::error::TestbedError;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// How long the worker may take from one log line to the next until it announces an address, and to exit after SIGTERM.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(10);

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(1);

/// A worker's process, which is killed on drop.
pub(super) struct WorkerProcess {
    child: Child,
    lines: Receiver<String>,
    folder: PathBuf,
}

impl WorkerProcess {
    /// Starts the program with this configuration and, if it is not empty, this operator file.
    pub(super) fn start(
        program: &Path,
        config: &Value,
        operator: &str,
    ) -> Result<WorkerProcess, TestbedError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let write = |name: &str, text: &str| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(TestbedError::file(&path))
        };
        write("config.json", &config.to_string())?;
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        if !operator.is_empty() {
            write("operator.toml", operator)?;
            command.arg("--operator").arg(folder.join("operator.toml"));
        }
        let mut child = command.spawn().map_err(TestbedError::file(program))?;
        let (sender, lines) = channel();
        if let Some(stderr) = child.stderr.take() {
            let reader = BufReader::new(stderr);
            thread::spawn(move || reader.lines().map_while(Result::ok).try_for_each(|l| sender.send(l)));
        }
        Ok(WorkerProcess { child, lines, folder })
    }

    /// Waits for the log line that contains `prefix`, and parses the address that follows it.
    pub(super) fn address(&mut self, prefix: &str) -> Result<SocketAddr, TestbedError> {
        loop {
            let line = self
                .lines
                .recv_timeout(PROCESS_TIMEOUT)
                .map_err(|_| TestbedError::WorkerDidNotStart { limit: PROCESS_TIMEOUT })?;
            if let Some((_, rest)) = line.split_once(prefix) {
                let address = rest.split(' ').next().unwrap_or_default();
                return address.parse().map_err(|_| TestbedError::WorkerNoAddress { line: line.clone() });
            }
            if line.starts_with("port-worker: ") {
                return Err(TestbedError::WorkerFailed { line });
            }
        }
    }

    fn proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }

    /// The process's resident memory (kilobytes).
    pub(super) fn resident_kb(&self) -> f64 {
        self.resident_kb_reader()()
    }

    /// Returns a function that reads the resident memory from any thread (kilobytes).
    pub(super) fn resident_kb_reader(&self) -> impl Fn() -> f64 + Send + 'static {
        let path = format!("/proc/{}/status", self.child.id());
        move || {
            let status = std::fs::read_to_string(&path).unwrap_or_default();
            let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
            line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
        }
    }

    /// The processor time that the process has used (milliseconds).
    pub(super) fn cpu_ms(&self) -> f64 {
        let stat = self.proc_file("schedstat");
        stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
    }

    /// Sends SIGTERM and waits for the process to exit; returns the log lines that were not read before.
    pub(super) fn terminate(&mut self) -> Result<Vec<String>, TestbedError> {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait()? {
                if !status.success() {
                    return Err(TestbedError::WorkerExit { status });
                }
                let mut lines: Vec<String> = Vec::new();
                while let Ok(line) = self.lines.recv_timeout(Duration::from_millis(200)) {
                    lines.push(line);
                }
                return Ok(lines);
            }
            if Instant::now() > deadline {
                return Err(TestbedError::WorkerDidNotEnd { limit: PROCESS_TIMEOUT });
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
