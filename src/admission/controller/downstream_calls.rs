//! Downstream calls of runs: when a call is made, repeated or skipped.

use super::Controller;
use crate::admission::request::{Request, RequestState};
use crate::interface::{Action, Outcome, RequestId};

impl Controller {
    /// Handles a run that requests its downstream call.
    pub(super) fn call_requested(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.health.run_progressed(self.now);
        self.transition(id, Some(RequestState::WaitingForCall));
        // A run whose call would start too late skips it immediately: the cores may be idle while the dependency is
        // slow.
        let Some(request) = self.requests.get(id) else { return };
        if !request.completed && self.should_skip_call(request) {
            self.skip_downstream_call(id, out);
        }
    }

    fn should_skip_call(&self, request: &Request) -> bool {
        let ahead = self.requests.waiting_for_call_in(request.tier + 1);
        let ready_at = self.now + self.downstream.wait_s(ahead);
        let idempotent = self.class(request.class).is_idempotent();
        self.fleet.skips_call(idempotent) || ready_at > self.last_call_start(request)
    }

    /// The latest time at which a call can start and its run still meet the objective.
    pub(super) fn last_call_start(&self, request: &Request) -> f64 {
        let class = self.class(request.class);
        self.downstream.last_start(request, class, self.now, self.expected_run_s(request))
    }

    /// Handles the end of a downstream call.
    pub(super) fn call_ended(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let in_call = |request: &&Request| request.state == RequestState::Calling;
        let Some(request) = self.requests.get(id).filter(in_call) else { return };
        let succeeded = outcome == Outcome::Ok;
        let repeats = self.may_repeat_call(request, outcome);
        let duration_s = self.now - request.state_entered_at;
        if outcome == Outcome::TimedOut {
            self.downstream.call_abandoned(self.now);
        }
        self.fleet.call_ended(succeeded, duration_s);
        if had_no_effect(outcome) {
            self.downstream.call_rejected(self.now);
        } else {
            self.downstream.call_ended(self.requests.has_waiting_for_call());
        }
        let state = if succeeded { RequestState::Running } else { RequestState::WaitingForCall };
        self.transition(id, Some(state));
        if !succeeded && !repeats {
            self.skip_downstream_call(id, out);
        }
    }

    /// Whether a failed call may be repeated: only if it is idempotent or certain to have had no effect. A run that can
    /// skip the call does not wait for an unreachable dependency, since it would wait until its caller gives up.
    fn may_repeat_call(&self, request: &Request, outcome: Outcome) -> bool {
        let class = self.class(request.class);
        if request.completed || outcome == Outcome::Unreachable && class.may_skip_call() {
            return false;
        }
        let in_time = request.useful_until - self.now > self.downstream.expected_call_s();
        in_time && (had_no_effect(outcome) || class.is_idempotent())
    }

    /// Continues a run without its call if such a response keeps part of its weight; otherwise abandons the request.
    pub(super) fn skip_downstream_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let may_skip = self.class(request.class).may_skip_call();
        if request.completed || !may_skip || self.now >= request.useful_until {
            self.abandon(id, out);
            return;
        }
        out.push(Action::SkipCall(id));
        self.transition(id, Some(RequestState::Running));
    }

    /// Starts calls while the limit has room, the highest tier and the oldest request first.
    pub(super) fn start_calls(&mut self, out: &mut Vec<Action>) {
        while self.downstream.has_free_slot(self.now, self.calls_in_flight()) {
            let Some(id) = self.next_call() else { return };
            let request = &self.requests[id];
            let class = self.class(request.class);
            let last_start = self.last_call_start(request);
            let deadline = self.downstream.call_deadline(request, class, self.now, last_start);
            let Some(until_s) = deadline else { return };
            if until_s > self.now && last_start > self.now {
                out.push(Action::Call { id, until_s });
                self.fleet.call_started();
                self.transition(id, Some(RequestState::Calling));
            } else {
                self.skip_downstream_call(id, out);
            }
        }
    }

    /// Calls in flight, including those of the other process.
    fn calls_in_flight(&self) -> usize {
        self.requests.calling() + self.other_process.calling()
    }

    fn next_call(&self) -> Option<RequestId> {
        self.requests.waiting_for_call().find(|id| {
            let request = &self.requests[*id];
            !request.completed && self.fleet.may_call(self.class(request.class).is_idempotent())
        })
    }
}

/// Whether a call with this outcome is certain to have had no effect.
fn had_no_effect(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::Unreachable)
}
