//! Class pools: who may have a run slot when slots are short, and how many slots there are.
//!
//! The admission controller uses them as one of its limits: [`Pools::choose`] returns the request that may start
//! next, [`Pools::expected_slots`] the slots on which an arrival of a class can count, [`Pools::is_queue_full`]
//! whether its queue is at capacity. The controller passes in every change of a request's place ([`Pools::record_transition`]),
//! every ended run ([`Pools::run_ended`]) and the time ([`Pools::advance`]). Nothing here reads a clock, draws at
//! random or does input or output.
//!
//! Slots are divided so: the reserve belongs to one pool, and no other pool ever uses it; the rest are common. Of the
//! common slots each pool has its guarantee whenever it wants it; what it does not want is lent to others. A pool that
//! wants its guarantee and does not get it, since running work can't be stopped, gets a credit of the slot seconds that
//! it missed, and goes first until the credit is used up. What no guarantee claims is divided by weight among the pools
//! that want some. Among pools that may start, the highest tier's oldest request goes first.
#![warn(missing_docs)]

mod choice;
mod counts;
mod credit;
pub mod limit;
mod report;
mod slots;
#[cfg(test)]
mod tests;

pub use counts::Place;
pub use report::{PoolState, PoolsState};

use crate::interface::{AdmissionEvent, PoolPlan};
use counts::Counts;
use credit::Account;
use limit::{LimitSettings, SlotLimit};

/// Rounding of slot counts.
const EPSILON: f64 = 1e-9;

/// The pools of one worker.
#[derive(Clone, Debug)]
pub struct Pools {
    plan: PoolPlan,
    /// By class, which a new plan leaves as they are.
    classes: Vec<Counts>,
    /// By pool: sums over its classes.
    counts: Vec<Counts>,
    /// The sum over all classes.
    all: Counts,
    /// By pool.
    accounts: Vec<Account>,
    limit: SlotLimit,
    /// The runs that the executor survives for certain, as of the last call.
    survivable_runs: usize,
    /// More would run if the limit let them.
    limit_reached: bool,
    /// How often a request of the reserve's pool was left waiting with a reserved slot free.
    idle_reserve_waits: u64,
    report: report::Report,
}

impl Pools {
    /// Pools without requests; `lengths_s` are first guesses of the classes' run lengths (seconds).
    #[must_use]
    pub fn new(plan: PoolPlan, lengths_s: &[f64], survivable_runs: usize) -> Pools {
        Pools {
            classes: vec![Counts::default(); lengths_s.len()],
            counts: vec![Counts::default(); plan.pools.len()],
            all: Counts::default(),
            accounts: vec![Account::default(); plan.pools.len()],
            limit: SlotLimit::new(limit_settings(&plan), lengths_s),
            plan,
            survivable_runs,
            limit_reached: false,
            idle_reserve_waits: 0,
            report: report::Report::default(),
        }
    }

    /// Takes up another plan while runs are in flight. Counts are kept by class, so none is lost; what the
    /// limit has learned stays, and a pool that keeps its name keeps its credit.
    pub fn apply_plan(&mut self, plan: PoolPlan) {
        let account_of = |name: &str| {
            let index = self.plan.pools.iter().position(|pool| pool.name == name);
            index.map(|index| self.accounts[index].clone()).unwrap_or_default()
        };
        self.accounts = plan.pools.iter().map(|pool| account_of(&pool.name)).collect();
        self.plan = plan;
        self.counts = vec![Counts::default(); self.plan.pools.len()];
        for class in 0..self.classes.len() {
            let pool = self.pool_of(class);
            self.counts[pool] += self.classes[class];
        }
        let before = self.limit();
        self.limit.set_settings(limit_settings(&self.plan), self.survivable_runs);
        self.report.limit_changed(before);
    }

    /// A request of this class has gone from one place to another; `None` is a place that does not count.
    pub fn record_transition(&mut self, class: usize, from: Option<Place>, to: Option<Place>) {
        let pool = self.pool_of(class);
        let (Some(of_class), Some(of_pool)) = (self.classes.get_mut(class), self.counts.get_mut(pool)) else {
            return;
        };
        of_class.move_one(from, to);
        of_pool.move_one(from, to);
        self.all.move_one(from, to);
        if (from, to) == (Some(Place::Queued), Some(Place::OnCores)) {
            self.accounts[pool].started += 1;
        }
    }

    /// A run of this class has ended after so long on the cores (seconds).
    pub fn run_ended(&mut self, class: usize, length_s: f64) {
        self.limit.run_ended(class, length_s);
    }

    /// Counts a rejected request of this class.
    pub fn count_rejection(&mut self, class: usize) {
        let pool = self.pool_of(class);
        self.accounts[pool].rejected += 1;
    }

    /// Reviews the limit; to be called with each wake-up.
    pub fn review(&mut self, now: f64, survivable_runs: usize) {
        self.survivable_runs = survivable_runs;
        let before = self.limit();
        if self.limit.review(self.all.on_cores, survivable_runs) {
            self.report.limit_changed(before);
        }
        let queue =
            |pool| report::QueueCounts { queued: self.queued(pool), rejected: self.accounts[pool].rejected };
        let queues: Vec<report::QueueCounts> = self.indices().map(queue).collect();
        self.report.update(now, &self.limit, &self.plan, &queues);
    }

    /// Events since the last call.
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
