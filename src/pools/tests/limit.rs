//! The limit on runs, in a closed loop with a model of the executor.

use crate::interface::PoolLimitCause;
use crate::pools::limit::{LimitSettings, SlotLimit};

/// Time step of the model (seconds).
const STEP_S: f64 = 0.005;
/// Interval at which the limit is reviewed (seconds).
const REVIEW_S: f64 = 0.025;

/// A run on the cores.
struct Run {
    work_left_s: f64,
    core_time_s: f64,
}

/// The limit after a review.
#[derive(Clone, Copy, Debug)]
struct Reviewed {
    at: f64,
    limit: usize,
    cause: PoolLimitCause,
}

/// A closed loop on shared cores: a new run starts when one ends, so that as many run as the limit allows, and
/// `runs_above_limit` more that returned from calls.
struct ClosedLoop {
    limit: SlotLimit,
    cores: f64,
    speed: f64,
    runs: Vec<Run>,
    rng_state: u64,
    runs_above_limit: usize,
    survivable_runs: usize,
    reviews: Vec<Reviewed>,
    now: f64,
}

impl ClosedLoop {
    fn new(cores: f64, settings: LimitSettings) -> ClosedLoop {
        ClosedLoop {
            limit: SlotLimit::new(settings, &[0.3]),
            cores,
            speed: 1.0,
            runs: Vec::new(),
            rng_state: 7,
            runs_above_limit: 0,
            survivable_runs: 1000,
            reviews: Vec::new(),
            now: 0.0,
        }
    }

    /// Work of the next run (seconds): 0.3 s on average, with a coefficient of variation of about 0.6.
    fn next_work_s(&mut self) -> f64 {
        let mut unit = || {
            self.rng_state = self
                .rng_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            ((self.rng_state >> 11) as f64 + 1.0) / (1u64 << 53) as f64
        };
        -0.05 * (unit().ln() + unit().ln() + unit().ln()) * 2.0
    }

    /// Runs the model for this time with `wanted` concurrent requests.
    fn run_for(&mut self, for_s: f64, wanted: usize) {
        let until = self.now + for_s;
        while self.now < until {
            while self.runs.len() < wanted.min(self.limit.slots() + self.runs_above_limit) {
                let work_left_s = self.next_work_s();
                self.runs.push(Run { work_left_s, core_time_s: 0.0 });
            }
            let rate = self.speed * (self.cores / self.runs.len().max(1) as f64).min(1.0);
            self.now += STEP_S;
            self.limit.advance(STEP_S, self.runs.len(), wanted > self.limit.slots());
            for run in &mut self.runs {
                run.work_left_s -= rate * STEP_S;
                run.core_time_s += STEP_S;
            }
            for run in self.runs.iter().filter(|run| run.work_left_s <= 0.0) {
                self.limit.run_ended(0, run.core_time_s);
            }
            self.runs.retain(|run| run.work_left_s > 0.0);
            if (self.now / REVIEW_S).floor() > ((self.now - STEP_S) / REVIEW_S).floor() {
                self.limit.review(self.runs.len(), self.survivable_runs);
                let (limit, cause) = (self.limit.slots(), self.limit.cause());
                self.reviews.push(Reviewed { at: self.now, limit, cause });
            }
        }
    }

    fn mean_limit(&self, from: f64) -> f64 {
        let limits: Vec<f64> = self
            .reviews
            .iter()
            .filter(|review| review.at >= from)
            .map(|review| review.limit as f64)
            .collect();
        limits.iter().sum::<f64>() / limits.len().max(1) as f64
    }
}

fn bounds(min_slots: usize, max_slots: usize) -> LimitSettings {
    LimitSettings { min_slots, max_slots, window_s: 10.0, review_s: 0.5, min_samples: 16.0, slow_ratio: 1.6 }
}

#[test]
fn limit_stays_near_the_cores_when_more_runs_add_no_throughput() {
    for runs_above_limit in [0, 2] {
        let mut load = ClosedLoop { runs_above_limit, ..ClosedLoop::new(6.0, bounds(6, 40)) };
        load.run_for(120.0, 1000);
        let mean = load.mean_limit(20.0);
        assert!((6.0..8.0).contains(&mean), "with {runs_above_limit} runs returned from calls: {mean}");
    }
}

#[test]
fn limit_rises_to_throughput_beyond_the_configured_cores() {
    // Servers behind the executor provide 30 slots, which none of the worker's gauges shows; the lower bound is 6.
    let mut load = ClosedLoop::new(30.0, bounds(6, 64));
    load.run_for(60.0, 1000);
    let mean = load.mean_limit(40.0);
    assert!((27.0..42.0).contains(&mean), "{mean}");
}

#[test]
fn limit_falls_when_the_executor_slows_and_recovers_within_three_seconds() {
    for slowdown in [2.0, 10.0] {
        let mut load = ClosedLoop::new(30.0, bounds(6, 64));
        load.run_for(60.0, 1000);
        assert!(load.mean_limit(50.0) >= 27.0);
        load.speed = 1.0 / slowdown;
        load.run_for(10.0, 1000);
        let has_fallen = |review: &&Reviewed| {
            review.at > 60.0 && review.cause == PoolLimitCause::Slow && review.limit == 6
        };
        let fell_after_s = load.reviews.iter().find(has_fallen).map(|review| review.at - 60.0);
        assert!(
            fell_after_s.is_some_and(|s| s < 3.0),
            "slowdown {slowdown}: the limit fell after {fell_after_s:?}"
        );
        load.speed = 1.0;
        load.run_for(6.0, 1000);
        let has_recovered = |review: &&Reviewed| review.at > 70.0 && review.limit >= 30;
        let recovered_after_s = load.reviews.iter().find(has_recovered).map(|review| review.at - 70.0);
        assert!(
            recovered_after_s.is_some_and(|s| s <= 3.0),
            "slowdown {slowdown}: the limit recovered after {recovered_after_s:?}"
        );
    }
}

#[test]
fn limit_is_unchanged_while_idle_or_with_too_few_samples() {
    let mut load = ClosedLoop::new(30.0, bounds(6, 64));
    load.run_for(60.0, 1000);
    let (limit, capacity) = (load.limit.slots(), load.limit.capacity());
    load.run_for(5.0, 0);
    load.run_for(60.0, 1);
    let pairs = load.reviews.windows(2);
    let changes: Vec<_> = pairs.filter(|pair| pair[0].limit != pair[1].limit).map(|pair| pair[1]).collect();
    assert!(load.limit.slots() >= limit.min(30) - 3, "{limit} -> {} {changes:?}", load.limit.slots());
    assert!((load.limit.capacity() - capacity).abs() < 0.1 * capacity);
}

#[test]
fn cold_executor_is_not_slow_and_its_survivable_runs_bound_the_limit() {
    let mut load = ClosedLoop::new(6.0, bounds(6, 24));
    load.survivable_runs = 7;
    for tenth in 0..180 {
        load.speed = 0.26 + 0.74 * f64::from(tenth) / 180.0;
        load.run_for(0.1, 1000);
    }
    assert!(load.reviews.iter().all(|review| review.limit <= 7), "the limit exceeds the survivable runs");
    load.survivable_runs = 1000;
    load.run_for(20.0, 1000);
    assert!((6.0..9.0).contains(&load.mean_limit(25.0)), "{}", load.mean_limit(25.0));
}
