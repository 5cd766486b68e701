//! The state of a run, and its queue of events.

use super::links::{Network, NodePair};
use super::process_state::{CoordinatorProcess, WorkerProcess};
use super::shape::Scenario;
use super::task_record::TaskRecord;
use super::verdict::Verdict;
use fleet_coordinator::ids::DiskJobId;
use fleet_coordinator::replica::DiskJob;
use port_worker::fleet::frame::CallOutcome;
use port_worker::fleet::tasks::ScheduledCall;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// When the first worker starts: coordinators have elected a leader by then (seconds).
const FIRST_WORKER_S: f64 = 0.5;
/// Between the starts of two processes (seconds).
const START_INTERVAL_S: f64 = 0.001;
/// When the first fault comes (seconds).
const FIRST_FAULT_S: f64 = 5.0;

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
pub(super) struct EventKey {
    pub at_us: u64,
    pub order: u64,
}

/// A run.
pub(super) struct World {
    pub shape: Scenario,
    pub rng: ChaCha8Rng,
    /// True time (seconds).
    pub now: f64,
    pub queue: BTreeMap<EventKey, Event>,
    order: u64,
    pub coordinators: Vec<CoordinatorProcess>,
    pub workers: Vec<WorkerProcess>,
    pub network: Network,
    pub tasks: Vec<TaskRecord>,
    /// The epoch of the coordinators' file.
    pub epoch: u64,
    pub verdict: Verdict,
}

impl World {
    pub fn new(shape: &Scenario, seed: u64) -> World {
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

    /// Prints a process's log line if `FLEET_TRACE` is set.
    pub fn trace(&self, process: &str, text: &str) {
        if std::env::var_os("FLEET_TRACE").is_some() {
            eprintln!("{:.3} {process} {text}", self.now);
        }
    }
}
