//! Compares the admission controller without class pools with traces that were recorded before class pools existed. A
//! trace has, for blocks of steps, digests of the actions that the controller returns for a fixed pseudorandom sequence
//! of events.
//!
//! `HONEYPOST_RECORD_TRACES=1 cargo test --test traces` records them again. Do that only for a change that is
//! meant to change the controller's decisions in production.

use port_worker::interface::{AdmissionEvent, HealthState, UnhealthyCause};
use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, Preemption,
    RequestId, Settings, Signal, Tenant,
};
use std::fmt::Write;

/// The number of steps in a trace.
const STEPS: usize = 24_000;
/// The number of steps for each line of a trace.
const BLOCK: usize = 400;

/// A linear congruential generator with Knuth's MMIX constants. A library's generator could change its numbers between
/// versions.
struct RandomSource(u64);

impl RandomSource {
    /// A number from 0 to 1, excluding 1.
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `end`.
    fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end as f64) as usize).min(end - 1)
    }
}

fn class(weight: f64, late_weight: f64, objective_s: f64, effect: Idempotency) -> Class {
    Class {
        weight,
        objective_s,
        deadline_s: objective_s * 2.5,
        idempotency: effect,
        window_s: 9.0,
        late_weight,
        makes_calls: true,
        skipped_call_weight: if effect == Idempotency::Idempotent { 0.6 } else { 0.0 },
    }
}

fn settings(call_share: f64, quota_per_s: f64, preemption: Preemption, cold: bool) -> Settings {
    Settings {
        seed: 1,
        cores: 6,
        cold,
        cold_speed: 0.3,
        warm_up_s: 12.0,
        survivable_multiple: 8.0,
        survivable_window_s: 3.0,
        memory_kb: 18_000.0,
        run_memory_factor: 8.0,
        key_entry_kb: 20.0,
        shutdown_grace_s: 2.5,
        answer_slack_s: 0.1,
        min_event_interval_s: 0.004,
        max_retry_after_s: 1.0,
        over_quota_weight: 0.1,
        callers: 4,
        workers: 10,
        marks_retries: !cold,
        preemption,
        signal: Signal::Weight,
        dependency: (call_share > 0.0).then_some(Dependency {
            share: call_share,
            window_s: 5.0,
            linger_s: 0.2,
        }),
        classes: vec![
            class(1.0, 0.0, 1.9, Idempotency::Idempotent),
            class(2.0, 0.2, 1.9, Idempotency::Idempotent),
            class(5.0, 0.0, 1.3, Idempotency::Keyed),
        ],
        tenants: if quota_per_s > 0.0 { vec![Tenant { quota_per_s }; 3] } else { Vec::new() },
        ..Settings::default()
    }
}

/// Requests that wait for the executor, the records service or an earlier attempt.
#[derive(Default)]
struct InFlight {
    /// Requests that the executor runs.
    running: Vec<RequestId>,
    /// Requests with a call at the records service.
    calling: Vec<RequestId>,
    /// Requests that wait for the response of an earlier attempt.
    sharing: Vec<RequestId>,
}

impl InFlight {
    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Start(id) | Action::SkipCall(id) => self.running.push(*id),
            Action::Call { id, .. } => self.calling.push(*id),
            Action::ShareResponse(id) => self.sharing.push(*id),
            _ => {}
        }
    }
}

fn random_outcome(random: &mut RandomSource) -> Outcome {
    match random.below(60) {
        0 => Outcome::Error,
        1 => Outcome::Rejected,
        2 => Outcome::TimedOut,
        3 => Outcome::Unreachable,
        4 => Outcome::Interrupted,
        _ => Outcome::Ok,
    }
}

/// The number of all actions so far, and their digest (FNV-1a, 64 bits).
struct ActionDigest {
    actions: u64,
    hash: u64,
}

impl ActionDigest {
    fn new() -> ActionDigest {
        ActionDigest { actions: 0, hash: 0xcbf2_9ce4_8422_2325 }
    }

    fn add_action(&mut self, action: &Action) {
        self.actions += 1;
        for byte in recorded_form(action).bytes() {
            self.add(u64::from(byte));
        }
    }

