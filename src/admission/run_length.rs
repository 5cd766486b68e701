//! Estimates of run lengths.

use crate::admission::baseline::next_baseline;
use crate::admission::timing::decay_factor;
use crate::interface::{Class, LearnedRunLength};

/// Before any run has ended, a run is expected to take this share of its class's latency objective.
const PRIOR_SHARE_OF_OBJECTIVE: f64 = 0.25;
/// The prior has the weight of this many ended runs.
const PRIOR_RUNS: f64 = 3.0;
/// Hints are used once this many runs with a hint have ended.
const MIN_HINTED_RUNS: f64 = 8.0;
/// Each ended run with a hint reduces the weight of the earlier ones by this factor.
const HINT_DECAY: f64 = 0.98;
/// A prediction is at most this factor above or below the mean length.
const MAX_PREDICTION_FACTOR: f64 = 5.0;

/// Exponentially decaying sums over ended runs with a hint, for a least-squares regression of lengths on hints.
#[derive(Clone, Copy, Default)]
struct HintRegression {
    count: f64,
    hints: f64,
    lengths: f64,
    hints_squared: f64,
    hints_times_lengths: f64,
}

impl HintRegression {
    fn add(&mut self, hint: f64, length: f64) {
        self.count = self.count * HINT_DECAY + 1.0;
        self.hints = self.hints * HINT_DECAY + hint;
        self.lengths = self.lengths * HINT_DECAY + length;
        self.hints_squared = self.hints_squared * HINT_DECAY + hint * hint;
        self.hints_times_lengths = self.hints_times_lengths * HINT_DECAY + hint * length;
    }

    /// The slope of the regression line, between 0 (lengths don't depend on hints) and that of lengths proportional to
    /// hints.
    fn slope(&self) -> f64 {
        let covariance = self.hints_times_lengths - self.hints * self.lengths / self.count;
        let variance = self.hints_squared - self.hints * self.hints / self.count;
        (covariance / variance.max(1e-9)).clamp(0.0, self.lengths / self.hints.max(1e-9))
    }

    /// The sums in the order of [`LearnedRunLength::hint_sums`].
    fn to_sums(self) -> [f64; 5] {
        [self.count, self.hints, self.lengths, self.hints_squared, self.hints_times_lengths]
    }

    fn from_sums(sums: [f64; 5]) -> Self {
        let [count, hints, lengths, hints_squared, hints_times_lengths] = sums;
        HintRegression { count, hints, lengths, hints_squared, hints_times_lengths }
    }
}

/// The length of a class's runs: decayed core time divided by the decayed count of ended runs. Unfinished runs count
/// with the time they have taken so far.
struct RunLengthEstimate {
    core_time_s: f64,
    ended: f64,
    hinted: HintRegression,
    /// Upper bound on a measured length: a run that exceeds the objective is late whatever its length, and without
    /// the bound a hang would affect the estimate long after it ended.
    max_length_s: f64,
}

impl RunLengthEstimate {
    fn new(class: &Class) -> Self {
        let prior = class.objective_s * PRIOR_SHARE_OF_OBJECTIVE;
        RunLengthEstimate {
            core_time_s: prior * PRIOR_RUNS,
            ended: PRIOR_RUNS,
            hinted: HintRegression::default(),
            max_length_s: class.objective_s,
        }
    }

    /// The expected length of a run with this hint. The regression over ended runs determines the influence of
    /// hints, so that inaccurate, missing and absurd hints do no harm.
    fn predict(&self, hint: Option<f64>) -> f64 {
        let mean = self.mean();
        let Some(hint) = hint.filter(|_| self.hinted.count >= MIN_HINTED_RUNS) else { return mean };
        let mean_hint = self.hinted.hints / self.hinted.count;
        let predicted = mean + self.hinted.slope() * (hint - mean_hint);
        predicted.clamp(mean / MAX_PREDICTION_FACTOR, mean * MAX_PREDICTION_FACTOR)
    }

    /// Records a run that has ended after `length` on the cores.
    fn run_ended(&mut self, hint: Option<f64>, length: f64) {
        self.ended += 1.0;
        if let Some(hint) = hint {
            self.hinted.add(hint, length.min(self.max_length_s));
        }
    }

