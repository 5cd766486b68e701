//! Measurements of one review window.

use super::run_totals::RunTotals;

/// Totals since the last review.
#[derive(Clone, Debug, Default)]
pub(super) struct ReviewWindow {
    pub(super) span_s: f64,
    /// Total time of all runs on the cores (seconds).
    pub(super) core_time_s: f64,
    /// Time for which requests waited because of the limit (seconds).
    pub(super) limit_reached_s: f64,
    /// Totals of ended runs.
    ended: RunTotals,
    /// Sum of the baseline lengths of ended runs (seconds).
    pub(super) ended_baseline_s: f64,
    /// Sum of the squares of those lengths.
    ended_baseline_squared: f64,
    /// Totals of ended runs, by class.
    pub(super) ended_by_class: Vec<RunTotals>,
}

/// Measurements of a window, for the log and the status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measurements {
    /// Ended runs per second.
    pub rate_per_s: f64,
    /// Mean length of ended runs (seconds).
    pub run_s: f64,
    /// Mean baseline length of those runs (seconds).
    pub baseline_s: f64,
    /// Mean number of runs on the cores.
    pub on_cores: f64,
}

impl ReviewWindow {
    pub(super) fn new(classes: usize) -> Self {
        ReviewWindow { ended_by_class: vec![RunTotals::default(); classes], ..ReviewWindow::default() }
    }

    /// Advances time with this number of runs on the cores.
    pub(super) fn advance(&mut self, elapsed_s: f64, on_cores: usize, limit_reached: bool) {
        self.span_s += elapsed_s;
        self.core_time_s += on_cores as f64 * elapsed_s;
        if limit_reached {
            self.limit_reached_s += elapsed_s;
        }
    }

    /// Counts an ended run. If the baseline of its class is not known, the run's own length is taken as its baseline, so
    /// that the run is no evidence of a slowdown.
    pub(super) fn run_ended(&mut self, class: usize, length_s: f64, known_baseline_s: Option<f64>) {
        let Some(of_class) = self.ended_by_class.get_mut(class) else { return };
        of_class.add(length_s);
        let baseline_s = known_baseline_s.unwrap_or(length_s);
        self.ended_baseline_s += baseline_s;
        self.ended_baseline_squared += baseline_s * baseline_s;
        self.ended.add(length_s);
    }

    /// Kish's effective sample size: the number of runs of equal length that would be as much evidence as those that
    /// ended. Among many short runs, a few long ones dominate the sum of lengths.
    pub(super) fn effective_samples(&self) -> f64 {
        if self.ended_baseline_squared > 0.0 {
            self.ended_baseline_s.powi(2) / self.ended_baseline_squared
        } else {
            0.0
        }
    }

    /// Ratio of the length of the ended runs to their baselines.
    pub(super) fn slowdown(&self) -> f64 {
        if self.ended_baseline_s > 0.0 {
            self.ended.length_s / self.ended_baseline_s
        } else {
            1.0
        }
    }

    /// Mean number of runs on the cores.
    pub(super) fn mean_on_cores(&self) -> f64 {
        self.core_time_s / self.span_s
    }

    /// The measurements of the window; `None` if no time has passed in it.
    pub(super) fn measurements(&self) -> Option<Measurements> {
        if self.span_s <= 0.0 {
            return None;
        }
        let ended = self.ended.runs;
        Some(Measurements {
            rate_per_s: ended / self.span_s,
            run_s: if ended > 0.0 { self.ended.length_s / ended } else { 0.0 },
            baseline_s: if ended > 0.0 { self.ended_baseline_s / ended } else { 0.0 },
            on_cores: self.mean_on_cores(),
        })
    }
}
