//! Holders' requests to begin a period, and their reports of its outcome.

use super::{BeginRequest, LeaderState, LinkId, HEARTBEAT_INTERVAL_MS};
use crate::state_machine::{Command, LeaseStateMachine, Outcome, Rejection};
use port_worker::fleet::frame::{CallOutcome, LeaseRef, ServerMessage};

impl LeaderState {
    /// Handles a holder's request to make the call of a period.
    pub fn on_begin_request(&mut self, link: LinkId, request: BeginRequest, state: &LeaseStateMachine) {
        let BeginRequest { lease, every_ms, idempotent, attempt } = request;
        let holder = state.lease(&lease).map(|current| current.session);
        let is_holder = holder.is_some() && holder == self.session(link);
        if is_holder && !self.lease_clock.is_releasing(lease.token) {
            let every_ms = every_ms.max(1);
            self.propose(Command::BeginPeriod { lease, every_ms, idempotent, attempt });
        } else {
            let reason = Rejection::NotHeld.to_string();
            self.send(link, ServerMessage::PeriodNotBegun { lease, retry_after_ms: 0, reason });
        }
    }

    /// Handles a current or former holder's report of how the call of a period ended.
    pub fn on_period_ended(&mut self, lease: LeaseRef, period: u64, outcome: CallOutcome) {
        self.propose(Command::EndPeriod { lease, period, outcome });
    }

    pub(super) fn answer_begin_request(
        &mut self,
        lease: &LeaseRef,
        attempt: u64,
        result: &Result<Outcome, Rejection>,
        state: &LeaseStateMachine,
    ) {
        let Some(link) = self.link_of_holder(lease, state) else { return };
        let lease = lease.clone();
        let answer = match result {
            Ok(Outcome::Begun(period)) => ServerMessage::PeriodBegun { lease, period: *period, attempt },
            Ok(_) => return,
            Err(Rejection::NotDue(retry_after_ms)) => ServerMessage::PeriodNotBegun {
                lease,
                retry_after_ms: *retry_after_ms,
                reason: String::new(),
            },
            Err(rejection) => ServerMessage::PeriodNotBegun {
                lease,
                retry_after_ms: HEARTBEAT_INTERVAL_MS,
                reason: rejection.to_string(),
            },
        };
        self.send(link, answer);
    }
}
