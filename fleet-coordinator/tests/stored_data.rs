//! Data folders that an earlier build wrote must be recovered in full, and what is written next must be the same bytes.
//! States are compared as JSON, which is how they are stored. `fixtures/README.md` says what the folders hold.

use durable_log::{Folder, Store};
use fleet_coordinator::config::ConfigFile;
use fleet_coordinator::coordinator::{Coordinator, Output};
use fleet_coordinator::ids::{MemberId, SessionId};
use fleet_coordinator::replica::{
    execute_job, LogPosition, MemberStatus, Replica, ReplicaEvent, ReplicaOutput,
};
use fleet_coordinator::state_machine::{
    Command, LeaseStateMachine, LogEntry, MemberProgress, ReleaseReason, Task, LATEST_VERSION,
};
use port_worker::fleet::frame::{CallOutcome, LeaseRef};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures");
const TICK_S: f64 = 0.05;
const OVERDUE_S: f64 = 1.0;
/// Folders in `fixtures/data`.
const MEMBERS: [&str; 3] = ["c1", "c2", "c3"];
const MEMBER_C1: MemberId = MemberId(1);
const MEMBER_C3: MemberId = MemberId(3);
/// c2 came back with another number.
const MEMBER_C2: MemberId = MemberId(4);
/// Where the snapshot ends, and the log.
const SNAPSHOT_INDEX: u64 = 25;
const LAST_INDEX: u64 = 47;

fn fixture(name: &str) -> PathBuf {
    Path::new(FIXTURES).join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap()
}

/// A copy of the data folders. It stays where a test fails, for comparison.
struct DataCopy(PathBuf);

impl DataCopy {
    fn new(test: &str) -> DataCopy {
        let root = std::env::temp_dir().join(format!("coordinator-data-{}-{test}", std::process::id()));
        let _ = fs::remove_dir_all(&root);
        for member in MEMBERS {
            fs::create_dir_all(root.join(member)).unwrap();
            for (name, bytes) in files(&fixture("data").join(member)) {
                fs::write(root.join(member).join(name), bytes).unwrap();
            }
        }
        DataCopy(root)
    }

