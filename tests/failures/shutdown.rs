//! Shutdown notices.

use crate::harness::{answered, failed, rejected, settings, starts, Harness};
use port_worker::{Action, Arrival, Controller, Event, Gauges, RequestId, Settings, Signal};

#[test]
fn the_grace_counts_from_arrival_and_not_from_reading() {
    let mut set = settings();
    set.classes[0].late_weight = 0.2;
    let mut worker = Harness::new(set);
    worker.handle(Event::Shutdown { notice_age_s: 0.0, stop_in_s: 4.0 });
    let early = |read_delay_s: f64, id: u64| {
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
        starts(&worker.handle(early(0.3, 1))),
        vec![1],
        "arrived before the grace was over, read after it"
    );
    assert!(rejected(&worker.handle(early(0.199, 2)), 2), "arrived at 1.001");
    worker.now = 3.0;
    assert!(rejected(&worker.handle(early(0.0, 3)), 3));
    let out = worker.pass(0.9, 1.0);
    assert!(answered(&out, 1), "everything is answered before the stop");
}

#[test]
fn repeated_attempt_after_the_grace_fails_immediately() {
    let mut worker = Harness::new(settings());
    worker.arrive(1, 1);
    worker.handle(Event::Shutdown { notice_age_s: 0.0, stop_in_s: 2.0 });
    worker.now = 1.5;
    assert!(
        failed(&worker.repeat_attempt(2, 1), 2),
        "a shared response might miss the stop, and what may have run is not rejected"
    );
}

/// Where callers heed a weight, a worker that shuts down asks for nothing.
#[test]
fn the_published_weight_is_one_and_zero_during_shutdown() {
    let mut out = Vec::new();
    let mut c = Controller::new(Settings { signal: Signal::Weight, ..settings() }, 0.0, &mut out);
    assert!(out.contains(&Action::Publish(1.0)));
    out.clear();
    c.handle(0.0, Event::Shutdown { notice_age_s: 0.0, stop_in_s: 4.0 }, &mut out);
    c.handle(0.6, Event::Woken(Gauges::default()), &mut out);
    assert!(out.contains(&Action::Publish(0.0)));
}
