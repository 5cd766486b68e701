//! Tiers, queue lengths, estimates of run lengths and the run limit.

use crate::harness::{rejected, settings, settings_with_calls, started_requests, Harness};
use port_worker::{Arrival, Event, Gauges, Outcome, RequestId, Settings, Tenant};

#[test]
fn the_oldest_request_of_the_highest_tier_starts_first() {
    let mut worker = Harness::new(settings());
    for id in 1..=2 {
        assert_eq!(started_requests(&worker.arrive(id, 0)), vec![id]);
    }
    for (id, class) in [(3, 0), (4, 1), (5, 1)] {
        assert!(started_requests(&worker.arrive(id, class)).is_empty());
    }
    worker.now = 0.3;
    assert_eq!(started_requests(&worker.end_run(1, Outcome::Ok)), vec![4]);
    assert_eq!(started_requests(&worker.end_run(2, Outcome::Ok)), vec![5]);
    assert_eq!(started_requests(&worker.end_run(4, Outcome::Ok)), vec![3]);
}

#[test]
fn a_lower_tier_is_rejected_by_total_queue_length_while_the_top_tier_is_still_queued() {
    let mut worker = Harness::new(settings());
    let first =
        (1..60).find(|&id| rejected(&worker.arrive(id, 0), id)).expect("the queue does not reach its limit");
    assert!(first > 3, "none is queued before the first rejection, of request {first}");
    assert!(
        !rejected(&worker.arrive(100, 1), 100),
        "the top tier is rejected for what lower tiers have queued"
    );
    assert!(rejected(&worker.arrive(101, 0), 101));
}

#[test]
fn a_lower_tier_is_rejected_by_the_queue_length_of_higher_tiers() {
    let mut worker = Harness::new(settings());
    for id in 1..=6 {
        assert!(!rejected(&worker.arrive(id, 1), id));
    }
    // Four requests of the top tier are queued: fewer than that tier may queue, but too many ahead of a lower tier.
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
        started_requests(&worker.advance(0.55, 0.5)),
        vec![3],
        "the limit rises by one when cores are idle, all slots are used and requests are queued"
    );
    worker.advance(1.5, 1.0);
    let mut idle_worker = Harness::new(settings());
    idle_worker.advance(3.0, 0.1);
    idle_worker.advance(3.0, 1.0);
    assert_eq!((1..=3).map(|id| started_requests(&idle_worker.arrive(id, 0)).len()).sum::<usize>(), 2);
}

#[test]
fn hung_runs_do_not_raise_the_run_limit() {
    let mut worker = Harness::new(settings());
    for id in 1..=3 {
        worker.arrive(id, 1);
    }
    for round in 0..40 {
        worker.advance(0.25, 0.0);
        worker.arrive(100 + round, 1);
    }
    // However many runs were started before the stall was detected, their number stays near that of the cores.
    let running = (1..140).filter(|&id| !worker.end_run(id, Outcome::Cancelled).is_empty()).count();
    assert!(running <= 6, "{running} runs; expected 6 or fewer");
}

#[test]
fn a_run_that_never_started_frees_its_slot() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 0);
    worker.handle(Event::CallerDisconnected(RequestId(1)));
    worker.arrive(2, 0);
    worker.arrive(3, 0);
    assert_eq!(started_requests(&worker.end_run(1, Outcome::NotStarted)), vec![3]);
}

/// Guards against planning large requests with the mean run length, which started them too late to meet their
/// objective.
#[test]
fn estimates_are_used_only_when_ended_runs_confirm_them() {
    let rejections = |with_hints: bool| {
        let mut worker = Harness::new(Settings { cores: 1, ..settings() });
        let arrive = |worker: &mut Harness, id: u64, size_s: f64| {
            let (id, estimate_s) = (RequestId(id), Some(size_s));
            worker.handle(Event::Arrived(Arrival { id, memory_kb: 1.0, estimate_s, ..Arrival::default() }))
        };
        for id in 1..=40 {
            let large = id % 2 == 0;
            arrive(&mut worker, id, if large && with_hints { 1.0 } else { 0.1 });
            worker.now += if large { 1.0 } else { 0.1 };
            worker.end_run(id, Outcome::Ok);
        }
        // After a run of one second, a large request can't end within its objective of two seconds; a small one can.
        arrive(&mut worker, 100, 0.1);
        arrive(&mut worker, 103, 0.1);
        let large = rejected(&arrive(&mut worker, 101, if with_hints { 1.6 } else { 0.1 }), 101);
        let small = rejected(&arrive(&mut worker, 102, 0.1), 102);
        (large, small)
    };
    assert_eq!(rejections(true), (true, false));
    assert_eq!(rejections(false), (false, false));
    // Invalid estimates are replaced by the mean.
    let mut worker = Harness::new(settings());
    for (id, size_s) in [(1, f64::NAN), (2, -1.0), (3, f64::MAX), (4, 0.0)] {
        let (id, estimate_s) = (RequestId(id), Some(size_s));
        let actions =
            worker.handle(Event::Arrived(Arrival { id, memory_kb: 1.0, estimate_s, ..Arrival::default() }));
        assert!(!rejected(&actions, id.0));
    }
}

/// Guards against an idle worker that rejects large requests because of a downstream call for which nothing waits.
#[test]
fn an_idle_worker_rejects_nothing_for_a_call_without_a_wait() {
    let mut settings = settings_with_calls(4.0);
    settings.classes[0].objective_s = 1.0;
    let mut worker = Harness::new(settings);
    for id in 1..=10 {
        worker.arrive(id, 0);
        worker.now += 0.9;
        worker.end_run(id, Outcome::Ok);
    }
    // Planned with 1.3 mean run lengths it would be late; planned with the mean it is not.
    assert_eq!(started_requests(&worker.arrive(100, 0)), vec![100]);
}

/// On two cores a mean of busy cores below 0.95 occurs by chance; the number of runnable tasks decides.
#[test]
fn a_low_mean_of_busy_cores_alone_does_not_raise_the_run_limit() {
    let starts_above_cores = |runnable: f64| {
        let mut worker = Harness::new(settings());
        for id in 1..=4 {
            worker.arrive(id, 0);
        }
        let mut started = 0;
        for _ in 0..22 {
            worker.now += 0.025;
            let gauges = Gauges { cores_busy: Some(0.8), runnable: Some(runnable), ..Gauges::default() };
            started += started_requests(&worker.handle(Event::Woken(gauges))).len();
        }
        started
    };
    assert_eq!(starts_above_cores(3.0), 0);
    assert_eq!(starts_above_cores(1.0), 1);
}

/// Guards against rejecting a request of the top class, which counts as over quota, because of queued requests that have a
/// fifth of its weight or less.
#[test]
fn queued_work_of_far_lower_weight_does_not_count_against_an_arrival() {
    let mut settings = settings();
    settings.over_quota_weight = 0.1;
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }; 2];
    let mut worker = Harness::new(settings);
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
    let first_rejected = (5..60)
        .find(|&id| rejected(&arrive(id, 0, 1), id))
        .expect("the queue of the low class does not reach its limit");
    for id in 61..=64 {
        arrive(id, 0, 1);
    }
    // The tenant of request 100 has used up its token bucket, so that the request has half of its class's weight of 10. A
    // queued request has a weight of 1, or of 0.5 over quota.
    assert!(first_rejected > 6 && !rejected(&arrive(100, 1, 1), 100));
}
