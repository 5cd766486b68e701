//! Downstream calls: how many may be in flight, when a call must start and when it is abandoned.

mod budget;
mod call_length;
mod limit;

use crate::admission::fleet_overload::FleetOverload;
use crate::admission::request::Request;
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::{Class, Dependency, LearnedState};
use budget::{CallAllowance, CallBudget};
use call_length::CallLengthEstimate;
use limit::CallLimit;

/// A call is slow if it takes more than this multiple of the baseline.
const SLOW_CALL_FACTOR: f64 = 2.2;
/// An idempotent call is abandoned after this many mean call lengths.
const TIMEOUT_CALLS: f64 = 8.0;
/// A call that must not be repeated is abandoned after this many mean call lengths.
const UNREPEATABLE_TIMEOUT_CALLS: f64 = 2.0 * TIMEOUT_CALLS;
/// Once the length of calls is known, no call times out before this share of its class's objective has passed.
const MIN_TIMEOUT_SHARE_OF_OBJECTIVE: f64 = 0.1;
/// The rest of a run after its call is assumed to take at least this share of the run's length.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// The downstream calls of this worker.
pub(super) struct DownstreamCalls {
    limit: CallLimit,
    budget: CallBudget,
    lengths: CallLengthEstimate,
    /// For each abandoned call, the latest time at which it leaves the dependency.
    abandoned_until: Vec<f64>,
}

impl DownstreamCalls {
    pub(super) fn new(dependency: Option<Dependency>) -> Self {
        DownstreamCalls {
            limit: CallLimit::new(dependency.as_ref()),
            budget: CallBudget::new(dependency),
            lengths: CallLengthEstimate::default(),
            abandoned_until: Vec::new(),
        }
    }

    /// Advances the clock, with this many calls in flight in that time.
    pub(super) fn advance(&mut self, now: f64, elapsed_s: f64, calling: usize, fleet: &mut FleetOverload) {
        self.lengths.advance(calling as f64, elapsed_s);
        let in_flight = calling + self.abandoned_until.len();
        // The fleet's limit is applied first, since the budget grows by the limit that now applies.
        if let Some(policy) = fleet.policy_mut() {
            self.limit.apply_fleet_limit(policy, now, in_flight);
        }
        self.budget.advance(self.limit.limit(), in_flight, elapsed_s);
        self.abandoned_until.retain(|until| *until > now);
    }

    /// The expected length of a call (seconds).
    pub(super) fn expected_call_s(&self) -> f64 {
        self.lengths.expected_s()
    }

    /// Whether this many waiting requests reach the limit on calls in flight.
    pub(super) fn is_saturated(&self, waiting: usize) -> bool {
        waiting as f64 >= self.limit.limit().max(1.0)
    }

    /// The time until a call starts behind this many requests (seconds).
    pub(super) fn wait_s(&self, ahead: usize) -> f64 {
        ahead as f64 * self.lengths.expected_s() / self.limit.limit()
    }

    /// Whether another call may start now, with `calling` calls of this and the other process in flight.
    pub(super) fn has_free_slot(&self, now: f64, calling: usize) -> bool {
        self.limit.has_free_slot(now, calling, self.abandoned_until.len())
    }

    /// The latest time at which a call can start and its run still meet the objective. Later calls are skipped if the
    /// class allows that.
    pub(super) fn last_start(&self, request: &Request, class: &Class, now: f64, expected_run_s: f64) -> f64 {
        if !class.may_skip_call() || now >= request.objective_deadline {
            return f64::INFINITY;
        }
        let min_remaining_s = expected_run_s * MIN_REMAINING_SHARE;
        let remaining_s =
            (expected_run_s - request.core_time_s).max(min_remaining_s) + 2.0 * SWEEP_INTERVAL_S;
        request.objective_deadline - remaining_s - SLOW_CALL_FACTOR * self.lengths.expected_s()
    }

    /// The time at which a call that starts now is abandoned, or `None` while the budget does not allow the call. A
    /// call that never ends must not occupy its slot, or block a run that can continue without it, until the caller
    /// gives up.
    pub(super) fn call_deadline(
        &self,
        request: &Request,
        class: &Class,
        now: f64,
        last_start: f64,
    ) -> Option<f64> {
        let expected_call_s = self.lengths.expected_s();
        let caller_deadline = request.deadline - SWEEP_INTERVAL_S;
        let timeout_at = now + self.timeout_s(class, expected_call_s);
        let last_useful_end = last_start + SLOW_CALL_FACTOR * expected_call_s;
        let until = caller_deadline.min(timeout_at).min(last_useful_end);
        match self.budget.allowance(expected_call_s) {
            CallAllowance::Unlimited => Some(until),
            CallAllowance::Limited { budget_s } => Some(until.min(now + budget_s)),
            CallAllowance::Exhausted => None,
        }
    }

    /// The time after which a call is abandoned (seconds); infinite until the length of calls is known.
    fn timeout_s(&self, class: &Class, expected_call_s: f64) -> f64 {
        let calls = if class.is_idempotent() { TIMEOUT_CALLS } else { UNREPEATABLE_TIMEOUT_CALLS };
        let share_of_objective =
            if self.lengths.is_known() { MIN_TIMEOUT_SHARE_OF_OBJECTIVE } else { f64::INFINITY };
        (expected_call_s * calls).max(class.objective_s * share_of_objective)
    }

    /// Records a call that was abandoned. It may stay in flight in the dependency for up to [`Dependency::linger_s`].
    pub(super) fn call_abandoned(&mut self, now: f64) {
        if let Some(linger_s) = self.budget.linger_s() {
            self.abandoned_until.push(now + linger_s);
        }
    }

    /// Records a call that did not reach the dependency, or was rejected by it.
    pub(super) fn call_rejected(&mut self, now: f64) {
        self.limit.call_rejected(now, &self.lengths);
    }

    /// Records the end of a call that the dependency has processed.
    pub(super) fn call_ended(&mut self, calls_wait: bool) {
        self.lengths.call_ended();
        self.review(calls_wait);
    }

    /// Adjusts the limit if its review window is complete.
    pub(super) fn review(&mut self, calls_wait: bool) {
        self.limit.review(&mut self.lengths, calls_wait);
    }

    /// Writes the measurements of the dependency to `learned`.
    pub(super) fn export(&self, learned: &mut LearnedState) {
        learned.call_limit = self.limit.limit();
        learned.call_baseline_s = self.lengths.learned_baseline_s();
        learned.recent_calls = self.lengths.learned_calls();
        learned.call_budget_s = Some(self.budget.learned_s());
    }

    /// Adopts a predecessor's measurements of the dependency.
    pub(super) fn adopt(&mut self, learned: &LearnedState) {
        self.limit.adopt(learned.call_limit);
        self.lengths.adopt(learned.recent_calls, learned.call_baseline_s);
        self.budget.adopt(learned.call_budget_s);
    }
}
