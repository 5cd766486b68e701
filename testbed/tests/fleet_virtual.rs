//! Simulated fleets in virtual time: no guarantee is violated under random faults, and a safety check that is switched off
//! is detected.

use testbed::fleet::virtual_fleet::{simulate, DisabledCheck, Scenario};

/// Returns the first of these seeds with a violation, and the violation.
fn first_violation(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| Some((seed, simulate(scenario, seed).violations.first()?.clone())))
}

#[test]
fn tasks_never_overlap_under_random_faults() {
    let scenario = Scenario::default();
    let (mut accepted, mut grants) = (0, 0);
    for seed in 0..40 {
        let report = simulate(&scenario, seed);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {:#?}", report.faults);
        accepted += report.accepted;
        grants += report.grants;
    }
    // Ensures that enough happened for the check to mean something.
    assert!(
        accepted > 2000 && grants > 200,
        "{accepted} calls under {grants} grants; expected more than 2000 and 200"
    );
}

#[test]
fn removing_any_safety_check_is_detected() {
    for disabled_check in [
        DisabledCheck::DriftBound,
        DisabledCheck::FullTtlWait,
        DisabledCheck::ReadIndex,
        DisabledCheck::Fencing,
    ] {
        let scenario = Scenario { disabled_check, ..Scenario::default() };
        let found = first_violation(&scenario, 0..400);
        assert!(found.is_some(), "{disabled_check:?}: no violation found in 400 seeds");
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let scenario = Scenario { fault_phase_s: 20.0, recovery_phase_s: 15.0, ..Scenario::default() };
    let (one, two) = (simulate(&scenario, 7), simulate(&scenario, 7));
    assert_eq!((one.digest, one.faults, one.accepted), (two.digest, two.faults, two.accepted));
    assert_ne!(one.digest, simulate(&scenario, 8).digest);
}

/// Regression: in both seeds a task's time to live is raised between a renewal and the quorum's confirmation of it.
#[test]
fn formerly_failing_seeds_pass() {
    let scenario = Scenario { coordinators: 5, workers: 300, ..Scenario::default() };
    for seed in [1488, 1998] {
        assert_eq!(simulate(&scenario, seed).violations, Vec::<String>::new(), "seed {seed}");
    }
}
