//! Credits of pools: slot seconds that a pool missed while other pools used slots of its guarantee.

use super::{Pools, EPSILON};

/// Bound on credit and debt: this many mean run lengths on each slot of the guarantee and on one slot more.
const MAX_CREDIT_RUNS: f64 = 1.0;
/// Time constant with which the credit of a pool that wants no slot, and any debt, decays (seconds).
const CREDIT_TIME_CONSTANT_S: f64 = 5.0;
/// Credits smaller than this are set to 0 (slot seconds).
const MIN_CREDIT_SLOT_S: f64 = 1e-6;

/// A pool's credit, its demand, and its request counters.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Slot seconds that the pool missed. Negative (a debt) if it used more than its guarantee while others got less than
    /// theirs.
    pub(super) credit_slot_s: f64,
    /// Whether it has a request that would start if a slot were available.
    pub(super) wants_slot: bool,
    pub(super) rejected: u64,
    pub(super) started: u64,
}

impl Pools {
    /// Advances time. The credit of a pool grows while it wants slots and has fewer than its guarantee.
    pub fn advance(&mut self, elapsed_s: f64) {
        if elapsed_s <= 0.0 {
            return;
        }
        self.limit.advance(elapsed_s, self.total_counts.on_cores, self.limit_reached);
        // Fast path, the usual case without overload: no pool wants a slot and none has credit or debt.
        if self.accounts.iter().all(|account| !account.wants_slot && account.credit_slot_s == 0.0) {
            return;
        }
        // After the limit falls, more slots may be in use than it allows. A pool only gets a debt from that while another
        // pool is underserved.
        let underserved_pools = self.indices().filter(|pool| self.is_underserved(*pool)).count();
        let mean_run_s = self.mean_run_s();
        for pool in self.indices() {
            let others_underserved = underserved_pools > usize::from(self.is_underserved(pool));
            self.accounts[pool].credit_slot_s =
                self.updated_credit(pool, others_underserved, mean_run_s, elapsed_s);
        }
    }

    fn updated_credit(&self, pool: usize, others_underserved: bool, mean_run_s: f64, elapsed_s: f64) -> f64 {
        let max_credit = (self.guarantee(pool) + 1.0) * MAX_CREDIT_RUNS * mean_run_s;
        let shortfall = self.shortfall(pool);
        let wants_slot = self.accounts[pool].wants_slot;
        let mut credit = self.accounts[pool].credit_slot_s;
        if wants_slot && shortfall > 0.0 {
            credit += shortfall * elapsed_s;
        } else if shortfall < 0.0 && (credit > 0.0 || others_underserved) {
            // The pool uses up its credit, or runs on slots that another pool wants.
            let min_credit = if others_underserved { -max_credit } else { 0.0 };
            credit = (credit + shortfall * elapsed_s).max(min_credit.min(credit));
        } else if !wants_slot || credit < 0.0 {
            credit *= (-elapsed_s / CREDIT_TIME_CONSTANT_S).exp();
        }
        if credit.abs() < MIN_CREDIT_SLOT_S {
            0.0
        } else {
            credit.clamp(-max_credit, max_credit)
        }
    }

    /// Whether a pool wants slots and has fewer than its guarantee.
    fn is_underserved(&self, pool: usize) -> bool {
        self.accounts[pool].wants_slot && self.shortfall(pool) > EPSILON
    }

    /// Number of common slots by which a pool is below its guarantee.
    fn shortfall(&self, pool: usize) -> f64 {
        self.guarantee(pool) - self.common_in_use(pool) as f64
    }

    /// Mean baseline length of running and queued requests (seconds).
    pub(super) fn mean_run_s(&self) -> f64 {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (class, counts) in self.class_counts.iter().enumerate() {
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
