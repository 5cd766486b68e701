//! The limit on runs, in a closed loop on a model of the executor.

use crate::interface::PoolLimitCause;
use crate::pools::limit::{LimitSettings, SlotLimit};

/// How often the model advances (seconds).
const STEP_S: f64 = 0.005;
/// How often the limit is reviewed (seconds).
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

/// A closed loop on shared cores: as many runs as the limit permits, and `above` more that came back from calls.
struct ClosedLoop {
    limit: SlotLimit,
    cores: f64,
    speed: f64,
    runs: Vec<Run>,
    random: u64,
    above: usize,
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
            random: 7,
            above: 0,
            survivable_runs: 1000,
            reviews: Vec::new(),
            now: 0.0,
        }
    }

    /// Lengths with a coefficient of variation of about 0.6, 0.3 s in the mean.
    fn work(&mut self) -> f64 {
        let mut unit = || {
            self.random =
                self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            ((self.random >> 11) as f64 + 1.0) / (1u64 << 53) as f64
        };
        -0.05 * (unit().ln() + unit().ln() + unit().ln()) * 2.0
    }

    /// Plays so long with `wanted` requests that want to run.
    fn play(&mut self, for_s: f64, wanted: usize) {
        let until = self.now + for_s;
        while self.now < until {
            while self.runs.len() < wanted.min(self.limit.slots() + self.above) {
                let work_left_s = self.work();
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
        let late: Vec<f64> = self
            .reviews
            .iter()
            .filter(|review| review.at >= from)
            .map(|review| review.limit as f64)
            .collect();
        late.iter().sum::<f64>() / late.len().max(1) as f64
    }
}

fn bounds(min_slots: usize, max_slots: usize) -> LimitSettings {
    LimitSettings { min_slots, max_slots, window_s: 10.0, review_s: 0.5, min_samples: 16.0, slow_ratio: 1.6 }
}

#[test]
fn limit_stays_near_the_cores_when_more_runs_add_no_throughput() {
    for above in [0, 2] {
        let mut load = ClosedLoop { above, ..ClosedLoop::new(6.0, bounds(6, 40)) };
        load.play(120.0, 1000);
        let mean = load.mean_limit(20.0);
        assert!((6.0..8.0).contains(&mean), "with {above} back from calls: {mean}");
    }
}

#[test]
fn limit_rises_to_throughput_beyond_the_configured_cores() {
    // Servers behind are worth 30 slots, and the file says 6 at least: no gauge shows it.
    let mut load = ClosedLoop::new(30.0, bounds(6, 64));
    load.play(60.0, 1000);
    let mean = load.mean_limit(40.0);
    assert!((27.0..42.0).contains(&mean), "{mean}");
}

#[test]
fn limit_falls_when_the_executor_slows_and_recovers_within_three_seconds() {
    for times in [2.0, 10.0] {
        let mut load = ClosedLoop::new(30.0, bounds(6, 64));
        load.play(60.0, 1000);
        assert!(load.mean_limit(50.0) >= 27.0);
        load.speed = 1.0 / times;
        load.play(10.0, 1000);
        let has_fallen = |review: &&Reviewed| {
            review.at > 60.0 && review.cause == PoolLimitCause::Slow && review.limit == 6
        };
        let fell = load.reviews.iter().find(has_fallen).map(|review| review.at - 60.0);
        assert!(fell.is_some_and(|s| s < 3.0), "{times}: it fell after {fell:?}");
        load.speed = 1.0;
        load.play(6.0, 1000);
        let has_recovered = |review: &&Reviewed| review.at > 70.0 && review.limit >= 30;
        let back = load.reviews.iter().find(has_recovered).map(|review| review.at - 70.0);
        assert!(back.is_some_and(|s| s <= 3.0), "{times}: at the cores again after {back:?}");
    }
}

#[test]
fn limit_is_unchanged_while_idle_or_with_too_few_samples() {
    let mut load = ClosedLoop::new(30.0, bounds(6, 64));
    load.play(60.0, 1000);
    let (limit, capacity) = (load.limit.slots(), load.limit.capacity());
    load.play(5.0, 0);
    load.play(60.0, 1);
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
        load.play(0.1, 1000);
    }
    assert!(load.reviews.iter().all(|review| review.limit <= 7), "the survivable runs bound it");
    load.survivable_runs = 1000;
    load.play(20.0, 1000);
    assert!((6.0..9.0).contains(&load.mean_limit(25.0)), "{}", load.mean_limit(25.0));
}
