//! Time constants that several concerns share.

/// Interval between two wake-ups, in which due times are checked: well inside the slack on responses (seconds).
pub(super) const SWEEP_INTERVAL_S: f64 = 0.025;

/// Time constant of the fading averages, long against one run and short against a change of speed (seconds).
pub(super) const MEASUREMENT_MEMORY_S: f64 = 5.0;

/// The factor by which a fading average shrinks in this time.
pub(super) fn fade_factor(elapsed_s: f64) -> f64 {
    (-elapsed_s / MEASUREMENT_MEMORY_S).exp()
}
