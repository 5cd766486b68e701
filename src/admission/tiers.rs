//! Priority tiers: the distinct priority weights of requests, the highest first.

use crate::admission::request::Tier;
use crate::interface::Settings;

/// A request over its tenant's quota keeps at least this share of its weight: the quota applies to the whole fleet, and
/// this worker sees only its own part of the arrivals.
const MIN_OVER_QUOTA_WEIGHT: f64 = 0.5;

/// All tiers with their weights.
pub(super) struct PriorityTiers {
    /// By tier, in descending order.
    weights: Vec<f64>,
    /// Weight of a request over quota, as a share of its class's weight.
    over_quota_share: f64,
}

impl PriorityTiers {
    /// Collects the distinct weights of the classes, within quota and over it.
    pub(super) fn new(settings: &Settings) -> Self {
        let over_quota_share = settings.over_quota_weight.max(MIN_OVER_QUOTA_WEIGHT);
        let lowest_share = if settings.tenants.is_empty() { 1.0 } else { over_quota_share };
        let mut weights: Vec<f64> = Vec::with_capacity(2 * settings.classes.len());
        for class in &settings.classes {
            weights.push(class.weight);
            weights.push(class.weight * lowest_share);
        }
        weights.sort_by(|a, b| b.total_cmp(a));
        weights.dedup();
        PriorityTiers { weights, over_quota_share }
    }

    /// The number of tiers.
    pub(super) fn len(&self) -> usize {
        self.weights.len()
    }

    /// The weights, by tier.
    pub(super) fn weights(&self) -> &[f64] {
        &self.weights
    }

    /// The tier of a request whose class has this weight. Uneven load balancing can put legitimate traffic over quota
    /// on one worker, hence the bound on the weight lost.
    pub(super) fn tier_of(&self, class_weight: f64, quota_exhausted: bool) -> Tier {
        let share = if quota_exhausted { self.over_quota_share } else { 1.0 };
        let weight = class_weight * share;
        let tier = self.weights.iter().position(|tier_weight| *tier_weight <= weight);
        tier.unwrap_or(self.weights.len() - 1)
    }

    /// The number of tiers that have at least this share of the weight of `tier`.
    pub(super) fn count_with_share_of(&self, tier: Tier, share: f64) -> usize {
        let min_weight = self.weights[tier] * share;
        self.weights.iter().filter(|weight| **weight >= min_weight).count()
    }
}
