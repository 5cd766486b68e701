use super::*;

fn sums(arrivals: &[f64], capacity: f64) -> LoadSums {
    let mut all = [0.0; MAX_TIERS];
    all[..arrivals.len()].copy_from_slice(arrivals);
    LoadSums { workers: 10, arrivals: all, capacity, rejected: 5.0, ..LoadSums::default() }
}

/// Evaluates the sums twice per second for `for_s` seconds; returns the changes and their times.
fn evaluate(
    levels: &mut SheddingController,
    from: f64,
    for_s: f64,
    sums: impl Fn(f64) -> LoadSums,
) -> Vec<(f64, LevelChange)> {
    let times = (0..).map(|n| from + 0.5 * f64::from(n)).take_while(|t| *t < from + for_s);
    times.filter_map(|now| levels.evaluate(now, &sums(now)).map(|change| (now, change))).collect()
}

#[test]
fn admitted_demand_does_not_exceed_the_capacity_of_the_cores() {
    for (arrivals, capacity, tier, share) in [
        (&[10.0, 10.0, 10.0][..], 40.0, MAX_TIERS, 0.0),
        (&[10.0, 10.0, 10.0], 26.0, 2, 0.75),
        (&[10.0, 10.0, 10.0], 20.0, 2, 0.25),
        (&[10.0, 10.0, 10.0], 18.0, 1, 1.0),
        (&[10.0, 0.0, 10.0], 15.0, 2, 0.75),
        (&[50.0, 10.0], 10.0, 0, 0.25),
        (&[1.0], 0.0, 0, 0.0),
    ] {
        assert_eq!(
            SheddingLevel::for_load(&sums(arrivals, capacity)),
            SheddingLevel { tier, share },
            "arrivals {arrivals:?}, capacity {capacity}"
        );
    }
    // Retries count as demand only up to the share that the retry budget admits.
    for retries in [2.0, 2000.0] {
        let with_retries = LoadSums { retries, ..sums(&[10.0, 10.0], 17.0) };
        assert_eq!(
            SheddingLevel::for_load(&with_retries),
            SheddingLevel { tier: 1, share: 0.75 },
            "a retry storm alone does not tighten the level"
        );
    }
}

#[test]
fn an_estimated_shortage_sheds_nothing_while_no_worker_rejects_anything() {
    let mut levels = SheddingController::new(0.0);
    let estimated = |_| LoadSums { rejected: 0.0, ..sums(&[10.0, 10.0], 5.0) };
    assert!(evaluate(&mut levels, 0.0, 10.0, estimated).is_empty());
}

#[test]
fn no_lower_rank_is_admitted_where_a_higher_one_is_shed() {
    for admitted_tiers in 0..=MAX_TIERS * 4 {
        let level = SheddingLevel::from_admitted_tiers(admitted_tiers as f64 / 4.0);
        let ranks = (0..MAX_TIERS).flat_map(|tier| (0..8).map(move |n| (tier, f64::from(n) / 8.0)));
        let admitted: Vec<bool> = ranks.map(|(tier, rank)| level.admits(tier, rank)).collect();
        assert!(admitted.windows(2).all(|w| w[0] >= w[1]), "{level:?}: {admitted:?}");
    }
}

#[test]
fn a_lasting_shortage_tightens_the_level_within_one_second_and_a_brief_one_does_not() {
    let mut levels = SheddingController::new(0.0);
    assert!(
        evaluate(&mut levels, 0.0, 0.5, |_| sums(&[10.0, 10.0], 12.0)).is_empty(),
        "a single evaluation is not a lasting shortage"
    );
    assert!(evaluate(&mut levels, 0.5, 2.0, |_| sums(&[10.0, 10.0], 30.0)).is_empty());
    let changes = evaluate(&mut levels, 2.5, 2.0, |_| sums(&[10.0, 10.0], 12.0));
    assert_eq!(changes.len(), 1, "{changes:?}");
    let cause = LevelChangeCause::Shortage { demand_per_s: 20.0, capacity_per_s: 12.0 };
    assert!(changes[0].0 <= 3.5 && changes[0].1.cause == cause, "{changes:?}");
}

#[test]
fn oscillating_load_changes_the_level_at_most_once_per_period() {
    let mut levels = SheddingController::new(0.0);
    let oscillating = |now: f64| sums(&[10.0, 10.0], if now % 3.0 < 1.5 { 15.0 } else { 30.0 });
    let changes = evaluate(&mut levels, 0.0, 60.0, oscillating);
    assert!(changes.len() <= 20 && !changes.is_empty(), "{changes:?}");
    // Here the level changes only once: the headroom of each period lasts 1.5 s, too short for the level to relax.
    assert_eq!(changes.len(), 1, "{changes:?}");
}

#[test]
fn the_level_relaxes_step_by_step_and_skips_tiers_without_arrivals() {
    let mut levels = SheddingController::new(0.0);
    evaluate(&mut levels, 0.0, 2.0, |_| sums(&[10.0, 0.0, 10.0], 5.0));
    assert_eq!(levels.level(2.0), SheddingLevel { tier: 0, share: 0.75 });
    let changes = evaluate(&mut levels, 2.0, 12.0, |_| sums(&[10.0, 0.0, 10.0], 50.0));
    let admitted_tiers: Vec<f64> = changes.iter().map(|(_, c)| c.level.admitted_tiers()).collect();
    assert_eq!(admitted_tiers, [2.0, 2.25, 2.5, 2.75, MAX_TIERS as f64], "{changes:?}");
    assert!(changes[0].0 >= 2.0 + HEADROOM_DELAY_S);
    assert!(changes.windows(2).all(|w| w[1].0 - w[0].0 >= RELAX_INTERVAL_S));
}

#[test]
fn the_level_opens_when_too_few_workers_report_and_a_pinned_level_expires() {
    let mut levels = SheddingController::new(0.0);
    evaluate(&mut levels, 0.0, 2.0, |_| sums(&[10.0], 5.0));
    assert!(!levels.level(2.0).is_open());
    let changes = evaluate(&mut levels, 2.0, 30.0, |_| LoadSums { workers: 1, ..sums(&[10.0], 1.0) });
    assert!(
        levels.level(32.0).is_open()
            && changes.iter().all(|(_, c)| c.cause == LevelChangeCause::TooFewReports),
        "{changes:?}"
    );
    let pin = SheddingLevel { tier: 1, share: 0.5 };
    levels.pin(pin, 40.0);
    assert_eq!((levels.level(39.9), levels.level(40.0)), (pin, SheddingLevel::default()));
}
