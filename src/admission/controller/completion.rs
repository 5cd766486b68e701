//! Ends of requests: completed, disconnected, rejected or abandoned.

use super::Controller;
use crate::admission::request::{RequestState, Tier};
use crate::interface::{Action, Outcome, Preemption, RequestId};

impl Controller {
    /// Handles a disconnected caller: no response is pending any more.
    pub(super) fn caller_disconnected(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.completed = true;
        if !request.state.is_unstarted() {
            self.stop_run(id, out);
            return;
        }
        let pending_key = self.pending_key_of(id);
        self.remove_request(id);
        let Some(entry_id) = pending_key else { return };
        // The caller of the key's holder has disconnected before the holder ran: the oldest waiting attempt becomes the
        // holder.
        if let Some(&next) = self.idempotency.waiting(entry_id).first() {
            self.retain_key(next, entry_id, out);
            self.transition(next, Some(RequestState::Queued));
        } else {
            out.push(Action::ReleaseKey(id));
            self.remove_key(entry_id);
        }
    }

    /// Handles the end of a run or of a shared response.
    pub(super) fn run_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(id).copied() else { return };
        if request.state == RequestState::Running && outcome != Outcome::NotStarted {
            let length_s = request.running_core_time_s(self.now);
            self.run_lengths.run_ended(request.class, request.hint, length_s);
            self.run_slots.run_ended(request.class, length_s);
            // A cancelled run has used the cores, but it is no evidence of success or failure.
            if outcome != Outcome::Cancelled {
                self.health.run_ended(self.now, outcome == Outcome::Error);
                self.run_slots.count_completed_run();
            }
        }
        if request.state == RequestState::Calling {
            self.downstream.call_abandoned(self.now);
        }
        self.remove_request(id);
    }

    /// Rejects a request that has not run, and the attempts that wait for it.
    pub(super) fn reject(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).copied() else { return };
        let pending_key = self.pending_key_of(id);
        let retry_after_s = self.retry_after_s(request.tier, request.class);
        self.run_slots.count_rejection(request.class);
        let stop_retrying = !self.health.has_run_fault() && self.is_fleet_full();
        out.push(Action::Reject { id, retry_after_s, stop_retrying });
        self.remove_request(id);
        let Some(entry_id) = pending_key else { return };
        for waiting in self.idempotency.waiting(entry_id).to_vec() {
            self.reject(waiting, out);
        }
        out.push(Action::ReleaseKey(id));
        self.remove_key(entry_id);
    }

    /// Answers a request whose response is due or no longer useful, and preempts its run if possible. If the request
    /// has started and is idempotent, the answer is a rejection with a Retry-After, otherwise an error. After a burst
    /// or a hang, preemption frees the cores of runs whose response nobody waits for; the cost is that a retry needs a
    /// new run.
    pub(super) fn abandon(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.completed) else { return };
        let unstarted = request.state.is_unstarted();
        let may_run_again = !unstarted && self.class(request.class).is_idempotent();
        // Computed even if it is not sent, since the fleet's policy draws a random number for it.
        let retry_after_s = self.retry_after_s(request.tier, request.class);
        if may_run_again {
            out.push(Action::Reject { id, retry_after_s, stop_retrying: true });
        } else {
            out.push(Action::Fail(id));
        }
        self.stop_run(id, out);
        if unstarted {
            self.remove_request(id);
        }
    }

    /// Marks a request as completed and preempts its run if the worker supports that. Runs of requests that are not
    /// idempotent continue, and the next attempt gets their result.
    fn stop_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.completed = true;
        let idempotent = self.settings.classes[request.class].is_idempotent();
        let can_preempt = self.settings.preemption != Preemption::Never;
        if idempotent && request.state == RequestState::Running && can_preempt {
            out.push(Action::Preempt(id));
        }
    }

    /// The Retry-After for a request of this tier and class (seconds); the maximum while unhealthy.
    fn retry_after_s(&self, tier: Tier, class: usize) -> f64 {
        let max_s = self.retry_after.max_s();
        let standalone_s = if self.health.is_reported_healthy() {
            let queued = self.requests.queued_in(tier + 1);
            let ahead =
                queued.filter(|id| self.run_slots.share_run_slots(class, self.requests[*id].class)).count();
            let service_rate = self.run_slots.service_rate(class, &self.run_lengths);
            self.retry_after.standalone_s(ahead, service_rate, &self.arrivals, self.is_fleet_full())
        } else {
            max_s
        };
        self.fleet.retry_after_s(tier, standalone_s).min(max_s)
    }

    /// The entry of the idempotency key that this request holds, while no attempt with that key has run.
    fn pending_key_of(&self, id: RequestId) -> Option<RequestId> {
        let entry_id = self.requests.get(id)?.entry_id?;
        self.idempotency.is_pending_holder(entry_id, id).then_some(entry_id)
    }

    /// Removes a request. It is released once no idempotency key refers to it.
    fn remove_request(&mut self, id: RequestId) {
        self.transition(id, None);
        let Some(request) = self.requests.remove(id) else { return };
        if let Some(entry_id) = request.entry_id {
            self.idempotency.remove_waiting(entry_id, id);
        }
        if !self.idempotency.contains_attempt(id) {
            self.released.push(id);
        }
    }

    /// Removes a key and releases those of its attempts that have ended.
    pub(super) fn remove_key(&mut self, entry_id: RequestId) {
        let attempts = self.idempotency.remove(entry_id);
        self.released.extend(attempts.into_iter().filter(|attempt| !self.requests.contains(*attempt)));
    }
}
