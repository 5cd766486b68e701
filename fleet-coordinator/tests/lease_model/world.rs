//! The state of a world: workers, a leader and its predecessor, the resource, and the messages on their way.

use crate::leader::{entry, tasks, Addressed, Leader};
use crate::limits::{Limits, Resource};
use fleet_coordinator::state_machine::{Command, LeaseStateMachine};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};
use port_worker::fleet::lease_holder::LeaseHolder;
use std::hash::{Hash, Hasher};

/// The one task.
pub const TASK: &str = "t";
/// How fast leaders' clocks run, by holders' clocks.
pub const LEADER_CLOCK_RATE: f64 = 2.0;
/// The newest leader's place among the leaders, and its predecessor's.
pub const NEWEST: usize = 0;
pub const PREDECESSOR: usize = 1;

#[derive(Clone, Debug)]
pub enum ToLeader {
    Heartbeat { sequence: u64, leases: Vec<LeaseRef> },
    Release(LeaseRef),
}

#[derive(Clone, Debug)]
pub enum ToWorker {
    Granted(LeaseRef),
    HeartbeatAck { sequence: u64, leases: Vec<RenewedLease> },
}

/// A message on its way to a leader.
#[derive(Clone, Debug)]
pub struct Upward {
    /// [`NEWEST`] or [`PREDECESSOR`].
    pub leader: usize,
    pub message: ToLeader,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub holder: LeaseHolder,
    pub last_sequence: u64,
    /// Messages on their way from it.
    pub sent: Vec<Upward>,
    /// Messages on their way to it.
    pub incoming: Vec<ToWorker>,
    /// It has checked its lease under this token, and has not acted yet.
    pub checked_token: Option<u64>,
}

impl Worker {
    fn new(limits: &Limits) -> Worker {
        Worker {
            holder: LeaseHolder::new(limits.drift),
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
pub struct World {
    /// By holders' clocks (seconds).
    pub now: f64,
    pub leaders: [Option<Leader>; 2],
    pub workers: [Worker; 2],
    /// The highest token that the resource has accepted.
    pub highest_token: u64,
    /// The resource accepted a lower token after a higher one.
    pub token_decreased: bool,
    /// All that the future depends on: worlds with the same key are equal.
    pub key: Vec<u8>,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key == other.key
    }
}

impl World {
    pub fn initial(limits: &Limits) -> World {
        let mut state = LeaseStateMachine { version: 2, ..LeaseStateMachine::default() };
        for incarnation in 1..=2 {
            let name = format!("w{incarnation}");
            let open = Command::OpenSession { name, zone: "z".into(), incarnation, version: 2 };
            state.apply(&entry(open)).unwrap();
        }
        state.apply(&entry(tasks(1))).unwrap();
        World {
            now: 0.0,
            leaders: [Some(Leader::start_term(limits.checks, 0.0, state)), None],
            workers: [Worker::new(limits), Worker::new(limits)],
            highest_token: 0,
            token_decreased: false,
            key: Vec::new(),
        }
    }

    /// The token under which the worker may act now.
    pub fn may_act(&self, worker: usize) -> Option<u64> {
        self.workers[worker].holder.may_act(self.now, TASK, 0.0)
    }

    /// The newest leader, while it has nothing proposed.
    pub fn leader_without_proposal(&mut self) -> Option<&mut Leader> {
        self.leaders[NEWEST].as_mut().filter(|leader| leader.proposed.is_none())
    }

    /// The token under which the task is held, as this leader knows.
    pub fn token_at(&self, leader: usize) -> Option<u64> {
        self.leaders[leader].as_ref()?.token()
    }

    /// The worker uses the resource under this token.
    pub fn use_resource(&mut self, limits: &Limits, token: u64) {
        if token >= self.highest_token || limits.resource == Resource::Unfenced {
            self.token_decreased |= token < self.highest_token;
            self.highest_token = token;
        }
    }

    /// A leader asks for confirmation of what it received, or answers without, as
    /// `LeaderState::request_confirmation` does.
    pub fn request_confirmation(&mut self, limits: &Limits, leader: usize) -> Option<()> {
        let leader = self.leaders[leader].as_mut()?;
        if limits.checks.read_index {
            leader.batch = leader.queue.start_batch(0.0).or(leader.batch);
            return Some(());
        }
        let received = leader.queue.take_unsent();
        let answers = leader.answers(received);
        self.send(limits, answers)
    }

    /// Sends messages to workers; `None` where the limit of messages is reached.
    pub fn send(&mut self, limits: &Limits, messages: impl IntoIterator<Item = Addressed>) -> Option<()> {
        for (worker, message) in messages {
            let to = &mut self.workers[worker];
            let waits_for = |sequence: u64| to.holder.outstanding().any(|sent| sent.seq == sequence);
            if matches!(&message, ToWorker::HeartbeatAck { sequence, .. } if !waits_for(*sequence)) {
                continue;
            }
            if to.incoming.len() >= limits.messages {
                return None;
            }
            to.incoming.push(message);
        }
        Some(())
    }
}
