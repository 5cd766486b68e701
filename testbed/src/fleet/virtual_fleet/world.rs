//! The state of a run, its clock and its queue of events.

use super::judge::TaskRecord;
use super::network::{Network, NodePair};
use super::processes::{CoordinatorProcess, WorkerProcess};
use super::{Shape, Verdict};
use fleet_coordinator::ids::DiskJobId;
use fleet_coordinator::replica::DiskJob;
use port_worker::fleet::frame::CallOutcome;
use port_worker::fleet::tasks::ScheduledCall;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// When the first worker starts: coordinators have elected a leader by then (seconds).
const FIRST_WORKER_S: f64 = 0.5;
/// Between the starts of two processes (seconds).
const START_INTERVAL_S: f64 = 0.001;
/// When the first fault comes (seconds).
const FIRST_FAULT_S: f64 = 5.0;
/// After a pause the events that waited follow by so much (seconds).
const RESUME_DELAY_S: f64 = 2e-6;
/// Between two ticks of a coordinator (seconds).
const COORDINATOR_TICK_S: f64 = 0.02;
/// The first port of the coordinators' addresses, by which workers name them.
const FIRST_PORT: u16 = 9000;
/// The multiplier of the digest: FNV's prime.
const DIGEST_PRIME: u64 = 0x0100_0000_01b3;

/// Something that happens at a time. Events of a process name its incarnation: those of an earlier one are void.
#[derive(Clone, Debug)]
pub(super) enum Event {
    TickCoordinator {
        coordinator: usize,
        incarnation: u64,
    },
    TickWorker {
        worker: usize,
        incarnation: u64,
    },
    /// The disk has done a job.
    Disk {
        coordinator: usize,
        incarnation: u64,
        number: DiskJobId,
        job: DiskJob,
    },
    /// Bytes on a worker's link, to the coordinator.
    Up {
        worker: usize,
        link: u64,
        bytes: Vec<u8>,
    },
    /// Bytes on a worker's link, to the worker.
    Down {
        worker: usize,
        link: u64,
        bytes: Vec<u8>,
    },
    Connected {
        worker: usize,
        incarnation: u64,
        coordinator: usize,
        link: u64,
    },
    Broken {
        worker: usize,
        link: u64,
    },
    PeerFrame {
        peers: NodePair,
        link: u64,
        bytes: Vec<u8>,
    },
    PeerAnswer {
        peers: NodePair,
        link: u64,
        bytes: Vec<u8>,
    },
    PeerConnect {
        peers: NodePair,
        incarnation: u64,
    },
    /// A task's call reaches the resource.
    CallArrives {
        worker: usize,
        incarnation: u64,
        call: ScheduledCall,
        lasts_s: f64,
    },
    /// The resource has carried a call out.
    CallCompletes {
        worker: usize,
        incarnation: u64,
        call: ScheduledCall,
    },
    /// The worker sees the outcome of a call.
    CallEnded {
        worker: usize,
        incarnation: u64,
        task: usize,
        outcome: CallOutcome,
    },
    Fault,
    StartCoordinator(usize),
    StartWorker(usize),
    FreeDisk(usize),
    /// An operator puts a fresh member in the place of one that says that it has lost its disk.
    ReplaceMember(usize),
}

/// Events are handled by time, and those of one time in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_us: u64,
    order: u64,
}

/// A run.
pub(super) struct World {
    pub shape: Shape,
    pub rng: ChaCha8Rng,
    /// True time (seconds).
    pub now: f64,
    queue: BTreeMap<EventKey, Event>,
    order: u64,
    pub coordinators: Vec<CoordinatorProcess>,
    pub workers: Vec<WorkerProcess>,
    pub network: Network,
    pub tasks: Vec<TaskRecord>,
    /// The epoch of the coordinators' file.
    pub epoch: u64,
    pub verdict: Verdict,
}

pub(super) fn coordinator_name(coordinator: usize) -> String {
    format!("c{}", coordinator + 1)
}

pub(super) fn address(coordinator: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + coordinator as u16))
}

pub(super) fn task_name(task: usize) -> String {
    format!("task-{task}")
}

