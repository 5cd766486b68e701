//! Queued requests: which ones start, and which ones are rejected to free memory or during a run fault.

use super::Controller;
use crate::admission::request::{Request, RequestState};
use crate::admission::run_slots::Startable;
use crate::interface::{Action, Class, RequestId};

impl Controller {
    /// Fills free slots, the oldest request of the highest non-empty tier first. Requests that can't end in time are
    /// rejected. While no run is on the cores, a request that is expected to miss its objective starts nevertheless,
    /// unless the objective has already passed: a worker that starts none would never measure that its runs have become
    /// short again.
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
        let Some(entry_id) = request.entry_id else { return };
        for waiting in self.idempotency.run_started(entry_id) {
            out.push(Action::ShareResponse(waiting));
            self.transition(waiting, Some(RequestState::SharingResponse));
        }
    }

    fn next_to_start(&mut self) -> Option<RequestId> {
        let running = self.running();
        let other_running = self.other_process.running();
        let Controller { requests, settings, downstream, run_slots, .. } = self;
        // A run that needs a downstream call and would only wait for it stays in the queue.
        let can_proceed = |request: &Request| {
            let waiting_for_call = requests.waiting_for_call_in(request.tier + 1);
            !settings.classes[request.class].needs_call() || !downstream.is_saturated(waiting_for_call)
        };
        let startable = requests
            .queued()
            .filter(|id| can_proceed(&requests[*id]))
            .map(|id| Startable { id, class: requests[id].class });
        run_slots.choose(self.now, running, other_running, startable)
    }

    fn cannot_end_in_time(&self, request: &Request) -> bool {
        let ends_at = self.now + self.expected_run_s(request);
        if self.shutdown.ends_too_late(ends_at) {
            return true;
        }
        let is_late = ends_at > request.objective_deadline;
        is_late && (self.running() > 0 || self.now > request.objective_deadline)
    }

    /// Whether the machine can take another run. Runs that make or wait for downstream calls count, since they return
    /// to the cores.
    fn has_room_for_run(&self, request: &Request) -> bool {
        let calling_or_waiting = self.requests.calling() + self.requests.waiting_for_call().count();
        let runs = self.running() + calling_or_waiting;
        runs < self.run_slots.survivable_runs(self.now)
            && self.memory.has_room_to_start(request, self.memory_kb())
    }

    /// While runs fail or stall, rejects queued requests, which other workers may serve; one request at a time stays as a
    /// probe. Probes are idempotent, since they may fail, unless no class is: a worker without probes would never show
    /// that it has recovered. If the fleet is full and runs still end, all idempotent requests stay, since other workers
    /// would reject them too and some of them may succeed here.
    pub(super) fn reject_queued_during_run_fault(&mut self, out: &mut Vec<Action>) {
        if !self.health.has_run_fault() {
            return;
        }
        let keeps_idempotent = self.is_fleet_full() && self.health.is_completing_runs();
        let has_idempotent_class = self.settings.classes.iter().any(Class::is_idempotent);
        let queued: Vec<RequestId> = self.requests.queued().collect();
        for id in queued {
            let is_idempotent = self.class_of(id).is_idempotent();
            let may_probe = self.health.is_probe_due(self.now) && (is_idempotent || !has_idempotent_class);
            if may_probe || keeps_idempotent && is_idempotent {
                self.health.probe_admitted(self.now);
            } else {
                self.reject(id, out);
            }
        }
    }

    /// Enforces the memory limit: evicts requests that have not started, the lowest tier and the newest first.
    /// Attempts that share a response are evicted too, since a burst of them would fill the memory.
    pub(super) fn enforce_memory_limit(&mut self, out: &mut Vec<Action>) {
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
