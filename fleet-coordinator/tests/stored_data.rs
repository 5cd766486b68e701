//! Compatibility of stored data: data folders written by an earlier build must be recovered completely, and later writes
//! must produce the same bytes. States are compared as JSON, the format in which they are stored. `fixtures/README.md`
//! describes the folders.

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
const WRITE_OVERDUE_S: f64 = 1.0;
/// The folders in `fixtures/data`, one per coordinator.
const COORDINATORS: [&str; 3] = ["c1", "c2", "c3"];
const MEMBER_C1: MemberId = MemberId(1);
const MEMBER_C3: MemberId = MemberId(3);
/// c2 lost its disk and rejoined with a new member ID.
const MEMBER_C2: MemberId = MemberId(4);
/// The last indices of the snapshot and of the log.
const SNAPSHOT_INDEX: u64 = 25;
const LAST_INDEX: u64 = 47;

fn fixture(name: &str) -> PathBuf {
    Path::new(FIXTURES).join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap()
}

/// A copy of the data folders. If the test fails, the copy is kept for inspection.
struct DataCopy(PathBuf);

impl DataCopy {
    fn new(test: &str) -> DataCopy {
        let root = std::env::temp_dir().join(format!("coordinator-data-{}-{test}", std::process::id()));
        let _ = fs::remove_dir_all(&root);
        for coordinator in COORDINATORS {
            fs::create_dir_all(root.join(coordinator)).unwrap();
            for (name, bytes) in files(&fixture("data").join(coordinator)) {
                fs::write(root.join(coordinator).join(name), bytes).unwrap();
            }
        }
        DataCopy(root)
    }

    fn folder_of(&self, coordinator: &str) -> PathBuf {
        self.0.join(coordinator)
    }
}

impl Drop for DataCopy {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the written data folders are kept in {}", self.0.display());
        } else {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Reads the files of a folder, by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    entries
        .map(|entry| {
            let entry = entry.unwrap();
            (entry.file_name().into_string().unwrap(), fs::read(entry.path()).unwrap())
        })
        .collect()
}

/// Asserts that two folders have the same files with the same bytes.
fn assert_same_files(written: &Path, expected: &Path) {
    let (written, expected) = (files(written), files(expected));
    assert_eq!(written.keys().collect::<Vec<_>>(), expected.keys().collect::<Vec<_>>());
    for (name, bytes) in &expected {
        let found = &written[name];
        assert!(
            found == bytes,
            "{name}: found {:?}\nexpected {:?}",
            String::from_utf8_lossy(found),
            String::from_utf8_lossy(bytes)
        );
    }
}

/// Starts the coordinator `c3` with this data folder and executes its disk jobs.
fn start_c3(folder: &Path) -> Coordinator {
    let text =
        include_str!("../../deploy/coordinator.toml").replacen("name = \"c1\"  ", "name = \"c3\"  ", 1);
    let config = ConfigFile::decode(&text).unwrap().coordinator_config();
    let mut coordinator = Coordinator::new(0.0, config, 1);
    let mut store: Option<Store<Folder>> = None;
    loop {
        let outputs = coordinator.take_outputs();
        if outputs.is_empty() {
            return coordinator;
        }
        for output in outputs {
            if let Output::Disk(job_id, job) = output {
                let result = execute_job(&mut store, &job, || Folder::lock(folder));
                coordinator.on_disk_result(0.0, job_id, result);
            }
        }
    }
}

#[test]
fn coordinator_recovers_its_snapshot_and_keeps_the_log_after_it() {
    let data = DataCopy::new("recover");
    let coordinator = start_c3(&data.folder_of("c3"));

    let replica = &coordinator.replica;
    assert_eq!(replica.status, MemberStatus::Active);
    assert_eq!((replica.member(), replica.term()), (MEMBER_C3, 2));
    // Entries after the snapshot are applied only once a quorum has confirmed that they are committed.
    assert_eq!(replica.log_position(), LogPosition { last: LAST_INDEX, applied: SNAPSHOT_INDEX });
    assert_eq!((replica.is_leader(), replica.leader()), (false, None));
    assert_eq!(sorted(replica.voters()), [MEMBER_C1, MEMBER_C3]);
    let status = serde_json::to_string(&coordinator.status()).unwrap();
    assert_eq!(status, fixture_text("expected/status.json").trim_end());
    assert_state_matches_fixture(&replica.state_machine, "expected/snapshot-facts.json");
}

