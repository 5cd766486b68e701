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

/// The sums of twenty correct workers in two zones, and of one whose report is `last`.
fn fleet(last: &LoadReport) -> LoadSums {
    let mut view = FleetLoadView::default();
    for worker in 0..20 {
        let zone = if worker % 2 == 0 { "east" } else { "west" };
        assert!(view.receive(10.0, worker, zone, &load(1, 50.0 + worker as f32)));
    }
    view.receive(10.0, 99, "east", last);
    view.sums(10.1, None)
}

#[test]
fn one_worker_shifts_no_sum_by_more_than_a_few_shares_whatever_it_reports() {
    let honest = fleet(&load(1, 60.0));
    for lie in [f32::NAN, -5.0, f32::INFINITY, 1e9, 1e6, 0.0] {
        let lied = fleet(&LoadReport { retries: lie, call_s: lie.min(1e3), ..load(1, lie) });
        for (a, b) in [
            (honest.capacity, lied.capacity),
            (honest.capacity / honest.arrivals[0], lied.capacity / lied.arrivals[0]),
            (honest.calls_succeeded, lied.calls_succeeded),
        ] {
            assert!((0.7..1.4).contains(&(b / a)), "{lie}: {a} became {b}");
        }
        assert!((0.5..2.0).contains(&(lied.call_s / honest.call_s)), "{lie}: {}", lied.call_s);
        assert!(lied.retries <= 1.0, "{lie}: nobody else has retries; {}", lied.retries);
    }
}

#[test]
fn frozen_silent_and_repeated_reports_are_left_out() {
    let mut view = FleetLoadView::default();
    for number in 1..=10 {
        let now = number as f64 * 0.5;
        view.receive(now, 1, "east", &load(number, 10.0 + number as f32));
        view.receive(now, 2, "east", &load(number, 10.0));
        view.receive(now, 3, "west", &LoadReport { number, capacity: 7.0, ..LoadReport::default() });
    }
    assert!(!view.receive(5.0, 1, "east", &load(10, 99.0)), "a repeat");
    let all = view.sums(5.0, None);
    // The second repeats its measurements for 4.5 s under load; the third is idle, and may repeat them.
    assert_eq!((all.workers, all.capacity), (2, 27.0));
    assert_eq!(view.sums(5.0, Some("west")).workers, 1);
    assert_eq!(view.sums(5.0 + STALE_AFTER_S + 0.1, None), LoadSums::default());
    assert_eq!(view.zones(), ["east", "west"]);
    view.sums(16.0, None);
    assert!(view.zones().is_empty(), "removed");
}
