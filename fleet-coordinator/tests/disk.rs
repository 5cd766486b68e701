//! One coordinator whose disk fails it: how soon it steps aside, that it acknowledges nothing it could not write, and that
//! it takes part again by itself. The clock and the disk are the test's own.

use durable_log::simulated::Simulated;
use durable_log::Store;
use fleet_coordinator::coordinator::{Coordinator, CoordinatorConfig, Output};
use fleet_coordinator::leader_state::SafetyChecks;
use fleet_coordinator::replica::{carry_out, DiskResult, ReplicaStatus};
use fleet_coordinator::state_machine::LATEST;
use port_worker::fleet::frame::{decode, encode, ClientMessage, ServerMessage, MAX_SERVER_FRAME_BYTES};

const OVERDUE_S: f64 = 0.5;
const TICK_S: f64 = 0.01;

struct Site {
    now: f64,
    machine: Coordinator,
    disk: Simulated,
    store: Option<Store<Simulated>>,
    /// How long each job takes.
    takes_s: f64,
    answers: Vec<(f64, u64, DiskResult)>,
    words: Vec<ServerMessage>,
}

impl Site {
    fn up() -> Site {
        let setup = CoordinatorConfig {
            fleet: "f".into(),
            name: "c1".into(),
            coordinators: vec![("c1".into(), "127.0.0.1:1".into())],
            epoch: 1,
            tasks: Vec::new(),
            overdue_s: OVERDUE_S,
            version: LATEST,
            guards: SafetyChecks::default(),
            overload: None,
        };
        let mut site = Site {
            now: 0.0,
            machine: Coordinator::new(0.0, setup, 1),
            disk: Simulated::new(),
            store: None,
            takes_s: 0.0,
            answers: Vec::new(),
            words: Vec::new(),
        };
        // A fleet of one founds itself when it asks and nobody else is named.
        site.until("it leads", 10.0, |site| {
            if matches!(site.machine.replica.status, ReplicaStatus::Blank(_)) {
                site.machine.replica.found(site.now, &["c1".to_owned()], "c1");
            }
            site.machine.replica.leads()
        });
        site
    }

    fn turn(&mut self) {
        self.now += TICK_S;
        self.machine.tick(self.now);
        loop {
            let due = self.answers.iter().position(|(at, ..)| *at <= self.now);
            if let Some((_, job, done)) = due.map(|at| self.answers.remove(at)) {
                self.machine.disk_done(self.now, job, done);
            }
            let out = self.machine.take_out();
            if out.is_empty() && due.is_none() {
                break;
            }
            for one in out {
                match one {
                    Output::Disk(number, job) => {
                        let disk = self.disk.clone();
                        let done = carry_out(&mut self.store, &job, || Ok(disk));
                        self.answers.push((self.now + self.takes_s, number, done));
                    }
                    Output::Frame(_, bytes) => {
                        let (word, _) =
                            decode::<ServerMessage>(&bytes, MAX_SERVER_FRAME_BYTES).unwrap().unwrap();
                        self.words.push(word);
                    }
                    _ => {}
                }
            }
        }
    }

    /// How long it took (seconds).
    fn until(&mut self, what: &str, most_s: f64, mut so: impl FnMut(&mut Site) -> bool) -> f64 {
        let start = self.now;
        while !so(self) {
            self.turn();
            assert!(
                self.now - start <= most_s + 1e-9,
                "{what}: not within {most_s} s; {:?}",
                self.machine.replica.status
            );
        }
        self.now - start
    }

    /// A worker comes over a new link; its session is a fact that has to be written.
    fn hello(&mut self, link: u64) {
        self.machine.opened(link);
        let hello = ClientMessage::Hello {
            fleet: "f".into(),
            version: LATEST,
            name: format!("w{link}"),
            zone: "z".into(),
            process: link,
        };
        let bytes = encode(&hello);
        self.machine.heard(self.now, link, &bytes[4..]).unwrap();
    }

    fn welcomed(&self) -> usize {
        self.words.iter().filter(|w| matches!(w, ServerMessage::Welcome { .. })).count()
    }

    fn is_aside(&self) -> bool {
        matches!(self.machine.replica.status, ReplicaStatus::Suspended(_))
    }
}

#[test]
fn a_disk_that_fails_or_is_overdue_puts_its_coordinator_aside_within_a_second_and_nothing_is_acknowledged() {
    type Set = fn(&mut Site);
    let cases: [(&str, Set, Set, f64); 4] = [
        ("full", |s| s.disk.set_full(true), |s| s.disk.set_full(false), 0.02),
        (
            "an error at the next call",
            |s| s.disk.fail_at(Some(s.disk.calls())),
            |s| s.disk.fail_at(None),
            0.02,
        ),
        ("a sync of 5 s", |s| s.takes_s = 5.0, |s| s.takes_s = 0.0, OVERDUE_S + 0.05),
        (
            "an error at the call after",
            |s| s.disk.fail_at(Some(s.disk.calls() + 1)),
            |s| s.disk.fail_at(None),
            0.02,
        ),
    ];
    for (n, (name, fails, mends, most_s)) in cases.into_iter().enumerate() {
        let mut site = Site::up();
        site.hello(1);
        site.until("a session", 1.0, |s| s.welcomed() == 1);
        fails(&mut site);
        site.hello(2 + n as u64);
        let took = site.until(name, most_s, |s| s.is_aside());
        assert!(took <= 1.0, "{name}: {took}");
        assert_eq!(site.welcomed(), 1, "{name}: a session was acknowledged that the disk may not have");
        let why = format!("{:?}", site.machine.replica.status);
        assert!(why.contains("disk is slow") == name.contains("sync") && why.len() > 12, "{name}: {why}");
        let status = site.machine.status();
        assert_eq!((&status["standing"], &status["leads"]), (&"aside".into(), &false.into()), "{name}");
        // It stays aside for as long as the disk is bad, and takes part by itself when it is well.
        for _ in 0..200 {
            site.turn();
            assert!(name.contains("call") || !site.machine.replica.leads(), "{name}");
        }
        mends(&mut site);
        site.until("it leads again", 10.0, |s| s.machine.replica.leads());
        site.hello(90);
        site.until("another session", 1.0, |s| s.welcomed() == 2);
    }
}

#[test]
fn a_slow_disk_that_is_not_overdue_costs_time_alone() {
    let mut site = Site::up();
    site.takes_s = OVERDUE_S * 0.8;
    site.hello(1);
    let took = site.until("a session", 1.0, |s| s.welcomed() == 1);
    assert!(took >= OVERDUE_S * 0.8 && !site.is_aside(), "{took}");
}
