//! Ends of requests and runs: by themselves, by their callers, or given up.

use super::Controller;
use crate::admission::request::RequestState;
use crate::interface::{Action, Outcome, Preemption, RequestId};

impl Controller {
    pub(super) fn caller_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.completed = true;
        if !request.state.is_unstarted() {
            return self.stop_run(id, out);
        }
        let pending_key = self.pending_key_of(id);
        self.remove_request(id);
        let Some(entry_id) = pending_key else { return };
        // The holder of a key has gone without a run: the oldest attempt that waits for it takes its place.
        if let Some(&next) = self.idempotency.waiting(entry_id).first() {
            self.retain_key(next, entry_id, out);
            self.transition(next, Some(RequestState::Queued));
        } else {
            out.push(Action::ReleaseKey(id));
            self.remove_key(entry_id);
        }
    }

    pub(super) fn run_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(id).copied() else { return };
        if request.state == RequestState::Running && outcome != Outcome::NotStarted {
            let length_s = request.core_time_s + self.now - request.state_since;
            self.run_lengths.run_ended(request.class, request.hint, length_s);
            if let Some(pools) = &mut self.pools {
                pools.run_ended(request.class, length_s);
            }
            // A cancelled run took its time on the cores, but says nothing of health.
            if outcome != Outcome::Cancelled {
                self.health.run_ended(self.now, outcome == Outcome::Error);
                self.run_limit.ended += 1;
            }
        }
        if request.state == RequestState::Calling {
            self.count_abandoned_call();
        }
        self.remove_request(id);
    }

    /// Answers a request of which no use is left, with a Retry-After where it may run again, and stops it
    /// where that can be done. Saves the cores from useless runs (bursts, hangs); costs another attempt.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.completed) else { return };
        let unstarted = request.state.is_unstarted();
        let may_run_again = !unstarted && self.class(request.class).is_idempotent();
        let retry_after_s = self.retry_after_s(request.tier, request.class);
        let rejection = Action::Reject { id, retry_after_s, stop_retrying: true };
        out.push(if may_run_again { rejection } else { Action::Fail(id) });
        self.stop_run(id, out);
        if unstarted {
            self.remove_request(id);
        }
    }

    /// No response is pending any more; a run is taken off the cores where the worker can do that. A run with
    /// an effect goes on: the next attempt asks for its result.
    fn stop_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.completed = true;
        let idempotent = self.settings.classes[request.class].is_idempotent();
        let can_preempt = self.settings.preemption != Preemption::Never;
        if idempotent && request.state == RequestState::Running && can_preempt {
            out.push(Action::Preempt(id));
        }
    }
}
