//! A coordinator with a failing disk: it is suspended within a second, acknowledges nothing that it could not write, and
//! resumes without intervention. The clock and the disk are simulated.

use durable_log::simulated::SimulatedDisk;
use durable_log::Store;
use fleet_coordinator::coordinator::{Coordinator, CoordinatorAddress, CoordinatorConfig, Output};
use fleet_coordinator::events::CoordinatorEvent;
use fleet_coordinator::ids::{DiskJobId, LinkId, MemberId};
use fleet_coordinator::leader_state::SafetyChecks;
use fleet_coordinator::replica::{execute_job, DiskResult, MemberStatus};
use fleet_coordinator::state_machine::LATEST_VERSION;
use port_worker::fleet::frame::{decode, encode, ClientMessage, ServerMessage, MAX_SERVER_FRAME_BYTES};

const WRITE_OVERDUE_S: f64 = 0.5;
const TICK_S: f64 = 0.01;

struct Scenario {
    now: f64,
    coordinator: Coordinator,
    disk: SimulatedDisk,
    store: Option<Store<SimulatedDisk>>,
    /// How long each disk job takes.
    job_duration_s: f64,
    /// Results of disk jobs, with the time when each is due.
    pending_results: Vec<(f64, DiskJobId, DiskResult)>,
    messages: Vec<ServerMessage>,
    events: Vec<CoordinatorEvent>,
}

impl Scenario {
    fn start() -> Scenario {
        let config = CoordinatorConfig {
            fleet: "f".into(),
            name: "c1".into(),
            coordinators: vec![CoordinatorAddress { name: "c1".into(), address: "127.0.0.1:1".into() }],
            epoch: 1,
            tasks: Vec::new(),
            write_overdue_s: WRITE_OVERDUE_S,
            version: LATEST_VERSION,
            safety_checks: SafetyChecks::default(),
            overload: None,
        };
        let mut scenario = Scenario {
            now: 0.0,
            coordinator: Coordinator::new(0.0, config, 1),
            disk: SimulatedDisk::new(),
            store: None,
            job_duration_s: 0.0,
            pending_results: Vec::new(),
            messages: Vec::new(),
            events: Vec::new(),
        };
        // An uninitialized coordinator without peers bootstraps its fleet.
        scenario.step_until("elected leader", 10.0, |scenario| {
            if matches!(scenario.coordinator.replica.status, MemberStatus::Uninitialized(_)) {
                scenario.coordinator.replica.bootstrap(scenario.now, &["c1".to_owned()], "c1");
            }
            scenario.coordinator.replica.is_leader()
        });
        scenario
    }

    fn step(&mut self) {
        self.now += TICK_S;
        self.coordinator.tick(self.now);
        loop {
            let due = self.pending_results.iter().position(|(due_at, ..)| *due_at <= self.now);
            if let Some((_, job_id, result)) = due.map(|index| self.pending_results.remove(index)) {
                self.coordinator.on_disk_result(self.now, job_id, result);
            }
            let outputs = self.coordinator.take_outputs();
            if outputs.is_empty() && due.is_none() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Disk(job_id, job) => {
                        let disk = self.disk.clone();
                        let result = execute_job(&mut self.store, &job, || Ok(disk));
                        self.pending_results.push((self.now + self.job_duration_s, job_id, result));
                    }
                    Output::Frame(_, bytes) => {
                        let (message, _) =
                            decode::<ServerMessage>(&bytes, MAX_SERVER_FRAME_BYTES).unwrap().unwrap();
                        self.messages.push(message);
                    }
                    Output::Log(event) => self.events.push(event),
                    _ => {}
                }
            }
        }
    }

    /// Steps until the condition holds; returns how long that took (seconds).
    fn step_until(
        &mut self,
        expected: &str,
        limit_s: f64,
        mut condition: impl FnMut(&mut Scenario) -> bool,
    ) -> f64 {
        let start = self.now;
        while !condition(self) {
            self.step();
            assert!(
                self.now - start <= limit_s + 1e-9,
                "{expected}: not within {limit_s} s; the status is {:?}",
                self.coordinator.replica.status
            );
        }
        self.now - start
    }

    /// Connects a worker over a new link. The coordinator must write the worker's session to the log before it answers.
    fn connect_worker(&mut self, id: u64) {
        let link = LinkId(id);
        self.coordinator.on_link_opened(link);
        let hello = ClientMessage::Hello {
            fleet: "f".into(),
            version: LATEST_VERSION,
            name: format!("w{id}"),
            zone: "z".into(),
            process: id,
        };
        let bytes = encode(&hello);
        self.coordinator.receive(self.now, link, &bytes[4..]).unwrap();
    }

    fn welcome_count(&self) -> usize {
        self.messages.iter().filter(|message| matches!(message, ServerMessage::Welcome { .. })).count()
    }

    fn is_suspended(&self) -> bool {
        matches!(self.coordinator.replica.status, MemberStatus::Suspended(_))
    }
}

