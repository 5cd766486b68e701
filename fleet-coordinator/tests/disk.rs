//! One coordinator whose disk fails: how soon it is suspended, that it acknowledges nothing it could not write, and that
//! it takes part again without help. The clock and the disk are the test's own.

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
    /// How long each job of the disk takes.
    job_duration_s: f64,
    answers: Vec<(f64, DiskJobId, DiskResult)>,
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
            answers: Vec::new(),
            messages: Vec::new(),
            events: Vec::new(),
        };
        // A coordinator without peers founds its fleet when it ticks.
        scenario.until("it leads", 10.0, |scenario| {
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
            let due = self.answers.iter().position(|(at, ..)| *at <= self.now);
            if let Some((_, job, done)) = due.map(|at| self.answers.remove(at)) {
                self.coordinator.on_disk_result(self.now, job, done);
            }
            let out = self.coordinator.take_outputs();
            if out.is_empty() && due.is_none() {
                break;
            }
            for one in out {
                match one {
                    Output::Disk(number, job) => {
                        let disk = self.disk.clone();
                        let done = execute_job(&mut self.store, &job, || Ok(disk));
                        self.answers.push((self.now + self.job_duration_s, number, done));
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
    fn until(&mut self, what: &str, limit_s: f64, mut condition: impl FnMut(&mut Scenario) -> bool) -> f64 {
        let start = self.now;
        while !condition(self) {
            self.step();
            assert!(
                self.now - start <= limit_s + 1e-9,
                "{what}: not within {limit_s} s; {:?}",
                self.coordinator.replica.status
            );
        }
        self.now - start
    }

    /// A worker connects over a new link; its session has to be written to the log.
    fn hello(&mut self, number: u64) {
        let link = LinkId(number);
        self.coordinator.on_link_opened(link);
        let hello = ClientMessage::Hello {
            fleet: "f".into(),
            version: LATEST_VERSION,
            name: format!("w{number}"),
            zone: "z".into(),
            process: number,
        };
        let bytes = encode(&hello);
        self.coordinator.receive(self.now, link, &bytes[4..]).unwrap();
    }

    fn welcomed(&self) -> usize {
        self.messages.iter().filter(|message| matches!(message, ServerMessage::Welcome { .. })).count()
    }

    fn is_suspended(&self) -> bool {
        matches!(self.coordinator.replica.status, MemberStatus::Suspended(_))
    }
}

#[test]
fn a_failing_or_overdue_disk_suspends_its_coordinator_within_a_second_and_nothing_is_acknowledged() {
    type Change = fn(&mut Scenario);
    let cases: [(&str, Change, Change, f64); 4] = [
        ("full", |s| s.disk.set_full(true), |s| s.disk.set_full(false), 0.02),
        (
            "an error at the next call",
            |s| s.disk.fail_at(Some(s.disk.calls())),
            |s| s.disk.fail_at(None),
            0.02,
        ),
        ("a sync of 5 s", |s| s.job_duration_s = 5.0, |s| s.job_duration_s = 0.0, WRITE_OVERDUE_S + 0.05),
        (
            "an error at the call after",
            |s| s.disk.fail_at(Some(s.disk.calls() + 1)),
            |s| s.disk.fail_at(None),
            0.02,
        ),
    ];
    for (n, (name, fail, repair, limit_s)) in cases.into_iter().enumerate() {
        let mut scenario = Scenario::start();
        scenario.hello(1);
        scenario.until("a session", 1.0, |s| s.welcomed() == 1);
        fail(&mut scenario);
        scenario.hello(2 + n as u64);
        let took = scenario.until(name, limit_s, |s| s.is_suspended());
        assert!(took <= 1.0, "{name}: {took}");
        assert_eq!(scenario.welcomed(), 1, "{name}: a session was acknowledged that the disk may not have");
        let reason = scenario.coordinator.replica.status.reason();
        assert!(
            reason.contains("disk is slow") == name.contains("sync") && reason.len() > 12,
            "{name}: {reason}"
        );
        let MemberStatus::Suspended(cause) = scenario.coordinator.replica.status.clone() else {
            panic!("{name}")
        };
        let suspended = CoordinatorEvent::DiskSuspended { cause };
        assert_eq!(
            scenario.events[scenario.events.len() - 2..],
            [CoordinatorEvent::LeadershipLost, suspended]
        );
        let status = scenario.coordinator.status();
        assert_eq!((&status["standing"], &status["leads"]), (&"aside".into(), &false.into()), "{name}");
        // It stays suspended while the disk fails, and takes part again without help once it works.
        for _ in 0..200 {
            scenario.step();
            assert!(name.contains("call") || !scenario.coordinator.replica.is_leader(), "{name}");
        }
        repair(&mut scenario);
        scenario.until("it leads again", 10.0, |s| s.coordinator.replica.is_leader());
        assert!(scenario.events.contains(&CoordinatorEvent::DiskResumed { member: MemberId(1) }), "{name}");
        scenario.hello(90);
        scenario.until("another session", 1.0, |s| s.welcomed() == 2);
    }
}

#[test]
fn a_slow_disk_that_is_not_overdue_only_delays_answers() {
    let mut scenario = Scenario::start();
    scenario.job_duration_s = WRITE_OVERDUE_S * 0.8;
    scenario.hello(1);
    let took = scenario.until("a session", 1.0, |s| s.welcomed() == 1);
    assert!(took >= WRITE_OVERDUE_S * 0.8 && !scenario.is_suspended(), "{took}");
}
