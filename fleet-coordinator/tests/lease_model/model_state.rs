//! A state of the model: workers, the newest leader and the previous one, the resource, and messages in flight.

use crate::config::{ModelConfig, Resource};
use crate::leader::{log_entry, set_tasks_command, Leader, OutgoingMessage};
use fleet_coordinator::state_machine::{Command, LeaseStateMachine};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};
use port_worker::fleet::lease_holder::LeaseHolder;
use std::hash::{Hash, Hasher};

/// The name of the model's only task.
pub const TASK: &str = "t";
/// Rate of a leader's clock relative to the holders' clock.
pub const LEADER_CLOCK_RATE: f64 = 2.0;
/// Indices in [`ModelState::leaders`].
pub const NEWEST_LEADER: usize = 0;
pub const PREVIOUS_LEADER: usize = 1;

#[derive(Clone, Debug)]
pub enum MessageToLeader {
    Heartbeat { sequence: u64, leases: Vec<LeaseRef> },
    Release(LeaseRef),
}

#[derive(Clone, Debug)]
pub enum MessageToWorker {
    Granted(LeaseRef),
    HeartbeatAck { sequence: u64, leases: Vec<RenewedLease> },
}

/// A message in flight to a leader.
#[derive(Clone, Debug)]
pub struct SentMessage {
    /// [`NEWEST_LEADER`] or [`PREVIOUS_LEADER`].
    pub leader: usize,
    pub message: MessageToLeader,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub holder: LeaseHolder,
    pub last_sequence: u64,
    /// Messages in flight to leaders.
    pub sent: Vec<SentMessage>,
    /// Messages in flight to the worker.
    pub incoming: Vec<MessageToWorker>,
    /// The token of a checked lease under which the worker has not used the resource yet.
    pub checked_token: Option<u64>,
}

impl Worker {
    fn new(config: &ModelConfig) -> Worker {
        Worker {
            holder: LeaseHolder::new(config.drift),
            last_sequence: 0,
            sent: Vec::new(),
            incoming: Vec::new(),
            checked_token: None,
        }
    }

    pub fn lose_messages(&mut self) {
        self.sent.clear();
        self.incoming.clear();
    }
}

#[derive(Clone, Debug)]
pub struct ModelState {
    /// The time on the holders' clock (seconds).
    pub now: f64,
    pub leaders: [Option<Leader>; 2],
    pub workers: [Worker; 2],
    /// The highest token that the resource has accepted.
    pub highest_token: u64,
    /// Whether the resource accepted a lower token after a higher one.
    pub token_decreased: bool,
    /// Everything that determines future behaviour. States with the same key are equal.
    pub key: Vec<u8>,
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.key == other.key
    }
}

impl ModelState {
    pub fn initial(config: &ModelConfig) -> ModelState {
        let mut state = LeaseStateMachine { version: 2, ..LeaseStateMachine::default() };
        for incarnation in 1..=2 {
            let name = format!("w{incarnation}");
            let open_session = Command::OpenSession { name, zone: "z".into(), incarnation, version: 2 };
            state.apply(&log_entry(open_session)).unwrap();
        }
        state.apply(&log_entry(set_tasks_command(1))).unwrap();
        ModelState {
            now: 0.0,
            leaders: [Some(Leader::start_term(config.safety_checks, 0.0, state)), None],
            workers: [Worker::new(config), Worker::new(config)],
            highest_token: 0,
            token_decreased: false,
            key: Vec::new(),
        }
    }

    /// The fencing token under which the worker may act now.
    pub fn may_act(&self, worker: usize) -> Option<u64> {
        self.workers[worker].holder.may_act(self.now, TASK, 0.0)
    }

    /// The newest leader, unless it has an uncommitted proposal.
    pub fn leader_without_proposal(&mut self) -> Option<&mut Leader> {
        self.leaders[NEWEST_LEADER].as_mut().filter(|leader| leader.proposed.is_none())
    }

    /// The fencing token of the task's lease in this leader's state.
    pub fn token_at(&self, leader: usize) -> Option<u64> {
        self.leaders[leader].as_ref()?.token()
    }

    /// Uses the resource under this fencing token.
    pub fn use_resource(&mut self, config: &ModelConfig, token: u64) {
        if token >= self.highest_token || config.resource == Resource::Unfenced {
            self.token_decreased |= token < self.highest_token;
            self.highest_token = token;
        }
    }

    /// Requests the quorum's confirmation of the leader for the received heartbeats, or acknowledges them immediately if read
    /// index is disabled. Follows `LeaderState::request_confirmation`.
    pub fn request_confirmation(&mut self, config: &ModelConfig, leader: usize) -> Option<()> {
        let leader = self.leaders[leader].as_mut()?;
        if config.safety_checks.read_index {
            leader.unconfirmed_batch = leader.read_index_queue.start_batch(0.0).or(leader.unconfirmed_batch);
            return Some(());
        }
        let received = leader.read_index_queue.take_unsent();
        let heartbeat_acks = leader.heartbeat_acks(received);
        self.send(config, heartbeat_acks)
    }

    /// Sends messages to workers, except acknowledgements that no holder awaits. Returns `None` if the maximum number of
    /// messages is in flight to a worker.
    pub fn send(
        &mut self,
        config: &ModelConfig,
        messages: impl IntoIterator<Item = OutgoingMessage>,
    ) -> Option<()> {
        for (worker, message) in messages {
            let receiver = &mut self.workers[worker];
            let awaits = |sequence: u64| receiver.holder.outstanding().any(|sent| sent.seq == sequence);
            if matches!(&message, MessageToWorker::HeartbeatAck { sequence, .. } if !awaits(*sequence)) {
                continue;
            }
            if receiver.incoming.len() >= config.max_incoming_messages {
                return None;
            }
            receiver.incoming.push(message);
        }
        Some(())
    }
}
