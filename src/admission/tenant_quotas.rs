//! Tenants' quotas: this worker's even part of each, and which tenants send far more than their part.

use crate::admission::timing::fade_factor;
use crate::admission::token_bucket::TokenBucket;
use crate::interface::{Settings, TenantTraffic};

/// A tenant may save up its even part of the quota for this time (seconds).
const BURST_S: f64 = 2.0;
/// A tenant may save up this many requests at least.
const MIN_BURST: f64 = 4.0;
/// A tenant's part of the arrivals is excessive at this multiple of its part of the quotas.
const EXCESSIVE_MULTIPLE: f64 = 1.3;

/// How a tenant stands with its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// Its bucket has a token, or there is no tenant.
    Within,
    /// Its bucket is empty.
    Exhausted,
    /// Its bucket is empty, and its part of the arrivals is far over its part of the quotas. An empty bucket alone
    /// may come from a fleet that shrank, a lost zone or retries: then all tenants look over quota.
    Excessive,
}

impl QuotaStatus {
    /// Whether the bucket is empty.
    pub(super) fn is_exhausted(self) -> bool {
        self != QuotaStatus::Within
    }
}

/// One tenant: its bucket, and its recent arrivals, fading.
struct TenantUsage {
    bucket: TokenBucket,
    recent_arrivals: f64,
}

impl TenantUsage {
    /// Whether its part of the arrivals is far over its part of the quotas.
    fn is_excessive(&self, all_arrivals: f64, all_rates_per_s: f64) -> bool {
        let fair = EXCESSIVE_MULTIPLE * self.bucket.rate_per_s() * (all_arrivals + 1.0);
        self.recent_arrivals > MIN_BURST && self.recent_arrivals * all_rates_per_s > fair
    }
}

/// All tenants, by number.
pub(super) struct TenantQuotas {
    tenants: Vec<TenantUsage>,
}

impl TenantQuotas {
    /// Full buckets with this worker's even part of each tenant's quota.
    pub(super) fn new(settings: &Settings) -> Self {
        let workers = f64::from(settings.workers.max(1));
        let usage = |quota_per_s: f64| {
            let rate_per_s = quota_per_s / workers;
            let capacity = (rate_per_s * BURST_S).max(MIN_BURST);
            TenantUsage { bucket: TokenBucket::new(rate_per_s, capacity), recent_arrivals: 0.0 }
        };
        TenantQuotas { tenants: settings.tenants.iter().map(|tenant| usage(tenant.quota_per_s)).collect() }
    }

    /// Time passes.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        let fade = fade_factor(elapsed_s);
        for tenant in &mut self.tenants {
            tenant.bucket.refill(elapsed_s);
            tenant.recent_arrivals *= fade;
        }
    }

    /// Counts an arrival of a tenant; returns how the tenant stands with its quota.
    pub(super) fn count_arrival(&mut self, tenant: Option<usize>) -> QuotaStatus {
        let all_rates_per_s: f64 = self.tenants.iter().map(|usage| usage.bucket.rate_per_s()).sum();
        // The arrivals before this one.
        let all_arrivals: f64 = self.tenants.iter().map(|usage| usage.recent_arrivals).sum();
        let Some(usage) = self.usage_mut(tenant) else { return QuotaStatus::Within };
        usage.recent_arrivals += 1.0;
        if !usage.bucket.is_empty() {
            QuotaStatus::Within
        } else if usage.is_excessive(all_arrivals, all_rates_per_s) {
            QuotaStatus::Excessive
        } else {
            QuotaStatus::Exhausted
        }
    }

    /// Takes a token of a tenant.
    pub(super) fn take_token(&mut self, tenant: Option<usize>) {
        if let Some(usage) = self.usage_mut(tenant) {
            usage.bucket.take();
        }
    }

    fn usage_mut(&mut self, tenant: Option<usize>) -> Option<&mut TenantUsage> {
        self.tenants.get_mut(tenant?)
    }

    /// By tenant: tokens left and recent arrivals.
    pub(super) fn learned(&self) -> Vec<TenantTraffic> {
        let learned = |usage: &TenantUsage| TenantTraffic {
            tokens: usage.bucket.tokens(),
            arrivals: usage.recent_arrivals,
        };
        self.tenants.iter().map(learned).collect()
    }

    /// Takes over what another process counted; no bucket gets more tokens than it has.
    pub(super) fn adopt(&mut self, learned: Vec<TenantTraffic>) {
        for (usage, learned) in self.tenants.iter_mut().zip(learned) {
            usage.bucket.reduce_to(learned.tokens);
            usage.recent_arrivals = learned.arrivals;
        }
    }
}

#[cfg(test)]
mod tests;
