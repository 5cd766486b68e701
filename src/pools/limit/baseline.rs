//! The baseline of run lengths: how long the runs of a class take without contention.

use super::window::RunTotals;

/// A baseline is the mean of so many ended runs.
pub(super) const BASELINE_RUNS: f64 = 64.0;
/// Ended runs of a class before its own baseline counts.
const MIN_KNOWN_RUNS: f64 = 4.0;
/// A class without ended runs has this weight in the mean.
const MIN_MEAN_WEIGHT: f64 = 0.1;

/// The baseline of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    pub(super) length_s: f64,
    /// The ended runs that it stands on, up to what counts.
    pub(super) runs: f64,
    /// It stems from windows without contention; else contention may have a part in it, and the first such
    /// window replaces it.
    pub(super) uncontended: bool,
}

impl Baseline {
    /// Whether enough runs have ended for it to tell of the executor's speed.
    pub(super) fn is_known(&self) -> bool {
        self.runs >= MIN_KNOWN_RUNS
    }

    fn learn(&mut self, totals: RunTotals, uncontended: bool) {
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
            // Longer runs under contention are the contention's doing.
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
}

impl Baselines {
    /// First guesses (seconds).
    pub(super) fn new(lengths_s: &[f64]) -> Self {
        let guess = |length_s: &f64| Baseline { length_s: length_s.max(1e-6), runs: 0.0, uncontended: false };
        Baselines { by_class: lengths_s.iter().map(guess).collect() }
    }

    pub(super) fn get(&self, class: usize) -> Option<&Baseline> {
        self.by_class.get(class)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Baseline> {
        self.by_class.iter()
    }

    /// The mean over all classes, by ended runs (seconds).
    pub(super) fn mean_s(&self) -> f64 {
        let add = |(sum, weights): (f64, f64), baseline: &Baseline| {
            let weight = baseline.runs.max(MIN_MEAN_WEIGHT);
            (sum + baseline.length_s * weight, weights + weight)
        };
        let (sum, weights) = self.by_class.iter().fold((0.0, 0.0), add);
        if weights > 0.0 {
            sum / weights
        } else {
            1.0
        }
    }

    /// Learns from the ended runs of a window, by class.
    pub(super) fn learn(&mut self, ended: &[RunTotals], uncontended: bool) {
        for (baseline, totals) in self.by_class.iter_mut().zip(ended) {
            baseline.learn(*totals, uncontended);
        }
    }

    /// Makes all baselines shorter or longer.
    pub(super) fn scale(&mut self, factor: f64) {
        self.by_class.iter_mut().for_each(|baseline| baseline.length_s *= factor);
    }

    /// Lets the next windows change the baselines, whatever the contention in them.
    pub(super) fn reopen(&mut self) {
        self.by_class.iter_mut().for_each(|baseline| baseline.uncontended = false);
    }
}
