//! A leader built from the service's state machine, lease clock and read-index queue, combined as in `LeaderState`.

use crate::config::TTL_MS;
use crate::model_state::{MessageToWorker, LEADER_CLOCK_RATE, TASK};
use fleet_coordinator::ids::SessionId;
use fleet_coordinator::lease_clock::{LeaseClock, ReadIndexQueue, SafetyChecks};
use fleet_coordinator::state_machine::{Command, LeaseStateMachine, LogEntry, Outcome, Task};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};

/// A heartbeat that a leader has received.
#[derive(Clone, Debug)]
pub struct ReceivedHeartbeat {
    pub worker: usize,
    pub sequence: u64,
    /// The leases to renew, each with the TTL recorded on receipt (0 if the lease was not renewed).
    pub leases: Vec<RenewedLease>,
}

/// A message to a worker: the worker's index, and the message.
pub type OutgoingMessage = (usize, MessageToWorker);

#[derive(Clone, Debug)]
pub struct Leader {
    pub state: LeaseStateMachine,
    pub clock: LeaseClock,
    pub read_index_queue: ReadIndexQueue<ReceivedHeartbeat>,
    /// The batch that awaits confirmation.
    pub unconfirmed_batch: Option<u64>,
    /// The command that is proposed but not committed yet.
    pub proposed: Option<Command>,
}

/// The session ID of the worker with this index.
pub fn session_of(worker: usize) -> SessionId {
    SessionId(worker as u64 + 1)
}

/// The index of the worker with this session.
pub fn worker_of(session: SessionId) -> usize {
    session.0 as usize - 1
}

pub fn log_entry(command: Command) -> LogEntry {
    LogEntry { at_ms: 0, command }
}

/// The command that sets an epoch's task list. The TTL is proportional to the epoch.
pub fn set_tasks_command(epoch: u64) -> Command {
    let task = Task { name: TASK.into(), ttl_ms: TTL_MS * epoch, zones: Vec::new(), backoff_ms: 0 };
    Command::SetTasks { epoch, tasks: vec![task] }
}

impl Leader {
    /// Returns a leader at the start of its term. `now` is the time on the holders' clock, here as in all methods.
    pub fn start_term(safety_checks: SafetyChecks, now: f64, state: LeaseStateMachine) -> Leader {
        let clock = LeaseClock::start_term(safety_checks, now * LEADER_CLOCK_RATE, state.leases.values());
        // No retries: repeating a batch could only make its confirmation arrive sooner.
        let read_index_queue = ReadIndexQueue::new(1, f64::INFINITY);
        Leader { state, clock, read_index_queue, unconfirmed_batch: None, proposed: None }
    }

    /// Applies a command to the state machine and the lease clock. Returns the message to the worker if a lease was granted.
    pub fn apply(&mut self, now: f64, command: &Command) -> Option<OutgoingMessage> {
        match (command, self.state.apply(&log_entry(command.clone()))) {
            (Command::GrantLease { session, .. }, Ok(Outcome::Granted(lease))) => {
                let ttl_ms = self.state.lease(&lease).map_or(0, |current| current.ttl_ms);
                self.clock.record_grant(now * LEADER_CLOCK_RATE, lease.token, ttl_ms);
                Some((worker_of(*session), MessageToWorker::Granted(lease)))
            }
            (Command::ReleaseLease { lease, .. }, Ok(_)) => {
                self.clock.record_release(lease.token);
                None
            }
            _ => None,
        }
    }

    /// Records the renewals that a heartbeat requests and queues its acknowledgement, as `LeaderState::on_heartbeat` does.
    pub fn receive_heartbeat(&mut self, now: f64, worker: usize, sequence: u64, leases: Vec<LeaseRef>) {
        let record = |lease: LeaseRef| {
            let own = self.state.lease(&lease).filter(|current| current.session == session_of(worker));
            let ttl_ms = own.map_or(0, |current| self.clock.record_renewal(now * LEADER_CLOCK_RATE, current));
            RenewedLease { lease, ttl_ms }
        };
        let leases = leases.into_iter().map(record).collect();
        self.read_index_queue.push(ReceivedHeartbeat { worker, sequence, leases });
    }

    /// Returns the acknowledgements of these heartbeats, with the leases that are still valid, as
    /// `LeaderState::answer_heartbeat` does.
    pub fn heartbeat_acks(&self, received: Vec<ReceivedHeartbeat>) -> Vec<OutgoingMessage> {
        let acknowledge = |ReceivedHeartbeat { worker, sequence, leases }: ReceivedHeartbeat| {
            let is_valid = |lease: &LeaseRef| {
                let own =
                    self.state.lease(lease).is_some_and(|current| current.session == session_of(worker));
                own && !self.clock.is_releasing(lease.token)
            };
            let leases =
                leases.into_iter().filter(|renewed| renewed.ttl_ms > 0 && is_valid(&renewed.lease)).collect();
            (worker, MessageToWorker::HeartbeatAck { sequence, leases })
        };
        received.into_iter().map(acknowledge).collect()
    }

    /// The fencing token of the task's lease in this leader's state.
    pub fn token(&self) -> Option<u64> {
        Some(self.state.leases.get(TASK)?.token)
    }
}
