//! Class pools: the number of run slots, and their division among classes of requests.
//!
//! The admission controller uses them as one of its limits: [`Pools::choose`] returns the request to start next,
//! [`Pools::expected_slots`] the number of slots that an arrival of a class can expect, [`Pools::is_queue_full`] whether
//! its queue is at capacity. The controller reports every change of a request's stage ([`Pools::record_transition`]),
//! every ended run ([`Pools::run_ended`]) and the passage of time ([`Pools::advance`]). Nothing here reads a clock, draws
//! random numbers or performs I/O.
//!
//! The reserve belongs to one pool and is never used by another; the remaining slots are common. Each pool gets its
//! guarantee of the common slots whenever it wants them, and lends what it does not want. Running work can't be stopped,
//! so a pool may have to wait for slots of its guarantee: the slot seconds that it misses are its credit, and it takes
//! precedence until the credit is used up. Slots that no guarantee claims are divided by weight among the pools that want
//! them. Among the pools that may start a run, the oldest request of the highest tier starts first.
#![warn(missing_docs)]

mod choice;
mod counts;
mod credit;
pub mod limit;
mod report;
mod slots;
#[cfg(test)]
mod tests;

pub use counts::PoolStage;
pub use report::{PoolState, PoolsState};

use crate::interface::{AdmissionEvent, PoolPlan};
use counts::Counts;
use credit::Account;
use limit::{LimitSettings, SlotLimit};

/// Tolerance for rounding errors in fractional slot counts.
const EPSILON: f64 = 1e-9;

/// The pools of one worker.
#[derive(Clone, Debug)]
pub struct Pools {
    plan: PoolPlan,
    /// Counts by class. Unlike the pools, the classes are the same in every plan.
    class_counts: Vec<Counts>,
    /// Counts by pool: the sums over its classes.
    pool_counts: Vec<Counts>,
    /// The sum over all classes.
    total_counts: Counts,
    /// By pool.
    accounts: Vec<Account>,
    limit: SlotLimit,
    /// Number of concurrent runs that the executor survives for certain, as last passed in.
    survivable_runs: usize,
    /// Whether requests wait only because of the limit.
    limit_reached: bool,
    /// How often a request of the pool that owns the reserve waited although a reserved slot was free.
    idle_reserve_waits: u64,
    report: report::Report,
}

impl Pools {
    /// Creates pools without requests. `initial_lengths_s` are initial estimates of the run lengths, by class (seconds).
    #[must_use]
    pub fn new(plan: PoolPlan, initial_lengths_s: &[f64], survivable_runs: usize) -> Pools {
        Pools {
            class_counts: vec![Counts::default(); initial_lengths_s.len()],
            pool_counts: vec![Counts::default(); plan.pools.len()],
            total_counts: Counts::default(),
            accounts: vec![Account::default(); plan.pools.len()],
            limit: SlotLimit::new(limit_settings(&plan), initial_lengths_s),
            plan,
            survivable_runs,
            limit_reached: false,
            idle_reserve_waits: 0,
            report: report::Report::default(),
        }
    }

    /// Replaces the plan, also while runs are in progress. Requests are counted by class, so no count is lost. The limit
    /// keeps what it has learned, and a pool of the same name keeps its credit and counters.
    pub fn apply_plan(&mut self, plan: PoolPlan) {
        let account_of = |name: &str| {
            let index = self.plan.pools.iter().position(|pool| pool.name == name);
            index.map(|index| self.accounts[index].clone()).unwrap_or_default()
        };
        self.accounts = plan.pools.iter().map(|pool| account_of(&pool.name)).collect();
        self.plan = plan;
        self.pool_counts = vec![Counts::default(); self.plan.pools.len()];
        for class in 0..self.class_counts.len() {
            let pool = self.pool_of(class);
            self.pool_counts[pool] += self.class_counts[class];
        }
        let before = self.limit();
        self.limit.set_settings(limit_settings(&self.plan), self.survivable_runs);
        self.report.limit_changed(before);
    }

    /// Records that a request of this class moved to another stage; `None` stands for a stage that is not counted.
    pub fn record_transition(&mut self, class: usize, from: Option<PoolStage>, to: Option<PoolStage>) {
        let pool = self.pool_of(class);
        let (Some(of_class), Some(of_pool)) =
            (self.class_counts.get_mut(class), self.pool_counts.get_mut(pool))
        else {
            return;
        };
        of_class.record_transition(from, to);
        of_pool.record_transition(from, to);
        self.total_counts.record_transition(from, to);
        if (from, to) == (Some(PoolStage::Queued), Some(PoolStage::OnCores)) {
            self.accounts[pool].started += 1;
        }
    }

    /// Records the end of a run of this class; `length_s` is its time on the cores (seconds).
    pub fn run_ended(&mut self, class: usize, length_s: f64) {
        self.limit.run_ended(class, length_s);
    }

    /// Counts a rejected request of this class.
    pub fn count_rejection(&mut self, class: usize) {
        let pool = self.pool_of(class);
        self.accounts[pool].rejected += 1;
    }

    /// Reviews the limit. To be called at each wake-up.
    pub fn review(&mut self, now: f64, survivable_runs: usize) {
        self.survivable_runs = survivable_runs;
        let before = self.limit();
        if self.limit.review(self.total_counts.on_cores, survivable_runs) {
            self.report.limit_changed(before);
        }
        let queue =
            |pool| report::QueueCounts { queued: self.queued(pool), rejected: self.accounts[pool].rejected };
        let queues: Vec<report::QueueCounts> = self.indices().map(queue).collect();
        self.report.update(now, &self.limit, &self.plan, &queues);
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<AdmissionEvent> {
        self.report.take()
    }
}

fn limit_settings(plan: &PoolPlan) -> LimitSettings {
    LimitSettings {
        min_slots: plan.min_slots.max(1),
        max_slots: plan.max_slots.max(plan.min_slots).max(1),
        window_s: plan.window_s,
        review_s: plan.review_s,
        min_samples: plan.min_samples.max(1) as f64,
        slow_ratio: plan.slow_ratio,
    }
}
