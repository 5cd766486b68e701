//! Bounds and pace of the limit.

/// Bounds and pace of the limit; see [`crate::interface::PoolPlan`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Lower bound of the limit.
    pub min_slots: usize,
    /// Upper bound of the limit.
    pub max_slots: usize,
    /// How long measurements are believed (seconds).
    pub window_s: f64,
    /// How often the limit is reviewed (seconds).
    pub review_s: f64,
    /// Ended runs that a review needs.
    pub min_samples: f64,
    /// Runs that take so many times what their number explains mean that the executor has slowed.
    pub slow_ratio: f64,
}