    fn member(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for DataCopy {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("what was written is in {}", self.0.display());
        } else {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A folder's files by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    entries
        .map(|entry| {
            let entry = entry.unwrap();
            (entry.file_name().into_string().unwrap(), fs::read(entry.path()).unwrap())
        })
        .collect()
}

/// Compares all files of two folders byte by byte.
fn assert_same_files(written: &Path, expected: &Path) {
    let (written, expected) = (files(written), files(expected));
    assert_eq!(written.keys().collect::<Vec<_>>(), expected.keys().collect::<Vec<_>>());
    for (name, bytes) in &expected {
        let found = &written[name];
        assert!(
            found == bytes,
            "{name}: {:?}\nis not {:?}",
            String::from_utf8_lossy(found),
            String::from_utf8_lossy(bytes)
        );
    }
}

/// Starts the coordinator `c3` over a folder, and carries out the jobs for its disk.
fn start_c3(folder: &Path) -> Coordinator {
    let text =
        include_str!("../../deploy/coordinator.toml").replacen("name = \"c1\"  ", "name = \"c3\"  ", 1);
    let config = ConfigFile::decode(&text).unwrap().coordinator_config();
    let mut coordinator = Coordinator::new(0.0, config, 1);
    let mut store: Option<Store<Folder>> = None;
    loop {
        let out = coordinator.take_outputs();
        if out.is_empty() {
            return coordinator;
        }
        for one in out {
            if let Output::Disk(number, job) = one {
                let done = execute_job(&mut store, &job, || Folder::lock(folder));
                coordinator.on_disk_result(0.0, number, done);
            }
        }
    }
}

#[test]
fn a_coordinator_recovers_its_snapshot_and_keeps_the_log_after_it() {
    let data = DataCopy::new("recover");
    let coordinator = start_c3(&data.member("c3"));

    let replica = &coordinator.replica;
    assert_eq!(replica.status, MemberStatus::Active);
    assert_eq!((replica.member(), replica.term()), (MEMBER_C3, 2));
    // What is behind the snapshot is applied once a quorum has confirmed it.
    assert_eq!(replica.log_position(), LogPosition { last: LAST_INDEX, applied: SNAPSHOT_INDEX });
    assert_eq!((replica.is_leader(), replica.leader()), (false, None));
    assert_eq!(sorted(replica.voters()), [MEMBER_C1, MEMBER_C3]);
    let status = serde_json::to_string(&coordinator.status()).unwrap();
    assert_eq!(status, fixture_text("expected/status.json").trim_end());
    assert_state_is(&replica.state_machine, "expected/snapshot-facts.json");
}

#[test]
fn a_quorum_recovers_the_complete_state_of_snapshot_and_log() {
    let data = DataCopy::new("quorum");
    let mut quorum = Quorum::start(&data);
    quorum.tick_until_led();
    let leader = quorum.leader().unwrap();
    assert_eq!((leader.member(), leader.term()), (MEMBER_C3, 3));
    // One more than was stored: a new leader's own first entry.
    assert_eq!(leader.log_position(), LogPosition { last: LAST_INDEX + 1, applied: LAST_INDEX + 1 });
    assert_eq!(sorted(leader.voters()), [MEMBER_C3, MEMBER_C2]);
    assert_eq!(serde_json::to_value(&leader.state_machine).unwrap(), expected_state());
    assert_state_is(&leader.state_machine, "expected/facts.json");
}

/// The state that the fleet of the fixtures was brought to.
fn expected_state() -> Value {
    let lease = |session: u64, token: u64, granted_ms: u64| json!({"session": session, "token": token, "granted_ms": granted_ms, "ttl_ms": 4000, "whole_ms": 4000});
    let session = |name: &str, zone: &str, process: u64, opened_ms: u64| json!({"name": name, "zone": zone, "process": process, "version": 2, "opened_ms": opened_ms});
    let period = |token: u64, attempt: u64, due_ms: u64, outcome: Value, idempotent: bool| json!({"number": 1, "token": token, "attempt": attempt, "due_ms": due_ms, "ending": outcome, "safe": idempotent});
    let task = |name: &str| json!({"name": name, "ttl_ms": 4000, "zones": ["east"], "pause_ms": 2000});
    let task_names = ["archive", "billing", "cleanup", "digest", "export", "forward", "inventory", "totals"];
    let tasks: BTreeMap<&str, Value> = task_names.into_iter().map(|name| (name, task(name))).collect();
    json!({
        // The time of a later version's command counts, though the command changes nothing else.
        "version": 2, "at_ms": 9999, "epoch": 2, "last_token": 10, "last_session": 5,
        "tasks": tasks,
        // worker-d's session was closed.
        "sessions": {
            "1": session("worker-a", "east", 11, 2479), "2": session("worker-b", "west", 12, 2489),
            "3": session("worker-c", "east", 13, 2499), "5": session("worker-e", "east", 15, 9999),
        },
        // archive was transferred, digest granted anew; cleanup lapsed, totals' holders failed, nobody has had
        // inventory: those three wait for a holder.
        "leases": {
            "archive": lease(3, 9, 5729), "billing": lease(2, 2, 2519), "digest": lease(1, 10, 5759),
            "export": lease(1, 5, 2549), "forward": lease(1, 7, 2569),
        },
        "periods": {
            "archive": period(1, 1, 2579, json!("done"), false),
            "billing": period(2, 2, 2599, json!(null), false),
            "cleanup": period(3, 5, 2619, json!("unknown"), false),
            "digest": period(4, 2, 5669, json!("unknown"), true),
            "export": period(5, 3, 5689, json!(null), true),
            "forward": period(7, 1, 2629, json!("not-done"), true),
        },
        "failed": {"totals": {
            "worker-b": {"times": 1, "until_ms": 4649}, "worker-c": {"times": 1, "until_ms": 7719},
        }},
        "doubts": [{"task": "cleanup", "period": 1, "token": 3, "at_ms": 5659}],
        "doubts_in_all": 1,
        "progress": {"3": 25, "4": 25},
        // c2 came back as member 4; c1 was removed, and its next member is 5.
        "members": {"3": "c3", "4": "c2", "5": "c1"},
        "last_member": 5, "founders": 3,
    })
}

/// Compares a state with its stored form, both ways.
fn assert_state_is(state: &LeaseStateMachine, name: &str) {
    let expected = fixture_text(name);
    assert_eq!(serde_json::to_string(state).unwrap(), expected.trim_end());
    assert_eq!(&serde_json::from_str::<LeaseStateMachine>(&expected).unwrap(), state);
}

#[test]
fn opening_a_folder_writes_the_same_files_each_time() {
    let data = DataCopy::new("open");
    for _ in 0..2 {
        drop(start_c3(&data.member("c3")));
        assert_same_files(&data.member("c3"), &fixture("expected/recovered/c3"));
    }
}

/// Members that speak to each other without sockets, each with its own folder.
struct Quorum {
    now: f64,
    members: Vec<(Replica, Option<Store<Folder>>, PathBuf)>,
}

impl Quorum {
    fn start(data: &DataCopy) -> Quorum {
        let folders = MEMBERS.map(|name| data.member(name));
        let start = |(seed, folder)| (Replica::new(0.0, seed, OVERDUE_S, LATEST_VERSION), None, folder);
        let mut quorum = Quorum { now: 0.0, members: (1..).zip(folders).map(start).collect() };
        quorum.exchange();
        quorum
    }

    fn exchange(&mut self) {
        let now = self.now;
        loop {
            let mut messages = Vec::new();
            let mut idle = true;
            for (replica, store, folder) in &mut self.members {
                for effect in replica.take_outputs() {
                    idle = false;
                    match effect {
                        ReplicaOutput::Disk(number, job) => {
                            let done = execute_job(store, &job, || Folder::lock(folder));
                            replica.on_disk_result(now, number, done);
                        }
                        ReplicaOutput::Send(to, bytes) => messages.push((replica.member(), to, bytes)),
                    }
                }
            }
            for (from, to, bytes) in messages {
                if let Some((replica, ..)) = self.members.iter_mut().find(|(r, ..)| r.member() == to) {
                    replica.step(now, from, &bytes).unwrap();
                }
            }
            if idle {
                return;
            }
        }
    }

    fn tick_until_led(&mut self) {
        for _ in 0..100 {
            self.now += TICK_S;
            for (replica, ..) in &mut self.members {
                replica.tick(self.now);
            }
            self.exchange();
            if self.leader().is_some() {
                return;
            }
        }
        panic!("nobody leads after 100 ticks");
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.members.iter_mut().map(|(replica, ..)| replica).find(|replica| replica.is_leader())
    }

    fn propose(&mut self, command: Command) {
        let now = self.now;
        assert!(self.leader().unwrap().propose(now, command));
        self.exchange();
    }
}

#[test]
fn recovered_members_elect_a_leader_and_write_the_same_bytes_next() {
    let data = DataCopy::new("continue");
    let mut quorum = Quorum::start(&data);
    quorum.tick_until_led();
    quorum.leader().unwrap().take_events();

    quorum.propose(open("worker-f", "west", 16));
    quorum.propose(Command::GrantLease { task: "inventory".into(), session: SessionId(6) });

    let leader = quorum.leader().unwrap();
    assert_eq!((leader.term(), leader.log_position()), (3, LogPosition { last: 50, applied: 50 }));
    let outcomes: Vec<String> = leader
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            ReplicaEvent::Applied(_, outcome) => Some(format!("{outcome:?}")),
            _ => None,
        })
        .collect();
    assert_eq!(outcomes.len(), 2, "{outcomes:?}");
    assert!(outcomes.iter().all(|outcome| outcome.starts_with("Ok(")), "{outcomes:?}");
    let state = serde_json::to_value(&leader.state_machine).unwrap();
    assert_eq!(state["sessions"]["6"]["name"], "worker-f");
    assert_eq!(state["leases"]["inventory"]["token"], 11, "tokens only grow");
    for member in MEMBERS {
        assert_same_files(&data.member(member), &fixture("expected/continued").join(member));
    }
}

