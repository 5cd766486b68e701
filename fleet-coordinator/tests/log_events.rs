//! The log events that a coordinator process writes, from start to shutdown.

use durable_log::{Folder, Store};
use fleet_coordinator::replica::{execute_job, Replica, ReplicaOutput};
use fleet_coordinator::state_machine::LATEST_VERSION;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// How long to wait for a log line.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest valid write deadline, so that slow disk writes on a busy machine don't suspend the coordinator during the test.
const LONG_WRITE_DEADLINE: &str = "write_overdue_ms = 60000";

/// A coordinator process without peers, and its log.
struct CoordinatorProcess {
    folder: PathBuf,
    child: Child,
    lines: Receiver<String>,
}

impl CoordinatorProcess {
    fn start(test: &str, prepare_data: impl FnOnce(&Path)) -> CoordinatorProcess {
        let folder = std::env::temp_dir().join(format!("coordinator-log-{}-{test}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        prepare_data(&data_folder(&folder));
        let config = folder.join("coordinator.toml");
        fs::write(&config, config_text(&folder, &format!("epoch = 1\n{LONG_WRITE_DEADLINE}"))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fleet-coordinator"));
        command.arg("--config").arg(config).env_remove("RUST_LOG").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = read_lines(child.stderr.take().unwrap());
        CoordinatorProcess { folder, child, lines }
    }

    /// The next line without its timestamp, with placeholders for the folder and the address, which differ between runs.
    fn next_line(&self) -> String {
        let line = self.lines.recv_timeout(LINE_TIMEOUT).expect("no further log line within the timeout");
        let (timestamp, rest) = line.split_once(' ').unwrap();
        assert!(timestamp.ends_with('Z') && timestamp.contains('T'), "{line}");
        let rest = rest.replace(self.folder.to_str().unwrap(), "FOLDER");
        match rest.split_once(" address=") {
            Some((event, address)) => {
                assert!(address.starts_with("127.0.0.1:"), "{line}");
                format!("{event} address=ADDRESS")
            }
            None => rest,
        }
    }

    fn assert_next_lines(&self, expected: &[&str]) {
        for line in expected {
            assert_eq!(self.next_line(), *line);
        }
    }

    /// Writes a configuration file with these keys, and signals the coordinator to reload it.
    fn reload(&self, keys: &str) {
        fs::write(self.folder.join("coordinator.toml"), config_text(&self.folder, keys)).unwrap();
        self.send_signal(Signal::HUP);
    }

    fn send_signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for CoordinatorProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn read_lines(stderr: ChildStderr) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                break;
            }
        }
    });
    lines
}

fn data_folder(folder: &Path) -> PathBuf {
    folder.join("data")
}

fn config_text(folder: &Path, keys: &str) -> String {
    let data = data_folder(folder).display().to_string();
    format!(
        "fleet = 'f'\nname = 'a'\nfolder = '{data}'\nlisten = '127.0.0.1:0'\n{keys}\n[[coordinator]]\nname = 'a'\naddress = '127.0.0.1:1'\n"
    )
}

/// Initializes the data folder of a fleet's only initial member.
fn bootstrap_fleet(data: &Path) {
    let mut store: Option<Store<Folder>> = None;
    let mut replica = Replica::new(0.0, 1, 1.0, LATEST_VERSION);
    let mut execute_disk_jobs = |replica: &mut Replica| {
        for output in replica.take_outputs() {
            if let ReplicaOutput::Disk(job_id, job) = output {
                let result = execute_job(&mut store, &job, || Folder::lock(data));
                replica.on_disk_result(0.0, job_id, result);
            }
        }
    };
    execute_disk_jobs(&mut replica);
    replica.bootstrap(0.0, &["a".to_owned()], "a");
    execute_disk_jobs(&mut replica);
}

#[test]
fn coordinator_logs_start_reloads_and_shutdown_in_order() {
    let mut coordinator = CoordinatorProcess::start("life", bootstrap_fleet);
    coordinator.assert_next_lines(&[
        "INFO listener_opened frontend=coordinator coordinator=a fleet=f address=ADDRESS",
        "INFO member_started member=1",
        "INFO leader_elected term=2",
    ]);
    coordinator.reload(&format!("epoch = 2\n{LONG_WRITE_DEADLINE}"));
    coordinator.assert_next_lines(&["INFO config_reloaded epoch=2 tasks=0"]);
    coordinator.reload("epoch = 3\nversion = 1");
    coordinator.assert_next_lines(&[
        "INFO config_reloaded epoch=3 tasks=0",
        "WARN config_reload_deferred keys=write_overdue_ms,version",
    ]);
    coordinator.reload("epoch = 0");
    coordinator.assert_next_lines(&[
        "ERROR config_reload_rejected cause=\"FOLDER/coordinator.toml: epoch is 0; expected 1 to 18446744073709551615\"",
    ]);
    coordinator.send_signal(Signal::TERM);
    coordinator.assert_next_lines(&["INFO shutdown_complete"]);
    assert!(coordinator.child.wait().unwrap().success());
}

#[test]
fn coordinator_with_an_empty_disk_logs_that_it_is_uninitialized() {
    let coordinator = CoordinatorProcess::start("empty", |_| ());
    coordinator.assert_next_lines(&[
        "INFO listener_opened frontend=coordinator coordinator=a fleet=f address=ADDRESS",
        "WARN member_uninitialized cause=empty_disk detail=\"the disk is empty\"",
    ]);
}
