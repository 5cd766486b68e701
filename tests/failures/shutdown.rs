//! Shutdown notices.

use crate::harness::{answered, failed, rejected, settings, started_requests, Harness};
use port_worker::{Action, Arrival, Controller, Event, Gauges, RequestId, Settings, Signal};

#[test]
fn the_grace_counts_from_arrival_and_not_from_reading() {
    let mut settings = settings();
    settings.classes[0].late_weight = 0.2;
    let mut worker = Harness::new(settings);
    worker.handle(Event::Shutdown { notice_age_s: 0.0, stop_in_s: 4.0 });
    let arrival = |read_delay_s: f64, id: u64| {
        Event::Arrived(Arrival {
            id: RequestId(id),
            class: 0,
            memory_kb: 10.0,
            read_delay_s,
            ..Arrival::default()
        })
    };
    worker.now = 1.2;
    assert_eq!(
        started_requests(&worker.handle(arrival(0.3, 1))),
        vec![1],
        "it arrived within the grace and was read after it"
    );
    assert!(rejected(&worker.handle(arrival(0.199, 2)), 2), "it arrived at 1.001 s, after the grace");
    worker.now = 3.0;
    assert!(rejected(&worker.handle(arrival(0.0, 3)), 3));
    let actions = worker.advance(0.9, 1.0);
    assert!(answered(&actions, 1), "a request is still unanswered just before the stop");
}

#[test]
fn repeated_attempt_after_the_grace_fails_immediately() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 1);
    worker.handle(Event::Shutdown { notice_age_s: 0.0, stop_in_s: 2.0 });
    worker.now = 1.5;
    assert!(
        failed(&worker.repeat_attempt(2, 1), 2),
        "a shared response might come after the stop, and a request that may have run must not be rejected"
    );
}

/// Where callers use published weights, a worker that shuts down publishes zero to get no more requests.
#[test]
fn the_published_weight_is_one_and_zero_during_shutdown() {
    let mut actions = Vec::new();
    let mut controller =
        Controller::new(Settings { signal: Signal::Weight, ..settings() }, 0.0, &mut actions);
    assert!(actions.contains(&Action::Publish(1.0)));
    actions.clear();
    controller.handle(0.0, Event::Shutdown { notice_age_s: 0.0, stop_in_s: 4.0 }, &mut actions);
    controller.handle(0.6, Event::Woken(Gauges::default()), &mut actions);
    assert!(actions.contains(&Action::Publish(0.0)));
}
