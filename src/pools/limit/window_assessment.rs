//! Assessment of a closed review window.

use super::settings::LimitSettings;
use super::window::ReviewWindow;

/// A window counts as at the limit if the limit was reached for at least this share of it.
const LIMIT_REACHED_SHARE: f64 = 0.5;
/// Mean number of runs above the lower bound of the limit up to which a window counts as uncontended.
const UNCONTENDED_MARGIN: f64 = 0.5;

/// Measured run lengths, compared with those expected from the number of concurrent runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Speed {
    /// Too few runs have ended to tell.
    Unknown,
    /// As long as expected.
    Normal,
    /// Longer than expected.
    Slow,
}

/// The assessment of a closed window.
#[derive(Clone, Copy)]
pub(super) struct WindowAssessment {
    pub(super) speed: Speed,
    /// Mean number of runs on the cores.
    pub(super) on_cores: f64,
    /// Ratio of the length of the ended runs to their baselines.
    pub(super) slowdown: f64,
    /// Whether requests waited because of the limit for at least [`LIMIT_REACHED_SHARE`] of the window.
    pub(super) limit_reached: bool,
    /// Whether the mean number of runs on the cores exceeded the lower bound of the limit by no more than
    /// [`UNCONTENDED_MARGIN`]; false for the first window of a process.
    pub(super) uncontended: bool,
}

impl WindowAssessment {
    /// Assesses a window. `is_first` marks the first window of a process, in which only short runs can have ended: it
    /// counts as contended, so that it yields no uncontended baselines.
    pub(super) fn new(
        window: &ReviewWindow,
        settings: &LimitSettings,
        capacity: f64,
        enough_samples: bool,
        is_first: bool,
    ) -> Self {
        let on_cores = window.mean_on_cores();
        let slowdown = window.slowdown();
        let max_slowdown = settings.slow_ratio * expected_slowdown(on_cores, capacity);
        let speed = if !enough_samples {
            Speed::Unknown
        } else if slowdown > max_slowdown {
            Speed::Slow
        } else {
            Speed::Normal
        };
        WindowAssessment {
            speed,
            on_cores,
            slowdown,
            limit_reached: window.limit_reached_s >= LIMIT_REACHED_SHARE * window.span_s,
            uncontended: !is_first && on_cores <= settings.min_slots as f64 + UNCONTENDED_MARGIN,
        }
    }
}

/// Expected ratio of run length to baseline with this number of runs on the cores, by the capacity alone.
pub(super) fn expected_slowdown(on_cores: f64, capacity: f64) -> f64 {
    (on_cores / capacity).max(1.0)
}
