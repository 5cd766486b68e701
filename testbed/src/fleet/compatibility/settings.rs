//! Checks that both builds start with each settings file of the repository, log the same listeners, and end on SIGTERM.

use super::{Build, CheckResult};
use crate::error::TestbedError;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// Operator files of workers, with the number of listeners that a worker opens with each.
const OPERATOR_FILES: [(&str, usize); 4] =
    [("ajp.toml", 3), ("http2.toml", 3), ("pools.toml", 2), ("fleet.toml", 2)];
/// Configuration file of a coordinator.
const COORDINATOR_FILE: &str = "coordinator.toml";
/// Log folder in [`COORDINATOR_FILE`], which the check replaces by a folder of its own.
const SHIPPED_FOLDER: &str = "/var/lib/honeypost/c1";
/// Platform configuration of a worker.
const CONFIGURATION: &str = include_str!("../../../../examples/config.json");
/// Time in which a program must log its next line, or end after SIGTERM.
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts both builds with each file and compares the listeners that they log.
pub(super) fn check(
    old: &Build,
    new: &Build,
    deploy: &Path,
    folder: &Path,
) -> Result<Vec<CheckResult>, TestbedError> {
    std::fs::create_dir_all(folder).map_err(TestbedError::file(folder))?;
    let configuration = folder.join("config.json");
    std::fs::write(&configuration, worker_configuration()?).map_err(TestbedError::file(&configuration))?;
    let mut results = Vec::new();
    for (file, listener_count) in OPERATOR_FILES {
        let path = deploy.join(file);
        let listeners = |build: &Build| {
            let mut command = Command::new(&build.programs.worker);
            command.env("ROUTER_CONFIG", &configuration).arg("--operator").arg(&path);
            run_program(command, listener_count)
        };
        results.push(compare(file, &listeners(old)?, &listeners(new)?));
    }
    let listeners = |build: &Build| {
        let file = coordinator_file(build, deploy, folder)?;
        let mut command = Command::new(&build.programs.coordinator);
        command.arg("--config").arg(file);
        run_program(command, 1)
    };
    results.push(compare(COORDINATOR_FILE, &listeners(old)?, &listeners(new)?));
    Ok(results)
}

/// Returns the example configuration with ports that the system chooses.
fn worker_configuration() -> Result<String, TestbedError> {
    let mut configuration: Value = serde_json::from_str(CONFIGURATION)?;
    configuration["listen"] = json!("127.0.0.1:0");
    configuration["console"] = json!("127.0.0.1:0");
    Ok(configuration.to_string())
}

/// Writes the coordinator's file with a log folder to which this check may write.
fn coordinator_file(build: &Build, deploy: &Path, folder: &Path) -> Result<std::path::PathBuf, TestbedError> {
    let shipped = deploy.join(COORDINATOR_FILE);
    let text = std::fs::read_to_string(&shipped).map_err(TestbedError::file(&shipped))?;
    let log_folder = folder.join(format!("coordinator-{}", build.name));
    let path = folder.join(format!("coordinator-{}.toml", build.name));
    let text = text.replace(SHIPPED_FOLDER, &log_folder.display().to_string());
    std::fs::write(&path, text).map_err(TestbedError::file(&path))?;
    Ok(path)
}

/// The listeners that a program logged, and its exit status after SIGTERM.
struct RunResult {
    listeners: Vec<String>,
    exit: String,
}

/// Starts a program, waits until it has logged this number of listeners, sends SIGTERM and waits for the exit.
fn run_program(mut command: Command, listener_count: usize) -> Result<RunResult, TestbedError> {
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(TestbedError::component("a program under test"))?;
    let lines = log_lines(&mut child);
    let mut listeners = Vec::new();
    while listeners.len() < listener_count {
        let Ok(line) = lines.recv_timeout(TIMEOUT) else { break };
        if line.contains(" listener_opened ") {
            listeners.push(without_time_and_port(&line));
        }
    }
    listeners.sort();
    kill_process(Pid::from_child(&child), Signal::TERM).map_err(|e| TestbedError::System(e.into()))?;
    Ok(RunResult { listeners, exit: wait_exit(&mut child)? })
}

fn log_lines(child: &mut Child) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(stderr) = child.stderr.take() {
        thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
    }
    lines
}

fn wait_exit(child: &mut Child) -> Result<String, TestbedError> {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if let Some(status) = child.try_wait()? {
            return Ok(status.to_string());
        }
        thread::sleep(POLL_INTERVAL);
    }
    child.kill()?;
    child.wait()?;
    Ok(format!("killed after {TIMEOUT:?}"))
}

/// Removes the time of a log line, and masks a port that the system chose.
pub(super) fn without_time_and_port(line: &str) -> String {
    let event = line.split_once(' ').map_or(line, |(_, event)| event);
    let is_system_port = event.contains("frontend=http ") || event.contains("frontend=console ");
    match event.split_once("127.0.0.1:") {
        Some((before, after)) if is_system_port => {
            let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}127.0.0.1:PORT{rest}")
        }
        _ => event.to_owned(),
    }
}

fn compare(file: &str, old: &RunResult, new: &RunResult) -> CheckResult {
    let is_same = old.listeners == new.listeners && old.exit == new.exit;
    let is_successful = !new.listeners.is_empty() && new.exit == "exit status: 0";
    let observed = if is_same {
        format!("{} listeners in both, ended with {}", new.listeners.len(), new.exit)
    } else {
        format!("old {:?} {}; new {:?} {}", old.listeners, old.exit, new.listeners, new.exit)
    };
    CheckResult { subject: format!("settings {file}"), passed: is_same && is_successful, observed }
}
