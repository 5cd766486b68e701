//! Due times and latency objectives.

use crate::harness::{answered, rejected, settings, with_calls, Harness};
use port_worker::{Action, Event, Preemption, RequestId, Settings};

#[test]
fn a_running_request_is_answered_by_its_due_time() {
    let mut set = settings();
    set.classes[0].late_weight = 0.2;
    let mut worker = Harness::new(set);
    worker.arrive(1, 0);
    assert!(!answered(&worker.pass(4.9, 1.0), 1), "a late response still has a part of the weight");
    assert!(answered(&worker.pass(0.1, 1.0), 1));
}

/// Runs past their objective were worth nothing, kept the cores busy, and their callers waited on. The
/// response comes with the next sweep, not near the deadline, with a Retry-After where the request may be
/// repeated.
#[test]
fn request_without_remaining_weight_is_answered_and_its_run_stopped() {
    for preemption in [Preemption::Discard, Preemption::Pause, Preemption::Never] {
        let mut worker = Harness::new(Settings { preemption, ..settings() });
        worker.arrive(1, 0);
        assert!(!answered(&worker.pass(1.95, 1.0), 1), "{preemption:?}");
        let out = worker.pass(0.1, 1.0);
        assert!(rejected(&out, 1), "idempotent: with a Retry-After ({preemption:?})");
        assert_eq!(out.contains(&Action::Preempt(RequestId(1))), preemption != Preemption::Never);
        assert!(!answered(&worker.pass(4.0, 1.0), 1), "one response");
    }
    // One that waits for a call does not wait for its deadline either.
    let mut worker = Harness::new(with_calls(0.4));
    worker.arrive(1, 0);
    worker.handle(Event::CallRequested(RequestId(1)));
    worker.arrive(2, 0);
    worker.handle(Event::CallRequested(RequestId(2)));
    let out = worker.pass(2.1, 1.0);
    assert!(answered(&out, 1) && answered(&out, 2));
}
