//! A fleet of real processes under test: starting it, waiting for conditions, and checking the task calls at the end.

use fleet_coordinator::client::{query_coordinator, query_leader, QueryOutcome};
use port_worker::fleet::frame::{OperatorQuery, ServerMessage};
use port_worker::hot_restart::frame::{Frame, VERSION};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Once;
use std::time::{Duration, Instant};
use testbed::fleet::rig::{call, get, FleetFile, Programs, Rig};
use testbed::fleet::task_log::{find_violations, Fencing, TaskCall};

const FLEET: &str =
    "fleet = \"story\"\ncoordinators = 3\nworkers = 6\nzones = [\"east\", \"west\"]\nwork_ms = 30\n\
    [[task]]\nname = \"report\"\nperiod_s = 0.4\nttl_ms = 3000\ndeadline_ms = 300\nsafe = false\n\
    [[task]]\nname = \"refresh\"\nperiod_s = 0.3\nttl_ms = 3000\ndeadline_ms = 300\nsafe = true\n";

/// Names of both tasks.
pub const TASKS: [&str; 2] = ["report", "refresh"];
/// Time limit for a single condition; far more than a slow machine needs.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Whether a metric has exactly this value.
pub fn is_exactly(value: f64, expected: f64) -> bool {
    value.total_cmp(&expected).is_eq()
}

/// A running fleet and the folder of its files.
pub struct FleetUnderTest {
    pub rig: Rig,
    folder: PathBuf,
}

/// Finds the programs of this build, and builds them if necessary: `cargo test -p testbed` alone does not build them.
fn programs() -> Programs {
    static BUILT: Once = Once::new();
    let target = std::env::current_exe().unwrap().parent().unwrap().parent().unwrap().to_owned();
    BUILT.call_once(|| {
        if Programs::in_folder(&target).is_err() {
            let mut cargo = std::process::Command::new(env!("CARGO"));
            cargo.args(["build", "--locked", "-p", "port-worker", "-p", "fleet-coordinator", "--bins"]);
            if target.ends_with("release") {
                cargo.arg("--release");
            }
            assert!(cargo.status().unwrap().success());
        }
    });
    Programs::in_folder(&target).unwrap()
}

/// Reads frames of the hot restart link up to this one. Descriptors that come with them are closed.
fn read_frames_until(stream: &mut UnixStream, expected: &Frame) {
    let mut buffer = Vec::new();
    loop {
        while let Some((frame, length)) = Frame::decode(&buffer).unwrap() {
            buffer.drain(..length);
            if frame == *expected {
                return;
            }
        }
        let mut chunk = [0; 4096];
        let n = stream.read(&mut chunk).unwrap();
        assert!(n > 0, "the link was closed before {expected:?} was received");
        buffer.extend_from_slice(&chunk[..n]);
    }
}

impl FleetUnderTest {
    /// Starts three coordinators and six workers, and waits until both tasks have been carried out.
    pub fn start() -> FleetUnderTest {
        FleetUnderTest::start_with_fencing(Fencing::Enforced)
    }

    /// Starts the fleet with a resource that accepts every token, to verify that the check finds the violations.
    pub fn start_without_fencing() -> FleetUnderTest {
        FleetUnderTest::start_with_fencing(Fencing::Disabled)
    }

    fn start_with_fencing(fencing: Fencing) -> FleetUnderTest {
        let fleet = FleetUnderTest::start_processes(FLEET, fencing);
        fleet.wait_all_tasks(2);
        fleet
    }

    /// Starts the fleet with five coordinators.
    pub fn start_with_five_coordinators() -> FleetUnderTest {
        let fleet = FleetUnderTest::start_processes(
            &FLEET.replace("coordinators = 3", "coordinators = 5"),
            Fencing::Enforced,
        );
        fleet.wait_all_tasks(2);
        fleet
    }

    /// Starts the fleet with calls that take 0.8 s and may take 3 s.
    pub fn start_with_long_calls() -> FleetUnderTest {
        let file = FLEET.replace("work_ms = 30", "work_ms = 800");
        let file = file.replace("ttl_ms = 3000\ndeadline_ms = 300", "ttl_ms = 6000\ndeadline_ms = 3000");
        let fleet = FleetUnderTest::start_processes(&file, Fencing::Enforced);
        fleet.wait_all_tasks(2);
        fleet
    }

    /// Starts a fleet with a task that no worker carries out, since its only worker is killed.
    pub fn start_with_a_free_lease() -> FleetUnderTest {
        let file = "fleet = \"story\"\ncoordinators = 3\nworkers = 1\n\
            [[task]]\nname = \"wanted\"\nperiod_s = 1000.0\nttl_ms = 2000\nsafe = true\n";
        let mut fleet = FleetUnderTest::start_processes(file, Fencing::Enforced);
        fleet.rig.kill("w1").unwrap();
        fleet.leader();
        fleet
    }

