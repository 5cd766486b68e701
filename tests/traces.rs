//! The decision module without class pools, held against traces recorded before it knew of any: each event of a
//! random but fixed course of days, and each action that came back, digested in blocks.
//!
//! `HONEYPOST_RECORD_TRACES=1 cargo test --test traces` writes them anew; only a change that is meant to change
//! decisions on the platform may do that.

use port_worker::interface::{AdmissionEvent, HealthState, UnhealthyCause};
use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, Preemption,
    RequestId, Settings, Signal, Tenant,
};
use std::fmt::Write;

/// Steps of one trace, and steps digested in one line of it.
const STEPS: usize = 24_000;
const BLOCK: usize = 400;

/// A fixed generator (Knuth's MMIX constants): a library's could change its draws between versions.
struct Draws(u64);

impl Draws {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
    fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n - 1)
    }
}

fn class(weight: f64, objective_s: f64, effect: Idempotency) -> Class {
    Class {
        weight,
        objective_s,
        deadline_s: objective_s * 2.5,
        effect,
        window_s: 9.0,
        late_weight: if weight == 2.0 { 0.2 } else { 0.0 },
        calls: true,
        skipped_call_weight: if effect == Idempotency::Idempotent { 0.6 } else { 0.0 },
    }
}

fn settings(share: f64, quota: f64, preemption: Preemption, cold: bool) -> Settings {
    Settings {
        seed: 1,
        cores: 6,
        cold,
        cold_speed: 0.3,
        warm_up_s: 12.0,
        survivable_multiple: 8.0,
        survivable_window_s: 3.0,
        memory_kb: 18_000.0,
        run_factor: 8.0,
        key_entry_kb: 20.0,
        shutdown_grace_s: 2.5,
        answer_slack_s: 0.1,
        wake_ahead_s: 0.004,
        max_retry_after_s: 1.0,
        over_quota_weight: 0.1,
        callers: 4,
        workers: 10,
        marks_retries: !cold,
        preemption,
        signal: Signal::Weight,
        dependency: (share > 0.0).then_some(Dependency { share, window_s: 5.0, linger_s: 0.2 }),
        classes: vec![
            class(1.0, 1.9, Idempotency::Idempotent),
            class(2.0, 1.9, Idempotency::Idempotent),
            class(5.0, 1.3, Idempotency::Keyed),
        ],
        tenants: if quota > 0.0 { vec![Tenant { quota_per_s: quota }; 3] } else { Vec::new() },
        ..Settings::default()
    }
}

/// What is in flight at the executor and at the records service.
#[derive(Default)]
struct InFlight {
    running: Vec<RequestId>,
    calling: Vec<RequestId>,
    sharing: Vec<RequestId>,
}

impl InFlight {
    fn apply(&mut self, action: &Action) {
        match action {
            Action::Start(id) | Action::SkipCall(id) => self.running.push(*id),
            Action::Call { id, .. } => self.calling.push(*id),
            Action::ShareResponse(id) => self.sharing.push(*id),
            _ => {}
        }
    }
}

fn outcome(draws: &mut Draws) -> Outcome {
    match draws.below(60) {
        0 => Outcome::Error,
        1 => Outcome::Rejected,
        2 => Outcome::TimedOut,
        3 => Outcome::Unreachable,
        4 => Outcome::Interrupted,
        _ => Outcome::Ok,
    }
}

