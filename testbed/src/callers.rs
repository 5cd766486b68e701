//! Open-loop callers: Poisson arrivals at a scheduled rate, a class mix, and clients that try again a bounded number
//! of times. Without I/O: they say what is sent when, and are told what came of it.

use crate::executor::Work;
use crate::experiment::{Experiment, RateStep};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// A retry that would have less time than this is not made (seconds).
const LEAST_TIME_LEFT_S: f64 = 0.05;

/// One request as a client means it; all its attempts belong to it.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Its place among all requests of the play.
    pub number: usize,
    /// When it is meant to be sent (seconds from the start); latencies count from here.
    pub at: f64,
    /// Its class, by the place in the experiment.
    pub class: usize,
    /// What it asks of the executor.
    pub work: Work,
    /// The memory that it needs, as callers declare it (kilobytes).
    pub memory_kb: f64,
}

/// How many times the usual rate requests come at a time.
#[must_use]
pub fn rate_factor(jumps: &[RateStep], at: f64) -> f64 {
    jumps.iter().filter(|j| (j.at_s..j.at_s + j.for_s).contains(&at)).map(|j| j.factor).product()
}

/// All requests of one play, drawn ahead: they do not wait for responses.
#[must_use]
pub fn plan_requests(experiment: &Experiment, seed: u64) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = experiment.rate_per_s();
    let Ok(gaps) = Exp::new(1.0f64) else { return Vec::new() };
    let (mut at, mut requests) = (0.0, Vec::new());
    loop {
        // A unit of the unit-rate process, stretched by the rate at its place: steps are short against the phases.
        let weights: Vec<f64> = experiment.class.iter().map(|c| c.share * rate_factor(&c.jump, at)).collect();
        let total: f64 = weights.iter().sum();
        let now_rate = rate * rate_factor(&experiment.jump, at) * total;
        let pauses = now_rate <= 1e-9;
        if pauses {
            at += 0.01;
        } else {
            at += (gaps.sample(&mut random) / now_rate).min(0.5);
        }
        if at >= experiment.length_s {
            return requests;
        }
        if pauses {
            continue;
        }
        let mut place = random.random::<f64>() * total;
        let class = weights.iter().position(|w| {
            place -= w;
            place < 0.0
        });
        let class = class.unwrap_or(weights.len() - 1);
        let c = &experiment.class[class];
        let spread = (1.0 + c.cv * c.cv).ln().sqrt();
        let mean = (c.work_ms / 1000.0).ln() - spread * spread / 2.0;
        let work_s = LogNormal::new(mean, spread).map_or(c.work_ms / 1000.0, |d| d.sample(&mut random));
        let before = random.random_range(0.3..0.7);
        let calls = random.random::<f64>() < c.call_probability;
        requests.push(PlannedRequest {
            number: requests.len(),
            at,
            class,
            work: Work { before_s: work_s * before, after_s: work_s * (1.0 - before), makes_call: calls },
            memory_kb: c.memory_kb,
        });
    }
}

/// When a client makes its next attempt after one that was rejected or failed, if it makes another. `retry_after_s` is
/// for how long the worker asked it to stay away.
#[must_use]
pub fn next_retry(
    experiment: &Experiment,
    attempts: u32,
    now: f64,
    request: &PlannedRequest,
    retry_after_s: f64,
) -> Option<f64> {
    let class = &experiment.class[request.class];
    let at = now + retry_after_s.max(experiment.callers.pause_ms / 1000.0);
    let latest = request.at + class.deadline_ms / 1000.0 - LEAST_TIME_LEFT_S;
    (attempts <= experiment.callers.retries && at < latest).then_some(at)
}