#[test]
fn a_failing_or_overdue_disk_suspends_its_coordinator_within_a_second_and_nothing_is_acknowledged() {
    type DiskChange = fn(&mut Scenario);
    let cases: [(&str, DiskChange, DiskChange, f64); 4] = [
        ("disk full", |s| s.disk.set_full(true), |s| s.disk.set_full(false), 0.02),
        ("error at the next call", |s| s.disk.fail_at(Some(s.disk.calls())), |s| s.disk.fail_at(None), 0.02),
        ("sync takes 5 s", |s| s.job_duration_s = 5.0, |s| s.job_duration_s = 0.0, WRITE_OVERDUE_S + 0.05),
        (
            "error at the second call",
            |s| s.disk.fail_at(Some(s.disk.calls() + 1)),
            |s| s.disk.fail_at(None),
            0.02,
        ),
    ];
    for (n, (name, fail, repair, limit_s)) in cases.into_iter().enumerate() {
        let mut scenario = Scenario::start();
        scenario.connect_worker(1);
        scenario.step_until("first session acknowledged", 1.0, |s| s.welcome_count() == 1);
        fail(&mut scenario);
        scenario.connect_worker(2 + n as u64);
        let elapsed_s = scenario.step_until(name, limit_s, |s| s.is_suspended());
        assert!(elapsed_s <= 1.0, "{name}: suspended after {elapsed_s} s; expected at most 1 s");
        assert_eq!(scenario.welcome_count(), 1, "{name}: acknowledged a session that may not be on disk");
        let reason = scenario.coordinator.replica.status.reason();
        assert!(
            reason.contains("disk is slow") == name.contains("sync") && reason.len() > 12,
            "{name}: unexpected reason {reason:?}"
        );
        let MemberStatus::Suspended(cause) = scenario.coordinator.replica.status.clone() else {
            panic!("{name}: the status is no longer Suspended")
        };
        let suspended = CoordinatorEvent::DiskSuspended { cause };
        assert_eq!(
            scenario.events[scenario.events.len() - 2..],
            [CoordinatorEvent::LeadershipLost, suspended]
        );
        let status = scenario.coordinator.status();
        assert_eq!((&status["standing"], &status["leads"]), (&"aside".into(), &false.into()), "{name}");
        // The coordinator does not lead while the disk fails, and resumes without intervention once the disk works.
        for _ in 0..200 {
            scenario.step();
            assert!(name.contains("call") || !scenario.coordinator.replica.is_leader(), "{name}");
        }
        repair(&mut scenario);
        scenario.step_until("re-elected leader", 10.0, |s| s.coordinator.replica.is_leader());
        assert!(scenario.events.contains(&CoordinatorEvent::DiskResumed { member: MemberId(1) }), "{name}");
        scenario.connect_worker(90);
        scenario.step_until("second session acknowledged", 1.0, |s| s.welcome_count() == 2);
    }
}

#[test]
fn a_slow_disk_that_is_not_overdue_only_delays_responses() {
    let mut scenario = Scenario::start();
    scenario.job_duration_s = WRITE_OVERDUE_S * 0.8;
    scenario.connect_worker(1);
    let elapsed_s = scenario.step_until("first session acknowledged", 1.0, |s| s.welcome_count() == 1);
    assert!(
        elapsed_s >= WRITE_OVERDUE_S * 0.8 && !scenario.is_suspended(),
        "acknowledged after {elapsed_s} s"
    );
}
