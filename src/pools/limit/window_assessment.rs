//! Assessment of a closed review window.

use super::settings::LimitSettings;
use super::window::ReviewWindow;

/// A window counts as at the limit if the limit was reached for at least this share of it.
const LIMIT_REACHED_SHARE: f64 = 0.5;
/// A window counts as uncontended if the mean number of runs on the cores exceeds the lower bound of the limit by at most
/// this many.
const UNCONTENDED_MARGIN: f64 = 0.5;

/// Measured run lengths, compared with those expected from the number of concurrent runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Speed {
    /// Too few runs have ended to tell.
    Unknown,
    /// Runs take as long as expected.
    Normal,
    /// Runs take more than [`LimitSettings::slow_ratio`] times as long as expected.
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

/// Expected ratio of run length to baseline if this number of runs on the cores share the capacity.
pub(super) fn expected_slowdown(on_cores: f64, capacity: f64) -> f64 {
    (on_cores / capacity).max(1.0)
}
