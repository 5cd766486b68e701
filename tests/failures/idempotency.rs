//! Idempotency keys, and runs that are not idempotent.

use crate::harness::{failed, settings, started_requests, Harness};
use port_worker::{Action, Arrival, Event, Outcome, Preemption, RequestId, Settings};

#[test]
fn repeated_attempts_share_the_one_run_in_every_state() {
    let mut worker = Harness::new(settings());
    let first = worker.arrive(1, 1);
    assert!(matches!(first[0], Action::RetainKey { id: RequestId(1), for_s } if for_s >= 9.0));
    assert_eq!(
        worker.repeat_attempt(2, 1),
        vec![Action::ShareResponse(RequestId(2))],
        "the first attempt runs"
    );
    worker.arrive(3, 0);
    worker.arrive(4, 1);
    assert_eq!(
        worker.repeat_attempt(5, 4),
        vec![],
        "the first attempt is queued, and the second waits for it"
    );
    worker.now = 0.2;
    let actions = worker.end_run(1, Outcome::Error);
    assert_eq!(started_requests(&actions), vec![4]);
    assert!(actions.contains(&Action::ShareResponse(RequestId(5))));
    assert_eq!(
        worker.repeat_attempt(6, 1),
        vec![Action::ShareResponse(RequestId(6))],
        "a failed run is not run again"
    );
}

#[test]
fn a_waiting_attempt_takes_over_when_the_first_caller_leaves() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 1);
    worker.arrive(2, 1);
    worker.arrive(3, 1);
    worker.repeat_attempt(4, 3);
    let actions = worker.handle(Event::CallerDisconnected(RequestId(3)));
    assert!(matches!(actions[0], Action::RetainKey { id: RequestId(4), .. }));
    worker.now = 0.2;
    assert_eq!(started_requests(&worker.end_run(1, Outcome::Ok)), vec![4]);
}

/// Guards against stopping a keyed run when its attempt ends: the next attempt then got an error as its response.
#[test]
fn keyed_run_continues_for_the_next_attempt() {
    let mut worker = Harness::new(Settings { preemption: Preemption::Pause, ..settings() });
    worker.handle(Event::Arrived(Arrival {
        id: RequestId(1),
        class: 1,
        memory_kb: 10.0,
        time_left_s: Some(1.0),
        ..Arrival::default()
    }));
    let actions = worker.advance(1.1, 1.0);
    assert!(failed(&actions, 1) && !actions.contains(&Action::Preempt(RequestId(1))));
    assert_eq!(worker.repeat_attempt(2, 1), vec![Action::ShareResponse(RequestId(2))]);
}

/// When the caller disconnects, an idempotent run is stopped to free its core. A keyed run goes on, since a later
/// attempt may ask for its result.
#[test]
fn run_without_a_caller_is_stopped_unless_it_is_keyed() {
    for (class, stops) in [(0, true), (1, false)] {
        let mut worker = Harness::new(Settings { preemption: Preemption::Discard, ..settings() });
        worker.arrive(1, class);
        let actions = worker.handle(Event::CallerDisconnected(RequestId(1)));
        assert_eq!(actions.contains(&Action::Preempt(RequestId(1))), stops);
    }
}

/// Attempts that wait for the response of a run take memory too. The failure was found on a worker with little memory.
#[test]
fn a_flood_of_repeated_attempts_does_not_fill_the_memory() {
    let mut worker = Harness::new(Settings { memory_kb: 100.0, ..settings() });
    worker.arrive(1, 1);
    let actions: Vec<Action> = (2..=8).flat_map(|id| worker.repeat_attempt(id, 1)).collect();
    // The run takes 40 KB and its key 10 KB; of seven repeated attempts of 10 KB each, four fit.
    assert!(
        !failed(&actions, 5) && failed(&actions, 6) && failed(&actions, 7) && failed(&actions, 8),
        "{actions:?}"
    );
}
