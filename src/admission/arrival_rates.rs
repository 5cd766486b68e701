//! Exponentially decaying arrival rates.

use crate::admission::timing::{decay_factor, DECAY_TIME_CONSTANT_S};

/// Recent arrivals per second, decaying with [`DECAY_TIME_CONSTANT_S`].
pub(super) struct ArrivalRates {
    /// By tier, the highest first.
    by_tier: Vec<f64>,
    /// Attempts that callers mark as retries.
    retries: f64,
}

impl ArrivalRates {
    /// Starts with no arrivals in this many tiers.
    pub(super) fn new(tiers: usize) -> Self {
        ArrivalRates { by_tier: vec![0.0; tiers], retries: 0.0 }
    }

    /// Advances the clock.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        let decay = decay_factor(elapsed_s);
        for rate in &mut self.by_tier {
            *rate *= decay;
        }
        self.retries *= decay;
    }

    /// Counts an arrival in a tier.
    pub(super) fn count_arrival(&mut self, tier: usize) {
        self.by_tier[tier] += 1.0 / DECAY_TIME_CONSTANT_S;
    }

    /// Counts an attempt that is marked as a retry.
    pub(super) fn count_retry(&mut self) {
        self.retries += 1.0 / DECAY_TIME_CONSTANT_S;
    }

    /// Arrivals of all tiers (per second).
    pub(super) fn total(&self) -> f64 {
        self.by_tier.iter().sum()
    }

    /// Arrivals of the tiers above this one (per second).
    pub(super) fn total_above(&self, tier: usize) -> f64 {
        self.by_tier[..tier].iter().sum()
    }

    /// Arrivals by tier (per second).
    pub(super) fn by_tier(&self) -> &[f64] {
        &self.by_tier
    }

    /// Marked retries (per second).
    pub(super) fn retries(&self) -> f64 {
        self.retries
    }

    /// Adopts the rates of a predecessor.
    pub(super) fn adopt(&mut self, by_tier: Vec<f64>, retries: f64) {
        for (rate, learned) in self.by_tier.iter_mut().zip(by_tier) {
            *rate = learned;
        }
        self.retries = retries;
    }
}