#[test]
fn quorum_recovers_the_complete_state_of_snapshot_and_log() {
    let data = DataCopy::new("quorum");
    let mut quorum = Quorum::start(&data);
    quorum.tick_until_leader();
    let leader = quorum.leader().unwrap();
    assert_eq!((leader.member(), leader.term()), (MEMBER_C3, 3));
    // One entry more than was stored: the first entry of a new leader's term.
    assert_eq!(leader.log_position(), LogPosition { last: LAST_INDEX + 1, applied: LAST_INDEX + 1 });
    assert_eq!(sorted(leader.voters()), [MEMBER_C3, MEMBER_C2]);
    assert_eq!(serde_json::to_value(&leader.state_machine).unwrap(), expected_state());
    assert_state_matches_fixture(&leader.state_machine, "expected/facts.json");
}

/// The final state of the fixtures' fleet.
fn expected_state() -> Value {
    let lease = |session: u64, token: u64, granted_ms: u64| json!({"session": session, "token": token, "granted_ms": granted_ms, "ttl_ms": 4000, "whole_ms": 4000});
    let session = |name: &str, zone: &str, process: u64, opened_ms: u64| json!({"name": name, "zone": zone, "process": process, "version": 2, "opened_ms": opened_ms});
    let period = |token: u64, attempt: u64, due_ms: u64, outcome: Value, idempotent: bool| json!({"number": 1, "token": token, "attempt": attempt, "due_ms": due_ms, "ending": outcome, "safe": idempotent});
    let task = |name: &str| json!({"name": name, "ttl_ms": 4000, "zones": ["east"], "pause_ms": 2000});
    let task_names = ["archive", "billing", "cleanup", "digest", "export", "forward", "inventory", "totals"];
    let tasks: BTreeMap<&str, Value> = task_names.into_iter().map(|name| (name, task(name))).collect();
    json!({
        // A command of a later version advances the time, but has no other effect.
        "version": 2, "at_ms": 9999, "epoch": 2, "last_token": 10, "last_session": 5,
        "tasks": tasks,
        // worker-d's session was closed.
        "sessions": {
            "1": session("worker-a", "east", 11, 2479), "2": session("worker-b", "west", 12, 2489),
            "3": session("worker-c", "east", 13, 2499), "5": session("worker-e", "east", 15, 9999),
        },
        // archive was transferred and digest granted again. cleanup's lease expired, totals' holders failed, and
        // inventory was never granted: these three tasks have no holder.
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
        // c2 rejoined as member 4; c1's member was removed, and its next one is member 5.
        "members": {"3": "c3", "4": "c2", "5": "c1"},
        "last_member": 5, "founders": 3,
    })
}

/// Asserts that the state encodes to the fixture and the fixture decodes to the state.
fn assert_state_matches_fixture(state: &LeaseStateMachine, name: &str) {
    let expected = fixture_text(name);
    assert_eq!(serde_json::to_string(state).unwrap(), expected.trim_end());
    assert_eq!(&serde_json::from_str::<LeaseStateMachine>(&expected).unwrap(), state);
}

#[test]
fn opening_a_data_folder_writes_the_same_files_each_time() {
    let data = DataCopy::new("open");
    for _ in 0..2 {
        drop(start_c3(&data.folder_of("c3")));
        assert_same_files(&data.folder_of("c3"), &fixture("expected/recovered/c3"));
    }
}

/// Replicas that exchange messages in memory, each with its own data folder.
struct Quorum {
    now: f64,
    replicas: Vec<(Replica, Option<Store<Folder>>, PathBuf)>,
}

impl Quorum {
    fn start(data: &DataCopy) -> Quorum {
        let folders = COORDINATORS.map(|name| data.folder_of(name));
        let start_replica =
            |(seed, folder)| (Replica::new(0.0, seed, WRITE_OVERDUE_S, LATEST_VERSION), None, folder);
        let mut quorum = Quorum { now: 0.0, replicas: (1..).zip(folders).map(start_replica).collect() };
        quorum.exchange_messages();
        quorum
    }

