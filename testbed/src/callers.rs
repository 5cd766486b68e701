//! Open-loop callers: Poisson arrivals at a scheduled rate, a class mix, and clients that try again a bounded number
//! of times. Without I/O: they say what is sent when, and are told what came of it.

use crate::executor::Work;
use crate::experiment::{Experiment, Jump};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

/// One request as a client means it; all its tries belong to it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub number: usize,
    /// When it is meant to be sent (seconds from the start); latencies count from here.
    pub at: f64,
    pub class: usize,
    pub work: Work,
    pub need_kb: f64,
}

/// How many times the usual rate is asked for at a time.
pub fn factor(jumps: &[Jump], at: f64) -> f64 {
    jumps.iter().filter(|j| (j.at_s..j.at_s + j.for_s).contains(&at)).map(|j| j.times).product()
}

/// All requests of one play, drawn ahead: they do not wait for answers.
pub fn draw(experiment: &Experiment, seed: u64) -> Vec<Asked> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let rate = experiment.rate_per_s();
    let Ok(gaps) = Exp::new(1.0f64) else { return Vec::new() };
    let (mut at, mut asked) = (0.0, Vec::new());
    loop {
        // A unit of the unit-rate process, stretched by the rate at its place: steps are short against the phases.
        let weights: Vec<f64> = experiment.class.iter().map(|c| c.share * factor(&c.jump, at)).collect();
        let total: f64 = weights.iter().sum();
        let now_rate = rate * factor(&experiment.jump, at) * total;
        if now_rate <= 1e-9 {
            at += 0.01;
        } else {
            at += (gaps.sample(&mut random) / now_rate).min(0.5);
        }
        if at >= experiment.length_s {
            return asked;
        }
        if now_rate <= 1e-9 {
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
        let calls = random.random::<f64>() < c.calls;
        asked.push(Asked {
            number: asked.len(),
            at,
            class,
            work: Work { before_s: work_s * before, after_s: work_s * (1.0 - before), calls },
            need_kb: c.need_kb,
        });
    }
}

/// What a client does after a try that was refused or failed: when it tries again, if it does.
pub fn again(experiment: &Experiment, tries: u32, now: f64, asked: &Asked, advice_s: f64) -> Option<f64> {
    let class = &experiment.class[asked.class];
    let at = now + advice_s.max(experiment.callers.pause_ms / 1000.0);
    (tries <= experiment.callers.retries && at < asked.at + class.deadline_ms / 1000.0 - 0.05).then_some(at)
}
