//! Drives a controller without a worker.

use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, RequestId, Settings,
};

/// A controller under test, and the time in seconds that it is given.
pub struct Harness {
    pub controller: Controller,
    pub now: f64,
}

/// Settings of two cores and two classes: an idempotent one, and a keyed one of ten times its weight.
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

/// The same settings with idempotent classes, of which the first makes downstream calls.
pub fn settings_with_calls(share: f64) -> Settings {
    let mut settings = settings();
    settings.dependency = Some(Dependency { share, window_s: 5.0, linger_s: 0.1 });
    settings.classes[0].makes_calls = true;
    settings.classes[1].idempotency = Idempotency::Idempotent;
    settings
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Harness { controller: Controller::new(settings, 0.0, &mut Vec::new()), now: 0.0 }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions
    }

    /// Handles the arrival of a request of this class.
    pub fn arrive(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.handle(Event::Arrived(Arrival {
            id: RequestId(id),
            class,
            memory_kb: 10.0,
            ..Arrival::default()
        }))
    }

    /// Handles the arrival of another attempt with the idempotency key of an earlier request.
    pub fn repeat_attempt(&mut self, id: u64, earlier_id: u64) -> Vec<Action> {
        let (id, retry_of) = (RequestId(id), Some(RequestId(earlier_id)));
        self.handle(Event::Arrived(Arrival {
            id,
            class: 1,
            memory_kb: 10.0,
            retry_of,
            retry: true,
            ..Arrival::default()
        }))
    }

    pub fn end_run(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::RunEnded { id: RequestId(id), outcome })
    }

    /// Handles a wake-up whose gauges report this share of the cores as busy.
    pub fn wake(&mut self, busy: f64) -> Vec<Action> {
        self.handle(Event::Woken(Gauges { cores_busy: Some(busy), ..Gauges::default() }))
    }

    /// Advances the time with a wake-up every 25 ms, as a worker does.
    pub fn advance(&mut self, seconds: f64, busy: f64) -> Vec<Action> {
        let until = self.now + seconds;
        let mut all_actions = Vec::new();
        while self.now < until {
            self.now += 0.025;
            all_actions.extend(self.wake(busy));
        }
        all_actions
    }
}

/// The requests that these actions start.
pub fn started_requests(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::Start(id) = a { Some(id.0) } else { None }).collect()
}

pub fn rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}

/// Whether a request fails or is rejected.
pub fn answered(actions: &[Action], id: u64) -> bool {
    failed(actions, id) || rejected(actions, id)
}

/// The number of downstream calls that these actions make.
pub fn calls_made(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Call { .. })).count()
}
