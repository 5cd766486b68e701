//! The evidence of one review window.

use super::run_totals::RunTotals;

/// What was measured since the last review.
#[derive(Clone, Debug, Default)]
pub(super) struct ReviewWindow {
    pub(super) span_s: f64,
    /// Time on the cores of all that ran.
    pub(super) core_time_s: f64,
    /// For how long more would have run if the limit had let them.
    pub(super) limit_reached_s: f64,
    /// Ended runs, by their length.
    ended: RunTotals,
    /// What ended runs take by their baselines, and the sum of the squares.
    pub(super) ended_baseline_s: f64,
    ended_baseline_squared: f64,
    /// Ended runs, by class.
    pub(super) ended_by_class: Vec<RunTotals>,
}

/// The measurements of a window, for the log and the status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// Ended runs a second.
    pub rate_per_s: f64,
    /// Mean length of ended runs (seconds).
    pub run_s: f64,
    /// What those runs take by their baselines (seconds).
    pub baseline_s: f64,
    /// Mean number of runs on the cores.
    pub on_cores: f64,
}

impl ReviewWindow {
    pub(super) fn new(classes: usize) -> Self {
        ReviewWindow { ended_by_class: vec![RunTotals::default(); classes], ..ReviewWindow::default() }
    }

    /// Time passes with so many runs on the cores.
    pub(super) fn advance(&mut self, elapsed_s: f64, on_cores: usize, limit_reached: bool) {
        self.span_s += elapsed_s;
        self.core_time_s += on_cores as f64 * elapsed_s;
        if limit_reached {
            self.limit_reached_s += elapsed_s;
        }
    }

    /// Counts an ended run. A run of a class without a known baseline is no evidence of the speed.
    pub(super) fn run_ended(&mut self, class: usize, length_s: f64, known_baseline_s: Option<f64>) {
        let Some(of_class) = self.ended_by_class.get_mut(class) else { return };
        of_class.add(length_s);
        let baseline_s = known_baseline_s.unwrap_or(length_s);
        self.ended_baseline_s += baseline_s;
        self.ended_baseline_squared += baseline_s * baseline_s;
        self.ended.add(length_s);
    }

    /// How many runs of one length would be as much evidence as those that ended (Kish's effective sample size): among
    /// many short runs the few long ones decide the sum of lengths.
    pub(super) fn effective_samples(&self) -> f64 {
        if self.ended_baseline_squared > 0.0 {
            self.ended_baseline_s.powi(2) / self.ended_baseline_squared
        } else {
            0.0
        }
    }

    /// How many times their baseline ended runs took.
    pub(super) fn slowdown(&self) -> f64 {
        if self.ended_baseline_s > 0.0 {
            self.ended.length_s / self.ended_baseline_s
        } else {
            1.0
        }
    }

    /// The mean number of runs on the cores.
    pub(super) fn mean_on_cores(&self) -> f64 {
        self.core_time_s / self.span_s
    }

    /// The measurements of the window, if it has lasted.
    pub(super) fn measured(&self) -> Option<Measured> {
        if self.span_s <= 0.0 {
            return None;
        }
        let ended = self.ended.runs;
        Some(Measured {
            rate_per_s: ended / self.span_s,
            run_s: if ended > 0.0 { self.ended.length_s / ended } else { 0.0 },
            baseline_s: if ended > 0.0 { self.ended_baseline_s / ended } else { 0.0 },
            on_cores: self.mean_on_cores(),
        })
    }
}
