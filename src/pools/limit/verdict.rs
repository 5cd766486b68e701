//! What a closed review window shows.

use super::settings::LimitSettings;
use super::window::ReviewWindow;

/// The limit counts as reached in a window when it was so for this share of it.
const LIMIT_REACHED_SHARE: f64 = 0.5;
/// A window is uncontended with so many runs more than the lower bound on the cores, in the mean.
const UNCONTENDED_MARGIN: f64 = 0.5;

/// How long runs took, against what their number explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Speed {
    /// Too few runs have ended to go by.
    Unknown,
    /// As long as their number explains.
    Normal,
    /// Longer than their number explains.
    Slow,
}

/// What a closed window shows.
#[derive(Clone, Copy)]
pub(super) struct Verdict {
    pub(super) speed: Speed,
    /// The mean number of runs on the cores.
    pub(super) on_cores: f64,
    /// How many times their baseline ended runs took.
    pub(super) slowdown: f64,
    /// More would have run if the limit had let them.
    pub(super) limit_reached: bool,
    /// No more runs were on the cores than the lower bound of the limit.
    pub(super) uncontended: bool,
}

impl Verdict {
    /// Judges a window. `is_first` marks one in which only short runs can have ended: its lengths are no baselines.
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
        Verdict {
            speed,
            on_cores,
            slowdown,
            limit_reached: window.limit_reached_s >= LIMIT_REACHED_SHARE * window.span_s,
            uncontended: !is_first && on_cores <= settings.min_slots as f64 + UNCONTENDED_MARGIN,
        }
    }
}

/// How many times their baseline runs take with so many on the cores, by the capacity alone.
pub(super) fn expected_slowdown(on_cores: f64, capacity: f64) -> f64 {
    (on_cores / capacity).max(1.0)
}
