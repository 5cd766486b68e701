//! A model of the executor: runs share cores, slow each other down beyond a given concurrency, and wait for downstream
//! calls; the executor warms up after its start and may be slower in given periods.

use crate::experiment::{ExecutorModel, Slowdown};
use std::collections::{BTreeMap, BTreeSet};

/// The work that a request asks of the executor; callers encode it in the body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Work before the downstream call (core seconds at full speed).
    pub before_s: f64,
    /// Work after the downstream call (core seconds at full speed); without a call, both parts are done without a
    /// break.
    pub after_s: f64,
    /// Whether the run makes a downstream call.
    pub makes_call: bool,
}

impl Work {
    /// Encodes the work as the body of a request.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        format!("{:.6} {:.6} {}", self.before_s, self.after_s, u8::from(self.makes_call)).into_bytes()
    }

    /// Decodes a body; numbers that are missing or malformed are 0.
    #[must_use]
    pub fn decode(body: &[u8]) -> Work {
        let text = String::from_utf8_lossy(body);
        let mut words = text.split(' ');
        let mut number = || words.next().and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0).clamp(0.0, 600.0);
        Work { before_s: number(), after_s: number(), makes_call: number() > 0.0 }
    }
}

/// A notice from the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A run has ended.
    RunEnded {
        /// The run's name.
        run: String,
        /// Whether its downstream call was skipped.
        degraded: bool,
    },
    /// A run requests its downstream call and waits for it.
    CallRequested {
        /// The run's name.
        run: String,
    },
}

/// A reading of the core seconds that an executor has spent, from which the gauge of busy cores is computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BusyReading {
    /// When it was read (seconds).
    pub at: f64,
    /// Core seconds spent by that time.
    pub busy_s: f64,
}

#[derive(Clone, Debug)]
struct Run {
    /// Work left until the run's end or its downstream call (core seconds).
    left_s: f64,
    /// Work after the downstream call, if the run still has to make one.
    after_s: Option<f64>,
    degraded: bool,
}

/// The executor of one worker.
pub struct Executor {
    model: ExecutorModel,
    slowdowns: Vec<Slowdown>,
    now: f64,
    /// Runs that execute.
    runs: BTreeMap<String, Run>,
    /// Runs that wait for their downstream call.
    waiting: BTreeMap<String, Run>,
    /// All runs that were ever started: none is started twice.
    started: BTreeSet<String>,
    busy_s: f64,
    /// Time integral of the number of running runs in each tenth of a second.
    run_seconds: Vec<f64>,
    /// The maximum number of runs that executed at the same time.
    pub peak_running: usize,
}

impl Executor {
    /// Creates an idle executor; `slowdowns` are the periods in which its cores are slower.
    #[must_use]
    pub fn new(model: ExecutorModel, slowdowns: Vec<Slowdown>) -> Executor {
        Executor {
            model,
            slowdowns,
            now: 0.0,
            runs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            started: BTreeSet::new(),
            busy_s: 0.0,
            run_seconds: Vec::new(),
            peak_running: 0,
        }
    }

    /// The number of runs that execute, without those that wait for a downstream call.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Core seconds spent so far.
    #[must_use]
    pub fn busy_s(&self) -> f64 {
        self.busy_s
    }

