//! The state of the processes: what runs, on which clock, until when it is paused.

use durable_log::simulated::SimulatedDisk;
use durable_log::Store;
use fleet_coordinator::coordinator::Coordinator;
use port_worker::fleet::FleetMember;

/// A clock that drifts from true time.
pub(super) struct Clock {
    /// Its seconds in a true second.
    pub rate: f64,
    /// The true time at which it showed 0.
    pub started: f64,
}

impl Clock {
    fn unstarted() -> Clock {
        Clock { rate: 1.0, started: 0.0 }
    }

    /// What it shows at a true time.
    pub fn local(&self, true_time: f64) -> f64 {
        (true_time - self.started) * self.rate
    }
}

/// A coordinator's process and disk.
pub(super) struct CoordinatorProcess {
    /// `None` while the process does not run.
    pub machine: Option<Coordinator>,
    pub disk: SimulatedDisk,
    pub store: Option<Store<SimulatedDisk>>,
    pub clock: Clock,
    pub incarnation: u64,
    pub paused_until: f64,
    /// Until when its disk is slow.
    pub slow_until: f64,
    /// When the disk is done with what it was given.
    pub busy_until: f64,
}

impl CoordinatorProcess {
    pub fn new() -> CoordinatorProcess {
        CoordinatorProcess {
            machine: None,
            disk: SimulatedDisk::new(),
            store: None,
            clock: Clock::unstarted(),
            incarnation: 0,
            paused_until: 0.0,
            slow_until: 0.0,
            busy_until: 0.0,
        }
    }
}

/// A link that stands.
#[derive(Clone, Copy)]
pub(super) struct Link {
    pub number: u64,
    /// Who is at its other end.
    pub coordinator: usize,
}

/// A worker's process.
pub(super) struct WorkerProcess {
    /// `None` while the process does not run.
    pub member: Option<FleetMember>,
    pub clock: Clock,
    pub incarnation: u64,
    pub paused_until: f64,
    pub link: Option<Link>,
}

impl WorkerProcess {
    pub fn new() -> WorkerProcess {
        WorkerProcess {
            member: None,
            clock: Clock::unstarted(),
            incarnation: 0,
            paused_until: 0.0,
            link: None,
        }
    }

    /// Whether this link is the one that stands.
    pub fn is_linked_by(&self, number: u64) -> bool {
        self.link.is_some_and(|link| link.number == number)
    }
}
