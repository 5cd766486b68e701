//! Credits of pools: slot seconds that they missed while others ran on slots of their guarantee.

use super::{Pools, EPSILON};

/// A credit or debt is at most this many mean runs of the pool's guarantee and one slot more.
const MAX_CREDIT_RUNS: f64 = 1.0;
/// The credit of a pool that wants nothing fades over this time (seconds).
const CREDIT_MEMORY_S: f64 = 5.0;
/// A credit under this is none (slot seconds).
const MIN_CREDIT_SLOT_S: f64 = 1e-6;

/// A pool's credit, whether it wants slots, and counts of its requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Slot seconds that the pool missed; below 0 it has had more than its guarantee while others went short.
    pub(super) credit_slot_s: f64,
    /// It has a request that could start, were there a slot for it.
    pub(super) wants_slot: bool,
    pub(super) rejected: u64,
    pub(super) started: u64,
}

impl Pools {
    /// Time passes. Credits grow while pools want slots and stay under their guarantee.
    pub fn advance(&mut self, elapsed_s: f64) {
        if elapsed_s <= 0.0 {
            return;
        }
        self.limit.advance(elapsed_s, self.all.on_cores, self.limit_reached);
        // No pool wants a slot and none has a credit: the usual case without overload.
        if self.accounts.iter().all(|account| !account.wants_slot && account.credit_slot_s == 0.0) {
            return;
        }
        // More than the common slots may be in use after the limit fell: that alone makes no debt.
        let pools_short = self.indices().filter(|pool| self.goes_short(*pool)).count();
        let mean_run_s = self.mean_run_s();
        for pool in self.indices() {
            let others_short = pools_short > usize::from(self.goes_short(pool));
            self.accounts[pool].credit_slot_s = self.next_credit(pool, others_short, mean_run_s, elapsed_s);
        }
    }

    fn next_credit(&self, pool: usize, others_short: bool, mean_run_s: f64, elapsed_s: f64) -> f64 {
        let max_credit = (self.guarantee(pool) + 1.0) * MAX_CREDIT_RUNS * mean_run_s;
        let shortfall = self.shortfall(pool);
        let wants_slot = self.accounts[pool].wants_slot;
        let mut credit = self.accounts[pool].credit_slot_s;
        if wants_slot && shortfall > 0.0 {
            credit += shortfall * elapsed_s;
        } else if shortfall < 0.0 && (credit > 0.0 || others_short) {
            // It uses up its credit, or it runs on slots that another pool wants.
            let min_credit = if others_short { -max_credit } else { 0.0 };
            credit = (credit + shortfall * elapsed_s).max(min_credit.min(credit));
        } else if !wants_slot || credit < 0.0 {
            credit *= (-elapsed_s / CREDIT_MEMORY_S).exp();
        }
        if credit.abs() < MIN_CREDIT_SLOT_S {
            0.0
        } else {
            credit.clamp(-max_credit, max_credit)
        }
    }

    fn goes_short(&self, pool: usize) -> bool {
        self.accounts[pool].wants_slot && self.shortfall(pool) > EPSILON
    }

    /// The common slots by which a pool is under its guarantee.
    fn shortfall(&self, pool: usize) -> f64 {
        self.guarantee(pool) - self.used(pool) as f64
    }

    /// The mean baseline length of what runs and what is queued (seconds).
    pub(super) fn mean_run_s(&self) -> f64 {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (class, counts) in self.classes.iter().enumerate() {
            let weight = (counts.on_cores + counts.queued) as f64 + EPSILON;
            sum += self.limit.baseline_s(class) * weight;
            weights += weight;
        }
        if weights > 0.0 {
            sum / weights
        } else {
            1.0
        }
    }
}
