#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::*;
use crate::fleet::overload::level::SheddingLevel;
use crate::interface::Dependency;

fn settings(share: f64) -> Settings {
    Settings { dependency: Some(Dependency { share, ..Dependency::default() }), ..Settings::default() }
}

fn digest() -> FleetDigest {
    FleetDigest { workers: 9, retry_share: 1.0, call_share: 1.0, spread_s: 4.0, ..FleetDigest::default() }
}

/// A policy at 10 s whose directive is valid until 12 s and whose slice is valid until 11 s.
fn policy_with(digest: FleetDigest, lent: f64) -> OverloadPolicy {
    let mut policy = OverloadPolicy::new(0.0, &settings(4.0));
    policy.limit_calls(10.0, 0, &mut 4.0, &mut 2.0);
    policy.set_directive(OverloadDirective {
        digest,
        valid_until: 12.0,
        slice_valid_until: 11.0,
        lent_calls: lent,
    });
    policy
}

/// The share of 1000 requests that is shed.
fn shed_share(policy: &OverloadPolicy, tier: usize, can_start: bool) -> f64 {
    (0..1000).filter(|_| policy.sheds(tier, can_start)).count() as f64 / 1000.0
}

/// The share of 1000 attempts that exceeds the retry budget.
fn over_budget_share(policy: &mut OverloadPolicy, is_retry: bool) -> f64 {
    (0..1000).filter(|_| policy.exceeds_retry_budget(0, is_retry)).count() as f64 / 1000.0
}

#[test]
fn requests_are_shed_by_tier_and_share_unless_they_can_start_immediately() {
    let policy = policy_with(FleetDigest { level: SheddingLevel { tier: 1, share: 0.25 }, ..digest() }, 0.0);
    assert_eq!([0, 2, 7, 99].map(|tier| shed_share(&policy, tier, false)), [0.0, 1.0, 1.0, 1.0]);
    assert!((shed_share(&policy, 1, false) - 0.75).abs() < 0.05);
    assert_eq!(shed_share(&policy, 2, true), 0.0);
    assert_eq!(policy.fleet_at_capacity(), Some(true));
}

#[test]
fn retries_beyond_the_budget_are_rejected_and_first_attempts_are_not() {
    let mut policy = policy_with(FleetDigest { retry_share: 0.2, ..digest() }, 0.0);
    assert!((over_budget_share(&mut policy, true) - 0.8).abs() < 0.05);
    assert_eq!(over_budget_share(&mut policy, false), 0.0);
    let mut without_shortage = policy_with(digest(), 0.0);
    assert_eq!(over_budget_share(&mut without_shortage, true), 0.0, "without a shortage all are admitted");
}

#[test]
fn an_expired_directive_or_that_of_a_single_worker_fleet_has_no_effect() {
    let level = SheddingLevel { tier: 0, share: 0.0 };
    let mut policy = policy_with(
        FleetDigest { level, retry_share: 0.0, call_share: 0.25, circuit_open: true, slice: 8.0, ..digest() },
        1.0,
    );
    let (mut max_limit, mut limit) = (4.0, 2.0);
    policy.limit_calls(12.0, 0, &mut max_limit, &mut limit);
    assert_eq!(
        (
            shed_share(&policy, 5, false) + over_budget_share(&mut policy, true),
            policy.fleet_at_capacity(),
            policy.retry_after_s(5, 0.3)
        ),
        (0.0, None, 0.3)
    );
    assert!(policy.may_call(false) && !policy.skips_call(false));
    assert_eq!((max_limit, limit), (3.0, 2.0), "a loan outlasts the digest");
    assert_eq!(policy_with(FleetDigest { workers: 1, level, ..digest() }, 0.0).fleet_at_capacity(), None);
}

