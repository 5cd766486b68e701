use super::*;
use crate::interface::Tenant;

/// Two tenants with a quota of ten requests per second each, on the only worker of the fleet.
fn quotas() -> TenantQuotas {
    let tenants = vec![Tenant { quota_per_s: 10.0 }; 2];
    TenantQuotas::new(&Settings { workers: 1, tenants, ..Settings::default() })
}

/// Counts this many arrivals of a tenant, each of which takes a token.
fn admit(quotas: &mut TenantQuotas, tenant: usize, requests: usize) {
    for _ in 0..requests {
        quotas.count_arrival(Some(tenant));
        quotas.take_token(Some(tenant));
    }
}

#[test]
fn tenant_is_within_its_quota_until_two_seconds_of_it_are_used() {
    let mut quotas = quotas();
    admit(&mut quotas, 0, 19);
    assert_eq!(quotas.count_arrival(Some(0)), QuotaStatus::Within);
    admit(&mut quotas, 0, 1);
    assert!(quotas.count_arrival(Some(0)).is_exhausted());
    assert_eq!(quotas.count_arrival(Some(1)), QuotaStatus::Within);
}

#[test]
fn tenant_with_an_empty_bucket_is_excessive_only_beyond_its_part_of_the_arrivals() {
    let mut alone = quotas();
    admit(&mut alone, 0, 20);
    assert_eq!(alone.count_arrival(Some(0)), QuotaStatus::Excessive);
    let mut even = quotas();
    admit(&mut even, 0, 20);
    admit(&mut even, 1, 20);
    assert_eq!(even.count_arrival(Some(0)), QuotaStatus::Exhausted);
}

#[test]
fn request_without_a_tenant_is_within_quota() {
    assert_eq!(quotas().count_arrival(None), QuotaStatus::Within);
    assert_eq!(quotas().count_arrival(Some(2)), QuotaStatus::Within);
}

#[test]
fn adopted_tokens_never_exceed_what_the_bucket_has() {
    let mut quotas = quotas();
    admit(&mut quotas, 0, 5);
    let learned = TenantTraffic { tokens: 1e6, arrivals: 3.0 };
    quotas.adopt(vec![learned, TenantTraffic { tokens: 2.0, ..learned }]);
    let tokens: Vec<f64> = quotas.learned().iter().map(|tenant| tenant.tokens).collect();
    assert_eq!(tokens, [15.0, 2.0]);
}
