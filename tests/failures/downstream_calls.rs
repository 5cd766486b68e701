//! Downstream calls and their limit.

use crate::harness::{answered, calls_made, failed, rejected, starts, with_calls, Harness};
use port_worker::{Action, Class, Event, Idempotency, Outcome, RequestId};
use std::collections::BTreeMap;

/// The end of a run in a call freed its call slot, although the dependency may still be working on the
/// call.
#[test]
fn a_call_cut_off_with_its_run_still_counts_for_a_while() {
    let mut worker = Harness::new(with_calls(1.0));
    worker.arrive(1, 0);
    worker.arrive(2, 0);
    assert_eq!(calls_made(&worker.handle(Event::CallRequested(RequestId(1)))), 1);
    worker.handle(Event::CallRequested(RequestId(2)));
    worker.handle(Event::CallerDisconnected(RequestId(1)));
    assert_eq!(
        calls_made(&worker.end(1, Outcome::Cancelled)),
        0,
        "the dependency may still be working on it"
    );
    assert_eq!(calls_made(&worker.pass(0.15, 1.0)), 1);
}

/// A rejected call was made again in the same batch, and a quick rejection counted as a short call.
#[test]
fn rejected_calls_are_not_retried_immediately_and_lower_the_limit() {
    let mut worker = Harness::new(with_calls(8.0));
    let mut sheds = 0;
    worker.arrive(1, 0);
    let mut out = worker.handle(Event::CallRequested(RequestId(1)));
    for _ in 0..40 {
        worker.now += 0.005;
        if calls_made(&out) > 0 {
            sheds += 1;
            assert_eq!(
                calls_made(&worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Rejected })),
                0
            );
        }
        out = worker.wake(1.0);
    }
    assert!((2..=9).contains(&sheds), "some 25 ms apart: {sheds}");
}

/// Where a response without its call keeps a part of the weight, a run whose call failed goes on without
/// it.
#[test]
fn a_failed_call_is_skipped_only_where_the_response_keeps_weight() {
    for (part, skips) in [(0.3, true), (0.0, false)] {
        let mut set = with_calls(4.0);
        set.classes[1] = Class {
            idempotency: Idempotency::Keyed,
            window_s: 9.0,
            makes_calls: true,
            skipped_call_weight: part,
            ..set.classes[0].clone()
        };
        let mut worker = Harness::new(set);
        worker.arrive(1, 1);
        worker.handle(Event::CallRequested(RequestId(1)));
        worker.now = 0.1;
        let out = worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::TimedOut });
        assert_eq!(out.contains(&Action::SkipCall(RequestId(1))), skips);
        assert_eq!(failed(&out, 1), !skips);
    }
}

/// A lookup repeated its rejected call without end, until it was due and worth nothing.
#[test]
fn a_run_that_can_skip_its_call_does_not_wait_for_a_dependency_that_is_down() {
    let mut set = with_calls(4.0);
    set.classes[0].skipped_call_weight = 0.6;
    set.classes[1] =
        Class { idempotency: Idempotency::Keyed, window_s: 9.0, makes_calls: true, ..set.classes[0].clone() };
    set.classes[1].skipped_call_weight = 0.0;
    let mut worker = Harness::new(set);
    worker.arrive(1, 0);
    worker.arrive(2, 1);
    worker.handle(Event::CallRequested(RequestId(1)));
    worker.handle(Event::CallRequested(RequestId(2)));
    worker.now = 0.1;
    let out = worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Unreachable });
    assert!(out.contains(&Action::SkipCall(RequestId(1))), "{out:?}");
    // What can't skip it is neither answered nor repeats the call at once; it does after a pause.
    let out = worker.handle(Event::CallEnded { id: RequestId(2), outcome: Outcome::Unreachable });
    assert!(calls_made(&out) == 0 && !answered(&out, 2), "{out:?}");
    assert_eq!(calls_made(&worker.pass(1.0, 0.5)), 1);
}

/// Calls that take longer and longer bring the limit down, to a quarter of the share.
#[test]
fn the_call_limit_falls_to_a_quarter_of_the_share_as_calls_get_longer() {
    let mut worker = Harness::new(with_calls(4.0));
    let in_flight = |worker: &mut Harness, length: f64, base: u64| {
        let mut most = 0;
        for round in 0..20 {
            let ids: Vec<u64> = (base + round * 10..base + round * 10 + 2).collect();
            let mut out = Vec::new();
            for &id in &ids {
                out.extend(worker.arrive(id, 0));
            }
            let started = starts(&out);
            let mut calls = Vec::new();
            for id in started {
                calls.extend(worker.handle(Event::CallRequested(RequestId(id))));
            }
            let mut called: Vec<u64> = calls
                .iter()
                .filter_map(|a| if let Action::Call { id, .. } = a { Some(id.0) } else { None })
                .collect();
            most = called.len();
            while let Some(id) = called.pop() {
                worker.now += length;
                let more = worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
                called.extend(more.iter().filter_map(|a| {
                    if let Action::Call { id, .. } = a {
                        Some(id.0)
                    } else {
                        None
                    }
                }));
                worker.end(id, Outcome::Ok);
            }
        }
        most
    };
    assert_eq!(in_flight(&mut worker, 0.02, 1_000), 2);
    assert_eq!(in_flight(&mut worker, 0.5, 5_000), 1);
}