#[test]
fn every_command_is_encoded_in_the_same_line() {
    let text = fixture_text("commands.jsonl");
    let lines: Vec<&str> = text.lines().collect();
    let entries = one_of_each_command();
    assert_eq!(lines.len(), entries.len());
    for (line, entry) in lines.into_iter().zip(entries) {
        assert_eq!(serde_json::to_string(&entry).unwrap(), line);
        assert_eq!(serde_json::from_str::<LogEntry>(line).unwrap(), entry, "{line}");
    }
}

#[test]
fn commands_of_a_later_version_are_read_as_unknown_and_their_new_keys_passed_over() {
    let read = |line: &str| serde_json::from_str::<LogEntry>(line).unwrap();
    let later = read(r#"{"at_ms":9999,"do":"seal","held":{"task":"archive","token":9},"until_ms":12000}"#);
    assert_eq!(later, LogEntry { at_ms: 9999, command: Command::Unknown });
    let more_keys = read(r#"{"at_ms":7,"do":"close","session":4,"later":true}"#);
    assert_eq!(more_keys, LogEntry { at_ms: 7, command: Command::CloseSession { session: SessionId(4) } });
}

/// In the order of `commands.jsonl`; variants with an enum inside stand once for each of its values.
fn one_of_each_command() -> Vec<LogEntry> {
    let lease = || LeaseRef { task: "archive".into(), token: 9 };
    let end = |outcome| Command::EndPeriod { lease: lease(), period: 3, outcome };
    let free = |reason| Command::ReleaseLease { lease: lease(), reason };
    let task = Task {
        name: "archive".into(),
        ttl_ms: 4000,
        zones: vec!["east".into(), "west".into()],
        backoff_ms: 2000,
    };
    let commands = vec![
        open("worker-a", "east", u64::MAX),
        Command::CloseSession { session: SessionId(4) },
        Command::GrantLease { task: "archive".into(), session: SessionId(4) },
        free(ReleaseReason::Expired),
        free(ReleaseReason::Returned),
        free(ReleaseReason::Failed),
        Command::TransferLease { lease: lease(), session: SessionId(5) },
        Command::BeginPeriod { lease: lease(), every_ms: 60_000, idempotent: true, attempt: 2 },
        end(CallOutcome::Done),
        end(CallOutcome::NotDone),
        end(CallOutcome::Unknown),
        Command::SetTasks { epoch: 2, tasks: vec![task] },
        Command::RecordProgress {
            persisted: vec![
                MemberProgress { member: MemberId(1), index: 20 },
                MemberProgress { member: MemberId(2), index: 19 },
            ],
        },
        Command::RaiseVersion { version: 2 },
        Command::Unknown,
    ];
    (1..).zip(commands).map(|(at_ms, command)| LogEntry { at_ms, command }).collect()
}

fn open(name: &str, zone: &str, incarnation: u64) -> Command {
    Command::OpenSession { name: name.into(), zone: zone.into(), incarnation, version: LATEST_VERSION }
}

fn sorted(mut numbers: Vec<MemberId>) -> Vec<MemberId> {
    numbers.sort_unstable();
    numbers
}
