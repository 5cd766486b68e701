#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::*;
use crate::fleet::overload::MAX_TIERS;

fn sums(first_attempts: f64, retries: f64) -> LoadSums {
    let mut arrivals = [0.0; MAX_TIERS];
    arrivals[0] = first_attempts;
    LoadSums { workers: 10, arrivals, retries, ..LoadSums::default() }
}

/// Evaluates the sums twice per second for ten seconds; returns the number of admitted retries.
fn admitted(budget: &mut RetryBudget, from: f64, sums: &LoadSums, has_shortage: bool) -> f64 {
    let mut admitted = 0.0;
    for n in 1..=20 {
        budget.evaluate(from + f64::from(n) * 0.5, sums, has_shortage);
        admitted += budget.admitted_share() * sums.retries * 0.5;
    }
    admitted
}

#[test]
fn a_retry_storm_is_limited_to_the_ratio_and_the_accumulated_burst() {
    for (first_attempts, retries) in [(100.0, 20.0), (100.0, 300.0), (10.0, 3000.0)] {
        let mut budget = RetryBudget::new(0.0, 0.1);
        // Without retries, the budget accumulates what the ratio earns in two seconds.
        admitted(&mut budget, 0.0, &sums(first_attempts, 0.0), false);
        let retries_admitted = admitted(&mut budget, 10.0, &sums(first_attempts, retries), true);
        let limit = 0.1 * first_attempts * (10.0 + MAX_BURST_S) + 1e-6;
        assert!(
            retries_admitted <= limit && retries_admitted >= limit * 0.8,
            "first attempts {first_attempts}, retries {retries}: admitted {retries_admitted}, limit {limit}"
        );
    }
}

#[test]
fn every_retry_is_admitted_without_a_shortage_and_none_in_one_without_first_attempts() {
    let mut budget = RetryBudget::new(0.0, 0.1);
    assert_eq!(admitted(&mut budget, 0.0, &sums(10.0, 50.0), false), 500.0);
    assert_eq!(admitted(&mut budget, 10.0, &sums(0.0, 50.0), true), 0.0);
    assert_eq!(admitted(&mut budget, 20.0, &sums(0.0, 0.0), true), 0.0);
}
