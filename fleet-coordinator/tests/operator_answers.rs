//! The JSON keys of responses to operators' queries. Operators' scripts depend on them.

use durable_log::simulated::SimulatedDisk;
use durable_log::Store;
use fleet_coordinator::coordinator::{Coordinator, CoordinatorAddress, CoordinatorConfig, Output};
use fleet_coordinator::ids::LinkId;
use fleet_coordinator::leader_state::SafetyChecks;
use fleet_coordinator::replica::{execute_job, MemberStatus};
use fleet_coordinator::state_machine::{Task, LATEST_VERSION};
use port_worker::fleet::frame::{
    decode, encode, ClientMessage, LeaseRef, OperatorQuery, ServerMessage, MAX_SERVER_FRAME_BYTES,
};
use port_worker::fleet::overload::leader::OverloadLeaderSettings;
use serde_json::{json, Value};

const WORKER: LinkId = LinkId(1);
const OPERATOR: LinkId = LinkId(2);
const TICK_S: f64 = 0.05;
const HEADER_BYTES: usize = 4;

/// A single coordinator, which is the leader, and one worker, which holds the task `totals`.
struct Fleet {
    now: f64,
    coordinator: Coordinator,
    disk: SimulatedDisk,
    store: Option<Store<SimulatedDisk>>,
}

impl Fleet {
    fn start() -> Fleet {
        let task = Task { name: "totals".into(), ttl_ms: 3000, zones: vec!["east".into()], backoff_ms: 2000 };
        let config = CoordinatorConfig {
            fleet: "f".into(),
            name: "c1".into(),
            coordinators: vec![CoordinatorAddress { name: "c1".into(), address: "127.0.0.1:1".into() }],
            epoch: 1,
            tasks: vec![task],
            write_overdue_s: 1.0,
            version: LATEST_VERSION,
            safety_checks: SafetyChecks::default(),
            overload: Some(OverloadLeaderSettings { base_calls: 4.0, retry_share: 0.1 }),
        };
        let mut fleet = Fleet {
            now: 0.0,
            coordinator: Coordinator::new(0.0, config, 1),
            disk: SimulatedDisk::new(),
            store: None,
        };
        for _ in 0..200 {
            fleet.step();
            if matches!(fleet.coordinator.replica.status, MemberStatus::Uninitialized(_)) {
                fleet.coordinator.replica.bootstrap(fleet.now, &["c1".to_owned()], "c1");
            }
        }
        assert!(fleet.coordinator.replica.is_leader());
        fleet.coordinator.on_link_opened(WORKER);
        fleet.send(
            WORKER,
            &ClientMessage::Hello {
                fleet: "f".into(),
                version: LATEST_VERSION,
                name: "w".into(),
                zone: "east".into(),
                process: 7,
            },
        );
        fleet.heartbeat(1, &[]);
        fleet.step();
        fleet.heartbeat(2, &[LeaseRef { task: "totals".into(), token: 1 }]);
        fleet
    }

    /// Advances the time by one tick. Returns the messages that the coordinator sent.
    fn step(&mut self) -> Vec<ServerMessage> {
        self.now += TICK_S;
        self.coordinator.tick(self.now);
        let mut messages = Vec::new();
        loop {
            let outputs = self.coordinator.take_outputs();
            if outputs.is_empty() {
                return messages;
            }
            for output in outputs {
                match output {
                    Output::Disk(job_id, job) => {
                        let disk = self.disk.clone();
                        let result = execute_job(&mut self.store, &job, || Ok(disk));
                        self.coordinator.on_disk_result(self.now, job_id, result);
                    }
                    Output::Frame(_, bytes) => {
                        messages.push(decode(&bytes, MAX_SERVER_FRAME_BYTES).unwrap().unwrap().0);
                    }
                    _ => {}
                }
            }
        }
    }

    fn send(&mut self, link: LinkId, message: &ClientMessage) -> Vec<ServerMessage> {
        self.coordinator.receive(self.now, link, &encode(message)[HEADER_BYTES..]).unwrap();
        self.step()
    }

    fn heartbeat(&mut self, seq: u64, leases: &[LeaseRef]) {
        let wants = vec!["totals".to_owned()];
        let leases = leases.to_vec();
        self.send(
            WORKER,
            &ClientMessage::Heartbeat { seq, wants, leases, counters: None, totals: None, load: None },
        );
    }

    fn query(&mut self, query: OperatorQuery) -> Value {
        self.coordinator.on_link_opened(OPERATOR);
        let messages = self.send(OPERATOR, &ClientMessage::Query { fleet: "f".into(), query });
        let answer = messages.into_iter().find_map(|message| match message {
            ServerMessage::QueryResult { answer } => Some(answer),
            _ => None,
        });
        answer.expect("no response to the query")
    }
}

#[test]
fn members_leases_and_tasks_responses_keep_their_keys() {
    let mut fleet = Fleet::start();
    assert_eq!(
        fleet.query(OperatorQuery::Members),
        json!([{
            "session": 1, "name": "w", "zone": "east", "version": 2, "linked": true, "silent_s": 0.1,
            "holds": ["totals"], "twice": false,
        }])
    );
    assert_eq!(
        fleet.query(OperatorQuery::Leases),
        json!([{
            "task": "totals", "holder": "w", "session": 1, "token": 1, "ttl_ms": 3000, "free_in_s": 2.9,
            "waiting": 0,
        }])
    );
    assert_eq!(
        fleet.query(OperatorQuery::Tasks),
        json!({
            "epoch": 1, "unknown": [], "unknown_in_all": 0,
            "tasks": [{
                "task": "totals", "ttl_ms": 3000, "zones": ["east"], "held": true, "waiting": 0,
                "period": null,
            }],
        })
    );
}

#[test]
fn overload_response_keeps_its_keys() {
    let mut fleet = Fleet::start();
    let idle = json!({
        "level": "open", "workers": 0, "age_s": 0.0, "asked_per_s": 0.0, "further_per_s": 0.0,
        "capacity_per_s": 0.0, "calls_per_s": 0.0, "call_ms": 0.0, "retries_pass": 1.0,
        "retries_saved": 0.0, "calls_lent": 0.0, "calls_in_slices": 0.0, "zones": [],
    });
    assert_eq!(fleet.query(OperatorQuery::Overload), idle);
    let pinned = fleet.query(OperatorQuery::Pin { tier: 2, share: 0.5, for_s: 30.0 });
    assert_eq!(pinned["level"], json!({"tier": 2, "share": 0.5}));
}
