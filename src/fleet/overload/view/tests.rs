use super::*;

fn load(number: u64, rate: f32) -> LoadReport {
    LoadReport {
        number,
        arrivals: vec![rate, rate],
        capacity: rate,
        calls_succeeded: rate,
        call_s: 0.01,
        ..LoadReport::default()
    }
}

/// The sums over twenty correct workers in two zones and one more whose report is `last`.
fn fleet_sums(last: &LoadReport) -> LoadSums {
    let mut view = FleetLoadView::default();
    for worker in 0..20 {
        let zone = if worker % 2 == 0 { "east" } else { "west" };
        assert!(view.receive(10.0, worker, zone, &load(1, 50.0 + worker as f32)));
    }
    view.receive(10.0, 99, "east", last);
    view.sums(10.1, None)
}

#[test]
fn a_single_outlier_shifts_no_sum_by_more_than_a_few_shares() {
    let expected = fleet_sums(&load(1, 60.0));
    for wrong in [f32::NAN, -5.0, f32::INFINITY, 1e9, 1e6, 0.0] {
        let skewed = fleet_sums(&LoadReport { retries: wrong, call_s: wrong.min(1e3), ..load(1, wrong) });
        for (a, b) in [
            (expected.capacity, skewed.capacity),
            (expected.capacity / expected.arrivals[0], skewed.capacity / skewed.arrivals[0]),
            (expected.calls_succeeded, skewed.calls_succeeded),
        ] {
            assert!((0.7..1.4).contains(&(b / a)), "wrong value {wrong}: {a} became {b}");
        }
        assert!(
            (0.5..2.0).contains(&(skewed.call_s / expected.call_s)),
            "wrong value {wrong}: {}",
            skewed.call_s
        );
        assert!(
            skewed.retries <= 1.0,
            "wrong value {wrong}: {} retries, but no other worker has any",
            skewed.retries
        );
    }
}

#[test]
fn duplicate_stale_and_frozen_reports_are_excluded() {
    let mut view = FleetLoadView::default();
    for number in 1..=10 {
        let now = number as f64 * 0.5;
        view.receive(now, 1, "east", &load(number, 10.0 + number as f32));
        view.receive(now, 2, "east", &load(number, 10.0));
        view.receive(now, 3, "west", &LoadReport { number, capacity: 7.0, ..LoadReport::default() });
    }
    assert!(!view.receive(5.0, 1, "east", &load(10, 99.0)), "a duplicate number");
    let all = view.sums(5.0, None);
    // The second worker has repeated its measurements for 4.5 s under load. The third worker is idle, and the measurements of
    // an idle worker may stay the same.
    assert_eq!((all.workers, all.capacity), (2, 27.0));
    assert_eq!(view.sums(5.0, Some("west")).workers, 1);
    assert_eq!(view.sums(5.0 + STALE_AFTER_S + 0.1, None), LoadSums::default());
    assert_eq!(view.zones(), ["east", "west"]);
    view.sums(16.0, None);
    assert!(view.zones().is_empty(), "workers that stopped reporting are removed");
}
