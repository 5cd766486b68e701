//! Fleets in virtual time: what must always hold, and that the review finds each safety check missing when it is removed.

use testbed::fleet::virtual_fleet::{play, Scenario, Weakness};

/// The first seed among these that is found broken, and how.
fn broken(shape: &Scenario, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| Some((seed, play(shape, seed).violations.first()?.clone())))
}

#[test]
fn tasks_never_overlap_under_random_faults() {
    let shape = Scenario::default();
    let (mut accepted, mut grants) = (0, 0);
    for seed in 0..40 {
        let verdict = play(&shape, seed);
        assert_eq!(verdict.violations, Vec::<String>::new(), "seed {seed}: {:#?}", verdict.faults);
        accepted += verdict.accepted;
        grants += verdict.grants;
    }
    // A fleet in which nothing happens proves nothing.
    assert!(accepted > 2000 && grants > 200, "{accepted} acts under {grants} grants");
}

#[test]
fn removing_any_safety_check_is_detected() {
    for weak in [Weakness::NoDriftBound, Weakness::NoWholeTtl, Weakness::NoConfirm, Weakness::NoFencing] {
        let shape = Scenario { weak, ..Scenario::default() };
        let found = broken(&shape, 0..400);
        assert!(found.is_some(), "{weak:?}: nothing found in 400 seeds");
    }
}

#[test]
fn same_seed_plays_the_same_run() {
    let shape = Scenario { faults_s: 20.0, quiet_s: 15.0, ..Scenario::default() };
    let (one, two) = (play(&shape, 7), play(&shape, 7));
    assert_eq!((one.digest, one.faults, one.accepted), (two.digest, two.faults, two.accepted));
    assert_ne!(one.digest, play(&shape, 8).digest);
}

/// In both a task's time to live grew between a renewal and the quorum's word for it.
#[test]
fn formerly_failing_seeds_pass() {
    let shape = Scenario { coordinators: 5, workers: 300, ..Scenario::default() };
    for seed in [1488, 1998] {
        assert_eq!(play(&shape, seed).violations, Vec::<String>::new(), "seed {seed}");
    }
}
