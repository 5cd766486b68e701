//! Passing of events and actions between the replica, the leader's state and the caller, and reporting of status changes.

use super::{frames, Coordinator, Output};
use crate::events::CoordinatorEvent;
use crate::leader_state::LeaderAction;
use crate::replica::{MemberStatus, ReplicaEvent, ReplicaOutput};
use crate::state_machine::Command;

impl Coordinator {
    /// Processes events and actions until there are none left, then collects the replica's outputs.
    pub(super) fn process_events(&mut self, now: f64) {
        loop {
            let events = self.replica.take_events();
            let actions = self.leader_state.take_actions();
            if events.is_empty() && actions.is_empty() {
                break;
            }
            for event in events {
                self.on_replica_event(now, event);
            }
            for action in actions {
                self.on_leader_action(now, action);
            }
        }
        for output in self.replica.take_outputs() {
            self.on_replica_output(output);
        }
        self.report_status();
    }

    fn on_replica_event(&mut self, now: f64, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Elected => {
                self.log(CoordinatorEvent::LeaderElected { term: self.replica.term() });
                self.leader_state.start_term(now, &self.replica.state_machine);
                self.propose_tasks(now);
            }
            ReplicaEvent::SteppedDown => self.on_stepped_down(),
            ReplicaEvent::Applied(entry, result) => {
                let state = &self.replica.state_machine;
                self.leader_state.on_applied(now, &entry, &result, state);
                self.leader_state.tick(now, state);
            }
            ReplicaEvent::Confirmed(number) => self.on_confirmed(now, number),
        }
    }

    fn on_stepped_down(&mut self) {
        self.log(CoordinatorEvent::LeadershipLost);
        let answer = self.not_leader();
        for link in self.leader_state.step_down() {
            self.send(link, &answer);
        }
        for query in std::mem::take(&mut self.pending_queries) {
            self.send(query.link, &answer);
        }
    }

    fn on_confirmed(&mut self, now: f64, number: u64) {
        if !self.answer_confirmed_query(now, number) {
            self.leader_state.on_confirmed(now, number, &self.replica.state_machine);
        }
    }

    fn on_leader_action(&mut self, now: f64, action: LeaderAction) {
        match action {
            LeaderAction::Send(link, message) => self.send(link, &message),
            // A rejected proposal needs no handling: the leader's state or the worker repeats it if it is still needed.
            LeaderAction::Propose(command) => drop(self.replica.propose(now, command)),
            LeaderAction::Confirm(number) => self.replica.request_read_index(now, number),
            LeaderAction::Log(event) => self.log(CoordinatorEvent::Overload(event)),
        }
    }

    fn on_replica_output(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Disk(number, job) => self.outputs.push(Output::Disk(number, job)),
            ReplicaOutput::Send(member, bytes) => {
                let Some(name) = self.name_of(member) else { return };
                self.outputs.push(Output::Peer(name, frames::encode_body(&bytes)));
            }
        }
    }

    fn report_status(&mut self) {
        if self.reported_status == self.replica.status {
            return;
        }
        if let Some(event) = self.status_event() {
            self.log(event);
        }
        self.reported_status = self.replica.status.clone();
        self.peer_answers.clear();
        self.outputs.push(Output::ReconnectPeers);
    }

    /// Returns the log event for the changed status, if any.
    fn status_event(&self) -> Option<CoordinatorEvent> {
        let event = match &self.replica.status {
            // A member recovers only at startup, before it reports anything.
            MemberStatus::Recovering => return None,
            MemberStatus::Active => {
                let member = self.replica.member();
                if matches!(self.reported_status, MemberStatus::Suspended(_)) {
                    CoordinatorEvent::DiskResumed { member }
                } else {
                    CoordinatorEvent::MemberStarted { member }
                }
            }
            MemberStatus::Uninitialized(uninitialized) => {
                let cause = uninitialized.cause.clone();
                match uninitialized.lost_index {
                    Some(lost_index) => CoordinatorEvent::DiskLost { cause, lost_index },
                    None => CoordinatorEvent::MemberUninitialized { cause },
                }
            }
            MemberStatus::Suspended(cause) => CoordinatorEvent::DiskSuspended { cause: cause.clone() },
            MemberStatus::Excluded(cause) => {
                let coordinator = self.config.name.clone();
                CoordinatorEvent::MemberExcluded { coordinator, cause: cause.clone() }
            }
        };
        Some(event)
    }

    pub(super) fn propose_tasks(&mut self, now: f64) {
        if self.replica.is_leader() && self.config.epoch > self.replica.state_machine.epoch {
            let epoch = self.config.epoch;
            let tasks = self.config.tasks.clone();
            self.replica.propose(now, Command::SetTasks { epoch, tasks });
        }
    }
}