/// What waits for calls must not stand in the way of work that does not call.
#[test]
fn saturated_calls_leave_the_cores_to_requests_that_do_not_call() {
    let mut set = with_calls(1.0);
    set.classes[0].weight = 20.0;
    let mut worker = Harness::new(set);
    for id in 1..=2 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
    }
    worker.arrive(3, 0);
    assert_eq!(starts(&worker.arrive(4, 1)), vec![4]);
    assert_eq!(starts(&worker.arrive(5, 1)), vec![5]);
}

#[test]
fn a_keyed_call_is_repeated_only_when_it_had_no_effect() {
    for (outcome, again) in
        [(Outcome::Rejected, true), (Outcome::Unreachable, true), (Outcome::TimedOut, false)]
    {
        let mut set = with_calls(4.0);
        set.classes[1].idempotency = Idempotency::Keyed;
        set.classes[1].makes_calls = true;
        let mut worker = Harness::new(set);
        worker.arrive(1, 1);
        worker.handle(Event::CallRequested(RequestId(1)));
        worker.now = 0.1;
        let mut out = worker.handle(Event::CallEnded { id: RequestId(1), outcome });
        out.extend(worker.pass(0.1, 1.0));
        assert_eq!(calls_made(&out) > 0, again, "{outcome:?}");
        assert_eq!(failed(&out, 1), !again, "{outcome:?}");
    }
}

/// Load that makes calls slower bit by bit must not become the baseline.
#[test]
fn slowly_growing_call_lengths_do_not_raise_the_limit() {
    let mut set = with_calls(10.0);
    (set.classes[0].objective_s, set.classes[0].deadline_s) = (400.0, 500.0);
    let mut worker = Harness::new(set);
    let (mut in_flight, mut length) = (Vec::<u64>::new(), 0.05);
    for next in 1..2_400 {
        let mut todo = worker.arrive(next, 0);
        if next % 2 == 0 && !in_flight.is_empty() {
            worker.now += length / in_flight.len() as f64;
            length *= 1.002;
            let id = in_flight.remove(0);
            todo.extend(worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            todo.extend(worker.end(id, Outcome::Ok));
        }
        // Every run reaches its call at once.
        while let Some(action) = todo.pop() {
            match action {
                Action::Start(id) => todo.extend(worker.handle(Event::CallRequested(id))),
                Action::Call { id, .. } => in_flight.push(id.0),
                _ => {}
            }
        }
    }
    assert!(length > 0.5 && (1..=3).contains(&in_flight.len()), "{length} {}", in_flight.len());
}

/// A dependency that was slow by itself was left one call in flight, and the cores idled for 12 s.
#[test]
fn slow_calls_keep_a_quarter_of_the_share_and_hopeless_waits_skip_the_call() {
    let mut set = with_calls(12.0);
    set.classes[0].skipped_call_weight = 0.6;
    set.cores = 16;
    let mut worker = Harness::new(set);
    let (mut called, mut skipped, mut rejections) = (BTreeMap::new(), 0, 0);
    for id in 0..600 {
        worker.now += 0.01;
        // Each call takes 20 ms, then 400 ms.
        let lasts = if id < 100 { 0.02 } else { 0.4 };
        let over: Vec<u64> =
            called.iter().filter(|(_, at)| worker.now >= **at + lasts).map(|(i, _)| *i).collect();
        let mut out = worker.arrive(id, 0);
        rejections += usize::from(rejected(&out, id));
        out.extend(worker.wake(0.5));
        for id in over {
            called.remove(&id);
            out.extend(worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            out.extend(worker.end(id, Outcome::Ok));
        }
        let mut at = 0;
        while at < out.len() {
            match out[at] {
                Action::Start(id) => out.extend(worker.handle(Event::CallRequested(id))),
                Action::Call { id, .. } => drop(called.insert(id.0, worker.now)),
                Action::SkipCall(id) => {
                    skipped += 1;
                    out.extend(worker.end(id.0, Outcome::Ok));
                }
                _ => {}
            }
            at += 1;
        }
    }
    assert!(called.len() >= 3, "{} in flight", called.len());
    assert!(skipped > 300 && rejections == 0, "{skipped} without a call, {rejections} rejected");
}

/// Among the lengths of sound calls every few windows of six calls looked slow, and the limit fell.
#[test]
fn random_call_lengths_do_not_lower_the_limit() {
    let mut worker = Harness::new(with_calls(12.0));
    // Lengths with the mean and the spread of an exponential draw, in an order without a trend.
    let length = |id: u64| -0.02 * (1.0 - ((id * 37 % 64) as f64 + 0.5) / 64.0).ln();
    for id in 1..=640 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += length(id);
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end(id, Outcome::Ok);
    }
    // Six calls at once: the limit starts at half of the share.
    let in_flight: usize = (1000..1006)
        .map(|id| {
            worker.arrive(id, 0);
            calls_made(&worker.handle(Event::CallRequested(RequestId(id))))
        })
        .sum();
    assert_eq!(in_flight, 6);
}

/// Orders were queued while lookups waited for calls, and half of them were never run.
#[test]
fn waits_for_calls_of_lower_tiers_do_not_saturate_a_higher_tier() {
    let mut set = with_calls(2.0);
    set.classes[0].skipped_call_weight = 0.6;
    (set.classes[1].idempotency, set.classes[1].makes_calls) = (Idempotency::Keyed, true);
    let mut worker = Harness::new(set);
    let mut id = 0;
    while worker.controller.take_released().is_empty() && id < 8 {
        id += 1;
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
    }
    assert!(starts(&worker.arrive(99, 1)).contains(&99), "after {id} lookups at their calls");
}

/// Calls were made that could not end before their run had to go on, 20 a second.
#[test]
fn a_call_that_could_not_end_in_time_is_not_made() {
    let mut set = with_calls(4.0);
    set.classes[0].skipped_call_weight = 0.6;
    let mut worker = Harness::new(set);
    for id in 1..=20 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += 0.2;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end(id, Outcome::Ok);
    }
    // Of an objective of 2 s, 0.3 are left: not enough for two calls of 0.2 s, as half of them take longer than one.
    worker.arrive(50, 0);
    worker.now += 1.7;
    let out = worker.handle(Event::CallRequested(RequestId(50)));
    assert!(out.contains(&Action::SkipCall(RequestId(50))) && calls_made(&out) == 0, "{out:?}");
}

