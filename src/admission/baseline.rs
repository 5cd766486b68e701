//! Baselines of run and call lengths: their lengths without contention.

/// Share of the difference by which a baseline falls towards a shorter mean in each window.
const FALL_SHARE: f64 = 0.25;
/// Share of the difference by which a baseline rises towards a longer mean in each window.
const RISE_SHARE: f64 = 0.005;

/// Moves a baseline towards a measured mean: down by [`FALL_SHARE`] of the difference, or up by [`RISE_SHARE`] of it.
pub(super) fn next_baseline(baseline: f64, mean: f64) -> f64 {
    let share = if mean < baseline { FALL_SHARE } else { RISE_SHARE };
    baseline + (mean - baseline) * share
}
