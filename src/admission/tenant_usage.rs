//! What tenants use of their quotas. It counts and decides nothing: the controller reads it.

use crate::admission::run_length::MEASUREMENT_MEMORY_S;
use crate::admission::token_bucket::TokenBucket;
use crate::interface::TenantTraffic;

/// This worker's even part of a tenant's quota, and the tenant's recent arrivals, fading.
pub(super) struct TenantUsage {
    pub(super) bucket: TokenBucket,
    pub(super) recent_arrivals: f64,
}

/// How one tenant's arrivals and quota compare with those of all tenants.
#[derive(Default)]
pub(super) struct TenantShare {
    /// No whole token is left in its bucket.
    pub(super) exhausted: bool,
    /// Recent arrivals of the tenant, the latest included, and of all tenants before the latest.
    pub(super) arrivals: f64,
    pub(super) all_arrivals: f64,
    /// Quotas of the tenant and of all tenants.
    pub(super) rate_per_s: f64,
    pub(super) all_rates_per_s: f64,
}

/// All tenants, by number.
#[derive(Default)]
pub(super) struct TenantUsages {
    pub(super) tenants: Vec<TenantUsage>,
}

impl TenantUsages {
    /// Adds a tenant without arrivals, whose bucket is full.
    pub(super) fn add(&mut self, rate_per_s: f64, capacity: f64) {
        let bucket = TokenBucket::new(rate_per_s, capacity);
        self.tenants.push(TenantUsage { bucket, recent_arrivals: 0.0 });
    }

    /// Time passes.
    pub(super) fn advance(&mut self, elapsed_s: f64) {
        let fade = (-elapsed_s / MEASUREMENT_MEMORY_S).exp();
        for tenant in &mut self.tenants {
            tenant.bucket.refill(elapsed_s);
            tenant.recent_arrivals *= fade;
        }
    }

    /// Counts an arrival of a tenant.
    pub(super) fn count_arrival(&mut self, tenant: Option<usize>) -> TenantShare {
        let all_rates_per_s = self.tenants.iter().map(|usage| usage.bucket.rate_per_s).sum();
        let all_arrivals = self.tenants.iter().map(|usage| usage.recent_arrivals).sum();
        let usage = tenant.and_then(|tenant| self.tenants.get_mut(tenant));
        let Some(usage) = usage else { return TenantShare::default() };
        usage.recent_arrivals += 1.0;
        TenantShare {
            exhausted: usage.bucket.is_empty(),
            arrivals: usage.recent_arrivals,
            all_arrivals,
            rate_per_s: usage.bucket.rate_per_s,
            all_rates_per_s,
        }
    }

    /// Takes a token of a tenant.
    pub(super) fn take_token(&mut self, tenant: Option<usize>) {
        if let Some(usage) = tenant.and_then(|tenant| self.tenants.get_mut(tenant)) {
            usage.bucket.take();
        }
    }

    /// By tenant: tokens left and recent arrivals.
    pub(super) fn learned(&self) -> Vec<TenantTraffic> {
        let learned = |usage: &TenantUsage| TenantTraffic {
            tokens: usage.bucket.tokens,
            arrivals: usage.recent_arrivals,
        };
        self.tenants.iter().map(learned).collect()
    }

    /// Takes over what another process counted; no bucket gets more tokens than it has.
    pub(super) fn adopt(&mut self, learned: Vec<TenantTraffic>) {
        for (usage, learned) in self.tenants.iter_mut().zip(learned) {
            usage.bucket.tokens = learned.tokens.min(usage.bucket.tokens);
            usage.recent_arrivals = learned.arrivals;
        }
    }
}