    fn add(&mut self, value: u64) {
        self.hash = (self.hash ^ value).wrapping_mul(0x100_0000_01b3);
    }
}

/// Generates the fixed pseudorandom sequence of events.
struct EventSource {
    random: RandomSource,
    tenants: usize,
    now_s: f64,
    last_wake_up_s: f64,
    /// The identifier of the latest request.
    latest_id: u64,
    /// The identifiers of the latest first attempts with a key.
    keyed_attempts: Vec<RequestId>,
    in_flight: InFlight,
}

impl EventSource {
    /// The event of this step, if it has one.
    fn next_event(&mut self, step: usize) -> Option<Event> {
        // The load is low, medium, high and medium again, so that all limits are reached and left again.
        let load = [0.2, 0.5, 0.9, 0.6][step / 1500 % 4];
        self.now_s += self.random.unit() * 0.02;
        if self.now_s - self.last_wake_up_s >= 0.025 {
            self.last_wake_up_s = self.now_s;
            Some(self.wake_up(step))
        } else if step == STEPS - 300 {
            Some(Event::Shutdown { notice_age_s: 0.0, stop_in_s: 3.2 })
        } else if self.random.unit() < load {
            Some(self.arrival())
        } else if self.random.unit() < 0.02 && self.latest_id > 0 {
            let back = self.random.below(30.min(self.latest_id as usize)) as u64;
            Some(Event::CallerDisconnected(RequestId(self.latest_id - back)))
        } else if self.random.unit() < 0.4 && !self.in_flight.calling.is_empty() {
            Some(self.call_end())
        } else if self.random.unit() < 0.3 && !self.in_flight.sharing.is_empty() {
            let id = self.in_flight.sharing.remove(0);
            Some(Event::RunEnded { id, outcome: Outcome::Ok })
        } else if !self.in_flight.running.is_empty() {
            Some(self.run_end_or_call())
        } else {
            None
        }
    }

    /// A wake-up with gauges, which are missing at some steps.
    fn wake_up(&self, step: usize) -> Event {
        let running = self.in_flight.running.len() as f64;
        Event::Woken(Gauges {
            cores_busy: (!step.is_multiple_of(7)).then_some((running / 6.0).min(1.0)),
            runnable: (!step.is_multiple_of(5)).then_some(running),
            connections: None,
        })
    }

    fn arrival(&mut self) -> Event {
        self.latest_id += 1;
        let id = RequestId(self.latest_id);
        let class = [0, 0, 0, 0, 1, 1, 1, 1, 2][self.random.below(9)];
        let retry_of = if class == 2 { self.keyed_attempt(id) } else { None };
        let tenants = self.tenants;
        Event::Arrived(Arrival {
            id,
            class,
            tenant: (tenants > 0).then(|| self.random.below(tenants + 2).min(tenants - 1)),
            caller: 1,
            memory_kb: 14.0 + self.random.unit() * 30.0,
            read_delay_s: self.random.unit() * 0.01,
            time_left_s: Some(2.0 + self.random.unit() * 2.0),
            estimate_s: Some(0.05 + self.random.unit() * 0.5),
            retry_of,
            retry: retry_of.is_some() || self.random.unit() < 0.05,
        })
    }

    /// Returns the earlier attempt that a keyed request retries; `None` makes the request a first attempt.
    fn keyed_attempt(&mut self, id: RequestId) -> Option<RequestId> {
        if !self.keyed_attempts.is_empty() && self.random.unit() < 0.3 {
            return Some(self.keyed_attempts[self.random.below(self.keyed_attempts.len())]);
        }
        self.keyed_attempts.push(id);
        if self.keyed_attempts.len() > 12 {
            self.keyed_attempts.remove(0);
        }
        None
    }

    fn call_end(&mut self) -> Event {
        let calling = &mut self.in_flight.calling;
        let id = calling.swap_remove(self.random.below(calling.len()));
        let outcome = random_outcome(&mut self.random);
        if outcome == Outcome::Ok {
            self.in_flight.running.push(id);
        }
        Event::CallEnded { id, outcome }
    }

