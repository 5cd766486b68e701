//! Failing runs, stalled runs and late reads.

use crate::harness::{rejected, settings, Harness};
use port_worker::{Action, Arrival, Event, Gauges, Idempotency, Outcome, RequestId, Settings, Signal};

/// Runs eight requests that fail, after which the worker is unhealthy.
fn fail_runs_until_unhealthy(worker: &mut Harness) {
    let mut actions = Vec::new();
    for id in 1..=8 {
        worker.now += 0.02;
        worker.arrive(id, 0);
        actions.extend(worker.end_run(id, Outcome::Error));
    }
    assert!(actions.contains(&Action::Health(false)));
}

/// Guards against a worker that rejects nothing since its runs fail quickly and so keep its queues empty.
#[test]
fn a_worker_whose_runs_fail_is_delisted_and_rejects_work() {
    let mut worker = Harness::new(settings());
    fail_runs_until_unhealthy(&mut worker);
    assert!(rejected(&worker.arrive(20, 1), 20), "a keyed request is admitted by an unhealthy worker");
    let probes = (30..60).filter(|&id| !rejected(&worker.arrive(id, 0), id)).count();
    assert!(probes <= 1, "{probes} requests are admitted as probes");
    // Successful probes make it healthy again.
    let mut actions = Vec::new();
    for id in 100..140 {
        worker.now += 0.5;
        if !rejected(&worker.arrive(id, 0), id) {
            worker.now += 0.1;
            actions = worker.end_run(id, Outcome::Ok);
        }
        if actions.contains(&Action::Health(true)) {
            return;
        }
    }
    panic!("the worker does not become healthy within 20 s of successful probes");
}

/// Guards against a worker that stays delisted: without requests it can't show that it has recovered. Two of three
/// workers became unhealthy at their start, and stayed so all day.
#[test]
fn unhealthy_worker_without_arrivals_is_relisted_after_a_pause() {
    let mut worker = Harness::new(settings());
    fail_runs_until_unhealthy(&mut worker);
    assert!(!worker.advance(1.5, 0.1).contains(&Action::Health(true)), "relisted too soon");
    assert!(worker.advance(1.0, 0.1).contains(&Action::Health(true)));
    // It is listed but still unhealthy: one request is admitted as a probe, the rest is rejected, and a failure delists
    // the worker again.
    let admitted: Vec<u64> = (20..25).filter(|&id| !rejected(&worker.arrive(id, 0), id)).collect();
    assert_eq!(admitted, vec![20]);
    worker.now += 0.1;
    worker.end_run(20, Outcome::Error);
    assert!(!worker.advance(1.5, 0.1).contains(&Action::Health(true)));
}

/// Guards against a worker without idempotent classes that rejects everything once its runs have failed, so that it never
/// shows that it has recovered.
#[test]
fn worker_without_idempotent_classes_is_probed_and_recovers() {
    for idempotency in [Idempotency::Keyed, Idempotency::NotIdempotent] {
        let mut settings = settings();
        settings.classes.iter_mut().for_each(|class| class.idempotency = idempotency);
        let mut worker = Harness::new(settings);
        fail_runs_until_unhealthy(&mut worker);
        assert!(worker.advance(3.0, 0.1).contains(&Action::Health(true)), "not relisted");
        // One request at a time is admitted as a probe.
        let admitted: Vec<u64> = (20..30).filter(|&id| !rejected(&worker.arrive(id, 1), id)).collect();
        assert_eq!(admitted, vec![20], "{idempotency:?}");
        worker.now += 0.1;
        worker.end_run(20, Outcome::Ok);
        let recovers = (40..80).any(|id| {
            worker.now += 0.5;
            !rejected(&worker.arrive(id, 0), id) && {
                worker.now += 0.1;
                worker.end_run(id, Outcome::Ok);
                // A healthy worker admits a second request beside the first.
                let both = [id + 100, id + 200].map(|next| !rejected(&worker.arrive(next, 0), next));
                both == [true, true]
            }
        });
        assert!(recovers, "{idempotency:?}: not healthy within 20 s of successful probes");
    }
}

