//! What operators see of the pools: events for the log, and the state as one value for a status command.

use super::limit::SlotLimit;
use super::Pools;
use crate::interface::{AdmissionEvent, PoolLimitCause, PoolLimitChange, PoolPlan, PoolSpec};
use serde::Serialize;

/// Shortest time between two events of a kind about one pool (seconds).
const EVENT_INTERVAL_S: f64 = 1.0;

/// The state of all pools. Slots are run slots on the cores; times are seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolsState {
    /// The limit on runs on the cores.
    pub limit_slots: usize,
    /// What set the limit.
    pub cause: &'static str,
    /// Slots at full speed that the executor is worth.
    pub capacity_slots: f64,
    /// Ended runs a second, in the last review window.
    pub rate_per_s: f64,
    /// The mean length of those runs.
    pub run_s: f64,
    /// The length that they have without contention.
    #[serde(rename = "usual_run_s")]
    pub baseline_run_s: f64,
    /// How often a request of the reserve's pool was left waiting with a reserved slot free.
    pub reserve_kept: u64,
    /// Pools by number.
    pub pools: Vec<PoolState>,
}

/// The state of one pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolState {
    /// The name in the operator's file.
    pub name: String,
    /// Queued requests.
    #[serde(rename = "held")]
    pub queued: usize,
    /// Runs on the cores.
    pub on_cores: usize,
    /// Runs that wait for a downstream call or are in one.
    pub at_calls: usize,
    /// Common slots that the pool has whenever it wants them.
    pub guarantee_slots: f64,
    /// Common slots that it uses at most.
    pub ceiling_slots: usize,
    /// Slots that only this pool uses.
    pub reserve_slots: usize,
    /// Common slots beyond the guarantee.
    pub borrowed_slots: f64,
    /// Slot seconds that the pool missed and may make up for; below 0 it had more than its guarantee while others
    /// went short.
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

/// When a pool's rejections were last reported, and how many there were by then.
#[derive(Clone, Copy, Debug)]
struct ReportedRejections {
    at: f64,
    rejected: u64,
}

/// Events that wait to be taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Report {
    events: Vec<AdmissionEvent>,
    /// The limit before the changes that no event reports yet.
    limit_before: Option<usize>,
    limit_reported_at: Option<f64>,
    /// By pool.
    rejections: Vec<ReportedRejections>,
}

impl Report {
    /// Notes that the limit has changed from this one.
    pub(super) fn limit_changed(&mut self, before: usize) {
        self.limit_before.get_or_insert(before);
    }

    /// Adds the events that are due.
    pub(super) fn update(&mut self, now: f64, limit: &SlotLimit, plan: &PoolPlan, queues: &[QueueCounts]) {
        self.report_limit(now, limit);
        self.rejections.resize(queues.len(), ReportedRejections { at: f64::NEG_INFINITY, rejected: 0 });
        for (pool, queue) in queues.iter().enumerate() {
            self.report_rejections(now, pool, &plan.pools[pool], *queue);
        }
    }

    fn report_limit(&mut self, now: f64, limit: &SlotLimit) {
        // A calibration is over within a window or two: the executor is taken to be worth what it was.
        let due = self.limit_reported_at.is_none_or(|at| is_due(now, at));
        if !due || limit.cause() == PoolLimitCause::Calibration {
            return;
        }
        let Some(before) = self.limit_before.take().filter(|before| *before != limit.slots()) else { return };
        let measured = limit.measured();
        self.limit_reported_at = Some(now);
        self.events.push(AdmissionEvent::PoolLimitChanged(PoolLimitChange {
            limit: limit.slots(),
            previous: before,
            cause: limit.cause(),
            capacity: limit.capacity(),
            rate_per_s: measured.rate_per_s,
            run_s: measured.run_s,
            baseline_run_s: measured.baseline_s,
            on_cores: measured.on_cores,
        }));
    }

    fn report_rejections(&mut self, now: f64, pool: usize, item: &PoolSpec, queue: QueueCounts) {
        let reported = &mut self.rejections[pool];
        // A new plan may have begun the count anew.
        reported.rejected = reported.rejected.min(queue.rejected);
        if queue.rejected > reported.rejected && is_due(now, reported.at) {
            self.events.push(AdmissionEvent::PoolRequestsRejected {
                pool: item.name.clone(),
                rejected: queue.rejected - reported.rejected,
                queued: queue.queued,
                queue_capacity: item.queue_capacity,
            });
            *reported = ReportedRejections { at: now, rejected: queue.rejected };
        }
    }

    /// Takes the events.
    pub(super) fn take(&mut self) -> Vec<AdmissionEvent> {
        std::mem::take(&mut self.events)
    }
}

fn is_due(now: f64, reported_at: f64) -> bool {
    now - reported_at >= EVENT_INTERVAL_S
}

impl Pools {
    /// The state of the limit and of each pool.
    #[must_use]
    pub fn state(&self) -> PoolsState {
        let measured = self.limit.measured();
        let state_of = |pool: usize| PoolState {
            name: self.plan.pools[pool].name.clone(),
            queued: self.queued(pool),
            on_cores: self.on_cores(pool),
            at_calls: self.counts[pool].at_call,
            guarantee_slots: self.guarantee(pool),
            ceiling_slots: self.ceiling(pool),
            reserve_slots: self.reserve_of(pool),
            borrowed_slots: (self.used(pool) as f64 - self.guarantee(pool)).max(0.0),
            credit_slot_s: self.accounts[pool].credit_slot_s,
            started: self.accounts[pool].started,
            rejected: self.accounts[pool].rejected,
        };
        PoolsState {
            limit_slots: self.limit(),
            cause: self.limit.cause().as_str(),
            capacity_slots: self.limit.capacity(),
            rate_per_s: measured.rate_per_s,
            run_s: measured.run_s,
            baseline_run_s: measured.baseline_s,
            reserve_kept: self.reserve_kept,
            pools: self.indices().map(state_of).collect(),
        }
    }
}