    /// Starts a fleet with two workers and one task, and waits until it has been carried out.
    pub fn start_with_two_workers() -> FleetUnderTest {
        let file = "fleet = \"story\"\ncoordinators = 3\nworkers = 2\n\
            [[task]]\nname = \"report\"\nperiod_s = 0.4\nttl_ms = 3000\ndeadline_ms = 300\nsafe = true\n";
        let fleet = FleetUnderTest::start_processes(file, Fencing::Enforced);
        fleet.wait_task_calls("report", 1);
        fleet
    }

    /// Starts four workers in two zones with fleet-wide overload control, with four downstream calls in flight per worker.
    pub fn start_with_overload_control() -> FleetUnderTest {
        let file = "fleet = \"story\"\ncoordinators = 3\nworkers = 4\nzones = [\"east\", \"west\"]\ncalls_part = 4.0\n";
        let fleet = FleetUnderTest::start_processes(file, Fencing::Enforced);
        for name in fleet.rig.workers() {
            fleet.wait(&format!("{name} counts all four workers"), |_| {
                fleet.metric(&name, "fleet.overload.of_workers").filter(|of| is_exactly(*of, 4.0))
            });
        }
        fleet
    }

    /// Starts the fleet with one coordinator that supports protocol version 1 only.
    pub fn start_with_mixed_versions() -> FleetUnderTest {
        FleetUnderTest::start_processes(&format!("older = [\"c3\"]\n{FLEET}"), Fencing::Enforced)
    }