/// 1 in 50 calls was never answered, and soon all calls in flight were of those.
#[test]
fn a_call_without_an_answer_is_abandoned_and_frees_its_slot() {
    let mut worker = Harness::new(with_calls(4.0));
    for id in 1..=20 {
        worker.now += 0.05;
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += 0.05;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end(id, Outcome::Ok);
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
    assert!(again > 0, "abandoned calls still fill the limit");
}

/// All workers of a fleet made their first call at the same moment, and cut off half of them.
#[test]
fn a_share_under_one_call_is_saved_up_for_calls_that_can_end() {
    let mut worker = Harness::new(with_calls(0.4));
    worker.arrive(1, 0);
    let first = worker.handle(Event::CallRequested(RequestId(1)));
    let Some(Action::Call { until_s, .. }) = first.first() else { panic!("no call at once: {first:?}") };
    assert!(*until_s >= 0.4, "{until_s}");
    worker.now = 0.2;
    worker.handle(Event::CallEnded { id: RequestId(1), outcome: Outcome::Ok });
    worker.end(1, Outcome::Ok);
    // The budget that is left would cut the next call off: it waits until enough is saved up.
    let mut times = Vec::new();
    for id in 2..=6 {
        worker.arrive(id, 0);
        let mut out = worker.handle(Event::CallRequested(RequestId(id)));
        while !out.iter().any(|a| matches!(a, Action::Call { .. })) {
            worker.now += 0.025;
            out = worker.wake(1.0);
            assert!(worker.now < 30.0, "never called");
        }
        let made =
            out.iter().find_map(|a| if let Action::Call { until_s, .. } = a { Some(*until_s) } else { None });
        times.push(made.unwrap() - worker.now);
        worker.now += 0.1;
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end(id, Outcome::Ok);
    }
    assert!(times.iter().all(|t| *t >= 0.25), "{times:?}");
}

/// After a slow period the remembered call length kept out the calls that could show its end.
#[test]
fn slow_calls_are_forgotten_while_none_are_made() {
    let mut worker = Harness::new(with_calls(5.0));
    for id in 1..=16 {
        worker.arrive(id, 0);
        worker.handle(Event::CallRequested(RequestId(id)));
        worker.now += if id < 9 { 0.05 } else { 3.0 };
        worker.handle(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        worker.end(id, Outcome::Ok);
    }
    assert!(rejected(&worker.arrive(17, 0), 17), "calls take longer than the objective");
    worker.pass(20.0, 0.1);
    assert!(!rejected(&worker.arrive(18, 0), 18), "nothing is known to be slow any more");
}
