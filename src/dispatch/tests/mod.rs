//! Tests of the dispatcher without I/O: single scenarios and random histories.

mod crossings;
mod metrics;
mod rejections;
mod request_handoff;
mod tenants;

use super::completion::{NOT_STARTED_RETRY_AFTER_S, OVERDUE_RUN_TIMEOUT_S};
use super::*;
use crate::interface::{
    Class, Dependency, Gauges, Idempotency, LearnedState, Outcome, Settings, Tenant, Traffic,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A dispatcher, its simulated clock (seconds) and its commands.
struct Harness {
    dispatcher: Dispatcher,
    now: f64,
    out: Vec<Command>,
}

fn settings() -> Settings {
    let class = |effect| Class {
        weight: 1.0,
        objective_s: 2.0,
        deadline_s: 4.0,
        idempotency: effect,
        window_s: 10.0,
        makes_calls: true,
        skipped_call_weight: if effect == Idempotency::Idempotent { 0.6 } else { 0.0 },
        late_weight: 0.0,
    };
    Settings {
        cores: 2,
        survivable_multiple: 8.0,
        memory_kb: 1e6,
        run_memory_factor: 4.0,
        shutdown_grace_s: 1.0,
        min_event_interval_s: 0.002,
        max_retry_after_s: 1.0,
        dependency: Some(Dependency { share: 8.0, window_s: 5.0, linger_s: 0.1 }),
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::Keyed)],
        ..Settings::default()
    }
}

fn request(number: u64, key: &str) -> Request {
    Request {
        ticket: Ticket(number),
        name: format!("r{number}").into(),
        class: usize::from(!key.is_empty()),
        tenant: None,
        principal: None,
        caller: 1,
        memory_kb: 10.0,
        read_at: None,
        read_delay_s: 0.0,
        time_left_s: 3.0,
        estimate_s: None,
        key: Some(key).filter(|k| !k.is_empty()).map(Rc::from),
        retry: false,
        body: Rc::from(*b"body"),
    }
}

impl Harness {
    fn new() -> Harness {
        Harness::with_settings(settings())
    }

    fn with_settings(settings: Settings) -> Harness {
        let mut out = Vec::new();
        Harness { dispatcher: Dispatcher::new(settings, 0.0, 1000, &mut out), now: 0.0, out }
    }

    fn input(&mut self, input: Input) -> Vec<Command> {
        self.dispatcher.handle(self.now, [input], &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn arrive(&mut self, number: u64, key: &str) -> Vec<Command> {
        self.input(Input::Arrived(request(number, key)))
    }

    fn end(&mut self, number: u64, outcome: Outcome, result: &[u8]) -> Vec<Command> {
        let result = (outcome == Outcome::Ok).then(|| result.into());
        self.input(Input::RunEnded { name: format!("r{number}").into(), outcome, result })
    }

    fn advance(&mut self, seconds: f64) -> Vec<Command> {
        let until = self.now + seconds;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 0.025;
            all.extend(self.input(Input::Woken(Gauges::default())));
        }
        all
    }
}

fn runs(out: &[Command]) -> usize {
    out.iter().filter(|c| matches!(c, Command::Run { .. })).count()
}

fn responses(out: &[Command]) -> Vec<(u64, Response)> {
    let given = |c: &Command| if let Command::Respond(t, a) = c { Some((t.0, a.clone())) } else { None };
    out.iter().filter_map(given).collect()
}

fn served(result: &[u8]) -> Response {
    Response::Served(result.into())
}

#[test]
fn retries_of_a_key_share_one_run_before_during_and_after_it() {
    let mut h = Harness::new();
    // Both run slots are occupied: the first attempt is queued, and its retry is matched to it.
    h.arrive(1, "");
    h.arrive(2, "");
    assert_eq!(runs(&h.arrive(3, "k")) + runs(&h.arrive(4, "k")), 0);
    assert_eq!(runs(&h.end(1, Outcome::Ok, b"x")), 1);
    assert_eq!(runs(&h.arrive(5, "k")), 0);
    let out = h.end(3, Outcome::Ok, b"done");
    assert_eq!(responses(&out), vec![(3, served(b"done")), (4, served(b"done")), (5, served(b"done"))]);
    h.now = 9.9;
    assert_eq!(responses(&h.arrive(6, "k")), vec![(6, served(b"done"))]);
    // This retry arrived within the window and is read after the window's end.
    h.now = 11.0;
    let out = h.input(Input::Arrived(Request { read_delay_s: 1.5, time_left_s: 1.5, ..request(7, "k") }));
    assert_eq!((runs(&out), responses(&out)), (0, vec![(7, served(b"done"))]));
    assert_eq!(runs(&h.arrive(8, "k")), 1);
    assert_eq!(h.dispatcher.pending_responses(), 2);
}

#[test]
fn a_run_past_its_deadline_gets_one_response_and_its_result_is_retained() {
    let mut h = Harness::new();
    h.arrive(1, "k");
    assert_eq!(responses(&h.advance(3.2)), vec![(1, Response::DeadlineExceeded)]);
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"late")), vec![]);
    assert_eq!(responses(&h.arrive(2, "k")), vec![(2, served(b"late"))]);
}

