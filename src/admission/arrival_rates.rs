//! Fading rates of arrivals. They measure and decide nothing: the controller reads them.

use crate::admission::run_length::MEASUREMENT_MEMORY_S;

/// Recent arrivals a second, fading over [`MEASUREMENT_MEMORY_S`].
#[derive(Default)]
pub(super) struct ArrivalRates {
    /// By tier, the highest first.
    pub(super) by_tier: Vec<f64>,
    /// Attempts that callers mark as retries.
    pub(super) retries: f64,
}

impl ArrivalRates {
    /// No arrivals yet, in this many tiers.
    pub(super) fn new(tiers: usize) -> Self {
        ArrivalRates { by_tier: vec![0.0; tiers], retries: 0.0 }
    }

    /// Time passes.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        let fade = (-elapsed_s / MEASUREMENT_MEMORY_S).exp();
        self.by_tier.iter_mut().for_each(|rate| *rate *= fade);
        self.retries *= fade;
    }

    /// Counts an arrival in a tier.
    pub(super) fn count_arrival(&mut self, tier: usize) {
        self.by_tier[tier] += 1.0 / MEASUREMENT_MEMORY_S;
    }

    /// Counts an attempt that is marked as a retry.
    pub(super) fn count_retry(&mut self) {
        self.retries += 1.0 / MEASUREMENT_MEMORY_S;
    }

    /// Takes over the rates of a predecessor.
    pub(super) fn adopt(&mut self, by_tier: Vec<f64>, retries: f64) {
        for (rate, learned) in self.by_tier.iter_mut().zip(by_tier) {
            *rate = learned;
        }
        self.retries = retries;
    }

    /// Arrivals of all tiers.
    pub(super) fn total(&self) -> f64 {
        self.by_tier.iter().sum()
    }

    /// Arrivals of the tiers above this one.
    pub(super) fn above(&self, tier: usize) -> f64 {
        self.by_tier[..tier].iter().sum()
    }
}
