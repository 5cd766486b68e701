//! For how long runs have competed for the cores, and how much was measured while they did not.

use super::baseline::BASELINE_RUNS;
use super::settings::LimitSettings;

/// The first calibration comes after so many contended reviews.
const FIRST_CALIBRATION_REVIEWS: f64 = 3.0;
/// Further calibrations come after so many windows with contention: each costs up to two seconds of few runs.
const CALIBRATION_WINDOWS: f64 = 4.0;

/// The contention since the baselines were last measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    /// Time since a window without contention (seconds).
    contended_s: f64,
    /// Samples that windows without contention have had.
    uncontended_samples: f64,
}

impl Contention {
    /// Counts a closed window without contention, with so many samples.
    pub(super) fn count_uncontended(&mut self, samples: f64) {
        self.uncontended_samples = (self.uncontended_samples + samples).min(BASELINE_RUNS);
        self.contended_s = 0.0;
    }

    /// Counts a closed window with contention.
    pub(super) fn count_contended(&mut self, span_s: f64) {
        self.contended_s += span_s;
    }

    /// Begins a new time of contention.
    pub(super) fn restart(&mut self) {
        self.contended_s = 0.0;
    }

    /// Forgets the samples: baselines are to be measured anew.
    pub(super) fn forget_samples(&mut self) {
        self.uncontended_samples = 0.0;
    }

    /// Whether no window without contention has had any sample.
    pub(super) fn has_no_samples(&self) -> bool {
        self.uncontended_samples == 0.0
    }

    /// Whether a calibration is due. A baseline of few samples may miss by as much as the headroom: more of them are
    /// taken early.
    pub(super) fn is_calibration_due(&self, settings: &LimitSettings, contended_baselines: bool) -> bool {
        let unsure = self.uncontended_samples < BASELINE_RUNS || contended_baselines;
        let due_s = if unsure {
            FIRST_CALIBRATION_REVIEWS * settings.review_s
        } else {
            CALIBRATION_WINDOWS * settings.window_s
        };
        self.contended_s >= due_s
    }
}
