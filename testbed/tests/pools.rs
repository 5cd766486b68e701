//! Class pools: the experiment in virtual time around the production dispatcher, and a short run on loopback.

use std::path::PathBuf;
use testbed::experiment::{Experiment, RateStep, Slowdown};
use testbed::measure::{table, values, verdict, TrialResult};
use testbed::{limits, loopback, virtual_time};

fn experiment() -> Experiment {
    Experiment::decode(include_str!("../experiments/pools-110.toml")).unwrap()
}

fn run_in_virtual_time(experiment: &Experiment, variant: &str, seed: u64) -> TrialResult {
    let variant = experiment.variant.iter().find(|v| v.name == variant).unwrap();
    virtual_time::run_trial(experiment, variant, seed).unwrap()
}

#[test]
fn experiment_bounds_hold_in_virtual_time_and_fail_without_pools() {
    let experiment = experiment();
    let trials: Vec<TrialResult> = (1..=5)
        .flat_map(|seed| ["plain", "pools"].map(|variant| run_in_virtual_time(&experiment, variant, seed)))
        .collect();
    let (text, passed) = verdict(&experiment, &trials);
    assert!(passed, "{text}\n{}", table(&experiment, &trials));
    // Verifies that the bounds can fail: without pools, the cheapest requests starve.
    let mut without_pools = experiment.clone();
    without_pools
        .expect
        .iter_mut()
        .filter(|x| x.baseline.is_none())
        .for_each(|x| x.variant = "plain".to_owned());
    assert!(!verdict(&without_pools, &trials).1);
}

#[test]
fn same_seed_gives_the_same_results() {
    let experiment = experiment();
    let text = |seed| serde_json::to_string(&run_in_virtual_time(&experiment, "pools", seed)).unwrap();
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
}

#[test]
fn load_step_from_70_percent_and_back_keeps_the_reserve_available() {
    let mut experiment = experiment();
    (experiment.load, experiment.slow) = (0.7, Vec::new());
    experiment.jump = vec![RateStep { at_s: 8.0, for_s: 8.0, factor: 1.6 }];
    for seed in 1..=4 {
        let result = run_in_virtual_time(&experiment, "pools", seed);
        assert_eq!((result.idle_reserve_waits, result.unanswered), (0, 0));
        assert!(result.metric("in_aim", Some("status-check")) >= 0.99, "{result:?}");
        assert!(result.metric("in_aim", Some("port-submit")) >= 0.95, "{result:?}");
    }
}

#[test]
fn flood_of_one_class_at_three_times_capacity_leaves_the_others_their_guarantee() {
    let mut experiment = experiment();
    (experiment.load, experiment.slow, experiment.jump) = (0.7, Vec::new(), Vec::new());
    // The class eligibility alone demands three times the capacity of the cores.
    experiment.class[1].jump = vec![RateStep { at_s: 5.0, for_s: 15.0, factor: 6.0 }];
    let (mut plain, mut pools) = (0.0, 0.0);
    for seed in 1..=4 {
        let result = run_in_virtual_time(&experiment, "pools", seed);
        assert!(result.metric("in_aim", Some("status-check")) >= 0.99, "{result:?}");
        assert!(result.metric("in_aim", Some("port-submit")) >= 0.95, "{result:?}");
        pools += result.metric("in_aim", Some("status-check"));
        plain += run_in_virtual_time(&experiment, "plain", seed).metric("in_aim", Some("status-check"));
    }
    assert!(
        plain < 0.75 * pools,
        "in_aim of status-check, summed over the seeds: {plain} without pools; expected below 75% of {pools} with them"
    );
}

#[test]
fn executor_slowed_ten_times_stays_far_below_the_survivable_concurrency() {
    let mut experiment = experiment();
    experiment.jump = Vec::new();
    experiment.slow = vec![Slowdown { at_s: 8.0, for_s: 10.0, factor: 10.0 }];
    for seed in 1..=4 {
        let result = run_in_virtual_time(&experiment, "pools", seed);
        assert!(result.peak_concurrency_ratio < 0.5 && result.unanswered == 0, "{result:?}");
        assert!(
            result.limits.iter().any(|l| l.cause == "slow" && l.at > 8.0 && l.at < 10.5),
            "{:?}",
            result.limits
        );
        // Runs end normally again from 18 s on: within three seconds the executor no longer counts as slow, whatever the limit is.
        let after = result.limits.iter().find(|l| l.cause != "slow" && l.at > 18.0);
        let already_recovered =
            result.limits.iter().rev().find(|l| l.at <= 18.0).is_some_and(|l| l.cause != "slow");
        assert!(already_recovered || after.is_some_and(|l| l.at <= 21.0), "{:?}", result.limits);
    }
}

