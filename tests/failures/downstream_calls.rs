//! Downstream calls and the limit on them.

use crate::harness::{
    answered, calls_made, failed, rejected, settings_with_calls, started_requests, Harness,
};
use port_worker::{Action, Class, Event, Idempotency, Outcome, RequestId};
use std::collections::BTreeMap;

/// Guards against freeing the call slot of a run that ends during its call while the dependency may still be working on
/// that call.
#[test]
fn call_aborted_with_its_run_still_counts_for_a_while() {
    let mut worker = Harness::new(settings_with_calls(1.0));
    worker.arrive(1, 0);
    worker.arrive(2, 0);
    assert_eq!(calls_made(&worker.handle(Event::CallRequested(RequestId(1)))), 1);
    worker.handle(Event::CallRequested(RequestId(2)));
    worker.handle(Event::CallerDisconnected(RequestId(1)));
    assert_eq!(
        calls_made(&worker.end_run(1, Outcome::Cancelled)),
        0,
        "the dependency may still be working on the first call"
    );
    assert_eq!(calls_made(&worker.advance(0.15, 1.0)), 1);
}

/// Guards against repeating a rejected call in the same batch, and against counting a quick rejection as a short call.
#[test]
fn rejected_calls_are_not_retried_immediately_and_lower_the_limit() {
    let mut worker = Harness::new(settings_with_calls(8.0));
    let mut rejected_calls = 0;
    worker.arrive(1, 0);
    let mut actions = worker.handle(Event::CallRequested(RequestId(1)));
    for _ in 0..40 {
        worker.now += 0.005;
        if calls_made(&actions) > 0 {
            rejected_calls += 1;
            assert_eq!(
                calls_made(&worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Rejected })),
                0
            );
        }
        actions = worker.wake(1.0);
    }
    assert!(
        (2..=9).contains(&rejected_calls),
        "calls have to be about 25 ms apart: {rejected_calls} calls in 200 ms"
    );
}

/// A run whose call failed goes on without the call if its response then keeps a part of its weight.
#[test]
fn a_failed_call_is_skipped_only_where_the_response_keeps_weight() {
    for (weight_without_call, skips) in [(0.3, true), (0.0, false)] {
        let mut settings = settings_with_calls(4.0);
        settings.classes[1] = Class {
            idempotency: Idempotency::Keyed,
            window_s: 9.0,
            makes_calls: true,
            skipped_call_weight: weight_without_call,
            ..settings.classes[0].clone()
        };
        let mut worker = Harness::new(settings);
        worker.arrive(1, 1);
        worker.handle(Event::CallRequested(RequestId(1)));
        worker.now = 0.1;
        let actions = worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::TimedOut });
        assert_eq!(actions.contains(&Action::SkipCall(RequestId(1))), skips);
        assert_eq!(failed(&actions, 1), !skips);
    }
}

/// Guards against a lookup that repeats its rejected call until its response is due and has no weight left.
#[test]
fn a_run_that_can_skip_its_call_does_not_wait_for_a_dependency_that_is_down() {
    let mut settings = settings_with_calls(4.0);
    settings.classes[0].skipped_call_weight = 0.6;
    settings.classes[1] = Class {
        idempotency: Idempotency::Keyed,
        window_s: 9.0,
        makes_calls: true,
        ..settings.classes[0].clone()
    };
    settings.classes[1].skipped_call_weight = 0.0;
    let mut worker = Harness::new(settings);
    worker.arrive(1, 0);
    worker.arrive(2, 1);
    worker.handle(Event::CallRequested(RequestId(1)));
    worker.handle(Event::CallRequested(RequestId(2)));
    worker.now = 0.1;
    let actions = worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Unreachable });
    assert!(actions.contains(&Action::SkipCall(RequestId(1))), "{actions:?}");
    // A run that can't skip its call is not answered, and repeats the call after a pause, not at once.
    let actions = worker.handle(Event::CallEnded { id: RequestId(2), outcome: Outcome::Unreachable });
    assert!(calls_made(&actions) == 0 && !answered(&actions, 2), "{actions:?}");
    assert_eq!(calls_made(&worker.advance(1.0, 0.5)), 1);
}

