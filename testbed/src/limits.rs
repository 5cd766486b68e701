//! Published ways to set a limit on runs, against the worker's own, in a closed loop on a model of the executor.
//!
//! Each is written from its description, with that description's constants: BBR's product of a windowed peak rate and
//! a windowed least time (Cardwell et al. 2016), the Vegas and Gradient2 limits of Netflix' concurrency limits, the
//! gradient controller of Envoy's adaptive concurrency filter. All see what the worker sees: when runs start and end.

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
const TICK_S: f64 = 0.025;
/// The highest limit that any of them may set (slots).
const MAX_SLOTS: usize = 96;

/// Whether work waits for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// More work waits than the limit lets run.
    Saturating,
    /// Little work comes, and the limit holds nothing back.
    Low,
}

/// A way to set the limit.
pub trait Limit {
    /// So much time has passed (seconds) with these runs on the cores.
    fn advance(&mut self, dt: f64, running: usize, demand: Demand);
    /// A run has ended after so long (seconds).
    fn run_ended(&mut self, class: usize, length: f64);
    /// Evaluates the limit, which some ways do at intervals alone.
    fn review(&mut self, now: f64, running: usize);
    /// The limit (runs).
    fn limit(&self) -> usize;
}

/// A limit that never changes.
struct Fixed(usize);

impl Limit for Fixed {
    fn advance(&mut self, _: f64, _: usize, _: Demand) {}
    fn run_ended(&mut self, _: usize, _: f64) {}
    fn review(&mut self, _: f64, _: usize) {}
    fn limit(&self) -> usize {
        self.0
    }
}

/// The worker's own limit.
struct Own(SlotLimit);

impl Limit for Own {
    fn advance(&mut self, dt: f64, running: usize, demand: Demand) {
        self.0.advance(dt, running, demand == Demand::Saturating);
    }
    fn run_ended(&mut self, class: usize, length: f64) {
        self.0.run_ended(class, length);
    }
    fn review(&mut self, _: f64, running: usize) {
        self.0.review(running, MAX_SLOTS);
    }
    fn limit(&self) -> usize {
        self.0.slots()
    }
}

/// Peak rate over 10 s times least time over 10 s, with gains of 1.25, 0.75 and six times 1 in turn, and a rest at the
/// least limit for 0.2 s where the least time is 10 s old.
struct Bbr {
    min_slots: usize,
    now: f64,
    bins: VecDeque<(f64, f64)>,
    bin: (f64, f64),
    shortest: (f64, f64),
    rest_until: f64,
    phase: usize,
    limit: usize,
}

impl Limit for Bbr {
    fn advance(&mut self, dt: f64, _: usize, _: Demand) {
        self.now += dt;
        self.bin.0 += dt;
    }
    fn run_ended(&mut self, _: usize, length: f64) {
        self.bin.1 += 1.0;
        if length <= self.shortest.0 {
            self.shortest = (length, self.now);
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
            (self.shortest, self.rest_until) = ((f64::INFINITY, now), now + 0.2);
        }
        self.phase = (self.phase + 1) % 8;
        let gain = [1.25, 0.75, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0][self.phase];
        let rate = self.bins.iter().map(|b| b.1).fold(0.0, f64::max);
        let product = if self.shortest.0.is_finite() { rate * self.shortest.0 * gain } else { 0.0 };
        self.limit = if now < self.rest_until {
            self.min_slots
        } else {
            (product.ceil() as usize).clamp(self.min_slots, MAX_SLOTS)
        };
    }
    fn limit(&self) -> usize {
        self.limit
    }
}

/// Queue = limit x (1 - least / time): up by log10 of the limit under 3 of those, down by it over 6, a doubling of the
/// step under one; the least time is taken anew now and then.
struct Vegas {
    min_slots: usize,
    limit: f64,
    shortest: f64,
    ends: u32,
    limited: bool,
}