#[test]
fn worker_with_stalled_runs_is_delisted() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 0);
    worker.arrive(2, 0);
    assert!(
        worker.advance(30.0, 0.0).contains(&Action::Health(false)) || worker.becomes_unhealthy_after_runs()
    );
}

impl Harness {
    /// Whether stalled runs make the worker unhealthy once it has measured run lengths: they are then detected within
    /// seconds.
    fn becomes_unhealthy_after_runs(&mut self) -> bool {
        for id in 1000..1040 {
            self.now += 0.05;
            self.arrive(id, 0);
            self.end_run(id, Outcome::Ok);
        }
        self.arrive(2000, 0);
        self.arrive(2001, 0);
        self.advance(4.0, 0.0).contains(&Action::Health(false))
    }
}

/// A worker that reads too late reads only requests that their callers have abandoned.
#[test]
fn a_worker_that_reads_too_late_is_delisted_until_it_has_caught_up() {
    let mut worker = Harness::new(Settings { signal: Signal::Weight, ..settings() });
    let mut actions = Vec::new();
    for id in 1..=20 {
        worker.now += 0.05;
        let (id, read_delay_s) = (RequestId(id), 3.0);
        actions.extend(worker.handle(Event::Arrived(Arrival {
            id,
            class: 0,
            memory_kb: 10.0,
            read_delay_s,
            ..Arrival::default()
        })));
    }
    assert!(actions.contains(&Action::Health(false)) && actions.contains(&Action::Publish(0.0)));
    let later_actions = worker.advance(10.0, 0.2);
    assert!(later_actions.contains(&Action::Health(true)));
    assert!(later_actions.iter().any(|a| matches!(a, Action::Publish(level) if *level > 0.0)));
}

/// Guards against a worker that, delisted for late reads, stays delisted and so idle after it has worked off its backlog;
/// one stayed so for nine seconds.
#[test]
fn free_core_ends_a_read_lag_immediately() {
    let recovers = |runnable: f64| {
        let mut worker = Harness::new(settings());
        let mut actions = Vec::new();
        for id in 1..=20 {
            worker.now += 0.05;
            let (id, read_delay_s) = (RequestId(id), 3.0);
            actions.extend(worker.handle(Event::Arrived(Arrival {
                id,
                memory_kb: 1.0,
                read_delay_s,
                ..Arrival::default()
            })));
        }
        assert!(actions.contains(&Action::Health(false)));
        worker.now += 0.5;
        let gauges = Gauges { cores_busy: Some(1.0), runnable: Some(runnable), ..Gauges::default() };
        worker.handle(Event::Woken(gauges)).contains(&Action::Health(true))
    };
    assert!(recovers(1.0) && !recovers(4.0));
}

/// Guards against rejecting all queued requests because runs of 10 ms make no progress for 20 ms.
#[test]
fn short_stall_of_short_runs_is_not_taken_for_a_hang() {
    let mut worker = Harness::new(Settings { cores: 8, ..settings() });
    for id in 1..=500 {
        worker.now += 0.002;
        worker.arrive(id, 0);
        worker.end_run(id, Outcome::Ok);
    }
    for id in 501..=512 {
        worker.arrive(id, 0);
    }
    let rejections =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(rejections(&worker.advance(0.2, 1.0)), 0);
    assert!(rejections(&worker.advance(1.0, 1.0)) > 0, "stalled runs are not detected within 1.2 s");
}

/// Guards against counting idle time as a stall: a worker that resumed after a drain became unhealthy at its first two
/// runs, was delisted immediately, and got too few requests to recover.
#[test]
fn idle_time_before_a_run_does_not_count_as_a_hang() {
    let mut worker = Harness::new(settings());
    for id in 1..=40 {
        worker.arrive(id, 0);
        worker.now += 0.06;
        worker.end_run(id, Outcome::Ok);
    }
    worker.advance(4.0, 0.0);
    worker.arrive(101, 0);
    worker.arrive(102, 0);
    let actions = worker.advance(0.05, 1.0);
    assert!(!actions.contains(&Action::Health(false)), "{actions:?}");
    worker.end_run(101, Outcome::Ok);
    worker.end_run(102, Outcome::Ok);
    worker.arrive(103, 0);
    worker.arrive(104, 0);
    assert!(worker.advance(30.0, 0.0).contains(&Action::Health(false)));
}
