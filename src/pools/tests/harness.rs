//! Plans of pools, and pools with requests that arrive, run and end.

use crate::interface::{PoolPlan, PoolReserve, PoolSpec};
use crate::pools::{Place, Pools};

pub(super) fn item(name: &str, guarantee: f64, ceiling: f64, weight: f64) -> PoolSpec {
    PoolSpec { name: name.to_owned(), guarantee, ceiling, weight, queue_capacity: 50 }
}

/// A reserve of so many slots.
pub(super) fn reserved(pool: usize, slots: usize) -> PoolReserve {
    PoolReserve { pool, slots }
}

pub(super) fn plan(
    items: Vec<PoolSpec>,
    reserve: Option<PoolReserve>,
    min_slots: usize,
    max_slots: usize,
) -> PoolPlan {
    PoolPlan {
        pool_of: (0..items.len()).collect(),
        pools: items,
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

/// Takes the runs that have ended.
fn take_ended(runs: &mut Vec<Run>, now: f64) -> Vec<Run> {
    let (ended, left) = runs.iter().partition(|run| run.ends_at <= now);
    *runs = left;
    ended
}

/// What the admission controller does for the pools: classes are tiers, the first the highest, and requests are queued
/// in the order of their numbers.
pub(super) struct PoolsHarness {
    pub(super) pools: Pools,
    pub(super) now: f64,
    pub(super) next: u64,
    pub(super) queued: Vec<Vec<u64>>,
    pub(super) running: Vec<Run>,
    pub(super) at_calls: Vec<Run>,
    pub(super) survivable_runs: usize,
    /// Slot seconds by class.
    pub(super) served: Vec<f64>,
}

impl PoolsHarness {
    pub(super) fn new(plan: PoolPlan, classes: usize) -> PoolsHarness {
        PoolsHarness {
            pools: Pools::new(plan, &vec![1.0; classes], 1000),
            now: 0.0,
            next: 0,
            queued: vec![Vec::new(); classes],
            running: Vec::new(),
            at_calls: Vec::new(),
            survivable_runs: 1000,
            served: vec![0.0; classes],
        }
    }

    pub(super) fn arrive(&mut self, class: usize) {
        self.next += 1;
        self.queued[class].push(self.next);
        self.pools.moved(class, None, Some(Place::Queued));
    }

    pub(super) fn advance(&mut self, dt: f64) {
        self.now += dt;
        for run in &self.running {
            self.served[run.class] += dt;
        }
        self.pools.advance(dt);
    }

    /// Ends what is due, then starts what may start; each start is checked against the rules.
    pub(super) fn settle(&mut self, length: f64) -> Vec<usize> {
        for Run { class, .. } in take_ended(&mut self.running, self.now) {
            self.pools.moved(class, Some(Place::OnCores), None);
            self.pools.run_ended(class, length);
        }
        for Run { class, .. } in take_ended(&mut self.at_calls, self.now) {
            self.pools.moved(class, Some(Place::AtCall), Some(Place::OnCores));
            self.running.push(Run { ends_at: self.now + length, class });
        }
        let mut started = Vec::new();
        while let Some(class) = self.choose() {
            self.queued[class].remove(0);
            let pool = self.pools.pool_of(class);
            let own = self.pools.on_cores(pool) < self.pools.reserve_of(pool);
            assert!(own || self.pools.free() > 0, "a start without a slot");
            assert!(own || self.pools.used(pool) < self.pools.ceiling(pool), "a start above the ceiling");
            self.pools.moved(class, Some(Place::Queued), Some(Place::OnCores));
            self.running.push(Run { ends_at: self.now + length, class });
            started.push(class);
        }
        self.assert_no_request_waits_beside_a_free_slot();
        started
    }

    pub(super) fn choose(&mut self) -> Option<usize> {
        let queued =
            self.queued.iter().enumerate().flat_map(|(class, ids)| ids.iter().map(move |_| (class, class)));
        self.pools.choose(queued, self.survivable_runs)
    }

    /// A free slot that a pool may take, and a request of it that waits, never stand side by side.
    pub(super) fn assert_no_request_waits_beside_a_free_slot(&self) {
        for pool in self.pools.indices().filter(|p| self.pools.queued(*p) > 0) {
            let own = self.pools.on_cores(pool) < self.pools.reserve_of(pool);
            let common = self.pools.free() > 0 && self.pools.used(pool) < self.pools.ceiling(pool);
            let has_room = self.pools.has_room_for_run(pool);
            assert!(!has_room || !own && !common, "pool {pool} waits with a slot free");
        }
    }

    /// Keeps requests of these classes waiting for so long; all runs take `length`.
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