#[test]
fn a_run_that_never_began_releases_its_key_and_one_that_failed_does_not() {
    let mut h = Harness::new();
    h.arrive(1, "k");
    h.arrive(2, "k");
    let rejected = Response::Rejected { retry_after_s: NOT_STARTED_RETRY_AFTER_S, stop_retrying: false };
    let out = h.input(Input::NeverRan { name: "r1".into() });
    assert_eq!(responses(&out), vec![(1, rejected.clone()), (2, rejected)]);
    assert_eq!(runs(&h.arrive(3, "k")), 1);
    assert_eq!(responses(&h.end(3, Outcome::Interrupted, b"")), vec![(3, Response::Failed)]);
    let out = h.arrive(4, "k");
    assert_eq!((runs(&out), responses(&out)), (0, vec![(4, Response::Failed)]));
}

#[test]
fn a_call_is_abandoned_with_its_run_and_late_inputs_for_either_are_ignored() {
    let mut h = Harness::new();
    h.arrive(1, "");
    let out = h.input(Input::AtCall { name: "r1".into(), body: Rc::from(*b"?"), sequence: 7 });
    assert!(matches!(&out[..], [Command::Call { body, .. }] if **body == *b"?"), "{out:?}");
    let out = h.end(1, Outcome::Cancelled, b"");
    assert_eq!(out, vec![Command::CancelCall("r1".into()), Command::Respond(Ticket(1), Response::Failed)]);
    let reply = Some(Rc::from(*b"!"));
    assert_eq!(h.input(Input::CallEnded { name: "r1".into(), outcome: Outcome::Ok, reply }), vec![]);
    assert_eq!(h.input(Input::AtCall { name: "r1".into(), body: Rc::from([]), sequence: 8 }), vec![]);
    assert_eq!(h.end(1, Outcome::Ok, b"again"), vec![]);
}

#[test]
fn a_second_request_with_a_name_in_flight_conflicts_and_the_first_goes_on() {
    let mut h = Harness::new();
    h.arrive(1, "");
    let out = h.input(Input::Arrived(Request { ticket: Ticket(9), ..request(1, "") }));
    assert_eq!(out, vec![Command::Respond(Ticket(9), Response::Conflict)]);
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"x")), vec![(1, served(b"x"))]);
}

/// Guards against serving a faulty client, which reuses another request's key, with that request's result.
#[test]
fn a_known_key_with_another_body_conflicts_and_the_first_goes_on() {
    let other = |number| Input::Arrived(Request { body: Rc::from(*b"other"), ..request(number, "k") });
    let conflict = |number| vec![Command::Respond(Ticket(number), Response::Conflict)];
    let mut h = Harness::new();
    h.arrive(1, "k");
    assert_eq!(h.input(other(2)), conflict(2));
    assert_eq!(responses(&h.end(1, Outcome::Ok, b"done")), vec![(1, served(b"done"))]);
    assert_eq!(h.input(other(3)), conflict(3));
    assert_eq!(responses(&h.arrive(4, "k")), vec![(4, served(b"done"))]);
    assert_eq!(h.dispatcher.pending_responses(), 0);
}

/// Guards against runs that occupy their slots until long after the deadline, because their commands were lost with a
/// connection.
#[test]
fn lost_commands_are_sent_again_and_a_reply_never_answers_the_next_call() {
    let mut h = Harness::new();
    h.arrive(1, "");
    h.arrive(2, "k");
    let at_call = |number: u64, sequence| Input::AtCall {
        name: format!("r{number}").into(),
        body: Rc::from(*b"?"),
        sequence,
    };
    let reply = |number: u64| Input::CallEnded {
        name: format!("r{number}").into(),
        outcome: Outcome::Ok,
        reply: Some(Rc::from(*b"!")),
    };
    let commands_lost = |from, to| Input::CommandsLost { from, to };
    // Both run commands may be lost, but a message has confirmed one of them since.
    h.input(at_call(1, 7));
    let out = h.input(commands_lost(-0.1, 0.1));
    assert!(matches!(&out[..], [Command::Run { name, body, .. }] if &**name == "r2" && **body == *b"body"));
    assert_eq!(h.input(commands_lost(0.1, 0.2)), vec![]);
    // If the call may be skipped, it is skipped instead of resending its reply.
    h.input(reply(1));
    assert!(h
        .input(commands_lost(-0.1, 0.1))
        .contains(&Command::SkipCall { name: "r1".into(), sequence: 7 }));
    // Otherwise nothing is sent: the run may have received the reply and wait for the reply to its next call, whether or
    // not the message about that call has been read. The request fails at its deadline.
    let is_resume = |c: &Command| matches!(c, Command::Resume { .. });
    h.input(at_call(2, 8));
    assert_eq!(h.input(reply(2)).iter().filter(|c| is_resume(c)).count(), 1);
    for _ in 0..3 {
        let lost = h.input(commands_lost(-0.1, h.now + 0.1));
        let out = [lost, h.advance(0.6)].concat();
        assert!(!out.iter().any(is_resume), "{out:?}");
    }
    h.input(at_call(2, 9));
    assert_eq!(h.input(reply(2)).iter().filter(|c| is_resume(c)).count(), 1);
    let out = [h.input(commands_lost(h.now - 0.1, h.now + 0.1)), h.advance(2.0)].concat();
    assert!(!out.iter().any(is_resume), "{out:?}");
    assert!(responses(&out).contains(&(2, Response::DeadlineExceeded)), "{out:?}");
}

