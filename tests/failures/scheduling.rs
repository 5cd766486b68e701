//! Tiers, queue lengths, hints and the run limit.

use crate::harness::{rejected, settings, starts, with_calls, Harness};
use port_worker::{Arrival, Event, Gauges, Outcome, RequestId, Settings, Tenant};

#[test]
fn the_oldest_request_of_the_highest_tier_starts_first() {
    let mut worker = Harness::new(settings());
    for id in 1..=2 {
        assert_eq!(starts(&worker.arrive(id, 0)), vec![id]);
    }
    for (id, class) in [(3, 0), (4, 1), (5, 1)] {
        assert!(starts(&worker.arrive(id, class)).is_empty());
    }
    worker.now = 0.3;
    assert_eq!(starts(&worker.end(1, Outcome::Ok)), vec![4]);
    assert_eq!(starts(&worker.end(2, Outcome::Ok)), vec![5]);
    assert_eq!(starts(&worker.end(4, Outcome::Ok)), vec![3]);
}

#[test]
fn a_lower_tier_is_rejected_by_total_queue_length_while_the_top_tier_is_still_queued() {
    let mut worker = Harness::new(settings());
    let first = (1..60).find(|&id| rejected(&worker.arrive(id, 0), id)).expect("the queue reaches its limit");
    assert!(first > 3, "some are queued: {first}");
    assert!(
        !rejected(&worker.arrive(100, 1), 100),
        "the top tier is not rejected for what is queued below it"
    );
    assert!(rejected(&worker.arrive(101, 0), 101));
}

#[test]
fn a_lower_tier_is_rejected_by_the_queue_length_of_higher_tiers() {
    let mut worker = Harness::new(settings());
    for id in 1..=6 {
        assert!(!rejected(&worker.arrive(id, 1), id));
    }
    // Four are queued above: fewer than the top tier may queue, but too many ahead of a lower one.
    assert!(rejected(&worker.arrive(7, 0), 7));
    assert!(!rejected(&worker.arrive(8, 1), 8));
}

#[test]
fn the_run_limit_rises_only_when_it_is_reached_and_never_falls_below_the_cores() {
    let mut worker = Harness::new(settings());
    for id in 1..=4 {
        worker.arrive(id, 0);
    }
    assert_eq!(
        starts(&worker.pass(0.55, 0.5)),
        vec![3],
        "idle cores, all slots used, work queued: a step up"
    );
    worker.pass(1.5, 1.0);
    let mut quiet = Harness::new(settings());
    quiet.pass(3.0, 0.1);
    quiet.pass(3.0, 1.0);
    assert_eq!((1..=3).map(|id| starts(&quiet.arrive(id, 0)).len()).sum::<usize>(), 2);
}

#[test]
fn hung_runs_do_not_raise_the_run_limit() {
    let mut worker = Harness::new(settings());
    for id in 1..=3 {
        worker.arrive(id, 1);
    }
    for round in 0..40 {
        worker.pass(0.25, 0.0);
        worker.arrive(100 + round, 1);
    }
    // Whatever was started before the hang was detected, it stays near the core count.
    let running = (1..140).filter(|&id| !worker.end(id, Outcome::Cancelled).is_empty()).count();
    assert!(running <= 6, "{running}");
}

#[test]
fn a_run_that_never_started_frees_its_slot() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 0);
    worker.handle(Event::CallerDisconnected(RequestId(1)));
    worker.arrive(2, 0);
    worker.arrive(3, 0);
    assert_eq!(starts(&worker.end(1, Outcome::NotStarted)), vec![3]);
}

