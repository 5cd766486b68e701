//! Failing runs, hangs and lagging reads.

use crate::harness::{rejected, settings, Harness};
use port_worker::{Action, Arrival, Event, Gauges, Outcome, RequestId, Settings, Signal};

/// Runs that fail quickly leave the queues empty, so nothing was rejected.
#[test]
fn a_worker_whose_runs_fail_is_delisted_and_rejects_work() {
    let mut worker = Harness::new(settings());
    let mut actions = Vec::new();
    for id in 1..=8 {
        worker.now += 0.02;
        worker.arrive(id, 0);
        actions.extend(worker.end(id, Outcome::Error));
    }
    assert!(actions.contains(&Action::Health(false)));
    assert!(rejected(&worker.arrive(20, 1), 20), "work with an effect");
    let probes = (30..60).filter(|&id| !rejected(&worker.arrive(id, 0), id)).count();
    assert!(probes <= 1, "{probes}");
    // Successful probes bring it back.
    for id in 100..140 {
        worker.now += 0.5;
        if !rejected(&worker.arrive(id, 0), id) {
            worker.now += 0.1;
            actions = worker.end(id, Outcome::Ok);
        }
        if actions.contains(&Action::Health(true)) {
            return;
        }
    }
    panic!("never healthy again");
}

/// Two of three workers became sick at their start; delisted, they got no requests, and stayed so all day.
#[test]
fn unhealthy_worker_without_arrivals_is_relisted_after_a_pause() {
    let mut worker = Harness::new(settings());
    let mut actions = Vec::new();
    for id in 1..=8 {
        worker.now += 0.02;
        worker.arrive(id, 0);
        actions.extend(worker.end(id, Outcome::Error));
    }
    assert!(actions.contains(&Action::Health(false)));
    assert!(!worker.pass(1.5, 0.1).contains(&Action::Health(true)), "too soon");
    assert!(worker.pass(1.0, 0.1).contains(&Action::Health(true)));
    // Listed, but still sick: one run is a probe, the rest is still rejected, and a failure delists it again.
    let kept: Vec<u64> = (20..25).filter(|&id| !rejected(&worker.arrive(id, 0), id)).collect();
    assert_eq!(kept, vec![20]);
    worker.now += 0.1;
    worker.end(20, Outcome::Error);
    assert!(!worker.pass(1.5, 0.1).contains(&Action::Health(true)));
}

#[test]
fn worker_with_stalled_runs_is_delisted() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 0);
    worker.arrive(2, 0);
    assert!(worker.pass(30.0, 0.0).contains(&Action::Health(false)) || worker.sick_after_runs());
}

impl Harness {
    /// With measured run lengths a hang is detected within seconds.
    fn sick_after_runs(&mut self) -> bool {
        for id in 1000..1040 {
            self.now += 0.05;
            self.arrive(id, 0);
            self.end(id, Outcome::Ok);
        }
        self.arrive(2000, 0);
        self.arrive(2001, 0);
        self.pass(4.0, 0.0).contains(&Action::Health(false))
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
    let later = worker.pass(10.0, 0.2);
    assert!(later.contains(&Action::Health(true)));
    assert!(later.iter().any(|a| matches!(a, Action::Publish(level) if *level > 0.0)));
}

/// Delisted and without arrivals, a worker stood idle for nine seconds after its backlog.
#[test]
fn free_core_ends_a_read_lag_immediately() {
    let back = |runnable: f64| {
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
    assert!(back(1.0) && !back(4.0));
}

/// Runs of 10 ms that stalled for 20 ms were taken for hung, and all that was queued was rejected.
#[test]
fn a_short_stall_of_short_runs_is_no_hang() {
    let mut worker = Harness::new(Settings { cores: 8, ..settings() });
    for id in 1..=500 {
        worker.now += 0.002;
        worker.arrive(id, 0);
        worker.end(id, Outcome::Ok);
    }
    for id in 501..=512 {
        worker.arrive(id, 0);
    }
    let rejections = |out: &[Action]| out.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(rejections(&worker.pass(0.2, 1.0)), 0);
    assert!(rejections(&worker.pass(1.0, 1.0)) > 0, "a hang is detected in the end");
}

/// A worker that came back from a drain was sick at its first two runs: the time in which it had nothing to
/// run counted as a hang, it was delisted at once, and got too few requests to recover.
#[test]
fn idle_time_before_a_run_does_not_count_as_a_hang() {
    let mut worker = Harness::new(settings());
    for id in 1..=40 {
        worker.arrive(id, 0);
        worker.now += 0.06;
        worker.end(id, Outcome::Ok);
    }
    worker.pass(4.0, 0.0);
    worker.arrive(101, 0);
    worker.arrive(102, 0);
    let out = worker.pass(0.05, 1.0);
    assert!(!out.contains(&Action::Health(false)), "{out:?}");
    worker.end(101, Outcome::Ok);
    worker.end(102, Outcome::Ok);
    worker.arrive(103, 0);
    worker.arrive(104, 0);
    assert!(worker.pass(30.0, 0.0).contains(&Action::Health(false)));
}