#[test]
fn a_start_that_came_too_late_releases_its_key_unless_it_was_commanded_twice() {
    let mut h = Harness::new();
    h.arrive(1, "k");
    assert_eq!(responses(&h.end(1, Outcome::NotStarted, b"")), vec![(1, Response::not_started())]);
    assert_eq!(runs(&h.arrive(2, "k")), 1);
    h.input(Input::CommandsLost { from: -0.1, to: 0.1 });
    assert_eq!(responses(&h.end(2, Outcome::NotStarted, b"")), vec![(2, Response::Failed)]);
    assert_eq!(runs(&h.arrive(3, "k")), 0);
}

/// Guards against requests invented by a peer that count as failed runs and make the worker unhealthy.
#[test]
fn requests_that_the_backend_does_not_know_are_no_sign_of_bad_health() {
    let mut h = Harness::new();
    for number in 0..20 {
        h.arrive(number, "");
        let out = h.input(Input::UnknownRequest { name: format!("r{number}").into() });
        assert_eq!(out, vec![Command::Respond(Ticket(number), Response::Failed)]);
    }
}

#[test]
fn a_disconnected_caller_is_released_while_queued_and_its_run_goes_on() {
    let mut h = Harness::new();
    h.arrive(1, "k");
    h.arrive(2, "");
    h.arrive(3, "");
    h.arrive(4, "l");
    for number in [1, 3, 4] {
        assert_eq!(h.input(Input::ClientDisconnected(Ticket(number))), vec![]);
    }
    assert_eq!(
        (h.dispatcher.pending_responses(), h.dispatcher.is_in_flight("r1"), h.dispatcher.is_in_flight("r3")),
        (1, true, false)
    );
    assert_eq!(h.end(1, Outcome::Ok, b"done"), vec![]);
    assert_eq!(responses(&h.arrive(5, "k")), vec![(5, served(b"done"))]);
    assert_eq!(runs(&h.arrive(6, "l")), 1);
}

#[test]
fn a_run_that_never_ends_gives_its_slot_back() {
    let mut h = Harness::new();
    h.arrive(1, "");
    h.arrive(2, "");
    h.advance(3.0 + OVERDUE_RUN_TIMEOUT_S + 2.0);
    let out = [h.arrive(3, ""), h.advance(1.0)].concat();
    assert!(runs(&out) == 1, "{out:?}");
}

/// Sends random inputs in random order: each request gets one response, and each key has one run per window.
#[test]
fn every_request_gets_one_response_and_every_key_one_run() {
    for seed in 0..20u64 {
        let (mut h, mut random_state) = (Harness::new(), seed.wrapping_mul(77) + 5);
        let mut next_random = |n: u64| {
            random_state =
                random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random_state >> 33) % n
        };
        let (mut seen, mut key_runs) = (HashMap::new(), HashMap::new());
        let (mut count, mut keys) = (0, HashMap::new());
        for _ in 0..1500 {
            h.now += 0.004;
            let any_name: Rc<str> = format!("r{}", next_random(count + 1)).into();
            let reply = || Some(Rc::from(*b"!"));
            let outcomes = [Outcome::Ok, Outcome::Error, Outcome::Cancelled, Outcome::Interrupted];
            let outcome = outcomes[next_random(4) as usize];
            let out = match next_random(8) {
                0..=2 if h.now < 4.0 => {
                    let key = ["", "a", "b", "c"][next_random(4) as usize];
                    keys.insert(format!("r{count}"), key);
                    count += 1;
                    h.arrive(count - 1, key)
                }
                3 => h.input(Input::AtCall { name: any_name, body: Rc::from([]), sequence: 1 }),
                4 => h.input(Input::CallEnded { name: any_name, outcome, reply: reply() }),
                5 => h.input(Input::RunEnded { name: any_name, outcome, result: reply() }),
                _ => h.input(Input::Woken(Gauges::default())),
            };
            for command in &out {
                match command {
                    Command::Respond(ticket, _) => *seen.entry(ticket.0).or_insert(0) += 1,
                    Command::Run { name, .. } if !keys[&**name].is_empty() => {
                        *key_runs.entry(keys[&**name]).or_insert(0) += 1;
                    }
                    _ => {}
                }
            }
        }
        for (ticket, _) in responses(&h.advance(5.0)) {
            *seen.entry(ticket).or_insert(0) += 1;
        }
        assert_eq!(h.dispatcher.pending_responses(), 0, "seed {seed}");
        assert!((0..count).all(|n| seen.get(&n) == Some(&1)), "seed {seed}: {seen:?}");
        assert!(key_runs.values().all(|n| *n == 1), "seed {seed}: {key_runs:?}");
    }
}