    /// A core's speed at a time, relative to full speed, without the effect of concurrency.
    fn speed(&self, at: f64) -> f64 {
        let m = &self.model;
        let warmth =
            if m.cold_s > 0.0 { (m.cold_from + (1.0 - m.cold_from) * at / m.cold_s).min(1.0) } else { 1.0 };
        let slow = self.slowdowns.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&at));
        m.speed * warmth / slow.map_or(1.0, |s| s.factor)
    }

    /// Work that each run does per second: cores are shared evenly, and beyond the knee concurrency reduces throughput.
    fn rate(&self, at: f64) -> f64 {
        let (n, cores) = (self.runs.len() as f64, f64::from(self.model.cores));
        if n == 0.0 {
            return 0.0;
        }
        let excess = (n / (cores * self.model.knee) - 1.0).max(0.0);
        self.speed(at) * (cores / n).min(1.0) / (1.0 + self.model.thrash * excess)
    }

    /// Advances the model to a time; returns the notices up to then with their times, in order.
    pub fn advance(&mut self, to: f64) -> Vec<(f64, Notice)> {
        let mut notices = Vec::new();
        // Steps of at most 10 ms, since speeds change with time; a step ends early where a run ends or requests its
        // call.
        while self.now < to {
            let rate = self.rate(self.now);
            let min_left_s = self.runs.values().map(|r| r.left_s).fold(f64::INFINITY, f64::min);
            let end = if rate > 0.0 { self.now + min_left_s / rate } else { f64::INFINITY };
            let step = (end - self.now).clamp(1e-7, 0.01).min(to - self.now);
            self.now += step;
            let running = self.runs.len();
            self.busy_s += step * (running as f64).min(f64::from(self.model.cores));
            let tenth = (self.now * 10.0) as usize;
            if self.run_seconds.len() <= tenth {
                self.run_seconds.resize(tenth + 1, 0.0);
            }
            self.run_seconds[tenth] += running as f64 * step;
            self.runs.values_mut().for_each(|r| r.left_s -= rate * step);
            let finished: Vec<String> =
                self.runs.iter().filter(|(_, r)| r.left_s <= 1e-9).map(|(id, _)| id.clone()).collect();
            for id in finished {
                let Some(run) = self.runs.remove(&id) else { continue };
                if run.after_s.is_some() {
                    self.waiting.insert(id.clone(), run);
                    notices.push((self.now, Notice::CallRequested { run: id }));
                } else {
                    notices.push((self.now, Notice::RunEnded { run: id, degraded: run.degraded }));
                }
            }
        }
        notices
    }

    /// The time of the next notice at the current speed, provided that no command changes the runs before then.
    #[must_use]
    pub fn next_notice_at(&self) -> Option<f64> {
        let rate = self.rate(self.now);
        let min_left_s = self.runs.values().map(|r| r.left_s).fold(f64::INFINITY, f64::min);
        (rate > 0.0 && min_left_s.is_finite()).then(|| self.now + (min_left_s / rate).max(1e-6))
    }

    /// Starts a run; `false` if it was started before.
    pub fn start(&mut self, id: &str, work: Work) -> bool {
        if !self.started.insert(id.to_owned()) {
            return false;
        }
        let after_s = work.makes_call.then_some(work.after_s);
        let left_s = if work.makes_call { work.before_s } else { work.before_s + work.after_s };
        self.runs.insert(id.to_owned(), Run { left_s: left_s.max(1e-6), after_s, degraded: false });
        self.peak_running = self.peak_running.max(self.runs.len());
        true
    }

    /// Resumes a run after its downstream call, or without it if it is `skipped`; `false` if the run does not wait for
    /// one.
    pub fn resume(&mut self, id: &str, skipped: bool) -> bool {
        let Some(mut run) = self.waiting.remove(id) else { return false };
        run.left_s = run.after_s.take().unwrap_or(0.0).max(1e-6);
        run.degraded = skipped;
        self.runs.insert(id.to_owned(), run);
        self.peak_running = self.peak_running.max(self.runs.len());
        true
    }

    /// Ends a run that waits for its downstream call, because its request has ended; `false` if it does not wait for
    /// one.
    pub fn abort_waiting(&mut self, id: &str) -> bool {
        self.waiting.remove(id).is_some()
    }

    /// The highest mean number of running runs per core over any window of this length.
    #[must_use]
    pub fn peak_mean_concurrency(&self, length_s: f64) -> f64 {
        let n = ((length_s * 10.0) as usize).max(1);
        let windows = self.run_seconds.windows(n.min(self.run_seconds.len().max(1)));
        windows.map(|w| w.iter().sum::<f64>() / length_s).fold(0.0, f64::max) / f64::from(self.model.cores)
    }
}
