//! Downstream calls: when they are made, repeated or skipped.

use super::downstream_limit::{max_budget_s, SLOW_CALL_FACTOR};
use super::{Controller, SWEEP_S};
use crate::admission::request::{Request, RequestState, Tier};
use crate::interface::{Action, Outcome, RequestId};

/// A call is lost after so many mean lengths, twice that if it is never repeated, but not before this share
/// of its class's objective.
const TIMEOUT_CALLS: f64 = 8.0;
const MIN_TIMEOUT_SHARE_OF_OBJECTIVE: f64 = 0.1;
/// What is left of a run after its call, as a share of the run's length at least.
const MIN_REST_SHARE: f64 = 0.25;
/// Of a share under one call: the mean lengths to save up for a call, or this share of the largest budget.
const BUDGETED_CALLS: f64 = 3.0;
const MAX_BUDGET_WAIT_SHARE: f64 = 0.9;

impl Controller {
    pub(super) fn at_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.health.signals.progressed(self.now);
        self.transition(id, Some(RequestState::WaitingForCall));
        // What would wait in vain goes on at once: the cores may be idle while the dependency is slow.
        let Some(request) = self.requests.get(id) else { return };
        let ready_at = self.now + self.call_wait_s(request.tier, 0);
        let in_vain = self.fleet_gives_up_call(request.class) || ready_at > self.last_call_start(request);
        if !request.completed && in_vain {
            self.skip_downstream_call(id, out);
        }
    }

    pub(super) fn call_ended(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let in_call = |request: &&Request| request.state == RequestState::Calling;
        let Some(request) = self.requests.get(id).filter(in_call) else { return };
        let unseen = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let succeeded = outcome == Outcome::Ok;
        let repeats = self.may_repeat_call(request, outcome, unseen);
        let took_s = self.now - request.state_since;
        if outcome == Outcome::TimedOut {
            self.count_abandoned_call();
        }
        if let Some(overload) = &mut self.overload {
            overload.call_ended(succeeded, took_s);
        }
        if unseen {
            self.downstream.call_rejected(self.now);
        } else {
            self.downstream.lengths.call_ended();
            self.downstream.review(self.requests.has_waiting_for_call());
        }
        let state = if succeeded { RequestState::Running } else { RequestState::WaitingForCall };
        self.transition(id, Some(state));
        if !succeeded && !repeats {
            self.skip_downstream_call(id, out);
        }
    }

    /// A call is repeated only if that is safe or the earlier one never ran. What can do without it does not
    /// wait for a dependency that is down: it would wait until its caller is gone.
    fn may_repeat_call(&self, request: &Request, outcome: Outcome, unseen: bool) -> bool {
        let class = self.class(request.class);
        let skippable = outcome == Outcome::Unreachable && class.skipped_call_weight > 0.0;
        let in_time = request.worthless_from - self.now > self.downstream.lengths.expected_s();
        (unseen || class.is_idempotent()) && !request.completed && !skippable && in_time
    }

    /// The call can't be made: where a response without it keeps a part of its weight, the run goes on so.
    pub(super) fn skip_downstream_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let needs_call = self.class(request.class).skipped_call_weight <= 0.0;
        if request.completed || needs_call || self.now >= request.worthless_from {
            return self.give_up(id, out);
        }
        out.push(Action::SkipCall(id));
        self.transition(id, Some(RequestState::Running));
    }

    /// Whether the requests of this tier and above that wait for a call are more than may be in flight.
    pub(super) fn downstream_saturated(&self, tier: Tier) -> bool {
        self.requests.waiting_for_call_in(tier + 1) as f64 >= self.downstream.limit.max(1.0)
    }

    /// The wait for a call of this tier, behind what waits already and so many requests that will (seconds).
    pub(super) fn call_wait_s(&self, tier: Tier, coming: usize) -> f64 {
        let ahead = self.requests.waiting_for_call_in(tier + 1) + coming;
        ahead as f64 * self.downstream.lengths.expected_s() / self.downstream.limit
    }

    /// The latest start of a call that lets its run meet the objective; later calls are skipped, if they may.
    pub(super) fn last_call_start(&self, request: &Request) -> f64 {
        if self.class(request.class).skipped_call_weight <= 0.0 || self.now >= request.objective_at {
            return f64::INFINITY;
        }
        let length_s = self.expected_run_s(request);
        let rest_s = (length_s - request.core_time_s).max(length_s * MIN_REST_SHARE) + 2.0 * SWEEP_S;
        request.objective_at - rest_s - SLOW_CALL_FACTOR * self.downstream.lengths.expected_s()
    }

    /// Makes the calls that have room, the highest tier and the oldest first.
    pub(super) fn place_calls(&mut self, out: &mut Vec<Action>) {
        while self.has_free_call_slot() {
            let Some(id) = self.next_call() else { return };
            let request = &self.requests[id];
            let Some(until_s) = self.call_deadline(request) else { return };
            if until_s > self.now && self.last_call_start(request) > self.now {
                out.push(Action::Call { id, until_s });
                self.overload.iter_mut().for_each(|overload| overload.call_started());
                self.transition(id, Some(RequestState::Calling));
            } else {
                self.skip_downstream_call(id, out);
            }
        }
    }

    /// Abandoned calls don't slow the others down, but count towards what the dependency survives.
    fn has_free_call_slot(&self) -> bool {
        let limit = self.downstream.limit.max(1.0) as usize;
        let max_limit = self.downstream.max_limit.max(1.0) as usize;
        let calling = self.requests.calling() + self.other_process.calling;
        let open = self.now >= self.downstream.closed_until;
        open && calling < limit && calling + self.abandoned_calls.len() < max_limit
    }

    fn next_call(&self) -> Option<RequestId> {
        let may_call = |idempotent| self.overload.as_ref().map_or(true, |o| o.may_call(idempotent));
        self.requests.waiting_for_call().find(|id| {
            let request = &self.requests[*id];
            !request.completed && may_call(self.class(request.class).is_idempotent())
        })
    }

    /// When a call that is made now is abandoned: one that never ends must hold neither its slot, nor a run
    /// that can go on without it, until the caller is gone. None while the budget does not allow the call.
    fn call_deadline(&self, request: &Request) -> Option<f64> {
        let class = self.class(request.class);
        let length_s = self.downstream.lengths.expected_s();
        let known = self.downstream.lengths.is_known();
        let share_of_objective = if known { MIN_TIMEOUT_SHARE_OF_OBJECTIVE } else { f64::INFINITY };
        let lengths = TIMEOUT_CALLS * if class.is_idempotent() { 1.0 } else { 2.0 };
        let timeout_s = (length_s * lengths).max(class.objective_s * share_of_objective);
        let last_end = self.last_call_start(request) + SLOW_CALL_FACTOR * length_s;
        let until = (request.due - SWEEP_S).min(self.now + timeout_s).min(last_end);
        // A share under one call is kept in the mean: one call at a time, as long as was saved up.
        let Some(dependency) = self.settings.dependency.as_ref().filter(|d| d.share < 1.0) else {
            return Some(until);
        };
        let budget_s = self.downstream.budget_s - dependency.linger_s;
        let max_s = max_budget_s(dependency) - dependency.linger_s;
        let needed_s = (length_s * BUDGETED_CALLS).min(max_s * MAX_BUDGET_WAIT_SHARE);
        (budget_s >= needed_s && budget_s > SWEEP_S).then(|| until.min(self.now + budget_s))
    }
}