/// As calls take longer, the limit falls, but not below a quarter of the share.
#[test]
fn the_call_limit_falls_to_a_quarter_of_the_share_as_calls_get_longer() {
    let mut worker = Harness::new(settings_with_calls(4.0));
    let in_flight = |worker: &mut Harness, length: f64, first_id: u64| {
        let mut called_at_once = 0;
        for round in 0..20 {
            let ids: Vec<u64> = (first_id + round * 10..first_id + round * 10 + 2).collect();
            let mut actions = Vec::new();
            for &id in &ids {
                actions.extend(worker.arrive(id, 0));
            }
            let started = started_requests(&actions);
            let mut calls = Vec::new();
            for id in started {
                calls.extend(worker.handle(Event::CallRequested(RequestId(id))));
            }
            let mut called: Vec<u64> = calls
                .iter()
                .filter_map(|a| if let Action::Call { id, .. } = a { Some(id.0) } else { None })
                .collect();
            called_at_once = called.len();
            while let Some(id) = called.pop() {
                worker.now += length;
                let next_actions =
                    worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
                called.extend(next_actions.iter().filter_map(|a| {
                    if let Action::Call { id, .. } = a {
                        Some(id.0)
                    } else {
                        None
                    }
                }));
                worker.end_run(id, Outcome::Ok);
            }
        }
        called_at_once
    };
    assert_eq!(in_flight(&mut worker, 0.02, 1_000), 2);
    assert_eq!(in_flight(&mut worker, 0.5, 5_000), 1);
}

/// Requests that wait for calls must not hold up requests that make none.
#[test]
fn saturated_calls_leave_the_cores_to_requests_that_do_not_call() {
    let mut settings = settings_with_calls(1.0);
    settings.classes[0].weight = 20.0;
    let mut worker = Harness::new(settings);
    for id in 1..=2 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
    }
    worker.arrive(3, 0);
    assert_eq!(started_requests(&worker.arrive(4, 1)), vec![4]);
    assert_eq!(started_requests(&worker.arrive(5, 1)), vec![5]);
}

#[test]
fn a_keyed_call_is_repeated_only_when_it_had_no_effect() {
    for (outcome, again) in
        [(Outcome::Rejected, true), (Outcome::Unreachable, true), (Outcome::TimedOut, false)]
    {
        let mut settings = settings_with_calls(4.0);
        settings.classes[1].idempotency = Idempotency::Keyed;
        settings.classes[1].makes_calls = true;
        let mut worker = Harness::new(settings);
        worker.arrive(1, 1);
        worker.handle(Event::CallRequested(RequestId(1)));
        worker.now = 0.1;
        let mut actions = worker.handle(Event::CallEnded { id: RequestId(1), outcome });
        actions.extend(worker.advance(0.1, 1.0));
        assert_eq!(calls_made(&actions) > 0, again, "{outcome:?}");
        assert_eq!(failed(&actions, 1), !again, "{outcome:?}");
    }
}

