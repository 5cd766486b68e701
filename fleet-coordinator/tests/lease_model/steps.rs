//! What can happen next in a world.

use crate::leader::{session, tasks, Leader};
use crate::limits::{Limits, Resource, TtlChanges};
use crate::world::{ToLeader, ToWorker, Upward, World, LEADER_CLOCK_RATE, NEWEST, PREDECESSOR, TASK};
use fleet_coordinator::state_machine::{Command, ReleaseReason};
use port_worker::fleet::frame::LeaseRef;

/// Workers are named by their index, leaders by [`NEWEST`] and [`PREDECESSOR`], messages by their place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Tick,
    /// Another member leads; what its predecessor had proposed is committed or lost.
    Elect {
        proposal_stays: bool,
    },
    /// The predecessor learns of the newer leader.
    StepDown,
    Heartbeat {
        worker: usize,
        leader: usize,
    },
    /// The worker's link is lost with all messages on it, and made anew.
    Reconnect(usize),
    Restart(usize),
    Release {
        worker: usize,
        leader: usize,
    },
    /// A message arrives at its leader.
    Arrive {
        worker: usize,
        message: usize,
    },
    /// A message arrives at the worker.
    Deliver {
        worker: usize,
        message: usize,
    },
    /// The quorum confirms that the newest leader led when it asked.
    Confirm,
    Expire,
    Grant(usize),
    ChangeTtl,
    Commit,
    /// The worker checks its lease.
    CheckLease(usize),
    /// The worker uses the resource under the lease that it has checked.
    Act(usize),
}

impl World {
    /// Performs the action; `None` where it is not possible now.
    pub fn step(&mut self, limits: &Limits, action: Action) -> Option<()> {
        match action {
            Action::Tick => {
                self.now += 1.0;
                Some(())
            }
            Action::Elect { proposal_stays } => self.elect(limits, proposal_stays),
            Action::StepDown => self.step_down(),
            Action::Heartbeat { worker, leader } => self.send_heartbeat(limits, worker, leader),
            Action::Reconnect(worker) => self.reconnect(worker),
            Action::Restart(worker) => {
                self.workers[worker].holder.clear();
                self.workers[worker].lose_messages();
                Some(())
            }
            Action::Release { worker, leader } => self.send_release(limits, worker, leader),
            Action::Arrive { worker, message } => self.arrive(limits, worker, message),
            Action::Deliver { worker, message } => self.deliver(worker, message),
            Action::Confirm => self.confirm(limits),
            Action::Expire => self.expire(),
            Action::Grant(worker) => self.grant(worker),
            Action::ChangeTtl => self.change_ttl(limits),
            Action::Commit => self.commit(limits),
            Action::CheckLease(worker) => self.check_lease(limits, worker),
            Action::Act(worker) => {
                let token = self.workers[worker].checked_token.take()?;
                self.use_resource(limits, token);
                Some(())
            }
        }
    }

    fn elect(&mut self, limits: &Limits, proposal_stays: bool) -> Option<()> {
        let mut before = self.leaders[NEWEST].take()?;
        let mut notification = None;
        match (before.proposed.take(), proposal_stays) {
            (Some(command), true) => notification = before.apply(self.now, &command),
            (None, true) => return None,
            (_, false) => {}
        }
        let leader = Leader::start_term(limits.checks, self.now, before.state.clone());
        self.leaders = [Some(leader), Some(before).filter(|_| !limits.checks.read_index)];
        // Messages to the predecessor reach it still; those to its own predecessor are lost.
        let has_predecessor = self.leaders[PREDECESSOR].is_some();
        for worker in &mut self.workers {
            worker.sent.retain(|sent| sent.leader == NEWEST && has_predecessor);
            for sent in &mut worker.sent {
                sent.leader = PREDECESSOR;
            }
        }
        // The notification is lost where the limit of messages is reached.
        let _ = self.send(limits, notification);
        Some(())
    }

