//! Priority tiers: the distinct priority weights of requests, the highest first.

use crate::admission::request::Tier;
use crate::interface::Settings;

/// A request over its tenant's quota keeps this share of its weight at least: the quota holds for the fleet, and this
/// worker sees only its own part of the arrivals.
const MIN_OVER_QUOTA_WEIGHT: f64 = 0.5;

/// All tiers, with their weights.
pub(super) struct PriorityTiers {
    /// By tier, falling.
    weights: Vec<f64>,
    /// Weight of a request over quota, as a share of its class's.
    over_quota_share: f64,
}

impl PriorityTiers {
    /// The distinct weights of classes, within quota and over it.
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

    /// The tier of a request of a class of this weight. Uneven load balancing puts honest traffic over quota too,
    /// hence the bound on what is lost by it.
    pub(super) fn tier_of(&self, class_weight: f64, quota_exhausted: bool) -> Tier {
        let share = if quota_exhausted { self.over_quota_share } else { 1.0 };
        let weight = class_weight * share;
        let tier = self.weights.iter().position(|tier_weight| *tier_weight <= weight);
        tier.unwrap_or(self.weights.len() - 1)
    }

    /// How many tiers have at least this share of the weight of `tier`.
    pub(super) fn count_with_share_of(&self, tier: Tier, share: f64) -> usize {
        let min_weight = self.weights[tier] * share;
        self.weights.iter().filter(|weight| **weight >= min_weight).count()
    }
}
