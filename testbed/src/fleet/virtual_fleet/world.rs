//! State of a simulated run, and its event queue.

use super::links::{Network, NodePair};
use super::process_state::{CoordinatorProcess, WorkerProcess};
use super::report::RunReport;
use super::scenario::Scenario;
use super::task_record::TaskRecord;
use fleet_coordinator::ids::DiskJobId;
use fleet_coordinator::replica::DiskJob;
use port_worker::fleet::frame::CallOutcome;
use port_worker::fleet::tasks::ScheduledCall;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Start time of the first worker, by which the coordinators have elected a leader (seconds).
const FIRST_WORKER_S: f64 = 0.5;
/// Interval between the starts of two processes (seconds).
const START_INTERVAL_S: f64 = 0.001;
/// Time of the first fault (seconds).
const FIRST_FAULT_S: f64 = 5.0;

/// A scheduled event. Events of a process carry its incarnation; those of an earlier incarnation are ignored.
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
    /// The disk finishes a job.
    DiskJobCompleted {
        coordinator: usize,
        incarnation: u64,
        number: DiskJobId,
        job: DiskJob,
    },
    /// A frame on a worker's link reaches the coordinator.
    ToCoordinator {
        worker: usize,
        link: u64,
        bytes: Vec<u8>,
    },
    /// A frame on a worker's link reaches the worker.
    ToWorker {
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
    LinkBroken {
        worker: usize,
        link: u64,
    },
    PeerFrame {
        peers: NodePair,
        link: u64,
        bytes: Vec<u8>,
    },
    PeerReply {
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
        duration_s: f64,
    },
    /// The resource finishes a call.
    CallCompletes {
        worker: usize,
        incarnation: u64,
        call: ScheduledCall,
    },
    /// The worker learns the outcome of a call.
    CallEnded {
        worker: usize,
        incarnation: u64,
        task: usize,
        outcome: CallOutcome,
    },
    Fault,
    StartCoordinator(usize),
    StartWorker(usize),
    FreeDiskSpace(usize),
    /// An operator replaces a coordinator that reports a lost disk.
    ReplaceMember(usize),
}

/// Key of the event queue: events are handled by time, and events of the same time in the order of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EventKey {
    pub at_us: u64,
    pub order: u64,
}

/// A simulated run.
pub(super) struct World {
    pub scenario: Scenario,
    pub rng: ChaCha8Rng,
    /// True time (seconds).
    pub now: f64,
    pub queue: BTreeMap<EventKey, Event>,
    order: u64,
    pub coordinators: Vec<CoordinatorProcess>,
    pub workers: Vec<WorkerProcess>,
    pub network: Network,
    pub tasks: Vec<TaskRecord>,
    /// Epoch of the coordinators' configuration file.
    pub epoch: u64,
    pub report: RunReport,
}

impl World {
    pub fn new(scenario: &Scenario, seed: u64) -> World {
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            queue: BTreeMap::new(),
            order: 0,
            coordinators: (0..scenario.coordinators).map(|_| CoordinatorProcess::new()).collect(),
            workers: (0..scenario.workers).map(|_| WorkerProcess::new()).collect(),
            network: Network::new(),
            tasks: (0..scenario.tasks).map(|_| TaskRecord::new()).collect(),
            epoch: 1,
            report: RunReport::default(),
            scenario: scenario.clone(),
        };
        for coordinator in 0..scenario.coordinators {
            world.schedule(START_INTERVAL_S * coordinator as f64, Event::StartCoordinator(coordinator));
        }
        for worker in 0..scenario.workers {
            let at = FIRST_WORKER_S + START_INTERVAL_S * worker as f64;
            world.schedule(at, Event::StartWorker(worker));
        }
        world.schedule(FIRST_FAULT_S, Event::Fault);
        world
    }

    /// Schedules an event for the given time, or for now if that time has passed.
    pub fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        let at_us = (at.max(self.now) * 1e6) as u64;
        self.queue.insert(EventKey { at_us, order: self.order }, event);
    }

    /// Prints a process's log line if the environment variable `FLEET_TRACE` is set.
    pub fn trace(&self, process: &str, text: &str) {
        if std::env::var_os("FLEET_TRACE").is_some() {
            eprintln!("{:.3} {process} {text}", self.now);
        }
    }
}
