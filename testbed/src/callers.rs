//! Open-loop callers: Poisson arrivals at a scheduled rate with a mix of classes, and clients that retry a bounded
//! number of times. Without I/O: these functions generate requests and decide about retries.

use crate::executor::Work;
use crate::experiment::{Experiment, RateStep};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// The shortest time to the deadline with which a retry is still made (seconds).
const MIN_RETRY_TIME_LEFT_S: f64 = 0.05;

/// A request as its client plans it; it may take several attempts.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// The index of the request among all requests of the trial.
    pub number: usize,
    /// When it is due to be sent (seconds from the start); latencies count from here.
    pub at: f64,
    /// The index of its class in the experiment.
    pub class: usize,
    /// The work that the request asks of the executor.
    pub work: Work,
    /// The memory need that the caller declares (kilobytes).
    pub memory_kb: f64,
}

/// The factor by which rate steps change the arrival rate at a time.
#[must_use]
pub fn rate_factor(steps: &[RateStep], at: f64) -> f64 {
    steps
        .iter()
        .filter(|step| (step.at_s..step.at_s + step.for_s).contains(&at))
        .map(|step| step.factor)
        .product()
}

/// Generates all requests of a trial in advance: open-loop arrivals do not wait for responses.
#[must_use]
pub fn plan_requests(experiment: &Experiment, seed: u64) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = experiment.rate_per_s();
    let Ok(gaps) = Exp::new(1.0f64) else { return Vec::new() };
    let (mut at, mut requests) = (0.0, Vec::new());
    loop {
        // An inhomogeneous Poisson process: each gap is drawn at a rate of 1 and divided by the current rate, which is taken
        // as constant during the gap, since gaps are much shorter than rate steps.
        let weights: Vec<f64> = experiment.class.iter().map(|c| c.share * rate_factor(&c.jump, at)).collect();
        let total: f64 = weights.iter().sum();
        let current_rate = rate * rate_factor(&experiment.jump, at) * total;
        let paused = current_rate <= 1e-9;
        if paused {
            // No class arrives at this time; the rates are looked up again 10 ms later.
            at += 0.01;
        } else {
            at += (gaps.sample(&mut random) / current_rate).min(0.5);
        }
        if at >= experiment.length_s {
            return requests;
        }
        if paused {
            continue;
        }
        let mut point = random.random::<f64>() * total;
        let class = weights.iter().position(|w| {
            point -= w;
            point < 0.0
        });
        let class = class.unwrap_or(weights.len() - 1);
        let c = &experiment.class[class];
        let sigma = (1.0 + c.cv * c.cv).ln().sqrt();
        let mu = (c.work_ms / 1000.0).ln() - sigma * sigma / 2.0;
        let work_s = LogNormal::new(mu, sigma).map_or(c.work_ms / 1000.0, |d| d.sample(&mut random));
        let before_share = random.random_range(0.3..0.7);
        let makes_call = random.random::<f64>() < c.call_probability;
        requests.push(PlannedRequest {
            number: requests.len(),
            at,
            class,
            work: Work {
                before_s: work_s * before_share,
                after_s: work_s * (1.0 - before_share),
                makes_call,
            },
            memory_kb: c.memory_kb,
        });
    }
}

/// When a client makes its next attempt after one that was rejected or failed; `None` if it gives up. `retry_after_s`
/// is the delay that the worker advised.
#[must_use]
pub fn next_retry(
    experiment: &Experiment,
    attempts: u32,
    now: f64,
    request: &PlannedRequest,
    retry_after_s: f64,
) -> Option<f64> {
    let class = &experiment.class[request.class];
    let at = now + retry_after_s.max(experiment.callers.min_pause_ms / 1000.0);
    let latest_at = request.at + class.deadline_ms / 1000.0 - MIN_RETRY_TIME_LEFT_S;
    (attempts <= experiment.callers.max_retries && at < latest_at).then_some(at)
}
