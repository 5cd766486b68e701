//! Baseline run lengths: the mean length of the runs of each class without contention.

use super::run_totals::RunTotals;

/// Number of ended runs over which a baseline is averaged.
pub(super) const BASELINE_RUNS: f64 = 64.0;
/// Least number of ended runs of a class for which its baseline counts as evidence of the executor's speed.
const MIN_KNOWN_RUNS: f64 = 4.0;
/// The weight that a class without ended runs has in the mean over all classes (runs).
const MIN_MEAN_WEIGHT: f64 = 0.1;

/// Smoothing factor of the slowdown, per window.
const SLOWDOWN_GAIN: f64 = 0.4;
/// A smoothed slowdown below this shows that the baselines are too long, whatever the contention. A single window is too
/// noisy (its error is a sixth of the mean for sixteen runs) and would shorten the baselines permanently.
const MIN_SMOOTHED_SLOWDOWN: f64 = 0.82;

/// The baseline of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    pub(super) length_s: f64,
    /// Number of ended runs that it averages, at most [`BASELINE_RUNS`].
    pub(super) runs: f64,
    /// Whether it was measured without contention. If not, contention may have lengthened the measured runs, and the
    /// first window without contention replaces the length.
    pub(super) uncontended: bool,
}

impl Baseline {
    /// The length, once enough runs have ended for it to be evidence of the executor's speed (seconds).
    pub(super) fn known_length_s(&self) -> Option<f64> {
        (self.runs >= MIN_KNOWN_RUNS).then_some(self.length_s)
    }

    fn update(&mut self, totals: RunTotals, uncontended: bool) {
        if totals.runs == 0.0 {
            return;
        }
        let mean_s = totals.length_s / totals.runs;
        let share = if uncontended && !self.uncontended {
            self.runs = 0.0;
            1.0
        } else if uncontended || !self.uncontended {
            totals.runs / (self.runs + totals.runs)
        } else {
            // Contention lengthens runs, so runs of a contended window must not change an uncontended baseline.
            return;
        };
        self.length_s += (mean_s - self.length_s) * share;
        self.runs = (self.runs + totals.runs).min(BASELINE_RUNS);
        self.uncontended |= uncontended;
    }
}

/// The baselines of all classes.
#[derive(Clone, Debug)]
pub(super) struct Baselines {
    by_class: Vec<Baseline>,
    /// Ratio of run lengths to baselines, smoothed over windows.
    smoothed_slowdown: f64,
}

impl Baselines {
    /// Creates baselines from initial estimates, by class (seconds).
    pub(super) fn new(initial_lengths_s: &[f64]) -> Self {
        let initial =
            |length_s: &f64| Baseline { length_s: length_s.max(1e-6), runs: 0.0, uncontended: false };
        Baselines { by_class: initial_lengths_s.iter().map(initial).collect(), smoothed_slowdown: 1.0 }
    }

    pub(super) fn get(&self, class: usize) -> Option<&Baseline> {
        self.by_class.get(class)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Baseline> {
        self.by_class.iter()
    }

    /// Mean over all classes, weighted by ended runs (seconds).
    pub(super) fn mean_s(&self) -> f64 {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for baseline in &self.by_class {
            let weight = baseline.runs.max(MIN_MEAN_WEIGHT);
            sum += baseline.length_s * weight;
            weights += weight;
        }
        if weights > 0.0 {
            sum / weights
        } else {
            1.0
        }
    }

    /// Updates the baselines with the ended runs of a window, by class.
    pub(super) fn update(&mut self, ended: &[RunTotals], uncontended: bool) {
        for (baseline, totals) in self.by_class.iter_mut().zip(ended) {
            baseline.update(*totals, uncontended);
        }
    }

    /// Updates the smoothed slowdown with that of a window, and shortens all baselines if it is below
    /// [`MIN_SMOOTHED_SLOWDOWN`].
    pub(super) fn correct(&mut self, slowdown: f64) {
        self.smoothed_slowdown += (slowdown - self.smoothed_slowdown) * SLOWDOWN_GAIN;
        if self.smoothed_slowdown >= MIN_SMOOTHED_SLOWDOWN {
            return;
        }
        for baseline in &mut self.by_class {
            baseline.length_s *= self.smoothed_slowdown;
        }
        self.smoothed_slowdown = 1.0;
    }

    /// Marks the baselines as measured under contention, so that windows with contention update them too.
    pub(super) fn mark_contended(&mut self) {
        for baseline in &mut self.by_class {
            baseline.uncontended = false;
        }
    }
}
