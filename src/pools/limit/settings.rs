//! Settings of the limit.

/// Bounds and review interval of the limit; see [`crate::interface::PoolPlan`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Lower bound of the limit.
    pub min_slots: usize,
    /// Upper bound of the limit.
    pub max_slots: usize,
    /// How long measurements remain valid: the length of a measurement window (seconds).
    pub window_s: f64,
    /// Interval at which the limit is reviewed (seconds).
    pub review_s: f64,
    /// Least number of ended runs for a review.
    pub min_samples: f64,
    /// Ratio of measured to expected run length above which the executor counts as slowed down.
    pub slow_ratio: f64,
}