#[test]
fn the_limit_on_calls_in_flight_depends_on_share_loan_and_slice() {
    for (lent, slice, call_share, now, expected) in [
        (0.0, 0.0, 1.0, 10.5, 4.0),
        (2.0, 0.0, 1.0, 10.5, 2.0),
        (0.0, 6.0, 1.0, 10.5, 10.0),
        (0.0, 6.0, 1.0, 11.0, 4.0),
        (0.0, 6.0, 0.25, 10.5, 2.5),
        (2.0, 0.0, 0.25, 10.5, 1.0),
    ] {
        let mut policy = policy_with(FleetDigest { call_share, slice, ..digest() }, lent);
        let (mut max_limit, mut limit) = (4.0, 2.0);
        policy.limit_calls(now, 0, &mut max_limit, &mut limit);
        assert_eq!(
            (max_limit, limit),
            (expected, f64::min(expected, 2.0)),
            "lent {lent}, slice {slice}, call share {call_share}, at {now} s"
        );
    }
}

#[test]
fn an_open_circuit_is_probed_by_one_worker_with_idempotent_calls_twice_per_second() {
    let circuit_open = FleetDigest { circuit_open: true, ..digest() };
    let other = policy_with(circuit_open.clone(), 0.0);
    assert!(other.skips_call(true) && !other.may_call(true));
    let mut prober = policy_with(FleetDigest { is_prober: true, ..circuit_open }, 0.0);
    assert!(prober.skips_call(false) && !prober.skips_call(true));
    let mut calls_made = 0;
    for n in 0..100 {
        prober.limit_calls(10.0 + f64::from(n) * 0.01, 0, &mut 4.0, &mut 2.0);
        if prober.may_call(true) {
            prober.call_started();
            calls_made += 1;
        }
    }
    assert_eq!(calls_made, 2);
}

#[test]
fn retry_after_is_spread_by_tier_where_the_fleet_is_at_capacity() {
    let policy = policy_with(FleetDigest { level: SheddingLevel { tier: 1, share: 0.0 }, ..digest() }, 0.0);
    let mean = |tier| (0..1000).map(|_| policy.retry_after_s(tier, 0.1)).sum::<f64>() / 1000.0;
    assert!((mean(1) - 4.0).abs() < 0.2 && (mean(3) - 6.0).abs() < 0.3, "{} {}", mean(1), mean(3));
    assert_eq!(policy_with(digest(), 0.0).retry_after_s(1, 0.1), 0.1, "another worker has headroom");
}

#[test]
fn a_sample_has_the_rates_since_the_last_one_and_the_unneeded_part_of_the_allocation() {
    let mut policy = OverloadPolicy::new(0.0, &settings(8.0));
    assert!((0..10).all(|_| !policy.exceeds_retry_budget(1, false)));
    policy.exceeds_retry_budget(0, true);
    policy.call_ended(true, 0.02);
    policy.call_ended(true, 0.04);
    policy.call_ended(false, 0.0);
    policy.record_state(50.0, std::iter::empty());
    let sample = policy.take_sample(0.5, 40, 6);
    assert_eq!(
        (sample.arrivals.clone(), sample.retries, sample.calls_succeeded, sample.calls_failed),
        (vec![0.0, 20.0], 2.0, 4.0, 2.0)
    );
    assert_eq!(
        (sample.capacity, sample.rejected),
        (80.0, 12.0),
        "the completed rate exceeds the estimated capacity"
    );
    assert!(
        (sample.call_s - 0.03).abs() < 1e-9 && sample.spare_calls == 0.0,
        "the whole base allocation may have been in use: {sample:?}"
    );
    assert_eq!(policy.take_sample(1.0, 40, 6).arrivals, Vec::<f64>::new());
    policy.limit_calls(60.0, 1, &mut 8.0, &mut 4.0);
    assert_eq!(policy.take_sample(60.0, 40, 6).spare_calls, 8.0 - 1.0 - 2.0);
    policy.record_state(50.0, [(2, &5.0), (1, &2.0)].into_iter());
    let sample = policy.take_sample(61.0, 40, 6);
    assert_eq!((sample.spare_calls, sample.wanted_calls, sample.weight), (0.0, 3.0, 4.0));
}
