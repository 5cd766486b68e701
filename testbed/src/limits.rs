//! Compares published concurrency-limit algorithms with the worker's own, in closed loops on the executor model.
//!
//! Each is implemented from its description, with the constants given there: BBR's product of a windowed maximum rate
//! and a windowed minimum run time (Cardwell et al. 2016), the Vegas and Gradient2 limits of Netflix's
//! concurrency-limits library, and the gradient controller of Envoy's adaptive concurrency filter. All observe what the
//! worker observes: when runs start and end.

use crate::executor::{Executor, Notice, Work};
use crate::experiment::{ExecutorModel, Slowdown};
use crate::measure::confidence_interval;
use port_worker::pools::limit::{LimitSettings, SlotLimit};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

/// How often a limit is reviewed (seconds).
const REVIEW_S: f64 = 0.025;
/// The highest limit that any algorithm may set (slots).
const MAX_SLOTS: usize = 96;

/// Whether the limit holds work back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// More work waits than the limit admits.
    Saturating,
    /// Little work arrives, and the limit holds none back.
    Low,
}

/// An algorithm that sets the limit on concurrent runs.
pub trait LimitAlgorithm {
    /// Tells the algorithm that `elapsed_s` seconds have passed, during which this number of runs was executing.
    fn advance(&mut self, elapsed_s: f64, running: usize, demand: Demand);
    /// Tells the algorithm that a run has ended, and how long it took (seconds).
    fn run_ended(&mut self, class: usize, run_s: f64);
    /// Reviews the limit, which some algorithms do only at their own intervals.
    fn review(&mut self, now: f64, running: usize);
    /// The current limit (concurrent runs).
    fn limit(&self) -> usize;
}

/// A limit that never changes.
struct Fixed(usize);

impl LimitAlgorithm for Fixed {
    fn advance(&mut self, _: f64, _: usize, _: Demand) {}
    fn run_ended(&mut self, _: usize, _: f64) {}
    fn review(&mut self, _: f64, _: usize) {}
    fn limit(&self) -> usize {
        self.0
    }
}

/// The limit of the worker's pools.
struct WorkerLimit(SlotLimit);

impl LimitAlgorithm for WorkerLimit {
    fn advance(&mut self, elapsed_s: f64, running: usize, demand: Demand) {
        self.0.advance(elapsed_s, running, demand == Demand::Saturating);
    }
    fn run_ended(&mut self, class: usize, run_s: f64) {
        self.0.run_ended(class, run_s);
    }
    fn review(&mut self, _: f64, running: usize) {
        self.0.review(running, MAX_SLOTS);
    }
    fn limit(&self) -> usize {
        self.0.slots()
    }
}

/// BBR: the maximum rate over 10 s times the minimum run time over 10 s, with a cycle of gains of 1.25, 0.75 and six
/// times 1, and 0.2 s at the minimum limit whenever the minimum run time is 10 s old.
struct Bbr {
    min_slots: usize,
    now: f64,
    /// The time and the rate of each bin of at least 0.5 s.
    bins: VecDeque<(f64, f64)>,
    /// The length of the current bin and the runs that ended in it.
    bin: (f64, f64),
    /// The minimum run time and when it was seen.
    shortest: (f64, f64),
    probe_until: f64,
    phase: usize,
    limit: usize,
}

impl LimitAlgorithm for Bbr {
    fn advance(&mut self, elapsed_s: f64, _: usize, _: Demand) {
        self.now += elapsed_s;
        self.bin.0 += elapsed_s;
    }
    fn run_ended(&mut self, _: usize, run_s: f64) {
        self.bin.1 += 1.0;
        if run_s <= self.shortest.0 {
            self.shortest = (run_s, self.now);
        }
    }
    fn review(&mut self, now: f64, _: usize) {
        if self.bin.0 < 0.5 {
            return;
        }
        self.bins.push_back((now, self.bin.1 / self.bin.0));
        self.bin = (0.0, 0.0);
        self.bins.retain(|b| now - b.0 <= 10.0);
        if now - self.shortest.1 > 10.0 {
            (self.shortest, self.probe_until) = ((f64::INFINITY, now), now + 0.2);
        }
        self.phase = (self.phase + 1) % 8;
        let gain = [1.25, 0.75, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0][self.phase];
        let rate = self.bins.iter().map(|b| b.1).fold(0.0, f64::max);
        let product = if self.shortest.0.is_finite() { rate * self.shortest.0 * gain } else { 0.0 };
        self.limit = if now < self.probe_until {
            self.min_slots
        } else {
            (product.ceil() as usize).clamp(self.min_slots, MAX_SLOTS)
        };
    }
    fn limit(&self) -> usize {
        self.limit
    }
}