/// The baseline of the call length must not follow load that makes calls gradually slower.
#[test]
fn slowly_growing_call_lengths_do_not_raise_the_limit() {
    let mut settings = settings_with_calls(10.0);
    (settings.classes[0].objective_s, settings.classes[0].deadline_s) = (400.0, 500.0);
    let mut worker = Harness::new(settings);
    let (mut in_flight, mut length) = (Vec::<u64>::new(), 0.05);
    for next in 1..2_400 {
        let mut pending_actions = worker.arrive(next, 0);
        if next % 2 == 0 && !in_flight.is_empty() {
            worker.now += length / in_flight.len() as f64;
            length *= 1.002;
            let id = in_flight.remove(0);
            pending_actions
                .extend(worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            pending_actions.extend(worker.end_run(id, Outcome::Ok));
        }
        // Every run reaches its call immediately.
        while let Some(action) = pending_actions.pop() {
            match action {
                Action::Start(id) => pending_actions.extend(worker.handle(Event::CallRequested(id))),
                Action::Call { id, .. } => in_flight.push(id.0),
                _ => {}
            }
        }
    }
    assert!(
        length > 0.5 && (1..=3).contains(&in_flight.len()),
        "calls take {length} s, {} are in flight; expected more than 0.5 s, and 1 to 3",
        in_flight.len()
    );
}

/// Guards against limiting a dependency that is slow by itself, and not by this load, to one call in flight, which left
/// the cores idle for 12 s.
#[test]
fn slow_calls_keep_a_quarter_of_the_share_and_runs_skip_calls_that_would_come_too_late() {
    let mut settings = settings_with_calls(12.0);
    settings.classes[0].skipped_call_weight = 0.6;
    settings.cores = 16;
    let mut worker = Harness::new(settings);
    let (mut called, mut skipped, mut rejections) = (BTreeMap::new(), 0, 0);
    for id in 0..600 {
        worker.now += 0.01;
        // Each call takes 20 ms, then 400 ms.
        let call_s = if id < 100 { 0.02 } else { 0.4 };
        let ended: Vec<u64> =
            called.iter().filter(|(_, at)| worker.now >= **at + call_s).map(|(i, _)| *i).collect();
        let mut actions = worker.arrive(id, 0);
        rejections += usize::from(rejected(&actions, id));
        actions.extend(worker.wake(0.5));
        for id in ended {
            called.remove(&id);
            actions.extend(worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            actions.extend(worker.end_run(id, Outcome::Ok));
        }
        let mut at = 0;
        while at < actions.len() {
            match actions[at] {
                Action::Start(id) => actions.extend(worker.handle(Event::CallRequested(id))),
                Action::Call { id, .. } => drop(called.insert(id.0, worker.now)),
                Action::SkipCall(id) => {
                    skipped += 1;
                    actions.extend(worker.end_run(id.0, Outcome::Ok));
                }
                _ => {}
            }
            at += 1;
        }
    }
    assert!(called.len() >= 3, "{} calls in flight; expected 3 or more", called.len());
    assert!(skipped > 300 && rejections == 0, "{skipped} skipped their call, {rejections} were rejected");
}

/// Guards against a limit that falls without a slowdown: with random call lengths, every few windows of six calls look
/// slow.
#[test]
fn random_call_lengths_do_not_lower_the_limit() {
    let mut worker = Harness::new(settings_with_calls(12.0));
    // Lengths with the mean and the deviation of an exponential distribution, in an order without a trend.
    let length = |id: u64| -0.02 * (1.0 - ((id * 37 % 64) as f64 + 0.5) / 64.0).ln();
    for id in 1..=640 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += length(id);
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end_run(id, Outcome::Ok);
    }
    // The limit starts at half of the share, which is six calls.
    let in_flight: usize = (1000..1006)
        .map(|id| {
            worker.arrive(id, 0);
            calls_made(&worker.handle(Event::CallRequested(RequestId(id))))
        })
        .sum();
    assert_eq!(in_flight, 6);
}

/// Guards against queueing orders while lookups wait for calls, which kept half of the orders from ever running.
#[test]
fn calls_awaited_by_lower_tiers_do_not_hold_up_a_higher_tier() {
    let mut settings = settings_with_calls(2.0);
    settings.classes[0].skipped_call_weight = 0.6;
    (settings.classes[1].idempotency, settings.classes[1].makes_calls) = (Idempotency::Keyed, true);
    let mut worker = Harness::new(settings);
    let mut id = 0;
    while worker.controller.take_released().is_empty() && id < 8 {
        id += 1;
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
    }
    assert!(
        started_requests(&worker.arrive(99, 1)).contains(&99),
        "the order does not start while {id} lookups are at their calls"
    );
}

/// Guards against making calls that can't end before their run has to go on; there were 20 a second.
#[test]
fn a_call_that_could_not_end_in_time_is_not_made() {
    let mut settings = settings_with_calls(4.0);
    settings.classes[0].skipped_call_weight = 0.6;
    let mut worker = Harness::new(settings);
    for id in 1..=20 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += 0.2;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end_run(id, Outcome::Ok);
    }
    // Of an objective of 2 s, 0.3 s are left. That is less than two mean call lengths of 0.2 s, and one is not enough,
    // since half of the calls take longer than the mean.
    worker.arrive(50, 0);
    worker.now += 1.7;
    let actions = worker.handle(Event::CallRequested(RequestId(50)));
    assert!(actions.contains(&Action::SkipCall(RequestId(50))) && calls_made(&actions) == 0, "{actions:?}");
}

