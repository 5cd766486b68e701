//! Baselines of run and call lengths: what they take while nothing slows them down.

/// A baseline follows a shorter mean by this share in each window.
const FALL_SHARE: f64 = 0.25;
/// A baseline follows a longer mean by this share in each window.
const RISE_SHARE: f64 = 0.005;

/// Moves a baseline towards a measured mean: quickly down, slowly up.
pub(super) fn follow_baseline(baseline: f64, mean: f64) -> f64 {
    let share = if mean < baseline { FALL_SHARE } else { RISE_SHARE };
    baseline + (mean - baseline) * share
}
