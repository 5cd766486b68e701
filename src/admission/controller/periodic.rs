//! What is checked at each wake-up: due times, expired keys, measurements.

use super::{Controller, SHUTDOWN_MARGIN_S, SWEEP_S};
use crate::admission::request::RequestState;
use crate::interface::{Action, Gauges, RequestId};

impl Controller {
    pub(super) fn woken(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::WakeIn(SWEEP_S));
        self.review_pools(out);
        self.check_due_times(out);
        self.remove_expired_keys();
        self.downstream.review(self.requests.has_waiting_for_call());
        let mean_run_s = self.run_lengths.mean_s();
        self.report_load(mean_run_s);
        self.health.check_stuck(self.now, mean_run_s);
        if gauges.runnable.is_some_and(|runnable| runnable < f64::from(self.settings.cores)) {
            self.health.core_is_free();
        }
        if self.now >= self.run_limit.window_ends {
            self.adjust_run_limit(gauges);
            self.publish_weight(out);
        }
    }

    /// Answers what is due before the next wake-up, or can no longer be of use.
    fn check_due_times(&mut self, out: &mut Vec<Action>) {
        let stop = self.shutdown.map(|notice| notice.stop - SHUTDOWN_MARGIN_S);
        let ahead = self.now + SWEEP_S + 2.0 * self.settings.wake_ahead_s;
        let pending = self.requests.iter().filter(|(_, request)| !request.completed);
        let ids: Vec<RequestId> = pending.map(|(id, _)| id).collect();
        for id in ids {
            // An earlier step of this loop may have answered it.
            let Some(request) = self.requests.get(id) else { continue };
            let due = stop.map_or(request.due, |stop| stop.min(request.due));
            let queued = matches!(request.state, RequestState::Queued | RequestState::QueuedBehindHolder);
            let waits_for_call = request.state == RequestState::WaitingForCall;
            let hopeless = self.now + self.expected_run_s(request) > request.objective_at;
            if queued && (hopeless || due <= ahead) {
                self.reject(id, out);
            } else if due <= ahead || self.now >= request.worthless_from {
                self.give_up(id, out);
            } else if waits_for_call && self.now >= self.last_call_start(request) {
                self.skip_downstream_call(id, out);
            }
        }
    }
}
