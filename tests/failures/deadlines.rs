//! Due times and latency objectives.

use crate::harness::{answered, rejected, settings, settings_with_calls, Harness};
use port_worker::{Action, Event, Preemption, RequestId, Settings};

#[test]
fn a_running_request_is_answered_by_its_due_time() {
    let mut settings = settings();
    settings.classes[0].late_weight = 0.2;
    let mut worker = Harness::new(settings);
    worker.arrive(1, 0);
    assert!(!answered(&worker.advance(4.9, 1.0), 1), "a late response keeps a part of the weight");
    assert!(answered(&worker.advance(0.1, 1.0), 1));
}

/// Guards against runs that keep the cores busy, and their callers waiting, past an objective after which the response
/// has no weight. The response is sent at the next periodic check and not near the deadline, with a Retry-After if the
/// request may be repeated.
#[test]
fn request_without_remaining_weight_is_answered_and_its_run_stopped() {
    for preemption in [Preemption::Discard, Preemption::Pause, Preemption::Never] {
        let mut worker = Harness::new(Settings { preemption, ..settings() });
        worker.arrive(1, 0);
        assert!(!answered(&worker.advance(1.95, 1.0), 1), "{preemption:?}");
        let actions = worker.advance(0.1, 1.0);
        assert!(
            rejected(&actions, 1),
            "an idempotent request is rejected with a Retry-After ({preemption:?})"
        );
        assert_eq!(actions.contains(&Action::Preempt(RequestId(1))), preemption != Preemption::Never);
        assert!(!answered(&worker.advance(4.0, 1.0), 1), "a second response is given");
    }
    // A request that waits for a call is answered before its deadline too.
    let mut worker = Harness::new(settings_with_calls(0.4));
    worker.arrive(1, 0);
    worker.handle(Event::CallRequested(RequestId(1)));
    worker.arrive(2, 0);
    worker.handle(Event::CallRequested(RequestId(2)));
    let actions = worker.advance(2.1, 1.0);
    assert!(answered(&actions, 1) && answered(&actions, 2));
}