    fn exchange_messages(&mut self) {
        let now = self.now;
        loop {
            let mut messages = Vec::new();
            let mut idle = true;
            for (replica, store, folder) in &mut self.replicas {
                for output in replica.take_outputs() {
                    idle = false;
                    match output {
                        ReplicaOutput::Disk(job_id, job) => {
                            let result = execute_job(store, &job, || Folder::lock(folder));
                            replica.on_disk_result(now, job_id, result);
                        }
                        ReplicaOutput::Send(to, bytes) => messages.push((replica.member(), to, bytes)),
                    }
                }
            }
            for (from, to, bytes) in messages {
                if let Some((replica, ..)) =
                    self.replicas.iter_mut().find(|(replica, ..)| replica.member() == to)
                {
                    replica.step(now, from, &bytes).unwrap();
                }
            }
            if idle {
                return;
            }
        }
    }

    fn tick_until_leader(&mut self) {
        for _ in 0..100 {
            self.now += TICK_S;
            for (replica, ..) in &mut self.replicas {
                replica.tick(self.now);
            }
            self.exchange_messages();
            if self.leader().is_some() {
                return;
            }
        }
        panic!("no leader after 100 ticks");
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.replicas.iter_mut().map(|(replica, ..)| replica).find(|replica| replica.is_leader())
    }

    fn propose(&mut self, command: Command) {
        let now = self.now;
        assert!(self.leader().unwrap().propose(now, command));
        self.exchange_messages();
    }
}

#[test]
fn recovered_members_elect_a_leader_and_write_the_same_bytes() {
    let data = DataCopy::new("continue");
    let mut quorum = Quorum::start(&data);
    quorum.tick_until_leader();
    quorum.leader().unwrap().take_events();

    quorum.propose(open_session("worker-f", "west", 16));
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
    assert_eq!(state["leases"]["inventory"]["token"], 11, "tokens never decrease");
    for coordinator in COORDINATORS {
        assert_same_files(&data.folder_of(coordinator), &fixture("expected/continued").join(coordinator));
    }
}

#[test]
fn command_encoding_is_unchanged() {
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
fn commands_of_a_later_version_decode_as_unknown_and_additional_keys_are_ignored() {
    let read = |line: &str| serde_json::from_str::<LogEntry>(line).unwrap();
    let later_command =
        read(r#"{"at_ms":9999,"do":"seal","held":{"task":"archive","token":9},"until_ms":12000}"#);
    assert_eq!(later_command, LogEntry { at_ms: 9999, command: Command::Unknown });
    let additional_key = read(r#"{"at_ms":7,"do":"close","session":4,"later":true}"#);
    assert_eq!(
        additional_key,
        LogEntry { at_ms: 7, command: Command::CloseSession { session: SessionId(4) } }
    );
}

/// Returns one entry per line of `commands.jsonl`, in the same order. A command that contains an enum occurs once for each
/// of the enum's values.
fn one_of_each_command() -> Vec<LogEntry> {
    let lease = || LeaseRef { task: "archive".into(), token: 9 };
    let end_period = |outcome| Command::EndPeriod { lease: lease(), period: 3, outcome };
    let release = |reason| Command::ReleaseLease { lease: lease(), reason };
    let task = Task {
        name: "archive".into(),
        ttl_ms: 4000,
        zones: vec!["east".into(), "west".into()],
        backoff_ms: 2000,
    };
    let commands = vec![
        open_session("worker-a", "east", u64::MAX),
        Command::CloseSession { session: SessionId(4) },
        Command::GrantLease { task: "archive".into(), session: SessionId(4) },
        release(ReleaseReason::Expired),
        release(ReleaseReason::Returned),
        release(ReleaseReason::Failed),
        Command::TransferLease { lease: lease(), session: SessionId(5) },
        Command::BeginPeriod { lease: lease(), every_ms: 60_000, idempotent: true, attempt: 2 },
        end_period(CallOutcome::Done),
        end_period(CallOutcome::NotDone),
        end_period(CallOutcome::Unknown),
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

fn open_session(name: &str, zone: &str, incarnation: u64) -> Command {
    Command::OpenSession { name: name.into(), zone: zone.into(), incarnation, version: LATEST_VERSION }
}

fn sorted(mut members: Vec<MemberId>) -> Vec<MemberId> {
    members.sort_unstable();
    members
}
