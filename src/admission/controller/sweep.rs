//! The periodic sweep: deadlines, expired idempotency keys and reviews of the limits.

use super::Controller;
use crate::admission::request::{Request, RequestState};
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::{Action, Gauges, RequestId};

/// What a sweep does with a pending request.
enum SweepDecision {
    /// Reject it: it has not run and can't be answered in time.
    Reject,
    /// Abandon it: the response is due now or no longer useful.
    Abandon,
    /// Skip the downstream call for which it waits: its run meets the objective only without the call.
    SkipCall,
    /// Leave it as it is: it has time left.
    Keep,
}

impl Controller {
    /// Handles a wake-up.
    pub(super) fn sweep(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::WakeIn(SWEEP_INTERVAL_S));
        out.extend(self.run_slots.review_pools(self.now).into_iter().map(Action::Log));
        self.check_deadlines(out);
        self.remove_expired_keys();
        self.downstream.review(self.requests.has_waiting_for_call());
        let mean_run_s = self.run_lengths.mean_s();
        self.record_load(mean_run_s);
        self.health.check_stalled(self.now, mean_run_s);
        if gauges.runnable.is_some_and(|runnable| runnable < f64::from(self.settings.cores)) {
            self.health.record_free_core();
        }
        if self.run_slots.is_review_due(self.now) {
            self.review_run_limit(gauges);
            self.publish_weight(out);
        }
    }

    /// Answers requests that are due before the next wake-up or whose response is no longer useful.
    fn check_deadlines(&mut self, out: &mut Vec<Action>) {
        let pending = self.requests.iter().filter(|(_, request)| !request.completed);
        let ids: Vec<RequestId> = pending.map(|(id, _)| id).collect();
        for id in ids {
            // An earlier iteration of this loop may have removed the request.
            let Some(request) = self.requests.get(id) else { continue };
            match self.sweep_decision(request) {
                SweepDecision::Reject => self.reject(id, out),
                SweepDecision::Abandon => self.abandon(id, out),
                SweepDecision::SkipCall => self.skip_downstream_call(id, out),
                SweepDecision::Keep => {}
            }
        }
    }

    fn sweep_decision(&self, request: &Request) -> SweepDecision {
        let next_wake_up = self.now + SWEEP_INTERVAL_S + 2.0 * self.settings.min_event_interval_s;
        let answer_by = match self.shutdown.answer_by() {
            Some(answer_by) => answer_by.min(request.deadline),
            None => request.deadline,
        };
        let is_due = answer_by <= next_wake_up;
        let misses_objective = self.now + self.expected_run_s(request) > request.objective_deadline;
        if request.state.waits_for_run() && (misses_objective || is_due) {
            SweepDecision::Reject
        } else if is_due || self.now >= request.useful_until {
            SweepDecision::Abandon
        } else if request.state == RequestState::WaitingForCall && self.now >= self.last_call_start(request) {
            SweepDecision::SkipCall
        } else {
            SweepDecision::Keep
        }
    }

    /// Removes idempotency keys that callers can no longer repeat.
    fn remove_expired_keys(&mut self) {
        let expired = self.idempotency.expired(self.now, |id| self.requests.contains(id));
        for entry_id in expired {
            self.remove_key(entry_id);
        }
    }

    /// Records this worker's capacity and the weights of requests that wait for calls, for the fleet's load reports.
    fn record_load(&mut self, mean_run_s: f64) {
        let capacity = self.run_slots.limit() as f64 / mean_run_s;
        let waiting = self.requests.waiting_for_call_by_tier().zip(self.tiers.weights());
        self.fleet.record_state(capacity, waiting);
    }

    fn review_run_limit(&mut self, gauges: &Gauges) {
        let demand = self.slot_demand();
        self.run_slots.review_limit(self.now, gauges, demand, self.health.is_reported_healthy());
        self.run_lengths.update_baseline();
    }
}
