//! A model of the executor: runs share cores, slow each other beyond a number, slow down for a while, warm up, and wait for calls.

use crate::experiment::{ExecutorModel, Slowdown};
use std::collections::{BTreeMap, BTreeSet};

/// What a request asks of the executor; callers write it into its body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Core seconds at full speed before the call and after it.
    pub before_s: f64,
    /// Core seconds after the call; all of it is one run where there is no call.
    pub after_s: f64,
    /// Whether the run makes a downstream call.
    pub makes_call: bool,
}

impl Work {
    /// The body of a request that asks for this work.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        format!("{:.6} {:.6} {}", self.before_s, self.after_s, u8::from(self.makes_call)).into_bytes()
    }

    /// Reads a body back; one that is none is no work at all.
    #[must_use]
    pub fn decode(body: &[u8]) -> Work {
        let text = String::from_utf8_lossy(body);
        let mut words = text.split(' ');
        let mut number = || words.next().and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0).clamp(0.0, 600.0);
        Work { before_s: number(), after_s: number(), makes_call: number() > 0.0 }
    }
}

/// What the executor reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A run has ended.
    RunEnded {
        /// The run.
        run: String,
        /// Its downstream call was skipped.
        degraded: bool,
    },
    /// A run waits for its downstream call.
    CallRequested {
        /// The run.
        run: String,
    },
}

/// The core seconds that an executor had spent at a time, for the gauge of busy cores.
#[derive(Clone, Copy, Debug, Default)]
pub struct BusyReading {
    /// The time (seconds).
    pub at: f64,
    /// Core seconds spent until then.
    pub busy_s: f64,
}

#[derive(Clone, Debug)]
struct Run {
    left_s: f64,
    after_s: Option<f64>,
    degraded: bool,
}

/// The executor of one worker.
pub struct Executor {
    model: ExecutorModel,
    slows: Vec<Slowdown>,
    now: f64,
    /// On the cores, and standing at calls.
    runs: BTreeMap<String, Run>,
    at_calls: BTreeMap<String, Run>,
    /// Whatever was started once is never started again.
    begun: BTreeSet<String>,
    busy_s: f64,
    /// Time integral of the runs on the cores, by whole tenths of a second.
    tenths: Vec<f64>,
    /// The most runs that were on the cores at once.
    pub most_on_cores: usize,
}

impl Executor {
    /// An executor at rest; `slows` are the times at which its cores are slower.
    #[must_use]
    pub fn new(model: ExecutorModel, slows: Vec<Slowdown>) -> Executor {
        Executor {
            model,
            slows,
            now: 0.0,
            runs: BTreeMap::new(),
            at_calls: BTreeMap::new(),
            begun: BTreeSet::new(),
            busy_s: 0.0,
            tenths: Vec::new(),
            most_on_cores: 0,
        }
    }

    /// Runs on the cores.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Core seconds spent so far, for the gauge.
    #[must_use]
    pub fn busy_s(&self) -> f64 {
        self.busy_s
    }

    /// Speed of a core at a time, against full speed, crowding apart.
    fn speed(&self, at: f64) -> f64 {
        let m = &self.model;
        let warmth =
            if m.cold_s > 0.0 { (m.cold_from + (1.0 - m.cold_from) * at / m.cold_s).min(1.0) } else { 1.0 };
        let slow = self.slows.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&at));
        m.speed * warmth / slow.map_or(1.0, |s| s.factor)
    }

    /// Work done a second by each run: cores are shared evenly, and past the knee concurrency costs throughput.
    fn rate(&self, at: f64) -> f64 {
        let (n, cores) = (self.runs.len() as f64, f64::from(self.model.cores));
        if n == 0.0 {
            return 0.0;
        }
        let excess = (n / (cores * self.model.knee) - 1.0).max(0.0);
        self.speed(at) * (cores / n).min(1.0) / (1.0 + self.model.thrash * excess)
    }

    /// Plays up to a time; what comes to an end or to a call on the way is told in order.
    pub fn advance(&mut self, to: f64) -> Vec<(f64, Notice)> {
        let mut out = Vec::new();
        // Small steps, since speeds change with time; a run's end is met exactly within its step.
        while self.now < to {
            let rate = self.rate(self.now);
            let least = self.runs.values().map(|r| r.left_s).fold(f64::INFINITY, f64::min);
            let end = if rate > 0.0 { self.now + least / rate } else { f64::INFINITY };
            let step = (end - self.now).clamp(1e-7, 0.01).min(to - self.now);
            self.now += step;
            let n = self.runs.len();
            self.busy_s += step * (n as f64).min(f64::from(self.model.cores));
            let tenth = (self.now * 10.0) as usize;
            if self.tenths.len() <= tenth {
                self.tenths.resize(tenth + 1, 0.0);
            }
            self.tenths[tenth] += n as f64 * step;
            self.runs.values_mut().for_each(|r| r.left_s -= rate * step);
            let done: Vec<String> =
                self.runs.iter().filter(|(_, r)| r.left_s <= 1e-9).map(|(id, _)| id.clone()).collect();
            for id in done {
                let Some(run) = self.runs.remove(&id) else { continue };
                if run.after_s.is_some() {
                    self.at_calls.insert(id.clone(), run);
                    out.push((self.now, Notice::CallRequested { run: id }));
                } else {
                    out.push((self.now, Notice::RunEnded { run: id, degraded: run.degraded }));
                }
            }
        }
        out
    }

    /// When the next notice may come, if no command comes before.
    #[must_use]
    pub fn next_notice_at(&self) -> Option<f64> {
        let rate = self.rate(self.now);
        let least = self.runs.values().map(|r| r.left_s).fold(f64::INFINITY, f64::min);
        (rate > 0.0 && least.is_finite()).then(|| self.now + (least / rate).max(1e-6))
    }

    /// Starts a run; `false` for one that has begun before.
    pub fn start(&mut self, id: &str, work: Work) -> bool {
        if !self.begun.insert(id.to_owned()) {
            return false;
        }
        let after_s = work.makes_call.then_some(work.after_s);
        let left_s = if work.makes_call { work.before_s } else { work.before_s + work.after_s };
        self.runs.insert(id.to_owned(), Run { left_s: left_s.max(1e-6), after_s, degraded: false });
        self.most_on_cores = self.most_on_cores.max(self.runs.len());
        true
    }

    /// The call that a run waits for is over, or is skipped; `false` for a run that waits for none.
    pub fn resume(&mut self, id: &str, skipped: bool) -> bool {
        let Some(mut run) = self.at_calls.remove(id) else { return false };
        run.left_s = run.after_s.take().unwrap_or(0.0).max(1e-6);
        run.degraded = skipped;
        self.runs.insert(id.to_owned(), run);
        self.most_on_cores = self.most_on_cores.max(self.runs.len());
        true
    }

    /// A run that stands at a call is ended, as its request is over; `false` for one that does not.
    pub fn abort_waiting(&mut self, id: &str) -> bool {
        self.at_calls.remove(id).is_some()
    }

    /// The highest mean of runs on the cores over this time, for each core.
    #[must_use]
    pub fn peak_mean_concurrency(&self, over_s: f64) -> f64 {
        let n = ((over_s * 10.0) as usize).max(1);
        let windows = self.tenths.windows(n.min(self.tenths.len().max(1)));
        windows.map(|w| w.iter().sum::<f64>() / over_s).fold(0.0, f64::max) / f64::from(self.model.cores)
    }
}
