//! The measured length of downstream calls.

use crate::admission::baseline::next_baseline;
use crate::admission::timing::decay_factor;
use crate::interface::RecentCalls;

/// Sums of time on calls (seconds) and of ended calls.
#[derive(Clone, Copy, Default)]
struct CallTotals {
    time_s: f64,
    ended: f64,
}

/// Exponentially decaying and windowed means of the length of calls.
pub(super) struct CallLengthEstimate {
    /// Calls in the present window.
    window: CallTotals,
    /// Recent calls (exponentially decaying).
    recent: CallTotals,
    /// The length that the mean of a window is compared with (seconds); infinite until the first window is closed.
    baseline_s: f64,
}

impl Default for CallLengthEstimate {
    fn default() -> Self {
        CallLengthEstimate {
            window: CallTotals::default(),
            recent: CallTotals::default(),
            baseline_s: f64::INFINITY,
        }
    }
}

impl CallLengthEstimate {
    /// Whether a window has been closed.
    pub(super) fn is_known(&self) -> bool {
        self.baseline_s.is_finite()
    }

    /// The expected length of a call (seconds). Without recent calls it approaches the baseline.
    pub(super) fn expected_s(&self) -> f64 {
        let baseline_s = if self.is_known() { self.baseline_s } else { 0.0 };
        (self.recent.time_s + baseline_s) / (self.recent.ended + 1.0)
    }

    /// The baseline (seconds); infinite while unknown.
    pub(super) fn baseline_s(&self) -> f64 {
        self.baseline_s
    }

    /// Calls that have ended in the window.
    pub(super) fn window_ended(&self) -> f64 {
        self.window.ended
    }

    /// Time on calls in the window (seconds).
    pub(super) fn window_time_s(&self) -> f64 {
        self.window.time_s
    }

    /// The mean length in the window (seconds).
    pub(super) fn window_mean_s(&self) -> f64 {
        self.window.time_s / self.window.ended.max(1.0)
    }

    /// Advances the clock, with this many calls in flight in that time.
    pub(super) fn advance(&mut self, in_flight: f64, elapsed_s: f64) {
        let decay = decay_factor(elapsed_s);
        self.window.time_s += in_flight * elapsed_s;
        self.recent.time_s = self.recent.time_s * decay + in_flight * elapsed_s;
        self.recent.ended *= decay;
    }

    /// The recent calls to hand to a successor.
    pub(super) fn learned_calls(&self) -> RecentCalls {
        RecentCalls { time_s: self.recent.time_s, ended: self.recent.ended }
    }

    /// The baseline to hand to a successor, if it is known (seconds).
    pub(super) fn learned_baseline_s(&self) -> Option<f64> {
        self.is_known().then_some(self.baseline_s)
    }

    /// Adopts the recent calls and the baseline of a predecessor.
    pub(super) fn adopt(&mut self, recent: RecentCalls, baseline_s: Option<f64>) {
        self.recent = CallTotals { time_s: recent.time_s, ended: recent.ended };
        self.baseline_s = baseline_s.unwrap_or(f64::INFINITY);
    }

    /// Counts a call that has ended.
    pub(super) fn call_ended(&mut self) {
        self.window.ended += 1.0;
        self.recent.ended += 1.0;
    }

    /// Closes the window and moves the baseline towards its mean.
    pub(super) fn close_window(&mut self) {
        let mean_s = self.window_mean_s();
        self.baseline_s = if self.is_known() { next_baseline(self.baseline_s, mean_s) } else { mean_s };
        self.window = CallTotals::default();
    }
}
