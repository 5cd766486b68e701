//! Ends leases that their holder returns or hands off to its successor, and leases that have expired.

use super::{LeaderState, LinkId, ReleaseRequest, PROPOSAL_RETRY_S};
use crate::ids::SessionId;
use crate::state_machine::{Command, LeaseStateMachine, ReleaseReason};
use port_worker::fleet::frame::LeaseRef;

/// How long a lease waits for the session of its holder's successor (seconds). At a hot restart the predecessor may hand off
/// its leases within milliseconds of the successor's start, before the successor has a session.
const SUCCESSOR_WAIT_S: f64 = 2.0;

/// A lease that waits for the session of its holder's successor.
#[derive(Clone, Debug)]
pub(super) struct HandOff {
    lease: LeaseRef,
    from_session: SessionId,
    deadline: f64,
}

impl LeaderState {
    /// Handles a holder's notice that it has stopped acting under a lease.
    pub fn on_release(&mut self, now: f64, link: LinkId, request: ReleaseRequest, state: &LeaseStateMachine) {
        let ReleaseRequest { lease, failed, hand_off } = request;
        let Some(session) = self.session(link) else { return };
        if state.lease(&lease).is_none_or(|current| current.session != session) {
            return;
        }
        self.lease_clock.start_release(now, lease.token);
        if hand_off {
            let token = lease.token;
            let deadline = now + SUCCESSOR_WAIT_S;
            self.hand_offs.insert(token, HandOff { lease, from_session: session, deadline });
            return self.hand_off_leases(now, state);
        }
        let reason = if failed { ReleaseReason::Failed } else { ReleaseReason::Returned };
        self.propose(Command::ReleaseLease { lease, reason });
    }

    /// Proposes transferring leases to their holders' successors, or releasing those whose successor has not opened a session
    /// within [`SUCCESSOR_WAIT_S`].
    pub(super) fn hand_off_leases(&mut self, now: f64, state: &LeaseStateMachine) {
        let mut commands = Vec::new();
        self.hand_offs.retain(|_, hand_off| {
            let command = hand_off.command(now, state);
            let waits = command.is_none();
            commands.extend(command);
            waits
        });
        for command in commands {
            self.propose(command);
        }
    }

    pub(super) fn release_expired_leases(&mut self, now: f64, state: &LeaseStateMachine) {
        for (task, lease) in &state.leases {
            if self.lease_clock.start_release_if_expired(now, lease, PROPOSAL_RETRY_S) {
                let lease = LeaseRef { task: task.clone(), token: lease.token };
                self.propose(Command::ReleaseLease { lease, reason: ReleaseReason::Expired });
            }
        }
    }
}

impl HandOff {
    /// Returns the command to propose now; `None` while waiting for the successor.
    fn command(&self, now: f64, state: &LeaseStateMachine) -> Option<Command> {
        let name = state.sessions.get(&self.from_session).map_or("", |session| session.name.as_str());
        let successor = state.newest_session(name).filter(|newest| *newest > self.from_session);
        let lease = self.lease.clone();
        match successor {
            Some(session) => Some(Command::TransferLease { lease, session }),
            None if now >= self.deadline => {
                Some(Command::ReleaseLease { lease, reason: ReleaseReason::Returned })
            }
            None => None,
        }
    }
}
