//! The measured length of downstream calls. It measures and decides nothing: the downstream limit reads it.

use crate::admission::run_length::{follow_baseline, MEASUREMENT_MEMORY_S};
use crate::interface::RecentCalls;

/// Time on calls (seconds) and ended calls.
#[derive(Clone, Copy, Default)]
pub(super) struct CallTotals {
    pub(super) time_s: f64,
    pub(super) ended: f64,
}

/// Fading and windowed means of the length of calls.
pub(super) struct CallLengthEstimate {
    /// Calls since the last window was closed.
    pub(super) window: CallTotals,
    /// Recent calls, fading.
    pub(super) recent: CallTotals,
    /// What the mean of a window is measured against (seconds); infinite before the first window is closed.
    pub(super) baseline_s: f64,
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

    /// The expected length of a call (seconds). Without recent calls it fades to the baseline.
    pub(super) fn expected_s(&self) -> f64 {
        let baseline_s = if self.is_known() { self.baseline_s } else { 0.0 };
        (self.recent.time_s + baseline_s) / (self.recent.ended + 1.0)
    }

    /// The mean length in the window (seconds).
    pub(super) fn window_mean_s(&self) -> f64 {
        self.window.time_s / self.window.ended.max(1.0)
    }

    /// Time passes with this many calls in flight.
    pub(super) fn advance(&mut self, in_flight: f64, elapsed_s: f64) {
        let fade = (-elapsed_s / MEASUREMENT_MEMORY_S).exp();
        self.window.time_s += in_flight * elapsed_s;
        self.recent.time_s = self.recent.time_s * fade + in_flight * elapsed_s;
        self.recent.ended *= fade;
    }

    /// Takes over the recent calls and the baseline of a predecessor.
    pub(super) fn adopt(&mut self, recent: RecentCalls, baseline_s: Option<f64>) {
        self.recent = CallTotals { time_s: recent.time_s, ended: recent.ended };
        self.baseline_s = baseline_s.unwrap_or(f64::INFINITY);
    }

    /// Counts a call that has ended.
    pub(super) fn call_ended(&mut self) {
        self.window.ended += 1.0;
        self.recent.ended += 1.0;
    }

    /// Closes the window: the baseline follows its mean.
    pub(super) fn close_window(&mut self) {
        let mean_s = self.window_mean_s();
        self.baseline_s = if self.is_known() { follow_baseline(self.baseline_s, mean_s) } else { mean_s };
        self.window = CallTotals::default();
    }
}
