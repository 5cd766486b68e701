//! Run slots: the number of concurrent runs, and which queued request starts next.
//!
//! If the operator has configured class pools, they select the class that may start and set the number of runs;
//! otherwise one limit applies to all classes.

use crate::admission::request_table::{RequestTable, Transition};
use crate::admission::run_length::RunLengths;
use crate::admission::run_limit::{RunLimit, SlotDemand};
use crate::admission::survivable_runs::SurvivableRuns;
use crate::interface::{AdmissionEvent, Gauges, PoolPlan, RequestId, Settings};
use crate::pools::Pools;

/// A queued request that could start.
#[derive(Clone, Copy)]
pub(super) struct Startable {
    pub(super) id: RequestId,
    pub(super) class: usize,
}

/// The run slots of this worker.
pub(super) struct RunSlots {
    survivable: SurvivableRuns,
    limit: RunLimit,
    pools: Option<Pools>,
}

impl RunSlots {
    /// Starts without pools; see [`RunSlots::set_pools`].
    pub(super) fn new(settings: &Settings, now: f64) -> Self {
        RunSlots {
            survivable: SurvivableRuns::new(settings, now),
            limit: RunLimit::new(settings.cores.max(1) as usize, now),
            pools: None,
        }
    }

    pub(super) fn pools(&self) -> Option<&Pools> {
        self.pools.as_ref()
    }

    /// The limit on runs; with pools it follows their limit.
    pub(super) fn limit(&self) -> usize {
        self.limit.runs()
    }

    /// The number of concurrent runs that the machine survives for certain. Runs that make or wait for downstream calls
    /// count, since they return to the cores.
    pub(super) fn survivable_runs(&self, now: f64) -> usize {
        self.survivable.at(now)
    }

    /// Replaces the pools, or removes them (`None`). Runs and queues are not affected.
    pub(super) fn set_pools(
        &mut self,
        plan: Option<PoolPlan>,
        now: f64,
        run_lengths: &RunLengths,
        requests: &RequestTable,
    ) {
        let Some(plan) = plan else {
            self.pools = None;
            return;
        };
        if let Some(pools) = &mut self.pools {
            pools.apply_plan(plan);
            return;
        }
        let mut pools = Pools::new(plan, &run_lengths.means_s(), self.survivable.at(now));
        for (_, request) in requests.iter() {
            pools.record_transition(request.class, None, request.state.pool_stage());
        }
        self.pools = Some(pools);
    }

    /// Advances the clock.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        if let Some(pools) = &mut self.pools {
            pools.advance(elapsed_s);
        }
    }

    /// Updates the counts of the pools after a change of state.
    pub(super) fn request_moved(&mut self, transition: &Transition) {
        if let Some(pools) = &mut self.pools {
            pools.record_transition(transition.class, transition.from, transition.to);
        }
    }

    /// Records a run of this class that has ended after `length_s` on the cores.
    pub(super) fn run_ended(&mut self, class: usize, length_s: f64) {
        if let Some(pools) = &mut self.pools {
            pools.run_ended(class, length_s);
        }
    }

    /// Counts a run that has ended without being cancelled: the limit is adjusted to maximize such completions.
    pub(super) fn count_completed_run(&mut self) {
        self.limit.count_ended_run();
    }

    /// Counts a rejected request of this class.
    pub(super) fn count_rejection(&mut self, class: usize) {
        if let Some(pools) = &mut self.pools {
            pools.count_rejection(class);
        }
    }

    /// Lets the pools review their limit, and returns the events to report to operators.
    pub(super) fn review_pools(&mut self, now: f64) -> Vec<AdmissionEvent> {
        let survivable_runs = self.survivable.at(now);
        let Some(pools) = &mut self.pools else { return Vec::new() };
        pools.review(now, survivable_runs);
        pools.take_events()
    }

    /// Whether the present review window has ended.
    pub(super) fn is_review_due(&self, now: f64) -> bool {
        self.limit.is_review_due(now)
    }

    /// Adjusts the limit at the end of a window.
    pub(super) fn review_limit(&mut self, now: f64, gauges: &Gauges, demand: SlotDemand, healthy: bool) {
        self.limit.review(now, gauges, demand, healthy, self.survivable.at(now));
        if let Some(pools) = &self.pools {
            self.limit.set(pools.limit());
        }
    }

    /// Whether a request of this class that arrives now would start immediately.
    pub(super) fn starts_at_once(&self, class: usize, demand: SlotDemand) -> bool {
        match &self.pools {
            Some(pools) => pools.starts_at_once(class),
            None => demand.running < self.limit.runs() && !demand.has_queued,
        }
    }

    /// Whether the queue of this class's pool is full.
    pub(super) fn is_queue_full(&self, class: usize) -> bool {
        self.pools.as_ref().is_some_and(|pools| pools.is_queue_full(class))
    }

    /// Whether two classes compete for the same run slots.
    pub(super) fn share_run_slots(&self, class: usize, other: usize) -> bool {
        self.pools.as_ref().is_none_or(|pools| pools.in_same_pool(other, class))
    }

    /// Runs per second: slots divided by the mean time on the cores, without waits for calls. With pools, the slots are
    /// those that the pool of this class can expect.
    pub(super) fn service_rate(&self, class: usize, run_lengths: &RunLengths) -> f64 {
        match &self.pools {
            Some(pools) => {
                pools.expected_slots(class) / run_lengths.mean_s_of(|other| pools.in_same_pool(other, class))
            }
            None => self.limit.runs() as f64 / run_lengths.mean_s(),
        }
    }

    /// The request to start next, if a slot is free for one. `startable` is ordered by tier, highest first, then by
    /// age, oldest first.
    pub(super) fn choose(
        &mut self,
        now: f64,
        running: usize,
        other_running: usize,
        mut startable: impl Iterator<Item = Startable>,
    ) -> Option<RequestId> {
        if let Some(pools) = &mut self.pools {
            let survivable_runs = self.survivable.at(now).saturating_sub(other_running);
            return pools.choose(startable.map(|request| (request.id, request.class)), survivable_runs);
        }
        if running < self.limit.runs() {
            startable.next().map(|request| request.id)
        } else {
            None
        }
    }

    /// Adopts a predecessor's limit, bounded by the survivable runs; a higher present limit is kept.
    pub(super) fn adopt(&mut self, runs: usize, now: f64) {
        self.limit.set(runs.min(self.survivable.at(now)).max(self.limit.runs()));
    }
}