/// Large requests were planned with the mean run length and started too late to meet their objective.
#[test]
fn hints_plan_runs_only_when_ended_runs_confirm_them() {
    let late_start = |told: bool| {
        let mut worker = Harness::new(Settings { cores: 1, ..settings() });
        let arrive = |worker: &mut Harness, id: u64, size: f64| {
            let (id, estimate_s) = (RequestId(id), Some(size));
            worker.handle(Event::Arrived(Arrival { id, memory_kb: 1.0, estimate_s, ..Arrival::default() }))
        };
        for id in 1..=40 {
            let large = id % 2 == 0;
            arrive(&mut worker, id, if large && told { 1.0 } else { 0.1 });
            worker.now += if large { 1.0 } else { 0.1 };
            worker.end(id, Outcome::Ok);
        }
        // Behind a run of a second, a large one can't end within its two seconds; a small one can.
        arrive(&mut worker, 100, 0.1);
        arrive(&mut worker, 103, 0.1);
        let large = rejected(&arrive(&mut worker, 101, if told { 1.6 } else { 0.1 }), 101);
        let small = rejected(&arrive(&mut worker, 102, 0.1), 102);
        (large, small)
    };
    assert_eq!(late_start(true), (true, false));
    assert_eq!(late_start(false), (false, false));
    // Absurd hints fall back to the mean.
    let mut worker = Harness::new(settings());
    for (id, size) in [(1, f64::NAN), (2, -1.0), (3, f64::MAX), (4, 0.0)] {
        let (id, estimate_s) = (RequestId(id), Some(size));
        let out =
            worker.handle(Event::Arrived(Arrival { id, memory_kb: 1.0, estimate_s, ..Arrival::default() }));
        assert!(!rejected(&out, id.0));
    }
}

/// Idle workers rejected large requests because of a downstream call for which nothing waited.
#[test]
fn an_idle_worker_rejects_nothing_for_a_call_without_a_wait() {
    let mut set = with_calls(4.0);
    set.classes[0].objective_s = 1.0;
    let mut worker = Harness::new(set);
    for id in 1..=10 {
        worker.arrive(id, 0);
        worker.now += 0.9;
        worker.end(id, Outcome::Ok);
    }
    // With 1.3 mean lengths it would be late; by the mean it would not.
    assert_eq!(starts(&worker.arrive(100, 0)), vec![100]);
}

/// On two cores a mean under 0.95 is chance; what counts is work that wants a core now.
#[test]
fn a_low_mean_of_busy_cores_alone_does_not_raise_the_run_limit() {
    let limit = |runnable: f64| {
        let mut worker = Harness::new(settings());
        for id in 1..=4 {
            worker.arrive(id, 0);
        }
        let mut started = 0;
        for _ in 0..22 {
            worker.now += 0.025;
            let gauges = Gauges { cores_busy: Some(0.8), runnable: Some(runnable), ..Gauges::default() };
            started += starts(&worker.handle(Event::Woken(gauges))).len();
        }
        started
    };
    assert_eq!(limit(3.0), 0);
    assert_eq!(limit(1.0), 1);
}

/// Work of the top class that looked over quota was rejected for queued work of a tenth of its weight.
#[test]
fn queued_work_of_far_lower_weight_does_not_count_against_an_arrival() {
    let mut set = settings();
    set.over_quota_weight = 0.1;
    set.tenants = vec![Tenant { quota_per_s: 0.0 }; 2];
    let mut worker = Harness::new(set);
    let mut arrive = |id: u64, class: usize, tenant: usize| {
        let id = RequestId(id);
        worker.handle(Event::Arrived(Arrival {
            id,
            class,
            tenant: Some(tenant),
            memory_kb: 10.0,
            ..Arrival::default()
        }))
    };
    for id in 1..=4 {
        arrive(id, 0, 0);
    }
    let low = (5..60)
        .find(|&id| rejected(&arrive(id, 0, 1), id))
        .expect("the queue of the low class reaches its limit");
    for id in 61..=64 {
        arrive(id, 0, 1);
    }
    // Its tenant has used up its bucket, so it is not in the top tier; what is queued has a fifth of its weight.
    assert!(low > 6 && !rejected(&arrive(100, 1, 1), 100));
}
