//! Times that several components share.

/// Interval between two sweeps, which check deadlines (seconds). Must be well below
/// [`Settings::answer_slack_s`](crate::interface::Settings::answer_slack_s).
pub(super) const SWEEP_INTERVAL_S: f64 = 0.025;

/// Time constant of the exponentially decaying averages: long compared with one run, short compared with a change of
/// the machine's speed (seconds).
pub(super) const DECAY_TIME_CONSTANT_S: f64 = 5.0;

/// The factor by which an exponentially decaying sum shrinks in this time.
pub(super) fn decay_factor(elapsed_s: f64) -> f64 {
    (-elapsed_s / DECAY_TIME_CONSTANT_S).exp()
}
