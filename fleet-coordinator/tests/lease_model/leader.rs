//! A leader: the state machine, the lease clock and the read-index queue of the service, joined as `LeaderState` joins them.

use crate::limits::TTL_MS;
use crate::world::{ToWorker, LEADER_CLOCK_RATE, TASK};
use fleet_coordinator::ids::SessionId;
use fleet_coordinator::lease_clock::{LeaseClock, ReadIndexQueue, SafetyChecks};
use fleet_coordinator::state_machine::{Command, LeaseStateMachine, LogEntry, Outcome, Task};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};

/// A heartbeat that a leader has received.
#[derive(Clone, Debug)]
pub struct ReceivedHeartbeat {
    pub worker: usize,
    pub sequence: u64,
    /// With the TTL that was counted for each lease (0 for none).
    pub leases: Vec<RenewedLease>,
}

/// A message to the worker of this index.
pub type Addressed = (usize, ToWorker);

#[derive(Clone, Debug)]
pub struct Leader {
    pub state: LeaseStateMachine,
    pub clock: LeaseClock,
    pub queue: ReadIndexQueue<ReceivedHeartbeat>,
    /// The batch that waits for a confirmation.
    pub batch: Option<u64>,
    pub proposed: Option<Command>,
}

/// The number of a worker's session.
pub fn session(worker: usize) -> SessionId {
    SessionId(worker as u64 + 1)
}

/// The index of the worker with this session.
pub fn worker_of(session: SessionId) -> usize {
    session.0 as usize - 1
}

pub fn entry(command: Command) -> LogEntry {
    LogEntry { at_ms: 0, command }
}

/// The list of tasks of this epoch, whose TTL grows with it.
pub fn tasks(epoch: u64) -> Command {
    let task = Task { name: TASK.into(), ttl_ms: TTL_MS * epoch, zones: Vec::new(), backoff_ms: 0 };
    Command::SetTasks { epoch, tasks: vec![task] }
}

impl Leader {
    /// `now` is the time by holders' clocks.
    pub fn start_term(checks: SafetyChecks, now: f64, state: LeaseStateMachine) -> Leader {
        let clock = LeaseClock::start_term(checks, now * LEADER_CLOCK_RATE, state.leases.values());
        // A batch that seems lost would be repeated only to be confirmed sooner.
        let queue = ReadIndexQueue::new(1, f64::INFINITY);
        Leader { state, clock, queue, batch: None, proposed: None }
    }

    /// Applies a command to the state and the lease clock; returns the notification of a grant.
    pub fn apply(&mut self, now: f64, command: &Command) -> Option<Addressed> {
        match (command, self.state.apply(&entry(command.clone()))) {
            (Command::GrantLease { session, .. }, Ok(Outcome::Granted(lease))) => {
                let ttl_ms = self.state.lease(&lease).map_or(0, |current| current.ttl_ms);
                self.clock.record_grant(now * LEADER_CLOCK_RATE, lease.token, ttl_ms);
                Some((worker_of(*session), ToWorker::Granted(lease)))
            }
            (Command::ReleaseLease { lease, .. }, Ok(_)) => {
                self.clock.record_release(lease.token);
                None
            }
            _ => None,
        }
    }

    /// Counts the renewals of a heartbeat and queues it, as `LeaderState::on_heartbeat` does.
    pub fn receive_heartbeat(&mut self, now: f64, worker: usize, sequence: u64, leases: Vec<LeaseRef>) {
        let count = |lease: LeaseRef| {
            let own = self.state.lease(&lease).filter(|current| current.session == session(worker));
            let ttl_ms = own.map_or(0, |current| self.clock.record_renewal(now * LEADER_CLOCK_RATE, current));
            RenewedLease { lease, ttl_ms }
        };
        let leases = leases.into_iter().map(count).collect();
        self.queue.push(ReceivedHeartbeat { worker, sequence, leases });
    }

    /// What a leader answers to these heartbeats now, as `LeaderState::answer_heartbeat` does.
    pub fn answers(&self, received: Vec<ReceivedHeartbeat>) -> Vec<Addressed> {
        let answer = |ReceivedHeartbeat { worker, sequence, leases }: ReceivedHeartbeat| {
            let is_valid = |lease: &LeaseRef| {
                let own = self.state.lease(lease).is_some_and(|current| current.session == session(worker));
                own && !self.clock.is_releasing(lease.token)
            };
            let leases =
                leases.into_iter().filter(|renewed| renewed.ttl_ms > 0 && is_valid(&renewed.lease)).collect();
            (worker, ToWorker::HeartbeatAck { sequence, leases })
        };
        received.into_iter().map(answer).collect()
    }

    /// The token under which the task is held, as this leader knows.
    pub fn token(&self) -> Option<u64> {
        Some(self.state.leases.get(TASK)?.token)
    }
}