/// Plays one trace: a line for each block of steps, with the number of actions and their digest (FNV-1a, 64 bits).
fn play(seed: u64, set: Settings) -> String {
    let (mut draws, mut in_flight, mut now) = (Draws(seed), InFlight::default(), 0.0);
    let (tenants, mut text) = (set.tenants.len(), String::new());
    let mut out = Vec::new();
    let mut controller = Controller::new(set, now, &mut out);
    let (mut id, mut known, mut count, mut digest) = (0, Vec::new(), 0, 0xcbf2_9ce4_8422_2325u64);
    let mut woken = 0.0;
    for step in 0..STEPS {
        // Calm, busy, flooded and back, so that all bounds are met and left again.
        let load = [0.2, 0.5, 0.9, 0.6][step / 1500 % 4];
        now += draws.unit() * 0.02;
        let event = if now - woken >= 0.025 {
            woken = now;
            let busy = (in_flight.running.len() as f64 / 6.0).min(1.0);
            let runnable = (step % 5 > 0).then_some(in_flight.running.len() as f64);
            Event::Woken(Gauges { cores_busy: (step % 7 > 0).then_some(busy), runnable, connections: None })
        } else if step == STEPS - 300 {
            Event::Shutdown { ago_s: 0.0, in_s: 3.2 }
        } else if draws.unit() < load {
            id += 1;
            let class = [0, 0, 0, 0, 1, 1, 1, 1, 2][draws.below(9)];
            let again = class == 2 && !known.is_empty() && draws.unit() < 0.3;
            let retry_of = again.then(|| known[draws.below(known.len())]);
            if class == 2 && !again {
                known.push(RequestId(id));
                if known.len() > 12 {
                    known.remove(0);
                }
            }
            Event::Arrived(Arrival {
                id: RequestId(id),
                class,
                tenant: (tenants > 0).then(|| draws.below(tenants + 2).min(tenants - 1)),
                caller: 1,
                kb: 14.0 + draws.unit() * 30.0,
                read_delay_s: draws.unit() * 0.01,
                time_left_s: Some(2.0 + draws.unit() * 2.0),
                estimate_s: Some(0.05 + draws.unit() * 0.5),
                retry_of,
                retry: again || draws.unit() < 0.05,
            })
        } else if draws.unit() < 0.02 && id > 0 {
            Event::CallerGone(RequestId(id - draws.below(30.min(id as usize)) as u64))
        } else if draws.unit() < 0.4 && !in_flight.calling.is_empty() {
            let id = in_flight.calling.swap_remove(draws.below(in_flight.calling.len()));
            let outcome = outcome(&mut draws);
            if outcome == Outcome::Ok {
                in_flight.running.push(id);
            }
            Event::CallEnded { id, outcome }
        } else if draws.unit() < 0.3 && !in_flight.sharing.is_empty() {
            let id = in_flight.sharing.remove(0);
            Event::RunEnded { id, outcome: Outcome::Ok }
        } else if !in_flight.running.is_empty() {
            let id = in_flight.running.swap_remove(draws.below(in_flight.running.len()));
            if draws.unit() < 0.5 {
                Event::AtCall(id)
            } else {
                Event::RunEnded { id, outcome: outcome(&mut draws) }
            }
        } else {
            continue;
        };
        controller.handle(now, event, &mut out);
        let released = controller.take_released();
        for action in out.drain(..) {
            in_flight.apply(&action);
            count += 1;
            for byte in recorded_form(&action).bytes() {
                digest = (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
        }
        digest = (digest ^ released.len() as u64).wrapping_mul(0x100_0000_01b3);
        if step % BLOCK == BLOCK - 1 {
            let _ = writeln!(text, "{step} {now:.6} {count} {digest:016x}");
        }
    }
    text
}

/// An action as the digests were recorded: the names that its variants and fields had then.
///
/// Nine decimals: an `exp` of another C library may differ in the last bit.
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

/// The log line that was recorded for a change of health.
fn recorded_line(state: HealthState) -> &'static str {
    match state {
        HealthState::Healthy => "well again",
        HealthState::Unhealthy(UnhealthyCause::ReadLag) => "swamped: requests are read too late to be served",
        HealthState::Unhealthy(_) => "sick: runs fail or do not end",
    }
}

fn assert_matches_trace(name: &str, seed: u64, set: Settings) {
    let path = format!("{}/tests/traces/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let played = play(seed, set);
    if std::env::var_os("HONEYPOST_RECORD_TRACES").is_some() {
        std::fs::write(&path, &played).unwrap();
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    for (played, recorded) in played.lines().zip(recorded.lines()) {
        assert_eq!(played, recorded, "{name}: the first block of steps that differs");
    }
    assert_eq!(played.lines().count(), recorded.lines().count(), "{name}: length");
}

#[test]
fn a_warm_worker_with_calls_decides_as_recorded() {
    assert_matches_trace("calls", 11, settings(5.0, 60.0, Preemption::Never, false));
}

#[test]
fn a_cold_worker_without_marked_retries_decides_as_recorded() {
    assert_matches_trace("cold", 12, settings(0.6, 0.0, Preemption::Never, true));
}

#[test]
fn a_worker_that_can_stop_runs_decides_as_recorded() {
    assert_matches_trace("halting", 13, settings(0.0, 25.0, Preemption::Discard, false));
}
