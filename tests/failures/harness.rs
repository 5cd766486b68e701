//! A controller under test, without a worker round it.

use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, RequestId, Settings,
};

/// A controller and its clock.
pub struct Harness {
    pub controller: Controller,
    pub now: f64,
}

/// Two cores, and two classes: one idempotent, one keyed of ten times its weight.
pub fn settings() -> Settings {
    Settings {
        cores: 2,
        survivable_multiple: 8.0,
        survivable_window_s: 2.0,
        memory_kb: 100_000.0,
        run_memory_factor: 4.0,
        key_entry_kb: 10.0,
        shutdown_grace_s: 1.0,
        answer_slack_s: 0.06,
        min_event_interval_s: 0.002,
        max_retry_after_s: 1.0,
        callers: 4,
        workers: 2,
        marks_retries: true,
        classes: vec![
            Class { weight: 1.0, objective_s: 2.0, deadline_s: 5.0, ..Class::default() },
            Class {
                weight: 10.0,
                objective_s: 2.0,
                deadline_s: 5.0,
                idempotency: Idempotency::Keyed,
                window_s: 9.0,
                ..Class::default()
            },
        ],
        ..Settings::default()
    }
}

/// The same with idempotent classes, of which the first makes downstream calls.
pub fn with_calls(share: f64) -> Settings {
    let mut set = settings();
    set.dependency = Some(Dependency { share, window_s: 5.0, linger_s: 0.1 });
    set.classes[0].makes_calls = true;
    set.classes[1].idempotency = Idempotency::Idempotent;
    set
}

impl Harness {
    pub fn new(set: Settings) -> Self {
        Harness { controller: Controller::new(set, 0.0, &mut Vec::new()), now: 0.0 }
    }

    /// Hands an event to the controller.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// A request of a class arrives.
    pub fn arrive(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.handle(Event::Arrived(Arrival {
            id: RequestId(id),
            class,
            memory_kb: 10.0,
            ..Arrival::default()
        }))
    }

    /// A further attempt with the idempotency key of an earlier request arrives.
    pub fn repeat_attempt(&mut self, id: u64, of: u64) -> Vec<Action> {
        let (id, retry_of) = (RequestId(id), Some(RequestId(of)));
        self.handle(Event::Arrived(Arrival {
            id,
            class: 1,
            memory_kb: 10.0,
            retry_of,
            retry: true,
            ..Arrival::default()
        }))
    }

    /// A run ends.
    pub fn end(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::RunEnded { id: RequestId(id), outcome })
    }

    /// A wake-up with this share of the cores busy.
    pub fn wake(&mut self, busy: f64) -> Vec<Action> {
        self.handle(Event::Woken(Gauges { cores_busy: Some(busy), ..Gauges::default() }))
    }

    /// Passes time with wake-ups, as a worker would.
    pub fn pass(&mut self, seconds: f64, busy: f64) -> Vec<Action> {
        let until = self.now + seconds;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 0.025;
            all.extend(self.wake(busy));
        }
        all
    }
}

/// The requests that these actions start.
pub fn starts(out: &[Action]) -> Vec<u64> {
    out.iter().filter_map(|a| if let Action::Start(id) = a { Some(id.0) } else { None }).collect()
}

/// Whether a request is rejected.
pub fn rejected(out: &[Action], id: u64) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
}

/// Whether a request is answered with an error.
pub fn failed(out: &[Action], id: u64) -> bool {
    out.contains(&Action::Fail(RequestId(id)))
}

/// Whether a request is answered.
pub fn answered(out: &[Action], id: u64) -> bool {
    failed(out, id) || rejected(out, id)
}

/// How many downstream calls these actions make.
pub fn calls_made(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Call { .. })).count()
}
