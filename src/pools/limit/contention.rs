//! Tracking of contention: how long runs have competed for the cores, and how many samples were taken without contention.

use super::baseline::BASELINE_RUNS;
use super::settings::LimitSettings;

/// Time with contention before a calibration, in review intervals, while fewer than [`BASELINE_RUNS`] samples were taken
/// without contention or a baseline was measured under contention.
const FIRST_CALIBRATION_REVIEWS: f64 = 3.0;
/// Time with contention before any other calibration, in measurement windows. It is longer because each calibration costs
/// up to two seconds of low concurrency.
const CALIBRATION_WINDOWS: f64 = 4.0;

/// Contention since the baselines were last measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    /// Time since the last window without contention (seconds).
    contended_s: f64,
    /// Number of samples in windows without contention, at most [`BASELINE_RUNS`].
    uncontended_samples: f64,
}

impl Contention {
    /// Counts a closed window without contention.
    pub(super) fn count_uncontended(&mut self, samples: f64) {
        self.uncontended_samples = (self.uncontended_samples + samples).min(BASELINE_RUNS);
        self.contended_s = 0.0;
    }

    /// Counts a closed window with contention.
    pub(super) fn count_contended(&mut self, span_s: f64) {
        self.contended_s += span_s;
    }

    /// Restarts the measurement of the time with contention.
    pub(super) fn restart(&mut self) {
        self.contended_s = 0.0;
    }

    /// Discards the sample count, so that baselines are measured again.
    pub(super) fn discard_samples(&mut self) {
        self.uncontended_samples = 0.0;
    }

    /// Whether no samples have been taken without contention.
    pub(super) fn has_no_samples(&self) -> bool {
        self.uncontended_samples == 0.0
    }

    /// Whether a calibration is due. The error of a baseline with few samples may be as large as the headroom, so the first
    /// calibrations come early.
    pub(super) fn is_calibration_due(&self, settings: &LimitSettings, contended_baselines: bool) -> bool {
        let uncertain = self.uncontended_samples < BASELINE_RUNS || contended_baselines;
        let due_s = if uncertain {
            FIRST_CALIBRATION_REVIEWS * settings.review_s
        } else {
            CALIBRATION_WINDOWS * settings.window_s
        };
        self.contended_s >= due_s
    }
}
