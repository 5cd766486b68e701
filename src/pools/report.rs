//! Reporting of the pools to operators: events for the log, and the state as one value for a status command.

use super::limit::SlotLimit;
use super::Pools;
use crate::interface::{AdmissionEvent, PoolLimitCause, PoolLimitChange, PoolPlan, PoolSpec};
use serde::Serialize;

/// Shortest interval between two events of the same kind about the same pool (seconds).
const EVENT_INTERVAL_S: f64 = 1.0;

/// The state of all pools. Slots are run slots on the cores; times are seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolsState {
    /// The limit on runs on the cores.
    pub limit_slots: usize,
    /// The reason for the present limit.
    pub cause: &'static str,
    /// Estimated capacity of the executor (slots at full speed).
    pub capacity_slots: f64,
    /// Ended runs per second in the last review window.
    pub rate_per_s: f64,
    /// The mean length of those runs (seconds).
    pub run_s: f64,
    /// The mean baseline of those runs, that is, their length without contention (seconds).
    #[serde(rename = "usual_run_s")]
    pub baseline_run_s: f64,
    /// How often a request of the pool that owns the reserve waited although a reserved slot was free.
    #[serde(rename = "reserve_kept")]
    pub idle_reserve_waits: u64,
    /// The pools, by index.
    pub pools: Vec<PoolState>,
}

/// The state of one pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolState {
    /// Its name in the operator's file.
    pub name: String,
    /// Queued requests.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Runs on the cores.
    pub on_cores: usize,
    /// Runs waiting for or making a downstream call.
    pub at_calls: usize,
    /// Common slots that the pool gets whenever it wants them.
    pub guarantee_slots: f64,
    /// Largest number of common slots that it may use.
    pub ceiling_slots: usize,
    /// Slots that only this pool may use.
    pub reserve_slots: usize,
    /// Common slots in use beyond the guarantee.
    pub borrowed_slots: f64,
    /// Slot seconds that the pool missed and may still use. Negative (a debt) if it used more than its guarantee while
    /// others got less than theirs.
    #[serde(rename = "owed_slot_s")]
    pub credit_slot_s: f64,
    /// Started runs.
    pub started: u64,
    /// Rejected requests.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

/// Counts of one pool's queue.
#[derive(Clone, Copy)]
pub(super) struct QueueCounts {
    pub(super) queued: usize,
    pub(super) rejected: u64,
}

/// The last report of a pool's rejections: its time, and the total by then.
#[derive(Clone, Copy, Debug)]
struct ReportedRejections {
    at: f64,
    rejected: u64,
}

/// Pending events, and what was last reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    events: Vec<AdmissionEvent>,
    /// The limit before the changes that have not been reported yet.
    previous_limit: Option<usize>,
    limit_reported_at: Option<f64>,
    /// By pool.
    rejections: Vec<ReportedRejections>,
}

impl Report {
    /// Records that the limit has changed; `before` is its previous value.
    pub(super) fn limit_changed(&mut self, before: usize) {
        self.previous_limit.get_or_insert(before);
    }

    /// Adds the events that are due at `now`.
    pub(super) fn update(&mut self, now: f64, limit: &SlotLimit, plan: &PoolPlan, queues: &[QueueCounts]) {
        self.report_limit(now, limit);
        self.rejections.resize(queues.len(), ReportedRejections { at: f64::NEG_INFINITY, rejected: 0 });
        for (pool, queue) in queues.iter().enumerate() {
            self.report_rejections(now, pool, &plan.pools[pool], *queue);
        }
    }

    fn report_limit(&mut self, now: f64, limit: &SlotLimit) {
        // A calibration lasts a window or two and leaves the estimated capacity as it was, so it is not reported.
        let due = self.limit_reported_at.is_none_or(|at| is_due(now, at));
        if !due || limit.cause() == PoolLimitCause::Calibration {
            return;
        }
        let Some(before) = self.previous_limit.take().filter(|before| *before != limit.slots()) else {
            return;
        };
        let measurements = limit.measurements();
        self.limit_reported_at = Some(now);
        self.events.push(AdmissionEvent::PoolLimitChanged(PoolLimitChange {
            limit: limit.slots(),
            previous: before,
            cause: limit.cause(),
            capacity: limit.capacity(),
            rate_per_s: measurements.rate_per_s,
            run_s: measurements.run_s,
            baseline_run_s: measurements.baseline_s,
            on_cores: measurements.on_cores,
        }));
    }

    fn report_rejections(&mut self, now: f64, pool: usize, spec: &PoolSpec, queue: QueueCounts) {
        let reported = &mut self.rejections[pool];
        // A new plan may have reset the count.
        reported.rejected = reported.rejected.min(queue.rejected);
        if queue.rejected > reported.rejected && is_due(now, reported.at) {
            self.events.push(AdmissionEvent::PoolRequestsRejected {
                pool: spec.name.clone(),
                rejected: queue.rejected - reported.rejected,
                queued: queue.queued,
                queue_capacity: spec.queue_capacity,
            });
            *reported = ReportedRejections { at: now, rejected: queue.rejected };
        }
    }

    /// Removes and returns the pending events.
    pub(super) fn take(&mut self) -> Vec<AdmissionEvent> {
        std::mem::take(&mut self.events)
    }
}

fn is_due(now: f64, reported_at: f64) -> bool {
    now - reported_at >= EVENT_INTERVAL_S
}

impl Pools {
    /// Returns the state of the limit and of each pool.
    #[must_use]
    pub fn state(&self) -> PoolsState {
        let measurements = self.limit.measurements();
        let state_of = |pool: usize| PoolState {
            name: self.plan.pools[pool].name.clone(),
            queued: self.queued(pool),
            on_cores: self.on_cores(pool),
            at_calls: self.pool_counts[pool].at_call,
            guarantee_slots: self.guarantee(pool),
            ceiling_slots: self.ceiling(pool),
            reserve_slots: self.reserved_slots(pool),
            borrowed_slots: (self.common_in_use(pool) as f64 - self.guarantee(pool)).max(0.0),
            credit_slot_s: self.accounts[pool].credit_slot_s,
            started: self.accounts[pool].started,
            rejected: self.accounts[pool].rejected,
        };
        PoolsState {
            limit_slots: self.limit(),
            cause: self.limit.cause().as_str(),
            capacity_slots: self.limit.capacity(),
            rate_per_s: measurements.rate_per_s,
            run_s: measurements.run_s,
            baseline_run_s: measurements.baseline_s,
            idle_reserve_waits: self.idle_reserve_waits,
            pools: self.indices().map(state_of).collect(),
        }
    }
}