impl Limit for Vegas {
    fn advance(&mut self, _: f64, running: usize, _: Demand) {
        self.limited = running as f64 * 2.0 >= self.limit;
    }
    fn run_ended(&mut self, _: usize, length: f64) {
        self.ends += 1;
        // A probe: after 30 times the limit's ends the next time is the new least.
        if f64::from(self.ends) > 30.0 * self.limit {
            (self.shortest, self.ends) = (length, 0);
        }
        self.shortest = self.shortest.min(length);
        if !self.limited {
            return;
        }
        let step = self.limit.log10().max(1.0);
        let queue = (self.limit * (1.0 - self.shortest / length)).ceil();
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

/// Gradient = 1.5 x long mean (600 ends) over the time, within 0.5 and 1; limit = 0.8 x limit + 0.2 x (limit x gradient
/// + 4).
struct Gradient2 {
    min_slots: usize,
    limit: f64,
    long: f64,
    ends: f64,
    limited: bool,
}

impl Limit for Gradient2 {
    fn advance(&mut self, _: f64, running: usize, _: Demand) {
        self.limited = running as f64 * 2.0 >= self.limit;
    }
    fn run_ended(&mut self, _: usize, length: f64) {
        self.ends += 1.0;
        let weight = if self.ends < 10.0 { 1.0 / self.ends } else { 2.0 / 601.0 };
        self.long += (length - self.long) * weight;
        if self.long / length > 2.0 {
            self.long *= 0.95;
        }
        if self.limited {
            let gradient = (1.5 * self.long / length).clamp(0.5, 1.0);
            let next = self.limit * gradient + 4.0;
            self.limit = (self.limit * 0.8 + next * 0.2).clamp(self.min_slots as f64, MAX_SLOTS as f64);
        }
    }
    fn review(&mut self, _: f64, _: usize) {}
    fn limit(&self) -> usize {
        self.limit as usize
    }
}

/// Every 60 s the least time is the 90th percentile of 50 ends at a limit of 3; every 100 ms the limit is multiplied by
/// (1.25 x that) over the 90th percentile of the window, and the root of the limit is added.
struct Envoy {
    limit: f64,
    before: f64,
    least_s: f64,
    measuring: bool,
    measured_at: f64,
    lengths: Vec<f64>,
    reviewed: f64,
}

impl Envoy {
    fn percentile(&mut self) -> f64 {
        self.lengths.sort_by(f64::total_cmp);
        let at = (self.lengths.len() as f64 * 0.9) as usize;
        self.lengths.get(at.min(self.lengths.len().saturating_sub(1))).copied().unwrap_or(0.0)
    }
}

impl Limit for Envoy {
    fn advance(&mut self, _: f64, _: usize, _: Demand) {}
    fn run_ended(&mut self, _: usize, length: f64) {
        self.lengths.push(length);
    }
    fn review(&mut self, now: f64, _: usize) {
        if self.measuring {
            if self.lengths.len() >= 50 {
                self.least_s = self.percentile();
                (self.limit, self.measuring, self.measured_at) = (self.before, false, now);
                self.lengths.clear();
            }
        } else if now - self.measured_at >= 60.0 {
            (self.before, self.limit, self.measuring) = (self.limit, 3.0, true);
            self.lengths.clear();
        } else if now - self.reviewed >= 0.1 {
            self.reviewed = now;
            if self.lengths.is_empty() {
                return;
            }
            let gradient = (self.least_s * 1.25 / self.percentile().max(1e-6)).clamp(0.5, 2.0);
            let next = self.limit * gradient;
            self.limit = (next + next.sqrt()).clamp(3.0, MAX_SLOTS as f64);
            self.lengths.clear();
        }
    }
    fn limit(&self) -> usize {
        self.limit as usize
    }
}

const LIMITS: [&str; 6] = ["fixed", "bbr", "vegas", "gradient2", "envoy", "pools"];

fn new_limit(name: &str, least: usize) -> Box<dyn Limit> {
    let start = least as f64;
    match name {
        "bbr" => Box::new(Bbr {
            min_slots: least,
            now: 0.0,
            bins: VecDeque::new(),
            bin: (0.0, 0.0),
            shortest: (f64::INFINITY, 0.0),
            rest_until: 0.0,
            phase: 0,
            limit: least,
        }),
        "vegas" => Box::new(Vegas {
            min_slots: least,
            limit: start,
            shortest: f64::INFINITY,
            ends: 0,
            limited: false,
        }),
        "gradient2" => {
            Box::new(Gradient2 { min_slots: least, limit: start, long: 0.0, ends: 0.0, limited: false })
        }
        "envoy" => Box::new(Envoy {
            limit: 3.0,
            before: start,
            least_s: 1.0,
            measuring: true,
            measured_at: 0.0,
            lengths: Vec::new(),
            reviewed: 0.0,
        }),
        "pools" => {
            let bounds = LimitSettings {
                min_slots: least,
                max_slots: MAX_SLOTS,
                window_s: 10.0,
                review_s: 0.5,
                min_samples: 16.0,
                slow_ratio: 1.6,
            };
            Box::new(Own(SlotLimit::new(bounds, &[0.5, 0.5])))
        }
        _ => Box::new(Fixed(least)),
    }
}

/// A closed loop: work waits at all times, but for a time in which little is asked for.
struct Scenario {
    name: &'static str,
    cores: u32,
    /// Mean work of the two classes (seconds); one class in two ends.
    work_s: [f64; 2],
    slow: Option<(f64, f64, f64)>,
    calm: Option<(f64, f64)>,
    length_s: f64,
}

/// What came of one loop.
#[derive(Default)]
struct LoopResult {
    /// Work done over what the cores can do at most, without excess concurrency.
    throughput: f64,
    mean_limit: f64,
    /// Runs a core, the highest mean of 3 s.
    concurrency: f64,
    /// After the end of the slow time: how long until the throughput of a second is nine tenths of the most.
    recovery_s: f64,
}

fn play(scenario: &Scenario, name: &str, seed: u64) -> LoopResult {
    let model = ExecutorModel {
        cores: scenario.cores,
        speed: 1.0,
        knee: 1.4,
        thrash: 0.7,
        cold_from: 0.0,
        cold_s: 0.0,
        heap_kb: 1.0,
    };
    let slows: Vec<Slowdown> = scenario
        .slow
        .iter()
        .map(|(at_s, for_s, times)| Slowdown { at_s: *at_s, for_s: *for_s, factor: *times })
        .collect();
    let mut executor = Executor::new(model, slows);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let spread = (1.0f64 + 0.49).ln().sqrt();
    let mut limit = new_limit(name, 6);
    let mut open: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    let (mut now, mut number, mut done, mut best, mut limits) = (0.0, 0u64, 0.0, 0.0, (0.0, 0.0));
    let mut seconds: BTreeMap<u64, f64> = BTreeMap::new();
    while now < scenario.length_s {
        let calm = scenario.calm.is_some_and(|(at, for_s)| (at..at + for_s).contains(&now));
        let wanted = if calm { 1 } else { limit.limit() };
        while executor.running() < wanted {
            let class = usize::from(random.random::<bool>());
            let mean = scenario.work_s[class].ln() - spread * spread / 2.0;
            let work_s = LogNormal::new(mean, spread).map_or(mean.exp(), |d| d.sample(&mut random));
            number += 1;
            let id = format!("{number}");
            executor.start(&id, Work { before_s: work_s, after_s: 0.0, makes_call: false });
            open.insert(id, (class, now, work_s));
        }
        let running = executor.running();
        // In steps of a millisecond or so, so that a slot that is free is seen at once.
        now += TICK_S / 16.0;
        for (at, notice) in executor.advance(now) {
            let Notice::RunEnded { run: id, .. } = notice else { continue };
            let Some((class, started, work_s)) = open.remove(&id) else { continue };
            limit.run_ended(class, at - started);
            *seconds.entry(now as u64).or_default() += work_s;
            if !calm {
                done += work_s;
            }
        }
        let demand = if calm { Demand::Low } else { Demand::Saturating };
        limit.advance(TICK_S / 16.0, running, demand);
        if number > 0 && ((now / TICK_S) as u64) != (((now - TICK_S / 16.0) / TICK_S) as u64) {
            limit.review(now, executor.running());
        }
        if !calm {
            let slow = scenario.slow.iter().find(|(at, for_s, _)| (*at..at + for_s).contains(&now));
            best += TICK_S / 16.0 * f64::from(scenario.cores) / slow.map_or(1.0, |s| s.2);
            if now > 20.0 {
                limits = (limits.0 + limit.limit() as f64, limits.1 + 1.0);
            }
        }
    }
    let from = scenario.slow.map_or(0.0, |(at, for_s, _)| at + for_s);
    let good = |second: &u64| seconds.get(second).copied().unwrap_or(0.0) >= 0.9 * f64::from(scenario.cores);
    let back = (from as u64..scenario.length_s as u64).find(good);
    LoopResult {
        throughput: done / best,
        mean_limit: limits.0 / f64::max(limits.1, 1.0),
        concurrency: executor.peak_mean_concurrency(3.0),
        recovery_s: back.map_or(f64::INFINITY, |s| s as f64 + 1.0 - from),
    }
}

/// A table of all ways in all scenarios over so many seeds, with intervals of 95%.
#[must_use]
pub fn compare(seeds: u64) -> String {
    let scenario =
        |name, cores, work_s, slow, calm, length_s| Scenario { name, cores, work_s, slow, calm, length_s };
    let same = [0.3, 0.3];
    let scenarios = [
        scenario("6 cores, one length", 6, same, None, None, 90.0),
        scenario("6 cores, 30 and 310 ms", 6, [0.03, 0.31], None, None, 90.0),
        scenario("30 slots that the settings call 6", 30, same, None, None, 90.0),
        scenario("6 cores, 10 x slower from 40 to 50 s", 6, same, Some((40.0, 10.0, 10.0)), None, 90.0),
        scenario("30 slots, 2 x slower from 40 to 50 s", 30, same, Some((40.0, 10.0, 2.0)), None, 90.0),
        scenario("30 slots, idle from 30 to 60 s", 30, same, None, Some((30.0, 30.0)), 90.0),
    ];
    let mut text = String::from(
        "| scenario | limit | throughput | mean limit | crowd a core | back after s |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for s in &scenarios {
        for name in LIMITS {
            let loops: Vec<LoopResult> = (1..=seeds).map(|seed| play(s, name, seed)).collect();
            let mean =
                |of: fn(&LoopResult) -> f64| confidence_interval(&loops.iter().map(of).collect::<Vec<_>>());
            let ((t, th), (l, lh), (c, _)) =
                (mean(|x| x.throughput), mean(|x| x.mean_limit), mean(|x| x.concurrency));
            let back =
                if s.slow.is_some() { format!("{:.1}", mean(|x| x.recovery_s).0) } else { "-".to_owned() };
            let _ = writeln!(
                text,
                "| {} | {name} | {t:.3} +- {th:.3} | {l:.1} +- {lh:.1} | {c:.2} | {back} |",
                s.name
            );
        }
    }
    text
}
