//! The baseline of run lengths: how long the runs of a class take without contention.

use super::run_totals::RunTotals;

/// A baseline is the mean of so many ended runs.
pub(super) const BASELINE_RUNS: f64 = 64.0;
/// Ended runs of a class before its own baseline counts.
const MIN_KNOWN_RUNS: f64 = 4.0;
/// A class without ended runs has this weight in the mean.
const MIN_MEAN_WEIGHT: f64 = 0.1;

/// A slowdown is smoothed by this share a window.
const SLOWDOWN_GAIN: f64 = 0.4;
/// A smoothed slowdown under this proves the baselines too long, whatever the contention. One window is noise (a sixth
/// of the mean for sixteen runs), and would make them sink for good.
const MIN_SMOOTHED_SLOWDOWN: f64 = 0.82;

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
    /// The length, once enough runs have ended for it to be evidence of the executor's speed (seconds).
    pub(super) fn known_length_s(&self) -> Option<f64> {
        (self.runs >= MIN_KNOWN_RUNS).then_some(self.length_s)
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
            // Runs that are longer under contention are so because of it.
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
    smoothed_slowdown: f64,
}

impl Baselines {
    /// First guesses (seconds).
    pub(super) fn new(lengths_s: &[f64]) -> Self {
        let guess = |length_s: &f64| Baseline { length_s: length_s.max(1e-6), runs: 0.0, uncontended: false };
        Baselines { by_class: lengths_s.iter().map(guess).collect(), smoothed_slowdown: 1.0 }
    }

    pub(super) fn get(&self, class: usize) -> Option<&Baseline> {
        self.by_class.get(class)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Baseline> {
        self.by_class.iter()
    }

    /// The mean over all classes, by ended runs (seconds).
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

    /// Learns from the ended runs of a window, by class.
    pub(super) fn learn(&mut self, ended: &[RunTotals], uncontended: bool) {
        for (baseline, totals) in self.by_class.iter_mut().zip(ended) {
            baseline.learn(*totals, uncontended);
        }
    }

    /// Shortens all baselines when runs have been shorter than them for several windows.
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

    /// Lets the next windows change the baselines, whatever the contention in them.
    pub(super) fn reopen(&mut self) {
        for baseline in &mut self.by_class {
            baseline.uncontended = false;
        }
    }
}