    fn run_end_or_call(&mut self) -> Event {
        let running = &mut self.in_flight.running;
        let id = running.swap_remove(self.random.below(running.len()));
        if self.random.unit() < 0.5 {
            Event::CallRequested(id)
        } else {
            Event::RunEnded { id, outcome: random_outcome(&mut self.random) }
        }
    }
}

/// Runs the controller on one sequence of events. The trace has a line for each block of steps, with its last step, the
/// time, and the number and digest of all actions so far.
fn run_trace(seed: u64, settings: Settings) -> String {
    let mut source = EventSource {
        random: RandomSource(seed),
        tenants: settings.tenants.len(),
        now_s: 0.0,
        last_wake_up_s: 0.0,
        latest_id: 0,
        keyed_attempts: Vec::new(),
        in_flight: InFlight::default(),
    };
    let mut actions = Vec::new();
    let mut controller = Controller::new(settings, source.now_s, &mut actions);
    let mut digest = ActionDigest::new();
    let mut trace = String::new();
    for step in 0..STEPS {
        let Some(event) = source.next_event(step) else { continue };
        controller.handle(source.now_s, event, &mut actions);
        let released = controller.take_released();
        for action in actions.drain(..) {
            source.in_flight.carry_out(&action);
            digest.add_action(&action);
        }
        digest.add(released.len() as u64);
        if step % BLOCK == BLOCK - 1 {
            let ActionDigest { actions, hash } = digest;
            writeln!(trace, "{step} {:.6} {actions} {hash:016x}", source.now_s).unwrap();
        }
    }
    trace
}

/// Formats an action with the names that its variants and fields had when the traces were recorded.
///
/// Numbers have nine decimals, since `exp` may differ in the last bit between C libraries.
fn recorded_form(action: &Action) -> String {
    match action {
        Action::Reject { id, retry_after_s, stop_retrying } => {
            format!("Refuse {{ id: {id:?}, stay_away_s: {retry_after_s:.9?}, no_other: {stop_retrying:?} }}")
        }
        Action::RetainKey { id, for_s } => format!("Remember {{ id: {id:?}, for_s: {for_s:.9?} }}"),
        Action::ReleaseKey(id) => format!("Forget({id:?})"),
        Action::ShareResponse(id) => format!("ShareAnswer({id:?})"),
        Action::Preempt(id) => format!("Halt({id:?})"),
        Action::Log(AdmissionEvent::HealthChanged(state)) => format!("Log({:?})", recorded_line(*state)),
        unchanged => format!("{unchanged:.9?}"),
    }
}

/// The log line for a change of health at the time of the recording.
fn recorded_line(state: HealthState) -> &'static str {
    match state {
        HealthState::Healthy => "well again",
        HealthState::Unhealthy(UnhealthyCause::ReadLag) => "swamped: requests are read too late to be served",
        HealthState::Unhealthy(_) => "sick: runs fail or do not end",
    }
}

/// Asserts that a trace equals the recorded one of this name.
fn assert_as_recorded(name: &str, seed: u64, settings: Settings) {
    let path = format!("{}/tests/traces/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let actual = run_trace(seed, settings);
    if std::env::var_os("HONEYPOST_RECORD_TRACES").is_some() {
        std::fs::write(&path, &actual).unwrap();
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    for (actual, recorded) in actual.lines().zip(recorded.lines()) {
        assert_eq!(actual, recorded, "{name}: this block of steps is the first that differs");
    }
    assert_eq!(actual.lines().count(), recorded.lines().count(), "{name}: the number of blocks differs");
}

#[test]
fn a_warm_worker_with_calls_decides_as_recorded() {
    assert_as_recorded("calls", 11, settings(5.0, 60.0, Preemption::Never, false));
}

#[test]
fn a_cold_worker_without_marked_retries_decides_as_recorded() {
    assert_as_recorded("cold", 12, settings(0.6, 0.0, Preemption::Never, true));
}

#[test]
fn a_worker_that_can_stop_runs_decides_as_recorded() {
    assert_as_recorded("halting", 13, settings(0.0, 25.0, Preemption::Discard, false));
}
