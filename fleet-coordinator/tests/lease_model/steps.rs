//! The model's actions and their effects on a state.

use crate::config::{ModelConfig, Resource, TtlChanges};
use crate::leader::{session_of, set_tasks_command, Leader};
use crate::model_state::{
    MessageToLeader, MessageToWorker, ModelState, SentMessage, LEADER_CLOCK_RATE, NEWEST_LEADER,
    PREVIOUS_LEADER, TASK,
};
use fleet_coordinator::state_machine::{Command, ReleaseReason};
use port_worker::fleet::frame::LeaseRef;

/// An action. Workers and messages are identified by their index, leaders by [`NEWEST_LEADER`] and [`PREVIOUS_LEADER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The holders' clock advances by one second.
    Tick,
    /// Another member becomes leader. The previous leader's proposal is either committed or lost.
    Elect { proposal_committed: bool },
    /// The previous leader learns of the newer one.
    StepDown,
    /// The worker sends a heartbeat to the leader.
    Heartbeat { worker: usize, leader: usize },
    /// The worker's link is lost with all messages in flight, and re-established.
    Reconnect(usize),
    /// The worker restarts, and loses its leases and all messages in flight.
    Restart(usize),
    /// The worker stops acting under its lease and returns it to the leader.
    Release { worker: usize, leader: usize },
    /// A leader receives a message from the worker.
    ReceiveAtLeader { worker: usize, message: usize },
    /// The worker receives a message.
    ReceiveAtWorker { worker: usize, message: usize },
    /// The quorum confirms that the newest leader was the leader when it requested confirmation.
    Confirm,
    /// The newest leader proposes releasing the lease, which has expired.
    Expire,
    /// The newest leader proposes granting the task to the worker.
    Grant(usize),
    /// The newest leader proposes the task list of epoch 2.
    ChangeTtl,
    /// The proposal of the newest leader is committed and applied.
    Commit,
    /// The worker checks its lease.
    CheckLease(usize),
    /// The worker uses the resource under the token of the checked lease.
    UseResource(usize),
}

impl ModelState {
    /// Performs the action. Returns `None` if the action is not possible in this state.
    pub fn step(&mut self, config: &ModelConfig, action: Action) -> Option<()> {
        match action {
            Action::Tick => {
                self.now += 1.0;
                Some(())
            }
            Action::Elect { proposal_committed } => self.elect(config, proposal_committed),
            Action::StepDown => self.step_down(),
            Action::Heartbeat { worker, leader } => self.send_heartbeat(config, worker, leader),
            Action::Reconnect(worker) => self.reconnect(worker),
            Action::Restart(worker) => {
                self.workers[worker].holder.clear();
                self.workers[worker].lose_messages();
                Some(())
            }
            Action::Release { worker, leader } => self.send_release(config, worker, leader),
            Action::ReceiveAtLeader { worker, message } => self.receive_at_leader(config, worker, message),
            Action::ReceiveAtWorker { worker, message } => self.receive_at_worker(worker, message),
            Action::Confirm => self.confirm(config),
            Action::Expire => self.expire(),
            Action::Grant(worker) => self.grant(worker),
            Action::ChangeTtl => self.change_ttl(config),
            Action::Commit => self.commit(config),
            Action::CheckLease(worker) => self.check_lease(config, worker),
            Action::UseResource(worker) => {
                let token = self.workers[worker].checked_token.take()?;
                self.use_resource(config, token);
                Some(())
            }
        }
    }

    fn elect(&mut self, config: &ModelConfig, proposal_committed: bool) -> Option<()> {
        let mut previous = self.leaders[NEWEST_LEADER].take()?;
        let mut grant_message = None;
        match (previous.proposed.take(), proposal_committed) {
            (Some(command), true) => grant_message = previous.apply(self.now, &command),
            (None, true) => return None,
            (_, false) => {}
        }
        let leader = Leader::start_term(config.safety_checks, self.now, previous.state.clone());
        self.leaders = [Some(leader), Some(previous).filter(|_| !config.safety_checks.read_index)];
        // Messages to the leader that is now the previous one can still arrive; those to the leader before it are lost.
        let has_previous_leader = self.leaders[PREVIOUS_LEADER].is_some();
        for worker in &mut self.workers {
            worker.sent.retain(|sent| sent.leader == NEWEST_LEADER && has_previous_leader);
            for sent in &mut worker.sent {
                sent.leader = PREVIOUS_LEADER;
            }
        }
        // The grant message is lost if the maximum number of messages is in flight to the worker.
        let _ = self.send(config, grant_message);
        Some(())
    }

    fn step_down(&mut self) -> Option<()> {
        self.leaders[PREVIOUS_LEADER].take()?;
        for worker in &mut self.workers {
            worker.sent.retain(|sent| sent.leader == NEWEST_LEADER);
        }
        Some(())
    }