/// Guards against lost replies that exhaust the limit: when 1 in 50 calls got no reply, soon all calls in flight were
/// such calls.
#[test]
fn call_without_a_reply_is_abandoned_and_frees_its_slot() {
    let mut worker = Harness::new(settings_with_calls(4.0));
    for id in 1..=20 {
        worker.now += 0.05;
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += 0.05;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end_run(id, Outcome::Ok);
    }
    let mut until = Vec::new();
    for id in 21..=23 {
        worker.arrive(id, 0);
        for action in worker.handle(Event::CallRequested(RequestId(id))) {
            if let Action::Call { id, until_s } = action {
                until.push((id, until_s - worker.now));
            }
        }
    }
    assert!(!until.is_empty() && until.iter().all(|(_, s)| (0.2..=0.6).contains(s)), "{until:?}");
    worker.now += 0.6;
    let mut again = 0;
    for (id, _) in until {
        again += calls_made(&worker.handle(Event::CallEnded { id, outcome: Outcome::TimedOut }));
    }
    assert!(again > 0, "abandoned calls still count against the limit");
}

/// Guards against a fleet whose workers all make their first call at the same moment and have to abort half of them.
#[test]
fn share_under_one_call_accumulates_for_calls_that_can_end() {
    let mut worker = Harness::new(settings_with_calls(0.4));
    worker.arrive(1, 0);
    let first = worker.handle(Event::CallRequested(RequestId(1)));
    let Some(Action::Call { until_s, .. }) = first.first() else {
        panic!("the first call is not made immediately: {first:?}")
    };
    assert!(*until_s >= 0.4, "the first call may last until {until_s} s; expected 0.4 s or later");
    worker.now = 0.2;
    worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Ok });
    worker.end_run(1, Outcome::Ok);
    // The budget that is left would not cover the next call: it waits until enough has accumulated.
    let mut times = Vec::new();
    for id in 2..=6 {
        worker.arrive(id, 0);
        let mut actions = worker.handle(Event::CallRequested(RequestId(id)));
        while !actions.iter().any(|a| matches!(a, Action::Call { .. })) {
            worker.now += 0.025;
            actions = worker.wake(1.0);
            assert!(worker.now < 30.0, "the call of request {id} was not made by 30 s");
        }
        let made =
            actions
                .iter()
                .find_map(|a| if let Action::Call { until_s, .. } = a { Some(*until_s) } else { None });
        times.push(made.unwrap() - worker.now);
        worker.now += 0.1;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end_run(id, Outcome::Ok);
    }
    assert!(times.iter().all(|t| *t >= 0.25), "calls may last {times:?} s; expected 0.25 s or more");
}

/// Guards against a call length learned in a slow period that prevents the calls which would show that the period is
/// over.
#[test]
fn slow_calls_are_forgotten_while_none_are_made() {
    let mut worker = Harness::new(settings_with_calls(5.0));
    for id in 1..=16 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += if id < 9 { 0.05 } else { 3.0 };
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end_run(id, Outcome::Ok);
    }
    assert!(rejected(&worker.arrive(17, 0), 17), "calls take longer than the objective");
    worker.advance(20.0, 0.1);
    assert!(
        !rejected(&worker.arrive(18, 0), 18),
        "the length of slow calls is still remembered after 20 s without calls"
    );
}