    fn step_down(&mut self) -> Option<()> {
        self.leaders[PREDECESSOR].take()?;
        for worker in &mut self.workers {
            worker.sent.retain(|sent| sent.leader == NEWEST);
        }
        Some(())
    }

    fn send_heartbeat(&mut self, limits: &Limits, worker: usize, leader: usize) -> Option<()> {
        self.leaders[leader].as_ref()?;
        let worker = &mut self.workers[worker];
        if worker.holder.outstanding().count() >= limits.outstanding_heartbeats {
            return None;
        }
        worker.last_sequence += 1;
        let sequence = worker.last_sequence;
        let leases = worker.holder.heartbeat_sent(self.now, sequence);
        worker.sent.push(Upward { leader, message: ToLeader::Heartbeat { sequence, leases } });
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

    fn send_release(&mut self, limits: &Limits, worker: usize, leader: usize) -> Option<()> {
        self.leaders[leader].as_ref()?;
        let worker = &mut self.workers[worker];
        if !limits.releases || worker.sent.len() > limits.outstanding_heartbeats {
            return None;
        }
        let token = worker.holder.token(TASK)?;
        worker.holder.release(TASK);
        let message = ToLeader::Release(LeaseRef { task: TASK.into(), token });
        worker.sent.push(Upward { leader, message });
        Some(())
    }

    fn arrive(&mut self, limits: &Limits, worker: usize, message: usize) -> Option<()> {
        if message >= self.workers[worker].sent.len() {
            return None;
        }
        let Upward { leader: to, message } = self.workers[worker].sent.remove(message);
        let leader = self.leaders[to].as_mut()?;
        match message {
            ToLeader::Heartbeat { sequence, leases } => {
                leader.receive_heartbeat(self.now, worker, sequence, leases);
                self.request_confirmation(limits, to)
            }
            ToLeader::Release(lease) => {
                let own = leader.state.lease(&lease).is_some_and(|l| l.session == session(worker));
                if own && leader.proposed.is_none() {
                    leader.clock.start_release(self.now * LEADER_CLOCK_RATE, lease.token);
                    let release = Command::ReleaseLease { lease, reason: ReleaseReason::Returned };
                    leader.proposed = (to == NEWEST).then_some(release);
                }
                Some(())
            }
        }
    }

    fn deliver(&mut self, worker: usize, message: usize) -> Option<()> {
        let worker = &mut self.workers[worker];
        if message >= worker.incoming.len() {
            return None;
        }
        match worker.incoming.remove(message) {
            ToWorker::Granted(lease) => worker.holder.granted(&lease),
            ToWorker::HeartbeatAck { sequence, leases } => {
                drop(worker.holder.heartbeat_acked(sequence, &leases));
            }
        }
        Some(())
    }

    fn confirm(&mut self, limits: &Limits) -> Option<()> {
        let leader = self.leaders[NEWEST].as_mut()?;
        let received = leader.queue.confirm(leader.batch.take()?);
        let answers = leader.answers(received);
        self.send(limits, answers)?;
        self.request_confirmation(limits, NEWEST)
    }

    fn expire(&mut self) -> Option<()> {
        let leader_now = self.now * LEADER_CLOCK_RATE;
        let leader = self.leader_without_proposal()?;
        let lease = leader.state.leases.get(TASK)?.clone();
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
        leader.proposed = Some(Command::GrantLease { task: TASK.into(), session: session(worker) });
        Some(())
    }

    fn change_ttl(&mut self, limits: &Limits) -> Option<()> {
        let leader = self.leader_without_proposal()?;
        if limits.ttl_changes == TtlChanges::Never || leader.state.epoch > 1 {
            return None;
        }
        leader.proposed = Some(tasks(2));
        Some(())
    }

    fn commit(&mut self, limits: &Limits) -> Option<()> {
        let leader = self.leaders[NEWEST].as_mut()?;
        let command = leader.proposed.take()?;
        let notification = leader.apply(self.now, &command);
        self.send(limits, notification)
    }

    fn check_lease(&mut self, limits: &Limits, worker: usize) -> Option<()> {
        if limits.resource == Resource::Absent {
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
