//! Division of the run slots among pools.

use super::{Pools, EPSILON};

/// Lower bound of the expected slots of a pool, so that no expected wait is infinite.
const MIN_EXPECTED_SLOTS: f64 = 0.05;

impl Pools {
    /// The index of the pool of a class.
    pub(super) fn pool_of(&self, class: usize) -> usize {
        self.plan.pool_of.get(class).copied().unwrap_or(0)
    }

    /// Whether two classes share a pool.
    #[must_use]
    pub fn in_same_pool(&self, a: usize, b: usize) -> bool {
        self.pool_of(a) == self.pool_of(b)
    }

    /// The indices of all pools.
    pub(super) fn indices(&self) -> std::ops::Range<usize> {
        0..self.plan.pools.len()
    }

    pub(super) fn queued(&self, pool: usize) -> usize {
        self.pool_counts[pool].queued
    }

    pub(super) fn on_cores(&self, pool: usize) -> usize {
        self.pool_counts[pool].on_cores
    }

    /// The limit on runs on the cores, including the reserve (slots).
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit.slots()
    }

    /// Number of slots reserved for a pool.
    pub(super) fn reserved_slots(&self, pool: usize) -> usize {
        self.plan.reserve.filter(|reserve| reserve.pool == pool).map_or(0, |reserve| reserve.slots)
    }

    /// Number of reserved slots, whichever pool owns them.
    fn total_reserved_slots(&self) -> usize {
        self.plan.reserve.map_or(0, |reserve| reserve.slots)
    }

    /// Whether a slot reserved for this pool is free.
    pub(super) fn reserve_is_free(&self, pool: usize) -> bool {
        self.on_cores(pool) < self.reserved_slots(pool)
    }

    /// Number of slots that all pools share: the limit without the reserve.
    fn common_slots(&self) -> usize {
        self.limit().saturating_sub(self.total_reserved_slots()).max(1)
    }

    /// Number of common slots that a pool uses.
    pub(super) fn common_in_use(&self, pool: usize) -> usize {
        self.on_cores(pool).saturating_sub(self.reserved_slots(pool))
    }

    /// Number of common slots that no pool uses.
    pub(super) fn free_common_slots(&self) -> usize {
        self.common_slots().saturating_sub(self.indices().map(|pool| self.common_in_use(pool)).sum())
    }

    /// Number of common slots that a pool gets whenever it wants them.
    pub(super) fn guarantee(&self, pool: usize) -> f64 {
        self.plan.pools[pool].guarantee * self.common_slots() as f64
    }

    /// Largest number of common slots that a pool may use. Fractions are rounded up, so that the ceiling is never below
    /// the guarantee and a pool may always use one slot.
    pub(super) fn ceiling(&self, pool: usize) -> usize {
        let slots = (self.plan.pools[pool].ceiling * self.common_slots() as f64 - EPSILON).ceil() as usize;
        slots.max(1)
    }

    /// Whether the queue of this class's pool is at capacity.
    #[must_use]
    pub fn is_queue_full(&self, class: usize) -> bool {
        let pool = self.pool_of(class);
        self.queued(pool) >= self.plan.pools[pool].queue_capacity
    }

    /// Whether a request of this class that arrived now would start at once.
    #[must_use]
    pub fn starts_at_once(&self, class: usize) -> bool {
        let pool = self.pool_of(class);
        if self.queued(pool) > 0 {
            return false;
        }
        self.reserve_is_free(pool) || self.may_take_common_slot(pool)
    }

    /// Whether a pool may take a common slot for one more run. Beyond its guarantee, other pools that have requests queued
    /// and are below their ceilings take precedence.
    fn may_take_common_slot(&self, pool: usize) -> bool {
        if self.free_common_slots() == 0 || self.common_in_use(pool) >= self.ceiling(pool) {
            return false;
        }
        let is_guaranteed = (self.common_in_use(pool) as f64) + 1.0 <= self.guarantee(pool) + EPSILON;
        let may_take_slot = |other| self.queued(other) > 0 && self.common_in_use(other) < self.ceiling(other);
        is_guaranteed || !self.indices().any(may_take_slot)
    }

    /// Number of slots that the pool of a class can expect while it wants them: its reserved and guaranteed slots, and its
    /// share of those that no other pool claims.
    #[must_use]
    pub fn expected_slots(&self, class: usize) -> f64 {
        let pool = self.pool_of(class);
        let fair_share = self.fair_share(pool, |other| self.queued(other) > 0 || other == pool);
        let common_slots = fair_share.min(self.ceiling(pool) as f64);
        (common_slots + self.reserved_slots(pool) as f64).max(MIN_EXPECTED_SLOTS)
    }

    /// A pool's guarantee plus its share, by weight, of the common slots that are not claimed. A pool for which `wants` is
    /// true claims its whole guarantee, any other only the guaranteed slots that it uses.
    pub(super) fn fair_share(&self, pool: usize, wants: impl Fn(usize) -> bool) -> f64 {
        let claimed = |other: usize| {
            let guarantee = self.guarantee(other);
            if wants(other) {
                guarantee
            } else {
                (self.common_in_use(other) as f64).min(guarantee)
            }
        };
        let unclaimed = (self.common_slots() as f64 - self.indices().map(claimed).sum::<f64>()).max(0.0);
        let wanting = self.indices().filter(|other| wants(*other));
        let weights: f64 = wanting.map(|other| self.plan.pools[other].weight).sum();
        let share = if weights > 0.0 { self.plan.pools[pool].weight / weights } else { 0.0 };
        self.guarantee(pool) + unclaimed * share
    }

    /// Number of further runs that a pool may start within its own share of the survivable runs. Runs at calls count too.
    pub(super) fn remaining_own_runs(&self, pool: usize) -> usize {
        let reserved = self.total_reserved_slots().min(self.survivable_runs.saturating_sub(1));
        let rest = self.survivable_runs.saturating_sub(reserved) as f64;
        let guaranteed = (self.plan.pools[pool].guarantee * rest + EPSILON).floor() as usize;
        let own_runs = guaranteed + self.reserved_slots(pool).min(reserved);
        own_runs.saturating_sub(self.pool_counts[pool].runs_in_progress())
    }

    /// Whether a pool may start another run and leave all other pools their own shares of the survivable runs. Runs at calls
    /// occupy no slot, so without this check a pool whose runs are all at calls could use up the survivable runs of all
    /// pools; its runs still return to the cores.
    pub(super) fn has_room_for_run(&self, pool: usize) -> bool {
        let runs = self.total_counts.runs_in_progress();
        if runs >= self.survivable_runs {
            return false;
        }
        let others = self.indices().filter(|other| *other != pool);
        let reserved_for_others: usize = others.map(|other| self.remaining_own_runs(other)).sum();
        self.remaining_own_runs(pool) > 0 || runs + reserved_for_others < self.survivable_runs
    }
}
