//! Queued requests: which start, and which are rejected to make room or because runs are at fault.

use super::Controller;
use crate::admission::request::{Request, RequestState};
use crate::admission::run_slots::Startable;
use crate::interface::{Action, RequestId};

impl Controller {
    /// A free slot starts the oldest of the highest non-empty tier. What can't end in time is rejected, but for one run
    /// at a time: else a worker would never learn that it is quick again.
    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.next_to_start() {
            let request = self.requests[id];
            if self.cannot_end_in_time(&request) {
                self.reject(id, out);
                continue;
            }
            if !self.has_room_for_run(&request) {
                return;
            }
            self.start(id, &request, out);
        }
    }

    fn start(&mut self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        out.push(Action::Start(id));
        self.transition(id, Some(RequestState::Running));
        let Some(entry_id) = request.entry else { return };
        for waiting in self.idempotency.run_started(entry_id) {
            out.push(Action::ShareResponse(waiting));
            self.transition(waiting, Some(RequestState::SharingResponse));
        }
    }

    fn next_to_start(&mut self) -> Option<RequestId> {
        let running = self.running();
        let running_elsewhere = self.other_process.running();
        let Controller { requests, settings, downstream, run_slots, .. } = self;
        // A run that would only wait for a downstream call that it needs is left in the queue.
        let can_proceed = |request: &Request| {
            let waiting_for_call = requests.waiting_for_call_in(request.tier + 1);
            !settings.classes[request.class].needs_call() || !downstream.is_saturated(waiting_for_call)
        };
        let startable = requests
            .queued()
            .filter(|id| can_proceed(&requests[*id]))
            .map(|id| Startable { id, class: requests[id].class });
        run_slots.choose(self.now, running, running_elsewhere, startable)
    }

    fn cannot_end_in_time(&self, request: &Request) -> bool {
        let ends_at = self.now + self.expected_run_s(request);
        if self.shutdown.ends_too_late(ends_at) {
            return true;
        }
        let is_late = ends_at > request.objective_at;
        is_late && (self.running() > 0 || self.now > request.objective_at)
    }

    /// Runs in and before downstream calls count: they come back to the cores.
    fn has_room_for_run(&self, request: &Request) -> bool {
        let at_calls = self.requests.calling() + self.requests.waiting_for_call().count();
        let runs = self.running() + at_calls;
        runs < self.run_slots.survivable_runs(self.now)
            && self.memory.has_room_to_start(request, self.memory_kb())
    }

    /// While runs are failing or stalled, what is queued may be served elsewhere; one idempotent request at a time is
    /// kept as a probe. In a full fleet a small chance is better than none: all idempotent requests are kept.
    pub(super) fn drain_queues_during_run_fault(&mut self, out: &mut Vec<Action>) {
        if !self.health.has_run_fault() {
            return;
        }
        let keeps_idempotent = self.is_fleet_full() && self.health.still_ends_runs();
        let queued: Vec<RequestId> = self.requests.queued().collect();
        for id in queued {
            let may_keep = keeps_idempotent || self.health.is_probe_due(self.now);
            if may_keep && self.class_of(id).is_idempotent() {
                self.health.probe_kept(self.now);
            } else {
                self.reject(id, out);
            }
        }
    }

    /// Keeps the memory limit: what has not started goes, the lowest tier and the newest first. Repeated attempts go
    /// too, as a flood of them would fill the memory.
    pub(super) fn evict_lower_tiers(&mut self, out: &mut Vec<Action>) {
        while self.memory.is_exceeded(self.memory_kb()) {
            let unstarted = self.requests.iter().filter(|(_, request)| request.state.is_unstarted());
            let lowest = unstarted.max_by_key(|(id, request)| (request.tier, *id));
            let Some((id, request)) = lowest else { return };
            if request.state == RequestState::SharingResponse {
                self.abandon(id, out);
            } else {
                self.reject(id, out);
            }
        }
    }
}
