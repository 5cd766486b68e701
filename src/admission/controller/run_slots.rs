//! Run slots: how many there are where no pools are set up, and which queued request starts next.

use super::{Controller, MAX_SHARE_OF_MEMORY, SHUTDOWN_MARGIN_S};
use crate::admission::request::{Request, RequestState};
use crate::admission::run_length::follow_baseline;
use crate::interface::{Action, Gauges, RequestId};

/// How often the run limit is adjusted (seconds).
const LIMIT_WINDOW_S: f64 = 0.5;
/// Cores count as busy from this share on.
const BUSY_SHARE: f64 = 0.95;

/// The run limit and the evidence of its window.
#[derive(Default)]
pub(super) struct RunLimit {
    pub(super) runs: usize,
    pub(super) window_ends: f64,
    /// Runs that ended in this window and in the one before.
    pub(super) ended: u32,
    ended_before: u32,
}

impl RunLimit {
    pub(super) fn new(runs: usize, now: f64) -> Self {
        RunLimit { runs, window_ends: now + LIMIT_WINDOW_S, ..RunLimit::default() }
    }
}

impl Controller {
    /// Up a step while cores idle with work queued, down only when they are busy and completions stop rising.
    /// Not up while sick: hung runs leave the cores idle.
    pub(super) fn adjust_run_limit(&mut self, gauges: &Gauges) {
        let busy = gauges.cores_busy.unwrap_or(1.0) >= BUSY_SHARE;
        // Work that is queued because of a downstream call asks for no run slot.
        let wants_slots = self.requests.has_queued() && self.running() >= self.run_limit.runs;
        let min_runs = self.settings.cores.max(1) as usize;
        let idle = gauges.runnable.map_or(!busy, |runnable| runnable < min_runs as f64);
        let completions_rise = self.run_limit.ended > self.run_limit.ended_before;
        let mut runs = self.run_limit.runs;
        if idle && wants_slots && self.well {
            runs += 1;
        } else if busy && !completions_rise && runs > min_runs {
            runs -= 1;
        }
        runs = runs.min(self.survivable_runs()).max(min_runs);
        self.run_limit.runs = self.pools.as_ref().map_or(runs, |pools| pools.limit());
        self.baseline_run_s = follow_baseline(self.baseline_run_s, self.run_lengths.mean_s());
        self.run_limit.ended_before = self.run_limit.ended;
        self.run_limit.ended = 0;
        self.run_limit.window_ends = self.now + LIMIT_WINDOW_S;
    }

    /// A free slot starts the oldest of the highest non-empty tier. What can't end in time is rejected, but
    /// for one run at a time: else a worker would never learn that it is quick again.
    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.next_to_start() {
            let request = self.requests[id];
            if self.cannot_end_in_time(&request) {
                self.reject(id, out);
                continue;
            } else if !self.has_room_for_run(&request) {
                return;
            }
            out.push(Action::Start(id));
            self.transition(id, Some(RequestState::Running));
            let Some(entry_id) = request.entry else { continue };
            for waiting in self.idempotency.run_started(entry_id) {
                out.push(Action::ShareResponse(waiting));
                self.transition(waiting, Some(RequestState::SharingResponse));
            }
        }
    }

    fn cannot_end_in_time(&self, request: &Request) -> bool {
        let ends_at = self.now + self.expected_run_s(request);
        let late = ends_at > request.objective_at;
        let hopeless = late && (self.running() > 0 || self.now > request.objective_at);
        hopeless || self.shutdown.is_some_and(|notice| ends_at > notice.stop - SHUTDOWN_MARGIN_S)
    }

    /// Runs in and before downstream calls count: they come back to the cores.
    fn has_room_for_run(&self, request: &Request) -> bool {
        let runs = self.running() + self.requests.calling() + self.requests.waiting_for_call().count();
        let more_kb = request.kb * (self.settings.run_factor - 1.0).max(0.0);
        let max_kb = self.settings.memory_kb * MAX_SHARE_OF_MEMORY;
        runs < self.survivable_runs() && self.memory_kb() + more_kb <= max_kb
    }

    fn next_to_start(&mut self) -> Option<RequestId> {
        let max_runs = self.survivable_runs().saturating_sub(self.other_process.running);
        // The pools are taken out while the iterator over queued requests reads the rest of the controller.
        let mut pools = self.pools.take();
        let mut startable = self.requests.queued().filter(|id| self.can_go_through(*id));
        let next = match &mut pools {
            Some(pools) => pools.choose(startable.map(|id| (id, self.requests[id].class)), max_runs),
            None if self.running() < self.run_limit.runs => startable.next(),
            None => None,
        };
        self.pools = pools;
        next
    }

    /// Whether the run would not just wait for a downstream call that it needs.
    fn can_go_through(&self, id: RequestId) -> bool {
        let request = &self.requests[id];
        let class = self.class(request.class);
        !class.calls || class.skipped_call_weight > 0.0 || !self.downstream_saturated(request.tier)
    }
}