    /// Advances the clock, with this many runs on the cores in that time.
    fn advance(&mut self, running: f64, elapsed_s: f64) {
        // The sums decay no further than to the weight of the prior, so that a single run can't dominate the estimate.
        if self.ended > PRIOR_RUNS {
            let decay = decay_factor(elapsed_s);
            self.core_time_s *= decay;
            self.ended *= decay;
        }
        self.core_time_s = (self.core_time_s + running * elapsed_s).min(self.max_length_s * self.ended);
    }

    /// The mean length (seconds).
    fn mean(&self) -> f64 {
        (self.core_time_s / self.ended).max(1e-6)
    }
}

/// The estimates of all classes, and the baseline of their mean.
pub(super) struct RunLengths {
    by_class: Vec<RunLengthEstimate>,
    /// The mean length without contention (seconds).
    baseline_s: f64,
}

impl RunLengths {
    /// Starts from the prior of each class.
    pub(super) fn new(classes: &[Class]) -> Self {
        let by_class = classes.iter().map(RunLengthEstimate::new).collect();
        let mut run_lengths = RunLengths { by_class, baseline_s: 0.0 };
        run_lengths.baseline_s = run_lengths.mean_s();
        run_lengths
    }

    /// The expected length of a run of this class with this hint (seconds).
    pub(super) fn predict(&self, class: usize, hint: Option<f64>) -> f64 {
        self.by_class[class].predict(hint)
    }

    /// Records a run that has ended.
    pub(super) fn run_ended(&mut self, class: usize, hint: Option<f64>, length_s: f64) {
        self.by_class[class].run_ended(hint, length_s);
    }

    /// Advances the clock, with this many runs on the cores by class.
    pub(super) fn advance(&mut self, running_by_class: &[usize], elapsed_s: f64) {
        for (estimate, running) in self.by_class.iter_mut().zip(running_by_class) {
            estimate.advance(*running as f64, elapsed_s);
        }
    }

    /// The mean length over all classes (seconds).
    pub(super) fn mean_s(&self) -> f64 {
        self.mean_s_of(|_| true)
    }

    /// The mean length over the classes for which `counts` is true (seconds).
    pub(super) fn mean_s_of(&self, counts: impl Fn(usize) -> bool) -> f64 {
        let counted = || self.by_class.iter().enumerate().filter(|(class, _)| counts(*class));
        let core_time_s: f64 = counted().map(|(_, estimate)| estimate.core_time_s).sum();
        let ended: f64 = counted().map(|(_, estimate)| estimate.ended).sum();
        (core_time_s / ended.max(1e-6)).max(1e-6)
    }

    /// The mean lengths by class (seconds).
    pub(super) fn means_s(&self) -> Vec<f64> {
        self.by_class.iter().map(RunLengthEstimate::mean).collect()
    }

    /// The baseline of the mean length (seconds).
    pub(super) fn baseline_s(&self) -> f64 {
        self.baseline_s
    }

    /// Moves the baseline towards the mean, once per window.
    pub(super) fn update_baseline(&mut self) {
        self.baseline_s = next_baseline(self.baseline_s, self.mean_s());
    }

    /// The estimates to hand to a successor.
    pub(super) fn learned(&self) -> Vec<LearnedRunLength> {
        let learned = |estimate: &RunLengthEstimate| LearnedRunLength {
            core_time_s: estimate.core_time_s,
            ended: estimate.ended,
            hint_sums: estimate.hinted.to_sums(),
        };
        self.by_class.iter().map(learned).collect()
    }

    /// Adopts the estimates and the baseline of a predecessor.
    pub(super) fn adopt(&mut self, learned: Vec<LearnedRunLength>, baseline_s: f64) {
        self.baseline_s = baseline_s;
        for (estimate, learned) in self.by_class.iter_mut().zip(learned) {
            estimate.core_time_s = learned.core_time_s;
            estimate.ended = learned.ended;
            estimate.hinted = HintRegression::from_sums(learned.hint_sums);
        }
    }
}
