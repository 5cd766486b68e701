//! State of the simulated processes: their code, clocks and suspensions.

use durable_log::simulated::SimulatedDisk;
use durable_log::Store;
use fleet_coordinator::coordinator::Coordinator;
use port_worker::fleet::FleetMember;

/// A clock that runs faster or slower than true time.
pub(super) struct Clock {
    /// Seconds that it advances per second of true time.
    pub rate: f64,
    /// True time at which it read 0.
    pub started: f64,
}

impl Clock {
    fn unstarted() -> Clock {
        Clock { rate: 1.0, started: 0.0 }
    }

    /// Converts true time to this clock's time.
    pub fn local(&self, true_time: f64) -> f64 {
        (true_time - self.started) * self.rate
    }
}

/// A coordinator's process and its disk.
pub(super) struct CoordinatorProcess {
    /// `None` while the process is not running.
    pub machine: Option<Coordinator>,
    pub disk: SimulatedDisk,
    pub store: Option<Store<SimulatedDisk>>,
    pub clock: Clock,
    pub incarnation: u64,
    pub paused_until: f64,
    /// Time until which its disk is slow.
    pub slow_until: f64,
    /// Time at which the disk has finished its queued jobs.
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

/// A worker's established link.
#[derive(Clone, Copy)]
pub(super) struct Link {
    pub number: u64,
    /// The coordinator at the other end.
    pub coordinator: usize,
}

/// A worker's process.
pub(super) struct WorkerProcess {
    /// `None` while the process is not running.
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

    /// Whether the current link has this identifier.
    pub fn is_linked_by(&self, number: u64) -> bool {
        self.link.is_some_and(|link| link.number == number)
    }
}