impl World {
    pub fn new(shape: &Shape, seed: u64) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            queue: BTreeMap::new(),
            order: 0,
            coordinators: (0..shape.coordinators).map(|_| CoordinatorProcess::new()).collect(),
            workers: (0..shape.workers).map(|_| WorkerProcess::new()).collect(),
            network: Network::new(),
            tasks: (0..shape.tasks).map(|_| TaskRecord::new()).collect(),
            epoch: 1,
            verdict: Verdict::default(),
            shape: shape.clone(),
        };
        for coordinator in 0..shape.coordinators {
            world.schedule(START_INTERVAL_S * coordinator as f64, Event::StartCoordinator(coordinator));
        }
        for worker in 0..shape.workers {
            let at = FIRST_WORKER_S + START_INTERVAL_S * worker as f64;
            world.schedule(at, Event::StartWorker(worker));
        }
        world.schedule(FIRST_FAULT_S, Event::Fault);
        world
    }

    /// Has the event happen at that time, or now if it has passed.
    pub fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        let at_us = (at.max(self.now) * 1e6) as u64;
        self.queue.insert(EventKey { at_us, order: self.order }, event);
    }

    /// Plays to the end, or to the first violation.
    pub fn run(&mut self) {
        let end = self.shape.faults_s + self.shape.quiet_s;
        while let Some((EventKey { at_us, order }, event)) = self.queue.pop_first() {
            self.now = at_us as f64 / 1e6;
            if self.now > end || !self.verdict.violations.is_empty() {
                break;
            }
            self.verdict.digest = (self.verdict.digest ^ at_us ^ order).wrapping_mul(DIGEST_PRIME);
            if let Some(event) = self.unless_paused(event) {
                self.handle(event);
            }
        }
        if self.verdict.violations.is_empty() {
            self.check_recovery();
        }
    }

    /// What happens to a process that is stopped waits until it goes on.
    fn unless_paused(&mut self, event: Event) -> Option<Event> {
        let until = match &event {
            Event::TickCoordinator { coordinator, .. } => self.coordinators[*coordinator].paused_until,
            Event::PeerFrame { peers, .. } => self.coordinators[peers.to].paused_until,
            Event::PeerAnswer { peers, .. } => self.coordinators[peers.from].paused_until,
            Event::Up { worker, .. } => {
                let link = self.workers[*worker].link;
                link.map_or(0.0, |link| self.coordinators[link.coordinator].paused_until)
            }
            Event::TickWorker { worker, .. }
            | Event::Down { worker, .. }
            | Event::Connected { worker, .. }
            | Event::Broken { worker, .. }
            | Event::CallEnded { worker, .. } => self.workers[*worker].paused_until,
            _ => 0.0,
        };
        if self.now < until {
            // Events keep their order: each gets a later number at the same time.
            self.schedule(until + RESUME_DELAY_S, event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartCoordinator(coordinator) => self.start_coordinator(coordinator),
            Event::StartWorker(worker) => self.start_worker(worker),
            Event::TickCoordinator { coordinator, incarnation } => {
                self.tick_coordinator(coordinator, incarnation);
            }
            Event::TickWorker { worker, incarnation } => self.tick_worker(worker, incarnation),
            Event::Disk { coordinator, incarnation, number, job } => {
                self.disk_done(coordinator, incarnation, number, &job);
            }
            Event::Connected { worker, incarnation, coordinator, link } => {
                self.connected(worker, incarnation, coordinator, link);
            }
            Event::Broken { worker, link } => self.break_link(worker, link),
            Event::Up { worker, link, bytes } => self.receive_from_worker(worker, link, &bytes),
            Event::Down { worker, link, bytes } => self.receive_at_worker(worker, link, &bytes),
            Event::PeerConnect { peers, incarnation } => self.connect_peer(peers, incarnation),
            Event::PeerFrame { peers, link, bytes } => self.receive_from_peer(peers, link, &bytes),
            Event::PeerAnswer { peers, link, bytes } => self.receive_peer_answer(peers, link, &bytes),
            Event::CallArrives { worker, incarnation, call, lasts_s } => {
                self.call_arrives(worker, incarnation, call, lasts_s);
            }
            Event::CallCompletes { worker, incarnation, call } => {
                self.call_completes(worker, incarnation, &call);
            }
            Event::CallEnded { worker, incarnation, task, outcome } => {
                if self.workers[worker].incarnation == incarnation {
                    self.with_worker(worker, |member, now| member.call_ended(now, task, outcome));
                }
            }
            Event::ReplaceMember(coordinator) => self.replace_member(coordinator),
            Event::FreeDisk(coordinator) => self.coordinators[coordinator].disk.set_full(false),
            Event::Fault => self.inject_fault(),
        }
    }

    fn tick_coordinator(&mut self, coordinator: usize, incarnation: u64) {
        if self.coordinators[coordinator].incarnation == incarnation {
            self.with_coordinator(coordinator, |machine, now| machine.tick(now));
            self.connect_peers(coordinator);
            let next = self.now + COORDINATOR_TICK_S;
            self.schedule(next, Event::TickCoordinator { coordinator, incarnation });
        }
    }

    fn tick_worker(&mut self, worker: usize, incarnation: u64) {
        if self.workers[worker].incarnation == incarnation {
            self.with_worker(worker, |_, _| ());
            let pause = self.rng.random_range(0.08..0.12);
            self.schedule(self.now + pause, Event::TickWorker { worker, incarnation });
        }
    }

    /// Prints a process's log line if `FLEET_TRACE` is set.
    pub fn trace(&self, process: &str, text: &str) {
        if std::env::var_os("FLEET_TRACE").is_some() {
            eprintln!("{:.3} {process} {text}", self.now);
        }
    }
}