    fn send_heartbeat(&mut self, config: &ModelConfig, worker: usize, leader: usize) -> Option<()> {
        self.leaders[leader].as_ref()?;
        let worker = &mut self.workers[worker];
        if worker.holder.outstanding().count() >= config.max_outstanding_heartbeats {
            return None;
        }
        worker.last_sequence += 1;
        let sequence = worker.last_sequence;
        let leases = worker.holder.heartbeat_sent(self.now, sequence);
        worker.sent.push(SentMessage { leader, message: MessageToLeader::Heartbeat { sequence, leases } });
        Some(())
    }

    fn reconnect(&mut self, worker: usize) -> Option<()> {
        let worker = &mut self.workers[worker];
        let awaits_nothing = worker.holder.outstanding().count() == 0;
        if awaits_nothing && worker.sent.is_empty() && worker.incoming.is_empty() {
            return None;
        }
        worker.holder.reconnected();
        worker.lose_messages();
        Some(())
    }

    fn send_release(&mut self, config: &ModelConfig, worker: usize, leader: usize) -> Option<()> {
        self.leaders[leader].as_ref()?;
        let worker = &mut self.workers[worker];
        if !config.allow_releases || worker.sent.len() > config.max_outstanding_heartbeats {
            return None;
        }
        let token = worker.holder.token(TASK)?;
        worker.holder.release(TASK);
        let message = MessageToLeader::Release(LeaseRef { task: TASK.into(), token });
        worker.sent.push(SentMessage { leader, message });
        Some(())
    }

    fn receive_at_leader(&mut self, config: &ModelConfig, worker: usize, message: usize) -> Option<()> {
        if message >= self.workers[worker].sent.len() {
            return None;
        }
        let SentMessage { leader: leader_index, message } = self.workers[worker].sent.remove(message);
        let leader = self.leaders[leader_index].as_mut()?;
        match message {
            MessageToLeader::Heartbeat { sequence, leases } => {
                leader.receive_heartbeat(self.now, worker, sequence, leases);
                self.request_confirmation(config, leader_index)
            }
            MessageToLeader::Release(lease) => {
                let held_by_sender =
                    leader.state.lease(&lease).is_some_and(|current| current.session == session_of(worker));
                if held_by_sender && leader.proposed.is_none() {
                    leader.clock.start_release(self.now * LEADER_CLOCK_RATE, lease.token);
                    let release = Command::ReleaseLease { lease, reason: ReleaseReason::Returned };
                    leader.proposed = (leader_index == NEWEST_LEADER).then_some(release);
                }
                Some(())
            }
        }
    }

    fn receive_at_worker(&mut self, worker: usize, message: usize) -> Option<()> {
        let worker = &mut self.workers[worker];
        if message >= worker.incoming.len() {
            return None;
        }
        match worker.incoming.remove(message) {
            MessageToWorker::Granted(lease) => worker.holder.granted(&lease),
            MessageToWorker::HeartbeatAck { sequence, leases } => {
                drop(worker.holder.heartbeat_acked(sequence, &leases));
            }
        }
        Some(())
    }

    fn confirm(&mut self, config: &ModelConfig) -> Option<()> {
        let leader = self.leaders[NEWEST_LEADER].as_mut()?;
        let received = leader.read_index_queue.confirm(leader.unconfirmed_batch.take()?);
        let heartbeat_acks = leader.heartbeat_acks(received);
        self.send(config, heartbeat_acks)?;
        self.request_confirmation(config, NEWEST_LEADER)
    }

    fn expire(&mut self) -> Option<()> {
        let leader_now = self.now * LEADER_CLOCK_RATE;
        let leader = self.leader_without_proposal()?;
        let lease = leader.state.leases.get(TASK)?.clone();
        // No proposal is pending here, so a release that was started before is repeated at once. The negative retry time
        // makes it due.
        if !leader.clock.start_release_if_expired(leader_now, &lease, -1.0) {
            return None;
        }
        let lease = LeaseRef { task: TASK.into(), token: lease.token };
        leader.proposed = Some(Command::ReleaseLease { lease, reason: ReleaseReason::Expired });
        Some(())
    }

    fn grant(&mut self, worker: usize) -> Option<()> {
        let leader = self.leader_without_proposal()?;
        if leader.state.leases.contains_key(TASK) {
            return None;
        }
        leader.proposed = Some(Command::GrantLease { task: TASK.into(), session: session_of(worker) });
        Some(())
    }

    fn change_ttl(&mut self, config: &ModelConfig) -> Option<()> {
        let leader = self.leader_without_proposal()?;
        if config.ttl_changes == TtlChanges::Never || leader.state.epoch > 1 {
            return None;
        }
        leader.proposed = Some(set_tasks_command(2));
        Some(())
    }

    fn commit(&mut self, config: &ModelConfig) -> Option<()> {
        let leader = self.leaders[NEWEST_LEADER].as_mut()?;
        let command = leader.proposed.take()?;
        let grant_message = leader.apply(self.now, &command);
        self.send(config, grant_message)
    }

    fn check_lease(&mut self, config: &ModelConfig, worker: usize) -> Option<()> {
        if config.resource == Resource::Absent {
            return None;
        }
        let token = self.may_act(worker)?;
        if self.workers[worker].checked_token == Some(token) {
            return None;
        }
        self.workers[worker].checked_token = Some(token);
        Some(())
    }
}