#[test]
fn reserved_class_silent_for_a_minute_is_served_when_it_bursts() {
    let mut experiment = experiment();
    (experiment.length_s, experiment.slow, experiment.jump) = (70.0, Vec::new(), Vec::new());
    experiment.class[0].jump = vec![
        RateStep { at_s: 0.0, for_s: 60.0, factor: 0.0 },
        RateStep { at_s: 60.0, for_s: 10.0, factor: 3.0 },
    ];
    let result = run_in_virtual_time(&experiment, "pools", 1);
    assert!(result.classes[0].requests > 300, "{result:?}");
    assert_eq!(result.idle_reserve_waits, 0);
    assert!(result.metric("in_aim", Some("status-check")) >= 0.99, "{result:?}");
}

#[test]
fn stalled_records_service_leaves_every_pool_its_slots() {
    let mut experiment = experiment();
    (experiment.load, experiment.slow, experiment.jump) = (0.9, Vec::new(), Vec::new());
    experiment.stall = vec![Slowdown { at_s: 8.0, for_s: 6.0, factor: 1.0 }];
    for seed in 1..=3 {
        let result = run_in_virtual_time(&experiment, "pools", seed);
        assert_eq!((result.unanswered, result.idle_reserve_waits), (0, 0), "{result:?}");
        assert!(result.peak_concurrency_ratio <= 0.8, "{result:?}");
    }
}

#[test]
fn worker_limit_outperforms_bbr_and_gradient2_on_a_slowed_executor() {
    let table = limits::compare(2);
    let throughput = |algorithm: &str| -> f64 {
        let row = table
            .lines()
            .find(|l| l.contains("10 x slower") && l.contains(&format!("| {algorithm} |")))
            .unwrap();
        row.split('|').nth(3).unwrap().split("+-").next().unwrap().trim().parse().unwrap()
    };
    assert!(throughput("pools") > 0.9, "{table}");
    assert!(
        throughput("bbr") < throughput("pools") && throughput("gradient2") < throughput("pools"),
        "{table}"
    );
}

#[test]
fn invalid_experiment_file_error_names_line_key_and_expected_value() {
    let valid = include_str!("../experiments/pools-110.toml");
    for (from, to, named) in [
        ("length_s = 25.0", "length_s = 0.0", "length_s is 0; expected above 0"),
        ("length_s = 25.0", "lenght_s = 25.0", "line 5: unknown field `lenght_s`"),
        ("metric = \"worth\"", "metric = \"wealth\"", "there is no metric \"wealth\"; expected one of"),
        ("against = \"plain\"", "against = \"plane\"", "there is no variant \"plane\""),
        ("class = \"port-submit\"", "class = \"port\"", "there is no class \"port\""),
    ] {
        let error = Experiment::decode(&valid.replacen(from, to, 1)).expect_err(named).to_string();
        assert!(error.contains(named) && !error.contains('\n'), "{error}");
    }
}

/// Returns the path of the worker, which `cargo test --workspace` builds.
fn worker() -> PathBuf {
    let test_program = std::env::current_exe().unwrap();
    let path = test_program.parent().and_then(|folder| folder.parent()).unwrap().join("port-worker");
    assert!(path.exists(), "{} is not built: run cargo test --workspace", path.display());
    path
}

#[test]
fn short_loopback_run_answers_all_requests_and_keeps_the_reserve() {
    let mut experiment = experiment();
    experiment.length_s = 4.0;
    experiment.jump = vec![RateStep { at_s: 1.0, for_s: 2.0, factor: 1.6 }];
    experiment.slow = Vec::new();
    let variant = experiment.variant.iter().find(|v| v.name == "pools").unwrap().clone();
    let result = loopback::run_trial(&experiment, &variant, 1, &worker()).unwrap();
    // These checks hold on a slow machine too: every request got a response, and the reserve was never withheld from its
    // pool.
    assert_eq!((result.unanswered, result.idle_reserve_waits), (0, 0), "{result:?}");
    assert!(result.classes.iter().all(|c| c.requests == c.within_objective + c.late + c.rejected + c.failed));
    assert!(result.classes[0].within_objective > 0 && result.cpu_ms > 0.0, "{result:?}");
    let owed = experiment.expect.iter().find(|x| x.metric == "owed").unwrap();
    assert_eq!(values(&[result], owed), vec![0.0]);
}
