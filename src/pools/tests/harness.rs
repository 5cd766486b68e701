//! Pool plans for tests, and a harness in which requests arrive, run and end.

use crate::interface::{PoolPlan, PoolReserve, PoolSpec};
use crate::pools::{PoolStage, Pools};

pub(super) fn pool_spec(name: &str, guarantee: f64, ceiling: f64, weight: f64) -> PoolSpec {
    PoolSpec { name: name.to_owned(), guarantee, ceiling, weight, queue_capacity: 50 }
}

/// A reserve of this number of slots.
pub(super) fn reserve(pool: usize, slots: usize) -> PoolReserve {
    PoolReserve { pool, slots }
}

pub(super) fn plan(
    specs: Vec<PoolSpec>,
    reserve: Option<PoolReserve>,
    min_slots: usize,
    max_slots: usize,
) -> PoolPlan {
    PoolPlan {
        pool_of: (0..specs.len()).collect(),
        pools: specs,
        reserve,
        min_slots,
        max_slots,
        window_s: 10.0,
        review_s: 0.5,
        min_samples: 16,
        slow_ratio: 1.6,
    }
}

/// A run on the cores or at a call.
#[derive(Clone, Copy)]
pub(super) struct Run {
    pub(super) ends_at: f64,
    pub(super) class: usize,
}

/// Removes and returns the runs that have ended.
fn take_ended(runs: &mut Vec<Run>, now: f64) -> Vec<Run> {
    let (ended, left) = runs.iter().partition(|run| run.ends_at <= now);
    *runs = left;
    ended
}

/// Stands in for the admission controller. Each class is a tier, the first one the highest, and requests are queued in
/// the order of their ids.
pub(super) struct PoolsHarness {
    pub(super) pools: Pools,
    pub(super) now: f64,
    pub(super) next_id: u64,
    pub(super) queued: Vec<Vec<u64>>,
    pub(super) running: Vec<Run>,
    pub(super) at_calls: Vec<Run>,
    pub(super) survivable_runs: usize,
    /// Slot seconds used, by class.
    pub(super) used_slot_s: Vec<f64>,
}

impl PoolsHarness {
    pub(super) fn new(plan: PoolPlan, classes: usize) -> PoolsHarness {
        PoolsHarness {
            pools: Pools::new(plan, &vec![1.0; classes], 1000),
            now: 0.0,
            next_id: 0,
            queued: vec![Vec::new(); classes],
            running: Vec::new(),
            at_calls: Vec::new(),
            survivable_runs: 1000,
            used_slot_s: vec![0.0; classes],
        }
    }

    pub(super) fn arrive(&mut self, class: usize) {
        self.next_id += 1;
        self.queued[class].push(self.next_id);
        self.pools.record_transition(class, None, Some(PoolStage::Queued));
    }

    pub(super) fn advance(&mut self, dt: f64) {
        self.now += dt;
        for run in &self.running {
            self.used_slot_s[run.class] += dt;
        }
        self.pools.advance(dt);
    }

    /// Ends the runs that are due, then starts those that may start, and checks each start against the rules. Started runs
    /// take `length` seconds. Returns the classes of the started runs.
    pub(super) fn settle(&mut self, length: f64) -> Vec<usize> {
        for Run { class, .. } in take_ended(&mut self.running, self.now) {
            self.pools.record_transition(class, Some(PoolStage::OnCores), None);
            self.pools.run_ended(class, length);
        }
        for Run { class, .. } in take_ended(&mut self.at_calls, self.now) {
            self.pools.record_transition(class, Some(PoolStage::AtCall), Some(PoolStage::OnCores));
            self.running.push(Run { ends_at: self.now + length, class });
        }
        let mut started = Vec::new();
        while let Some(class) = self.choose() {
            self.queued[class].remove(0);
            let pool = self.pools.pool_of(class);
            let uses_reserve = self.pools.on_cores(pool) < self.pools.reserved_slots(pool);
            assert!(uses_reserve || self.pools.free_common_slots() > 0, "a run started without a free slot");
            assert!(
                uses_reserve || self.pools.common_in_use(pool) < self.pools.ceiling(pool),
                "a run started above the ceiling of its pool"
            );
            self.pools.record_transition(class, Some(PoolStage::Queued), Some(PoolStage::OnCores));
            self.running.push(Run { ends_at: self.now + length, class });
            started.push(class);
        }
        self.assert_no_request_waits_with_a_free_slot();
        started
    }

    pub(super) fn choose(&mut self) -> Option<usize> {
        let queued =
            self.queued.iter().enumerate().flat_map(|(class, ids)| ids.iter().map(move |_| (class, class)));
        self.pools.choose(queued, self.survivable_runs)
    }

    /// No pool has a queued request while a slot that it may use is free.
    pub(super) fn assert_no_request_waits_with_a_free_slot(&self) {
        for pool in self.pools.indices().filter(|p| self.pools.queued(*p) > 0) {
            let reserve_is_free = self.pools.on_cores(pool) < self.pools.reserved_slots(pool);
            let common_is_free = self.pools.free_common_slots() > 0
                && self.pools.common_in_use(pool) < self.pools.ceiling(pool);
            let has_room = self.pools.has_room_for_run(pool);
            assert!(
                !has_room || !reserve_is_free && !common_is_free,
                "pool {pool} has a queued request and a free slot"
            );
        }
    }

    /// Keeps requests of these classes queued for this time; all runs take `length` seconds.
    pub(super) fn saturate(&mut self, classes: &[usize], for_s: f64, length: f64) {
        let until = self.now + for_s;
        while self.now < until {
            for &class in classes {
                while self.queued[class].len() < 40 {
                    self.arrive(class);
                }
            }
            self.settle(length);
            self.advance(0.01);
        }
    }

    pub(super) fn on_cores(&self, class: usize) -> usize {
        self.running.iter().filter(|run| run.class == class).count()
    }
}