/// Vegas: queue = limit x (1 - minimum / run time). A step is log10 of the limit, but at least 1. The limit rises by 6
/// steps if the queue is at most one step, rises by one step if the queue is below 3 steps, and falls by one step if the
/// queue is above 6 steps. The minimum run time is measured again after 30 x limit runs.
struct Vegas {
    min_slots: usize,
    limit: f64,
    /// The minimum run time (seconds).
    shortest: f64,
    runs_ended: u32,
    /// Whether at least half of the limit is in use; otherwise the limit does not change.
    limited: bool,
}

impl LimitAlgorithm for Vegas {
    fn advance(&mut self, _: f64, running: usize, _: Demand) {
        self.limited = running as f64 * 2.0 >= self.limit;
    }
    fn run_ended(&mut self, _: usize, run_s: f64) {
        self.runs_ended += 1;
        // A probe: after 30 times as many runs as the limit, the next run time becomes the minimum.
        if f64::from(self.runs_ended) > 30.0 * self.limit {
            (self.shortest, self.runs_ended) = (run_s, 0);
        }
        self.shortest = self.shortest.min(run_s);
        if !self.limited {
            return;
        }
        let step = self.limit.log10().max(1.0);
        let queue = (self.limit * (1.0 - self.shortest / run_s)).ceil();
        if queue <= step {
            self.limit += 6.0 * step;
        } else if queue < 3.0 * step {
            self.limit += step;
        } else if queue > 6.0 * step {
            self.limit -= step;
        }
        self.limit = self.limit.clamp(self.min_slots as f64, MAX_SLOTS as f64);
    }
    fn review(&mut self, _: f64, _: usize) {}
    fn limit(&self) -> usize {
        self.limit as usize
    }
}

/// Gradient2: gradient = 1.5 x the long-term mean run time (600 runs) over the current one, between 0.5 and 1;
/// limit = 0.8 x limit + 0.2 x (limit x gradient + 4).
struct Gradient2 {
    min_slots: usize,
    limit: f64,
    long_mean_s: f64,
    runs_ended: f64,
    /// Whether at least half of the limit is in use; otherwise the limit does not change.
    limited: bool,
}

impl LimitAlgorithm for Gradient2 {
    fn advance(&mut self, _: f64, running: usize, _: Demand) {
        self.limited = running as f64 * 2.0 >= self.limit;
    }
    fn run_ended(&mut self, _: usize, run_s: f64) {
        self.runs_ended += 1.0;
        let weight = if self.runs_ended < 10.0 { 1.0 / self.runs_ended } else { 2.0 / 601.0 };
        self.long_mean_s += (run_s - self.long_mean_s) * weight;
        if self.long_mean_s / run_s > 2.0 {
            self.long_mean_s *= 0.95;
        }
        if self.limited {
            let gradient = (1.5 * self.long_mean_s / run_s).clamp(0.5, 1.0);
            let next = self.limit * gradient + 4.0;
            self.limit = (self.limit * 0.8 + next * 0.2).clamp(self.min_slots as f64, MAX_SLOTS as f64);
        }
    }
    fn review(&mut self, _: f64, _: usize) {}
    fn limit(&self) -> usize {
        self.limit as usize
    }
}

/// Envoy: every 60 s the minimum run time is measured as the 90th percentile of 50 runs at a limit of 3; every 100 ms
/// the limit is multiplied by 1.25 x this minimum over the window's 90th percentile, and the square root of the result
/// is added.
struct Envoy {
    limit: f64,
    /// The limit before the current measurement of the minimum.
    previous_limit: f64,
    min_run_s: f64,
    measuring: bool,
    measured_at: f64,
    run_times: Vec<f64>,
    reviewed_at: f64,
}

