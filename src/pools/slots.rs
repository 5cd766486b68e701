//! How the run slots are divided among pools.

use super::{Pools, EPSILON};

/// No pool counts on less than this part of a slot: it must not look as if it would wait for ever.
const MIN_EXPECTED_SLOTS: f64 = 0.05;

impl Pools {
    /// The pool of a class.
    pub(super) fn pool_of(&self, class: usize) -> usize {
        self.plan.pool_of.get(class).copied().unwrap_or(0)
    }

    /// Whether two classes share a pool.
    #[must_use]
    pub fn share_pool(&self, a: usize, b: usize) -> bool {
        self.pool_of(a) == self.pool_of(b)
    }

    /// All pools, by number.
    pub(super) fn indices(&self) -> std::ops::Range<usize> {
        0..self.plan.pools.len()
    }

    pub(super) fn queued(&self, pool: usize) -> usize {
        self.counts[pool].queued
    }

    pub(super) fn on_cores(&self, pool: usize) -> usize {
        self.counts[pool].on_cores
    }

    /// The limit on runs on the cores, the reserve included (slots).
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit.slots()
    }

    /// The reserved slots of a pool.
    pub(super) fn reserve_of(&self, pool: usize) -> usize {
        self.plan.reserve.filter(|reserve| reserve.pool == pool).map_or(0, |reserve| reserve.slots)
    }

    /// The reserved slots, whichever pool has them.
    fn reserved(&self) -> usize {
        self.plan.reserve.map_or(0, |reserve| reserve.slots)
    }

    /// Whether a pool has a reserved slot that is free.
    pub(super) fn reserve_is_free(&self, pool: usize) -> bool {
        self.on_cores(pool) < self.reserve_of(pool)
    }

    /// The slots that all pools share: the limit without the reserve.
    fn common(&self) -> usize {
        self.limit().saturating_sub(self.reserved()).max(1)
    }

    /// The common slots that a pool uses.
    pub(super) fn used(&self, pool: usize) -> usize {
        self.on_cores(pool).saturating_sub(self.reserve_of(pool))
    }

    /// The common slots that nobody uses.
    pub(super) fn free(&self) -> usize {
        self.common().saturating_sub(self.indices().map(|pool| self.used(pool)).sum())
    }

    /// The common slots that a pool has whenever it wants them.
    pub(super) fn guarantee(&self, pool: usize) -> f64 {
        self.plan.pools[pool].guarantee * self.common() as f64
    }

    /// The common slots that a pool uses at most: a part of a slot counts as one, so that no ceiling is under
    /// its guarantee, and a pool can always have one.
    pub(super) fn ceiling(&self, pool: usize) -> usize {
        let slots = (self.plan.pools[pool].ceiling * self.common() as f64 - EPSILON).ceil() as usize;
        slots.max(1)
    }

    /// Whether the queue of this class's pool is at capacity.
    #[must_use]
    pub fn is_queue_full(&self, class: usize) -> bool {
        let pool = self.pool_of(class);
        self.queued(pool) >= self.plan.pools[pool].queue_capacity
    }

    /// Whether a request of this class that comes now would start at once.
    #[must_use]
    pub fn starts_at_once(&self, class: usize) -> bool {
        let pool = self.pool_of(class);
        if self.queued(pool) > 0 {
            return false;
        }
        self.reserve_is_free(pool) || self.may_take_common_slot(pool)
    }

    /// Whether a common slot is free for one more run of a pool. Others that wait and may have more go first, but for
    /// what is guaranteed to this pool.
    fn may_take_common_slot(&self, pool: usize) -> bool {
        if self.free() == 0 || self.used(pool) >= self.ceiling(pool) {
            return false;
        }
        let is_guaranteed = (self.used(pool) as f64) + 1.0 <= self.guarantee(pool) + EPSILON;
        let may_take_slot = |other| self.queued(other) > 0 && self.used(other) < self.ceiling(other);
        is_guaranteed || !self.indices().any(may_take_slot)
    }

    /// The slots on which the pool of a class can count while it wants them: its own, and its part of what
    /// others leave.
    #[must_use]
    pub fn expected_slots(&self, class: usize) -> f64 {
        let pool = self.pool_of(class);
        let part = self.part(pool, |other| self.queued(other) > 0 || other == pool);
        let common = part.min(self.ceiling(pool) as f64);
        (common + self.reserve_of(pool) as f64).max(MIN_EXPECTED_SLOTS)
    }

    /// A pool's guarantee, and its part by weight of what no guarantee of those that want slots claims.
    pub(super) fn part(&self, pool: usize, wants: impl Fn(usize) -> bool) -> f64 {
        let taken = |other: usize| {
            let guarantee = self.guarantee(other);
            if wants(other) {
                guarantee
            } else {
                (self.used(other) as f64).min(guarantee)
            }
        };
        let unclaimed = (self.common() as f64 - self.indices().map(taken).sum::<f64>()).max(0.0);
        let wanting = self.indices().filter(|other| wants(*other));
        let weights: f64 = wanting.map(|other| self.plan.pools[other].weight).sum();
        let share = if weights > 0.0 { self.plan.pools[pool].weight / weights } else { 0.0 };
        self.guarantee(pool) + unclaimed * share
    }

    /// How many more runs, on the cores and at calls, a pool may have of its own part of the survivable runs.
    pub(super) fn own_runs_left(&self, pool: usize) -> usize {
        let reserved = self.reserved().min(self.survivable_runs.saturating_sub(1));
        let rest = self.survivable_runs.saturating_sub(reserved) as f64;
        let part = (self.plan.pools[pool].guarantee * rest + EPSILON).floor() as usize;
        let own = part + self.reserve_of(pool).min(reserved);
        own.saturating_sub(self.counts[pool].started())
    }

    /// Whether another run of a pool is survived with others' parts kept for them. Guards against one pool
    /// whose runs are all at calls, where they hold no slot but come back.
    pub(super) fn has_room_for_run(&self, pool: usize) -> bool {
        let all = self.all.started();
        if all >= self.survivable_runs {
            return false;
        }
        let others = self.indices().filter(|other| *other != pool);
        let kept_for_others: usize = others.map(|other| self.own_runs_left(other)).sum();
        self.own_runs_left(pool) > 0 || all + kept_for_others < self.survivable_runs
    }
}
