//! Release of leases: of a worker that drains, leaves its fleet, or fails at a task.

use super::FleetMember;
use crate::fleet::frame::{ClientMessage, LeaseRef};
use crate::fleet::tasks::ScheduledTask;
use crate::fleet::MembershipEvent;

/// How far a worker has come with leaving its fleet.
pub(super) struct Departure {
    /// Another process has replaced this one.
    replaced: bool,
    /// The session has been closed.
    goodbye_sent: bool,
}

impl FleetMember {
    /// Whether this worker may hold leases and make scheduled calls.
    pub(super) fn may_take_tasks(&self) -> bool {
        self.accepting_tasks && self.departure.is_none()
    }

    /// Whether another process has replaced this one.
    pub(super) fn is_replaced(&self) -> bool {
        self.departure.as_ref().is_some_and(|departure| departure.replaced)
    }

    /// Releases the lease of a task, if it is held. `failed` reports that its calls have failed, `pass_on` asks for it to
    /// be granted to the process that has replaced this one.
    pub(super) fn release(&mut self, task: &str, failed: bool, pass_on: bool) {
        let Some(token) = self.leases.token(task) else { return };
        let lease = LeaseRef { task: task.to_owned(), token };
        self.log(MembershipEvent::LeaseReleased(lease.clone()));
        self.leases.release(task);
        self.send(ClientMessage::ReleaseLease { lease, failed, pass_on });
    }

    /// Releases the leases under which no scheduled call is in flight.
    fn release_idle(&mut self, pass_on: bool) {
        let leases: Vec<LeaseRef> = self.leases.all().collect();
        for lease in leases {
            let is_calling = |task: &ScheduledTask| task.schedule.name == lease.task && task.is_calling();
            if !self.tasks.iter().any(is_calling) {
                self.release(&lease.task, false, pass_on);
            }
        }
    }

    /// Sets whether this worker takes leases. A draining worker releases its own, and takes leases again after the drain.
    pub fn set_accepting_tasks(&mut self, now: f64, accepting: bool) {
        if self.accepting_tasks == accepting {
            return;
        }
        self.accepting_tasks = accepting;
        if !accepting {
            self.release_idle(false);
        }
        self.session.heartbeat_now(now);
    }

    /// Ends the membership, as the worker shuts down or was `replaced` by another process: releases the leases, to that
    /// process where there is one, and then closes the session. Calls after the first have no effect.
    pub fn leave(&mut self, replaced: bool) {
        if self.departure.is_some() {
            return;
        }
        self.departure = Some(Departure { replaced, goodbye_sent: false });
        self.release_idle(replaced);
        self.send_goodbye_when_idle();
    }

    /// Closes the session of a worker that leaves, once no scheduled call is in flight.
    pub(super) fn send_goodbye_when_idle(&mut self) {
        let Some(departure) = &mut self.departure else { return };
        let is_calling = self.tasks.iter().any(ScheduledTask::is_calling);
        if !departure.goodbye_sent && self.session.is_established() && !is_calling {
            departure.goodbye_sent = true;
            self.send(ClientMessage::Goodbye);
        }
    }
}