impl Envoy {
    fn percentile_90(&mut self) -> f64 {
        self.run_times.sort_by(f64::total_cmp);
        let rank = (self.run_times.len() as f64 * 0.9) as usize;
        self.run_times.get(rank.min(self.run_times.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }
}

impl LimitAlgorithm for Envoy {
    fn advance(&mut self, _: f64, _: usize, _: Demand) {}
    fn run_ended(&mut self, _: usize, run_s: f64) {
        self.run_times.push(run_s);
    }
    fn review(&mut self, now: f64, _: usize) {
        if self.measuring {
            if self.run_times.len() >= 50 {
                self.min_run_s = self.percentile_90();
                (self.limit, self.measuring, self.measured_at) = (self.previous_limit, false, now);
                self.run_times.clear();
            }
        } else if now - self.measured_at >= 60.0 {
            (self.previous_limit, self.limit, self.measuring) = (self.limit, 3.0, true);
            self.run_times.clear();
        } else if now - self.reviewed_at >= 0.1 {
            self.reviewed_at = now;
            if self.run_times.is_empty() {
                return;
            }
            let gradient = (self.min_run_s * 1.25 / self.percentile_90().max(1e-6)).clamp(0.5, 2.0);
            let next = self.limit * gradient;
            self.limit = (next + next.sqrt()).clamp(3.0, MAX_SLOTS as f64);
            self.run_times.clear();
        }
    }
    fn limit(&self) -> usize {
        self.limit as usize
    }
}

const ALGORITHMS: [&str; 6] = ["fixed", "bbr", "vegas", "gradient2", "envoy", "pools"];

fn new_algorithm(name: &str, min_slots: usize) -> Box<dyn LimitAlgorithm> {
    let start = min_slots as f64;
    match name {
        "bbr" => Box::new(Bbr {
            min_slots,
            now: 0.0,
            bins: VecDeque::new(),
            bin: (0.0, 0.0),
            shortest: (f64::INFINITY, 0.0),
            probe_until: 0.0,
            phase: 0,
            limit: min_slots,
        }),
        "vegas" => Box::new(Vegas {
            min_slots,
            limit: start,
            shortest: f64::INFINITY,
            runs_ended: 0,
            limited: false,
        }),
        "gradient2" => {
            Box::new(Gradient2 { min_slots, limit: start, long_mean_s: 0.0, runs_ended: 0.0, limited: false })
        }
        "envoy" => Box::new(Envoy {
            limit: 3.0,
            previous_limit: start,
            min_run_s: 1.0,
            measuring: true,
            measured_at: 0.0,
            run_times: Vec::new(),
            reviewed_at: 0.0,
        }),
        "pools" => {
            let settings = LimitSettings {
                min_slots,
                max_slots: MAX_SLOTS,
                window_s: 10.0,
                review_s: 0.5,
                min_samples: 16.0,
                slow_ratio: 1.6,
            };
            Box::new(WorkerLimit(SlotLimit::new(settings, &[0.5, 0.5])))
        }
        _ => Box::new(Fixed(min_slots)),
    }
}

/// A closed loop: work always waits, except in an optional idle period.
struct Scenario {
    name: &'static str,
    cores: u32,
    /// The mean work of the two classes (seconds), which are equally frequent.
    work_s: [f64; 2],
    /// When the executor is slower: start (seconds), duration (seconds) and factor.
    slowdown: Option<(f64, f64, f64)>,
    /// When little work arrives: start and duration (seconds).
    idle: Option<(f64, f64)>,
    length_s: f64,
}

/// The results of one loop.
#[derive(Default)]
struct LoopResult {
    /// The work done, as a share of the cores' capacity without excess concurrency.
    throughput: f64,
    /// The mean limit from 20 s on, without the idle period (slots).
    mean_limit: f64,
    /// The highest mean number of runs per core over 3 s.
    peak_concurrency: f64,
    /// The time from the end of the slowdown to the end of the first second in which the work done is at least 90% of the
    /// cores' capacity (seconds).
    recovery_s: f64,
}

fn run_loop(scenario: &Scenario, name: &str, seed: u64) -> LoopResult {
    let model = ExecutorModel {
        cores: scenario.cores,
        speed: 1.0,
        knee: 1.4,
        thrash: 0.7,
        cold_from: 0.0,
        cold_s: 0.0,
        heap_kb: 1.0,
    };
    let slowdowns: Vec<Slowdown> = scenario
        .slowdown
        .iter()
        .map(|(at_s, for_s, factor)| Slowdown { at_s: *at_s, for_s: *for_s, factor: *factor })
        .collect();
    let mut executor = Executor::new(model, slowdowns);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // The work has a log-normal distribution with a coefficient of variation of 0.7.
    let sigma = (1.0f64 + 0.49).ln().sqrt();
    let mut algorithm = new_algorithm(name, 6);
    let mut open_runs: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    let (mut now, mut last_id, mut done, mut capacity, mut limit_sum) = (0.0, 0u64, 0.0, 0.0, (0.0, 0.0));
    let mut work_by_second: BTreeMap<u64, f64> = BTreeMap::new();
    while now < scenario.length_s {
        let idle = scenario.idle.is_some_and(|(at, for_s)| (at..at + for_s).contains(&now));
        let wanted = if idle { 1 } else { algorithm.limit() };
        while executor.running() < wanted {
            let class = usize::from(random.random::<bool>());
            let mu = scenario.work_s[class].ln() - sigma * sigma / 2.0;
            let work_s = LogNormal::new(mu, sigma).map_or(mu.exp(), |d| d.sample(&mut random));
            last_id += 1;
            let id = format!("{last_id}");
            executor.start(&id, Work { before_s: work_s, after_s: 0.0, makes_call: false });
            open_runs.insert(id, (class, now, work_s));
        }
        let running = executor.running();
        // Steps of about 1.6 ms, so that a free slot is used almost at once.
        now += REVIEW_S / 16.0;
        for (at, notice) in executor.advance(now) {
            let Notice::RunEnded { run: id, .. } = notice else { continue };
            let Some((class, started, work_s)) = open_runs.remove(&id) else { continue };
            algorithm.run_ended(class, at - started);
            *work_by_second.entry(now as u64).or_default() += work_s;
            if !idle {
                done += work_s;
            }
        }
        let demand = if idle { Demand::Low } else { Demand::Saturating };
        algorithm.advance(REVIEW_S / 16.0, running, demand);
        if last_id > 0 && ((now / REVIEW_S) as u64) != (((now - REVIEW_S / 16.0) / REVIEW_S) as u64) {
            algorithm.review(now, executor.running());
        }
        if !idle {
            let slowdown = scenario.slowdown.iter().find(|(at, for_s, _)| (*at..at + for_s).contains(&now));
            capacity += REVIEW_S / 16.0 * f64::from(scenario.cores) / slowdown.map_or(1.0, |s| s.2);
            if now > 20.0 {
                limit_sum = (limit_sum.0 + algorithm.limit() as f64, limit_sum.1 + 1.0);
            }
        }
    }
    let slowdown_end = scenario.slowdown.map_or(0.0, |(at, for_s, _)| at + for_s);
    let recovered =
        |second: &u64| work_by_second.get(second).copied().unwrap_or(0.0) >= 0.9 * f64::from(scenario.cores);
    let recovery = (slowdown_end as u64..scenario.length_s as u64).find(recovered);
    LoopResult {
        throughput: done / capacity,
        mean_limit: limit_sum.0 / f64::max(limit_sum.1, 1.0),
        peak_concurrency: executor.peak_mean_concurrency(3.0),
        recovery_s: recovery.map_or(f64::INFINITY, |s| s as f64 + 1.0 - slowdown_end),
    }
}

/// A table of all algorithms in all scenarios, as means over this many seeds with 95% confidence intervals.
#[must_use]
pub fn compare(seeds: u64) -> String {
    let scenario = |name, cores, work_s, slowdown, idle, length_s| Scenario {
        name,
        cores,
        work_s,
        slowdown,
        idle,
        length_s,
    };
    let equal = [0.3, 0.3];
    let scenarios = [
        scenario("6 cores, equal work", 6, equal, None, None, 90.0),
        scenario("6 cores, work of 30 and 310 ms", 6, [0.03, 0.31], None, None, 90.0),
        scenario("30 cores, 6 configured", 30, equal, None, None, 90.0),
        scenario("6 cores, 10 x slower from 40 to 50 s", 6, equal, Some((40.0, 10.0, 10.0)), None, 90.0),
        scenario("30 cores, 2 x slower from 40 to 50 s", 30, equal, Some((40.0, 10.0, 2.0)), None, 90.0),
        scenario("30 cores, idle from 30 to 60 s", 30, equal, None, Some((30.0, 30.0)), 90.0),
    ];
    let mut text = String::from(
        "| scenario | algorithm | throughput | mean limit | peak runs per core | recovery s |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for s in &scenarios {
        for name in ALGORITHMS {
            let loops: Vec<LoopResult> = (1..=seeds).map(|seed| run_loop(s, name, seed)).collect();
            let mean =
                |of: fn(&LoopResult) -> f64| confidence_interval(&loops.iter().map(of).collect::<Vec<_>>());
            let ((throughput, throughput_half), (limit, limit_half), (concurrency, _)) =
                (mean(|x| x.throughput), mean(|x| x.mean_limit), mean(|x| x.peak_concurrency));
            let recovery = if s.slowdown.is_some() {
                format!("{:.1}", mean(|x| x.recovery_s).0)
            } else {
                "-".to_owned()
            };
            let _ = writeln!(
                text,
                "| {} | {name} | {throughput:.3} +- {throughput_half:.3} | {limit:.1} +- {limit_half:.1} | \
                 {concurrency:.2} | {recovery} |",
                s.name
            );
        }
    }
    text
}
