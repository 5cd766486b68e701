//! Tenants' quotas: this worker's even share of each quota, and which tenants send far more than their share.

use crate::admission::timing::decay_factor;
use crate::admission::token_bucket::TokenBucket;
use crate::interface::{Settings, TenantTraffic};

/// The capacity of a tenant's bucket: its quota on this worker for this time (seconds).
const BURST_S: f64 = 2.0;
/// The least capacity of a tenant's bucket (requests). A tenant with no more recent arrivals than this is never
/// [`QuotaStatus::Excessive`].
const MIN_BURST: f64 = 4.0;
/// A tenant's share of the arrivals is excessive above this multiple of its share of the quotas.
const EXCESSIVE_MULTIPLE: f64 = 1.3;

/// How a tenant's traffic compares with its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaStatus {
    /// Its bucket has a token, or the request has no tenant.
    Within,
    /// Its bucket is empty.
    Exhausted,
    /// Its bucket is empty, and its share of the arrivals is more than [`EXCESSIVE_MULTIPLE`] times its share of the
    /// quotas. An empty bucket alone may result from a smaller fleet, a lost zone or retries, in which case all tenants
    /// seem to be over quota.
    Excessive,
}

impl QuotaStatus {
    /// Whether the bucket is empty.
    pub(super) fn is_exhausted(self) -> bool {
        self != QuotaStatus::Within
    }
}

/// The bucket of one tenant, and its recent arrivals (exponentially decaying).
struct TenantUsage {
    bucket: TokenBucket,
    recent_arrivals: f64,
}

impl TenantUsage {
    /// Whether its share of the arrivals is more than [`EXCESSIVE_MULTIPLE`] times its share of the quotas, with more than
    /// [`MIN_BURST`] recent arrivals.
    fn is_excessive(&self, all_arrivals: f64, all_rates_per_s: f64) -> bool {
        let threshold = EXCESSIVE_MULTIPLE * self.bucket.rate_per_s() * (all_arrivals + 1.0);
        self.recent_arrivals > MIN_BURST && self.recent_arrivals * all_rates_per_s > threshold
    }
}

/// All tenants, by index.
pub(super) struct TenantQuotas {
    tenants: Vec<TenantUsage>,
}

impl TenantQuotas {
    /// Starts with full buckets, with this worker's even share of each tenant's quota.
    pub(super) fn new(settings: &Settings) -> Self {
        let workers = f64::from(settings.workers.max(1));
        let usage = |quota_per_s: f64| {
            let rate_per_s = quota_per_s / workers;
            let capacity = (rate_per_s * BURST_S).max(MIN_BURST);
            TenantUsage { bucket: TokenBucket::new(rate_per_s, capacity), recent_arrivals: 0.0 }
        };
        TenantQuotas { tenants: settings.tenants.iter().map(|tenant| usage(tenant.quota_per_s)).collect() }
    }

    /// Advances the clock.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        let decay = decay_factor(elapsed_s);
        for tenant in &mut self.tenants {
            tenant.bucket.refill(elapsed_s);
            tenant.recent_arrivals *= decay;
        }
    }

    /// Counts an arrival of a tenant and returns the tenant's status.
    pub(super) fn count_arrival(&mut self, tenant: Option<usize>) -> QuotaStatus {
        let all_rates_per_s: f64 = self.tenants.iter().map(|usage| usage.bucket.rate_per_s()).sum();
        // Summed before this arrival is counted.
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

    /// Takes a token from a tenant's bucket.
    pub(super) fn take_token(&mut self, tenant: Option<usize>) {
        if let Some(usage) = self.usage_mut(tenant) {
            usage.bucket.take();
        }
    }

    fn usage_mut(&mut self, tenant: Option<usize>) -> Option<&mut TenantUsage> {
        self.tenants.get_mut(tenant?)
    }

    /// Tokens left and recent arrivals, by tenant.
    pub(super) fn learned(&self) -> Vec<TenantTraffic> {
        let learned = |usage: &TenantUsage| TenantTraffic {
            tokens: usage.bucket.tokens(),
            arrivals: usage.recent_arrivals,
        };
        self.tenants.iter().map(learned).collect()
    }

    /// Adopts the counts of another process. No bucket gains tokens by that.
    pub(super) fn adopt(&mut self, learned: Vec<TenantTraffic>) {
        for (usage, learned) in self.tenants.iter_mut().zip(learned) {
            usage.bucket.cap_at(learned.tokens);
            usage.recent_arrivals = learned.arrivals;
        }
    }
}

#[cfg(test)]
mod tests;
