//! Releases leases when a worker drains, leaves its fleet, or fails at a task, and ends its membership.

use super::FleetMember;
use crate::fleet::frame::{CallOutcome, ClientMessage, LeaseRef};
use crate::fleet::tasks::ScheduledTask;
use crate::fleet::MembershipEvent;

/// State of a worker that is leaving its fleet.
pub(super) struct LeaveState {
    /// Whether another process has replaced this one.
    replaced: bool,
    /// Whether the message that closes the session was sent.
    goodbye_sent: bool,
}

impl FleetMember {
    /// Whether this worker may hold leases and make scheduled calls.
    pub(super) fn may_take_tasks(&self) -> bool {
        self.accepting_tasks && self.leave_state.is_none()
    }

    /// Whether another process has replaced this one.
    pub(super) fn is_replaced(&self) -> bool {
        self.leave_state.as_ref().is_some_and(|leave_state| leave_state.replaced)
    }

    /// Releases the lease of a task, if it is held. `failed` reports that the task's calls have failed; `pass_on` requests
    /// that the lease be granted to the process that has replaced this one.
    pub(super) fn release(&mut self, task: &str, failed: bool, pass_on: bool) {
        let Some(token) = self.leases.token(task) else { return };
        let lease = LeaseRef { task: task.to_owned(), token };
        self.log(MembershipEvent::LeaseReleased(lease.clone()));
        self.leases.release(task);
        self.send(ClientMessage::ReleaseLease { lease, failed, pass_on });
    }

    /// Releases the leases under which no scheduled call is in flight.
    fn release_idle_leases(&mut self, pass_on: bool) {
        let leases: Vec<LeaseRef> = self.leases.all().collect();
        for lease in leases {
            let is_calling = |task: &ScheduledTask| task.schedule.name == lease.task && task.is_calling();
            if !self.tasks.iter().any(is_calling) {
                self.release(&lease.task, false, pass_on);
            }
        }
    }

    /// Sets whether this worker accepts leases. A draining worker releases the leases that it holds (one with a scheduled
    /// call in flight when that call ends), and accepts leases again after the drain.
    pub fn set_accepting_tasks(&mut self, now: f64, accepting: bool) {
        if self.accepting_tasks == accepting {
            return;
        }
        self.accepting_tasks = accepting;
        if !accepting {
            self.release_idle_leases(false);
        }
        self.session.make_heartbeat_due(now);
    }

    /// Ends the membership because the worker shuts down or was `replaced` by another process. Releases the leases, in the
    /// latter case to that process, and closes the session once no scheduled call is in flight. Calls after the first have no
    /// effect.
    pub fn leave(&mut self, replaced: bool) {
        if self.leave_state.is_some() {
            return;
        }
        self.leave_state = Some(LeaveState { replaced, goodbye_sent: false });
        self.release_idle_leases(replaced);
        self.send_goodbye_when_idle();
    }

    /// Ends a leave: the worker serves again, because the process that replaced it has ended. If its session was closed, the
    /// next heartbeat opens a new one.
    pub fn rejoin(&mut self, now: f64) {
        if self.leave_state.take().is_some() {
            self.session.make_heartbeat_due(now);
        }
    }

    /// Closes the session of a leaving worker once no scheduled call is in flight.
    pub(super) fn send_goodbye_when_idle(&mut self) {
        let is_calling = self.is_calling();
        let Some(leave_state) = &mut self.leave_state else { return };
        if !leave_state.goodbye_sent && self.session.is_established() && !is_calling {
            leave_state.goodbye_sent = true;
            self.send(ClientMessage::Goodbye);
        }
    }

    /// Whether a leaving worker has ended its scheduled calls and closed its session. Without a link the session can't be
    /// closed, and expires.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let Some(leave_state) = &self.leave_state else { return false };
        !self.is_calling() && (leave_state.goodbye_sent || !self.session.is_established())
    }

    /// Reports the scheduled calls in flight as indeterminate, since the process ends before them. Their leases are not
    /// released, because the calls may still be carried out: the leases expire.
    pub fn abandon_calls(&mut self, now: f64) {
        for index in 0..self.tasks.len() {
            if let Some(report) = self.report_call_end(now, index, CallOutcome::Unknown) {
                self.send(report);
            }
        }
    }

    fn is_calling(&self) -> bool {
        self.tasks.iter().any(ScheduledTask::is_calling)
    }
}