    fn start_processes(file: &str, fencing: Fencing) -> FleetUnderTest {
        static NUMBER: AtomicU64 = AtomicU64::new(1);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("testbed-fleet-{}-{number}", std::process::id()));
        let file = FleetFile::decode(file).unwrap();
        let rig = Rig::start_with(file, &folder, programs(), fencing).unwrap();
        FleetUnderTest { rig, folder }
    }

    /// Returns what a process has logged so far.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Waits until `observe` returns a value; `expected` names the value in the message of a failed test.
    pub fn wait<T>(&self, expected: &str, mut observe: impl FnMut(&Rig) -> Option<T>) -> T {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(seen) = observe(&self.rig) {
                return seen;
            }
            assert!(Instant::now() < until, "{expected}: not within {TIMEOUT:?}\n{}", self.log_tails());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the last lines of all logs, for the message of a failed test.
    fn log_tails(&self) -> String {
        let names = self.rig.coordinators().into_iter().chain(self.rig.workers());
        names.fold(String::new(), |all, name| {
            let log = self.log(&name);
            let lines: Vec<&str> = log.lines().collect();
            let last = lines[lines.len().saturating_sub(8)..].join("\n  ");
            format!("{all}{name}:\n  {last}\n")
        })
    }

    pub fn accepted_calls(&self, task: &str) -> Vec<TaskCall> {
        self.rig.task_calls().into_iter().filter(|call| call.accepted && call.task == task).collect()
    }

    /// Waits until a task has `more` more accepted calls than now.
    pub fn wait_task_calls(&self, task: &str, more: usize) {
        let before = self.accepted_calls(task).len();
        self.wait(&format!("{more} more calls of {task}"), |_| {
            (self.accepted_calls(task).len() >= before + more).then_some(())
        });
    }

    pub fn wait_all_tasks(&self, more: usize) {
        for task in TASKS {
            self.wait_task_calls(task, more);
        }
    }

    fn query(&self, query: &OperatorQuery) -> Option<Value> {
        match query_leader(&self.rig.coordinator_addresses(), "story", query, Duration::from_secs(1)) {
            QueryOutcome::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// Waits until a worker holds the task's lease, and returns its name.
    pub fn lease_holder(&self, task: &str) -> String {
        self.wait(&format!("a holder of {task}"), |_| {
            let leases = self.query(&OperatorQuery::Leases)?;
            let lease = leases.as_array()?.iter().find(|l| l["task"] == task)?;
            lease["holder"].as_str().map(str::to_owned)
        })
    }

    /// Returns a coordinator's own status.
    pub fn status(&self, name: &str) -> Option<Value> {
        match query_coordinator(
            self.rig.address(name)?,
            "story",
            &OperatorQuery::Status,
            Duration::from_secs(1),
        ) {
            Ok(ServerMessage::QueryResult { answer }) => Some(answer),
            _ => None,
        }
    }

    pub fn leader(&self) -> String {
        self.wait("a leader", |rig| {
            let names = rig.coordinators();
            names.into_iter().find(|name| self.status(name).is_some_and(|s| s["leads"] == true))
        })
    }

    /// Returns a coordinator that is not the leader.
    pub fn follower(&self) -> String {
        let leader = self.leader();
        self.rig.coordinators().into_iter().find(|c| *c != leader).unwrap()
    }

    /// Waits until a coordinator has this membership status, and returns the reason that it gives.
    pub fn wait_member_status(&self, name: &str, status_name: &str) -> String {
        self.wait(&format!("{name} {status_name}"), |_| {
            let status = self.status(name).filter(|s| s["standing"] == status_name)?;
            Some(status["why"].as_str().unwrap_or("").to_owned())
        })
    }

    /// Waits until the leader's log records that this coordinator has persisted entries beyond `end`.
    pub fn wait_persisted(&self, name: &str, end: u64) {
        self.wait(&format!("{name} recorded as persisted beyond {end}"), |_| {
            let status = self.status(&self.leader())?;
            let number = status["members"].as_object()?.iter().find(|(_, n)| *n == name)?.0.clone();
            status["kept"][&number].as_u64().filter(|kept| *kept > end)
        });
    }

    /// Holds back this worker's task calls in transit, or delivers them.
    pub fn hold_task_calls(&mut self, name: &str, held: bool) {
        self.rig.set_partition(name, "acts", true, held).unwrap();
    }

    /// Waits until another worker than `old` has carried out the task.
    pub fn wait_other_holder(&self, task: &str, old: &str) -> String {
        self.wait(&format!("another holder of {task} than {old}"), |_| {
            let last = self.accepted_calls(task).pop()?;
            (last.holder != old).then_some(last.holder)
        })
    }

    /// Takes over from a worker as its successor, up to the confirmation or with it, and ends right after that.
    pub fn fail_takeover(&self, name: &str, is_confirmed: bool) {
        let socket = self.folder.join(format!("{name}-temp/honeypost-handover.sock"));
        let mut successor = UnixStream::connect(socket).unwrap();
        successor.set_read_timeout(Some(TIMEOUT)).unwrap();
        successor.write_all(&self.hello_of(name).encode()).unwrap();
        read_frames_until(&mut successor, &Frame::Welcome);
        successor.write_all(&Frame::RequestListeners.encode()).unwrap();
        read_frames_until(&mut successor, &Frame::StateComplete);
        if is_confirmed {
            successor.write_all(&Frame::TakeoverConfirmed.encode()).unwrap();
            self.wait("the end of the hand-off", |_| {
                self.log(name).contains("listeners_handed_off").then_some(())
            });
        }
    }

    /// The first frame of a successor that is compatible with this worker.
    fn hello_of(&self, name: &str) -> Frame {
        let text = std::fs::read_to_string(self.folder.join(format!("{name}.json"))).unwrap();
        let config: Value = serde_json::from_str(&text).unwrap();
        let names = |key: &str| {
            let list = config["settings"][key].as_array().cloned().unwrap_or_default();
            list.iter().map(|entry| entry["name"].as_str().unwrap().to_owned()).collect()
        };
        Frame::Hello {
            version: VERSION,
            name: config["name"].as_str().unwrap().to_owned(),
            classes: names("profiles"),
            tenants: names("tenants"),
        }
    }

    /// Asserts that every worker passes its health check, whatever state its coordinators are in.
    pub fn assert_all_serve(&self) {
        for name in self.rig.workers() {
            let response =
                self.wait(&format!("{name}'s health"), |rig| get(rig.listen_address(&name)?, "/check").ok());
            assert!(response.starts_with("HTTP/1.1 200"), "{name}: {response}");
        }
    }

    pub fn drain(&self, name: &str, on: bool) {
        let path = if on { "/-/drain" } else { "/-/resume" };
        let response = call(self.rig.address(name).unwrap(), "POST", path).unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    /// Returns a metric from a worker's console.
    pub fn metric(&self, name: &str, metric: &str) -> Option<f64> {
        let text = get(self.rig.address(name)?, "/-/metrics").ok()?;
        text.lines().find_map(|l| l.strip_prefix(metric)?.strip_prefix('=')?.parse().ok())
    }

    /// Asserts that accepted task calls never overlap, tokens never decrease, and each period is carried out once.
    pub fn assert_no_violations(&self) {
        let calls = self.rig.task_calls();
        let violations = find_violations(&calls);
        assert!(violations.is_empty(), "{violations:#?}\n{}", self.log_tails());
        assert!(
            calls.iter().filter(|call| call.accepted).count() > 8,
            "fewer than 9 accepted calls, too few for the check to mean something"
        );
    }
}

impl Drop for FleetUnderTest {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
