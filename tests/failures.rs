//! One test for each failure found on the bench, and each rule of the mechanism at its boundary.

use port_worker::{
    Action, Arrival, Class, Controller, Dependency, Event, Gauges, Idempotency, Outcome, Preemption,
    RequestId, Settings, Signal, Tenant,
};
use std::collections::BTreeMap;

struct Bench {
    c: Controller,
    now: f64,
}

fn settings() -> Settings {
    Settings {
        cores: 2,
        survivable_multiple: 8.0,
        survivable_window_s: 2.0,
        memory_kb: 100_000.0,
        run_factor: 4.0,
        key_entry_kb: 10.0,
        shutdown_grace_s: 1.0,
        answer_slack_s: 0.06,
        wake_ahead_s: 0.002,
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
                effect: Idempotency::Keyed,
                window_s: 9.0,
                ..Class::default()
            },
        ],
        ..Settings::default()
    }
}

fn with_calls(share: f64) -> Settings {
    let mut set = settings();
    set.dependency = Some(Dependency { share, window_s: 5.0, linger_s: 0.1 });
    set.classes[0].calls = true;
    set.classes[1].effect = Idempotency::Idempotent;
    set
}

impl Bench {
    fn new(set: Settings) -> Self {
        Bench { c: Controller::new(set, 0.0, &mut Vec::new()), now: 0.0 }
    }
    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.c.handle(self.now, event, &mut out);
        out
    }
    fn arrive(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.tell(Event::Arrived(Arrival { id: RequestId(id), class, kb: 10.0, ..Arrival::default() }))
    }
    fn repeat(&mut self, id: u64, of: u64) -> Vec<Action> {
        let (id, retry_of) = (RequestId(id), Some(RequestId(of)));
        self.tell(Event::Arrived(Arrival {
            id,
            class: 1,
            kb: 10.0,
            retry_of,
            retry: true,
            ..Arrival::default()
        }))
    }
    fn end(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::RunEnded { id: RequestId(id), outcome })
    }
    fn wake(&mut self, busy: f64) -> Vec<Action> {
        self.tell(Event::Woken(Gauges { cores_busy: Some(busy), ..Gauges::default() }))
    }
    /// Passes time with wake-ups, as a worker would.
    fn pass(&mut self, seconds: f64, busy: f64) -> Vec<Action> {
        let until = self.now + seconds;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 0.025;
            all.extend(self.wake(busy));
        }
        all
    }
}

fn starts(out: &[Action]) -> Vec<u64> {
    out.iter().filter_map(|a| if let Action::Start(id) = a { Some(id.0) } else { None }).collect()
}

fn refused(out: &[Action], id: u64) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
}

fn failed(out: &[Action], id: u64) -> bool {
    out.contains(&Action::Fail(RequestId(id)))
}

fn answered(out: &[Action], id: u64) -> bool {
    failed(out, id) || refused(out, id)
}

fn calls_made(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Call { .. })).count()
}

#[test]
fn the_oldest_of_the_highest_tier_starts_first() {
    let mut b = Bench::new(settings());
    for id in 1..=2 {
        assert_eq!(starts(&b.arrive(id, 0)), vec![id]);
    }
    for (id, class) in [(3, 0), (4, 1), (5, 1)] {
        assert!(starts(&b.arrive(id, class)).is_empty());
    }
    b.now = 0.3;
    assert_eq!(starts(&b.end(1, Outcome::Ok)), vec![4]);
    assert_eq!(starts(&b.end(2, Outcome::Ok)), vec![5]);
    assert_eq!(starts(&b.end(4, Outcome::Ok)), vec![3]);
}

#[test]
fn a_lower_arrival_is_refused_at_j_while_the_top_tier_is_still_held() {
    let mut b = Bench::new(settings());
    let first = (1..60).find(|&id| refused(&b.arrive(id, 0), id)).expect("j is reached");
    assert!(first > 3, "the hold takes some: {first}");
    assert!(!refused(&b.arrive(100, 1), 100), "the top tier is not refused for what is held below it");
    assert!(refused(&b.arrive(101, 0), 101));
}

#[test]
fn a_lower_arrival_is_refused_at_k() {
    let mut b = Bench::new(settings());
    for id in 1..=6 {
        assert!(!refused(&b.arrive(id, 1), id));
    }
    // Four are held above: fewer than the top tier's j, but k for the lower one.
    assert!(refused(&b.arrive(7, 0), 7));
    assert!(!refused(&b.arrive(8, 1), 8));
}

#[test]
fn the_run_limit_climbs_only_when_it_binds_and_never_goes_under_the_cores() {
    let mut b = Bench::new(settings());
    for id in 1..=4 {
        b.arrive(id, 0);
    }
    assert_eq!(starts(&b.pass(0.55, 0.5)), vec![3], "idle cores, all slots used, work held: a step up");
    b.pass(1.5, 1.0);
    let mut quiet = Bench::new(settings());
    quiet.pass(3.0, 0.1);
    quiet.pass(3.0, 1.0);
    assert_eq!((1..=3).map(|id| starts(&quiet.arrive(id, 0)).len()).sum::<usize>(), 2);
}

#[test]
fn hung_runs_do_not_raise_the_run_limit() {
    let mut b = Bench::new(settings());
    for id in 1..=3 {
        b.arrive(id, 1);
    }
    for round in 0..40 {
        b.pass(0.25, 0.0);
        b.arrive(100 + round, 1);
    }
    // Whatever was started while the hang was not yet plain, it stays near the core count.
    let running = (1..140).filter(|&id| !b.end(id, Outcome::Cancelled).is_empty()).count();
    assert!(running <= 6, "{running}");
}

#[test]
fn repeats_share_the_one_run_in_every_state() {
    let mut b = Bench::new(settings());
    let first = b.arrive(1, 1);
    assert!(matches!(first[0], Action::RetainKey { id: RequestId(1), for_s } if for_s >= 9.0));
    assert_eq!(b.repeat(2, 1), vec![Action::ShareResponse(RequestId(2))], "running");
    b.arrive(3, 0);
    b.arrive(4, 1);
    assert_eq!(b.repeat(5, 4), vec![], "held: it waits behind");
    b.now = 0.2;
    let out = b.end(1, Outcome::Error);
    assert_eq!(starts(&out), vec![4]);
    assert!(out.contains(&Action::ShareResponse(RequestId(5))));
    assert_eq!(b.repeat(6, 1), vec![Action::ShareResponse(RequestId(6))], "a failed run is not run again");
}

#[test]
fn a_repeat_takes_over_when_the_first_caller_leaves() {
    let mut b = Bench::new(settings());
    b.arrive(1, 1);
    b.arrive(2, 1);
    b.arrive(3, 1);
    b.repeat(4, 3);
    let out = b.tell(Event::CallerGone(RequestId(3)));
    assert!(matches!(out[0], Action::RetainKey { id: RequestId(4), .. }));
    b.now = 0.2;
    assert_eq!(starts(&b.end(1, Outcome::Ok)), vec![4]);
}

#[test]
fn a_start_that_came_too_late_frees_its_slot() {
    let mut b = Bench::new(settings());
    b.arrive(1, 0);
    b.tell(Event::CallerGone(RequestId(1)));
    b.arrive(2, 0);
    b.arrive(3, 0);
    assert_eq!(starts(&b.end(1, Outcome::NotStarted)), vec![3]);
}

#[test]
fn the_drain_goes_by_arrival_to_the_tick() {
    let mut set = settings();
    set.classes[0].late_weight = 0.2;
    let mut b = Bench::new(set);
    b.tell(Event::Shutdown { ago_s: 0.0, in_s: 4.0 });
    let early = |read_delay_s: f64, id: u64| {
        Event::Arrived(Arrival { id: RequestId(id), class: 0, kb: 10.0, read_delay_s, ..Arrival::default() })
    };
    b.now = 1.2;
    assert_eq!(starts(&b.tell(early(0.3, 1))), vec![1], "arrived before the grace was over, read after it");
    assert!(refused(&b.tell(early(0.199, 2)), 2), "arrived at 1.001");
    b.now = 3.0;
    assert!(refused(&b.tell(early(0.0, 3)), 3));
    let out = b.pass(0.9, 1.0);
    assert!(answered(&out, 1), "everything is answered before the stop");
}

#[test]
fn a_repeat_after_the_grace_is_answered_at_once() {
    let mut b = Bench::new(settings());
    b.arrive(1, 1);
    b.tell(Event::Shutdown { ago_s: 0.0, in_s: 2.0 });
    b.now = 1.5;
    assert!(failed(&b.repeat(2, 1), 2), "a shared answer might miss the stop, and what ran is not refused");
}

#[test]
fn running_work_is_answered_by_its_due_time() {
    let mut set = settings();
    set.classes[0].late_weight = 0.2;
    let mut b = Bench::new(set);
    b.arrive(1, 0);
    assert!(!answered(&b.pass(4.9, 1.0), 1), "a late answer still earns a part");
    assert!(answered(&b.pass(0.1, 1.0), 1));
}

/// kingston: runs past their aim earned nothing, kept the cores busy, and their callers waited on. The answer
/// comes in the next sweep, not near the deadline, with advice where the request may be repeated.
#[test]
fn what_earns_nothing_any_more_is_answered_at_once_and_stopped() {
    for preemption in [Preemption::Discard, Preemption::Pause, Preemption::Never] {
        let mut b = Bench::new(Settings { preemption, ..settings() });
        b.arrive(1, 0);
        assert!(!answered(&b.pass(1.95, 1.0), 1), "{preemption:?}");
        let out = b.pass(0.1, 1.0);
        assert!(refused(&out, 1), "safe to repeat: with advice ({preemption:?})");
        assert_eq!(out.contains(&Action::Preempt(RequestId(1))), preemption != Preemption::Never);
        assert!(!answered(&b.pass(4.0, 1.0), 1), "one answer");
    }
    // One that waits behind a key's first try, or stands at a call, does not wait for its deadline either.
    let mut b = Bench::new(with_calls(0.4));
    b.arrive(1, 0);
    b.tell(Event::AtCall(RequestId(1)));
    b.arrive(2, 0);
    b.tell(Event::AtCall(RequestId(2)));
    let out = b.pass(2.1, 1.0);
    assert!(answered(&out, 1) && answered(&out, 2));
}

/// kingston's quiet day: submits were stopped when their try ended, and the next try got an error for an answer.
#[test]
fn a_run_with_an_effect_goes_on_for_the_next_try() {
    let mut b = Bench::new(Settings { preemption: Preemption::Pause, ..settings() });
    b.tell(Event::Arrived(Arrival {
        id: RequestId(1),
        class: 1,
        kb: 10.0,
        time_left_s: Some(1.0),
        ..Arrival::default()
    }));
    let out = b.pass(1.1, 1.0);
    assert!(failed(&out, 1) && !out.contains(&Action::Preempt(RequestId(1))));
    assert_eq!(b.repeat(2, 1), vec![Action::ShareResponse(RequestId(2))]);
}

/// A caller that leaves takes a run of no further use off the cores; one with an effect goes to its end, as a
/// repeat may ask for its result.
#[test]
fn a_run_that_nobody_waits_for_is_stopped_unless_it_has_an_effect() {
    for (class, stops) in [(0, true), (1, false)] {
        let mut b = Bench::new(Settings { preemption: Preemption::Discard, ..settings() });
        b.arrive(1, class);
        let out = b.tell(Event::CallerGone(RequestId(1)));
        assert_eq!(out.contains(&Action::Preempt(RequestId(1))), stops);
    }
}

/// By reading: the end of a run at a call freed its call, though the dependency may hold it for a while yet.
#[test]
fn a_call_cut_off_with_its_run_still_counts_for_a_while() {
    let mut b = Bench::new(with_calls(1.0));
    b.arrive(1, 0);
    b.arrive(2, 0);
    assert_eq!(calls_made(&b.tell(Event::AtCall(RequestId(1)))), 1);
    b.tell(Event::AtCall(RequestId(2)));
    b.tell(Event::CallerGone(RequestId(1)));
    assert_eq!(calls_made(&b.end(1, Outcome::Cancelled)), 0, "it lingers");
    assert_eq!(calls_made(&b.pass(0.15, 1.0)), 1);
}

/// A dependency that turns calls away: one unseen was made again in the same batch, and a quick no looked short.
#[test]
fn calls_turned_away_are_not_made_again_at_once_and_lower_the_bound() {
    let mut b = Bench::new(with_calls(8.0));
    let mut sheds = 0;
    b.arrive(1, 0);
    let mut out = b.tell(Event::AtCall(RequestId(1)));
    for _ in 0..40 {
        b.now += 0.005;
        if calls_made(&out) > 0 {
            sheds += 1;
            assert_eq!(
                calls_made(&b.tell(Event::CallEnded { id: RequestId(1), outcome: Outcome::Rejected })),
                0
            );
        }
        out = b.wake(1.0);
    }
    assert!((2..=9).contains(&sheds), "some 25 ms apart: {sheds}");
}

/// Where an answer without its call keeps a part of the worth, a run whose call failed goes on without it.
#[test]
fn a_failed_call_is_left_out_only_where_that_earns_something() {
    for (part, skips) in [(0.3, true), (0.0, false)] {
        let mut set = with_calls(4.0);
        set.classes[1] = Class {
            effect: Idempotency::Keyed,
            window_s: 9.0,
            calls: true,
            skipped_call_weight: part,
            ..set.classes[0].clone()
        };
        let mut b = Bench::new(set);
        b.arrive(1, 1);
        b.tell(Event::AtCall(RequestId(1)));
        b.now = 0.1;
        let out = b.tell(Event::CallEnded { id: RequestId(1), outcome: Outcome::TimedOut });
        assert_eq!(out.contains(&Action::SkipCall(RequestId(1))), skips);
        assert_eq!(failed(&out, 1), !skips);
    }
}

/// A read stood at its refused call, asking again without end, until it was due and worth nothing.
#[test]
fn a_dependency_that_is_down_is_not_waited_for_by_what_can_go_without_it() {
    let mut set = with_calls(4.0);
    set.classes[0].skipped_call_weight = 0.6;
    set.classes[1] =
        Class { effect: Idempotency::Keyed, window_s: 9.0, calls: true, ..set.classes[0].clone() };
    set.classes[1].skipped_call_weight = 0.0;
    let mut b = Bench::new(set);
    b.arrive(1, 0);
    b.arrive(2, 1);
    b.tell(Event::AtCall(RequestId(1)));
    b.tell(Event::AtCall(RequestId(2)));
    b.now = 0.1;
    let out = b.tell(Event::CallEnded { id: RequestId(1), outcome: Outcome::Unreachable });
    assert!(out.contains(&Action::SkipCall(RequestId(1))), "{out:?}");
    // What can't go without it is neither answered nor asked for again at once; it is after a pause.
    let out = b.tell(Event::CallEnded { id: RequestId(2), outcome: Outcome::Unreachable });
    assert!(calls_made(&out) == 0 && !answered(&out, 2), "{out:?}");
    assert_eq!(calls_made(&b.pass(1.0, 0.5)), 1);
}

/// regina and kingston count worth by work: large requests were planned as mean ones and started too late.
#[test]
fn a_hint_that_ends_bear_out_plans_the_run_and_one_that_tells_nothing_does_not() {
    let late_start = |told: bool| {
        let mut b = Bench::new(Settings { cores: 1, ..settings() });
        let arrive = |b: &mut Bench, id: u64, size: f64| {
            let (id, estimate_s) = (RequestId(id), Some(size));
            b.tell(Event::Arrived(Arrival { id, kb: 1.0, estimate_s, ..Arrival::default() }))
        };
        for id in 1..=40 {
            let large = id % 2 == 0;
            arrive(&mut b, id, if large && told { 1.0 } else { 0.1 });
            b.now += if large { 1.0 } else { 0.1 };
            b.end(id, Outcome::Ok);
        }
        // Behind a run of a second, a large one can't end within its two seconds; a small one can.
        arrive(&mut b, 100, 0.1);
        arrive(&mut b, 103, 0.1);
        let large = refused(&arrive(&mut b, 101, if told { 1.6 } else { 0.1 }), 101);
        let small = refused(&arrive(&mut b, 102, 0.1), 102);
        (large, small)
    };
    assert_eq!(late_start(true), (true, false));
    assert_eq!(late_start(false), (false, false));
    // Absurd hints fall back to the mean.
    let mut b = Bench::new(settings());
    for (id, size) in [(1, f64::NAN), (2, -1.0), (3, f64::MAX), (4, 0.0)] {
        let (id, estimate_s) = (RequestId(id), Some(size));
        let out = b.tell(Event::Arrived(Arrival { id, kb: 1.0, estimate_s, ..Arrival::default() }));
        assert!(!refused(&out, id.0));
    }
}

/// regina's quiet day: idle workers refused large requests for a call that nobody waited for.
#[test]
fn an_idle_worker_refuses_nothing_for_calls_that_nobody_waits_for() {
    let mut set = with_calls(4.0);
    set.classes[0].objective_s = 1.0;
    let mut b = Bench::new(set);
    for id in 1..=10 {
        b.arrive(id, 0);
        b.now += 0.9;
        b.end(id, Outcome::Ok);
    }
    // With 1.3 mean lengths it would be late; by the mean it would not.
    assert_eq!(starts(&b.arrive(100, 0)), vec![100]);
}

/// budapest big-2: workers that read late left the list one by one, as no further try bears a mark there.
#[test]
fn without_marks_a_flood_of_arrivals_stands_for_a_full_fleet() {
    let play = |every: f64| {
        let mut b = Bench::new(Settings { marks_retries: false, ..settings() });
        let (mut bad, mut last) = (false, None);
        for id in 1..=100 {
            b.now += every;
            let read_delay_s = if id < 60 { 0.0 } else { 2.5 };
            let out = b.tell(Event::Arrived(Arrival {
                id: RequestId(id),
                kb: 1.0,
                read_delay_s,
                ..Arrival::default()
            }));
            bad |= out.contains(&Action::Health(false));
            last = out
                .iter()
                .find_map(|a| {
                    if let Action::Reject { stop_retrying, .. } = a {
                        Some(*stop_retrying)
                    } else {
                        None
                    }
                })
                .or(last);
        }
        (bad, last)
    };
    assert_eq!(play(0.05), (false, Some(true)), "twenty a second on two cores, half a second each");
    assert_eq!(play(0.5), (true, Some(false)), "trouble that is only here");
}

/// Incident ifbebe1: quick failing runs leave the hold empty, so nothing was refused.
#[test]
fn a_worker_whose_runs_fail_says_so_and_sends_work_elsewhere() {
    let mut b = Bench::new(settings());
    let mut said = Vec::new();
    for id in 1..=8 {
        b.now += 0.02;
        b.arrive(id, 0);
        said.extend(b.end(id, Outcome::Error));
    }
    assert!(said.contains(&Action::Health(false)));
    assert!(refused(&b.arrive(20, 1), 20), "work with an effect");
    let probes = (30..60).filter(|&id| !refused(&b.arrive(id, 0), id)).count();
    assert!(probes <= 1, "{probes}");
    // Probes that end well bring it back.
    for id in 100..140 {
        b.now += 0.5;
        if !refused(&b.arrive(id, 0), id) {
            b.now += 0.1;
            said = b.end(id, Outcome::Ok);
        }
        if said.contains(&Action::Health(true)) {
            return;
        }
    }
    panic!("never well again");
}

/// Two of three workers went sick at their start; off the list nobody sent them anything, and they stayed so all day.
#[test]
fn a_sick_worker_that_nobody_sends_to_shows_itself_again_after_a_rest() {
    let mut b = Bench::new(settings());
    let mut said = Vec::new();
    for id in 1..=8 {
        b.now += 0.02;
        b.arrive(id, 0);
        said.extend(b.end(id, Outcome::Error));
    }
    assert!(said.contains(&Action::Health(false)));
    assert!(!b.pass(1.5, 0.1).contains(&Action::Health(true)), "too soon");
    assert!(b.pass(1.0, 0.1).contains(&Action::Health(true)));
    // Shown, not well: one run is tried, the rest is still sent away, and a bad end hides it again.
    let kept: Vec<u64> = (20..25).filter(|&id| !refused(&b.arrive(id, 0), id)).collect();
    assert_eq!(kept, vec![20]);
    b.now += 0.1;
    b.end(20, Outcome::Error);
    assert!(!b.pass(1.5, 0.1).contains(&Action::Health(true)));
}

#[test]
fn a_hung_worker_says_so_but_long_calls_are_no_hang() {
    let mut b = Bench::new(settings());
    b.arrive(1, 0);
    b.arrive(2, 0);
    assert!(b.pass(30.0, 0.0).contains(&Action::Health(false)) || b.sick_after_runs());
}

impl Bench {
    /// With measured runs behind it a hang is plain within seconds.
    fn sick_after_runs(&mut self) -> bool {
        for id in 1000..1040 {
            self.now += 0.05;
            self.arrive(id, 0);
            self.end(id, Outcome::Ok);
        }
        self.arrive(2000, 0);
        self.arrive(2001, 0);
        self.pass(4.0, 0.0).contains(&Action::Health(false))
    }
}

/// Incident ife872b: a worker that reads too late reads only what has been given up.
#[test]
fn a_worker_that_reads_too_late_sends_callers_away_until_it_has_caught_up() {
    let mut b = Bench::new(Settings { signal: Signal::Weight, ..settings() });
    let mut said = Vec::new();
    for id in 1..=20 {
        b.now += 0.05;
        let (id, read_delay_s) = (RequestId(id), 3.0);
        said.extend(b.tell(Event::Arrived(Arrival {
            id,
            class: 0,
            kb: 10.0,
            read_delay_s,
            ..Arrival::default()
        })));
    }
    assert!(said.contains(&Action::Health(false)) && said.contains(&Action::Publish(0.0)));
    let later = b.pass(10.0, 0.2);
    assert!(later.contains(&Action::Health(true)));
    assert!(later.iter().any(|a| matches!(a, Action::Publish(level) if *level > 0.0)));
}

/// Incident i043d47: off the list and without arrivals, a worker stood idle for nine seconds after its backlog.
#[test]
fn a_free_core_ends_a_backlog_of_reads_at_once() {
    let back = |runnable: f64| {
        let mut b = Bench::new(settings());
        let mut said = Vec::new();
        for id in 1..=20 {
            b.now += 0.05;
            let (id, read_delay_s) = (RequestId(id), 3.0);
            said.extend(b.tell(Event::Arrived(Arrival { id, kb: 1.0, read_delay_s, ..Arrival::default() })));
        }
        assert!(said.contains(&Action::Health(false)));
        b.now += 0.5;
        let gauges = Gauges { cores_busy: Some(1.0), runnable: Some(runnable), ..Gauges::default() };
        b.tell(Event::Woken(gauges)).contains(&Action::Health(true))
    };
    assert!(back(1.0) && !back(4.0));
}

/// Storms of tries on amman-intake: refusals say that no other worker helps while tries are many.
#[test]
fn many_further_tries_make_refusals_final() {
    let last = |retry: bool| {
        let mut b = Bench::new(settings());
        (1..60)
            .flat_map(|id| {
                b.tell(Event::Arrived(Arrival {
                    id: RequestId(id),
                    class: 0,
                    kb: 10.0,
                    retry: retry && id % 2 == 0,
                    ..Arrival::default()
                }))
            })
            .filter_map(
                |a| if let Action::Reject { stop_retrying, .. } = a { Some(stop_retrying) } else { None },
            )
            .next_back()
    };
    assert_eq!(last(true), Some(true));
    assert_eq!(last(false), Some(false));
}

/// Incident i9f98d1: calls that take longer and longer bring the bound down, to a quarter of the share.
#[test]
fn the_call_bound_follows_the_length_of_calls() {
    let mut b = Bench::new(with_calls(4.0));
    let in_hand = |b: &mut Bench, length: f64, base: u64| {
        let mut most = 0;
        for round in 0..20 {
            let ids: Vec<u64> = (base + round * 10..base + round * 10 + 2).collect();
            let mut out = Vec::new();
            for &id in &ids {
                out.extend(b.arrive(id, 0));
            }
            let started = starts(&out);
            let mut calls = Vec::new();
            for id in started {
                calls.extend(b.tell(Event::AtCall(RequestId(id))));
            }
            let mut called: Vec<u64> = calls
                .iter()
                .filter_map(|a| if let Action::Call { id, .. } = a { Some(id.0) } else { None })
                .collect();
            most = called.len();
            while let Some(id) = called.pop() {
                b.now += length;
                let more = b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
                called.extend(more.iter().filter_map(|a| {
                    if let Action::Call { id, .. } = a {
                        Some(id.0)
                    } else {
                        None
                    }
                }));
                b.end(id, Outcome::Ok);
            }
        }
        most
    };
    assert_eq!(in_hand(&mut b, 0.02, 1_000), 2);
    assert_eq!(in_hand(&mut b, 0.5, 5_000), 1);
}

/// Incident i2db558: what waits for calls must not stand in the way of work that does not call.
#[test]
fn a_jam_of_calls_leaves_the_cores_to_the_rest() {
    let mut set = with_calls(1.0);
    set.classes[0].weight = 20.0;
    let mut b = Bench::new(set);
    for id in 1..=2 {
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
    }
    b.arrive(3, 0);
    assert_eq!(starts(&b.arrive(4, 1)), vec![4]);
    assert_eq!(starts(&b.arrive(5, 1)), vec![5]);
}

#[test]
fn a_keyed_call_is_repeated_only_when_proven_unrun() {
    for (outcome, again) in
        [(Outcome::Rejected, true), (Outcome::Unreachable, true), (Outcome::TimedOut, false)]
    {
        let mut set = with_calls(4.0);
        set.classes[1].effect = Idempotency::Keyed;
        set.classes[1].calls = true;
        let mut b = Bench::new(set);
        b.arrive(1, 1);
        b.tell(Event::AtCall(RequestId(1)));
        b.now = 0.1;
        let mut out = b.tell(Event::CallEnded { id: RequestId(1), outcome });
        out.extend(b.pass(0.1, 1.0));
        assert_eq!(calls_made(&out) > 0, again, "{outcome:?}");
        assert_eq!(failed(&out, 1), !again, "{outcome:?}");
    }
}

/// One heavy tenant must not take the place of the others in its class.
#[test]
fn work_over_quota_waits_behind_the_rest_of_its_class_only() {
    let set =
        Settings { tenants: vec![Tenant { quota_per_s: 2.0 }; 2], over_quota_weight: 0.05, ..settings() };
    let mut b = Bench::new(set);
    let from = |b: &mut Bench, id: u64, tenant: usize, class: usize| {
        let (id, tenant) = (RequestId(id), Some(tenant));
        b.tell(Event::Arrived(Arrival { id, class, tenant, kb: 10.0, ..Arrival::default() }))
    };
    for id in 1..=7 {
        from(&mut b, id, usize::from(id % 2 == 0), 1);
    }
    b.now = 0.1;
    for id in 1..=4 {
        b.end(id, Outcome::Ok);
    }
    from(&mut b, 8, 0, 1);
    from(&mut b, 9, 1, 1);
    from(&mut b, 10, 1, 0);
    let order: Vec<u64> = (5..=9).flat_map(|id| starts(&b.end(id, Outcome::Ok))).collect();
    assert_eq!(order, vec![7, 9, 8, 10]);
}

#[test]
fn memory_pressure_sends_away_the_lowest_and_newest_first() {
    let mut b = Bench::new(Settings { memory_kb: 150.0, ..settings() });
    let mut out = Vec::new();
    for id in 1..=3 {
        out.extend(b.arrive(id, 1));
    }
    for id in 4..=6 {
        out.extend(b.arrive(id, 0));
    }
    let gone: Vec<u64> = (1..=6).filter(|&id| refused(&out, id)).collect();
    assert!(gone.contains(&6) && !gone.contains(&1) && !gone.contains(&2), "{gone:?}");
    assert!(!out.contains(&Action::ReleaseKey(RequestId(1))));
}

/// Incident ic1de4e: a crowd that makes calls slower bit by bit must not become the yardstick.
#[test]
fn a_slowly_growing_call_length_does_not_ratchet_the_bound_up() {
    let mut set = with_calls(10.0);
    (set.classes[0].objective_s, set.classes[0].deadline_s) = (400.0, 500.0);
    let mut b = Bench::new(set);
    let (mut in_hand, mut length) = (Vec::<u64>::new(), 0.05);
    for next in 1..2_400 {
        let mut todo = b.arrive(next, 0);
        if next % 2 == 0 && !in_hand.is_empty() {
            b.now += length / in_hand.len() as f64;
            length *= 1.002;
            let id = in_hand.remove(0);
            todo.extend(b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            todo.extend(b.end(id, Outcome::Ok));
        }
        // Every run goes to its call at once.
        while let Some(action) = todo.pop() {
            match action {
                Action::Start(id) => todo.extend(b.tell(Event::AtCall(id))),
                Action::Call { id, .. } => in_hand.push(id.0),
                _ => {}
            }
        }
    }
    assert!(length > 0.5 && (1..=3).contains(&in_hand.len()), "{length} {}", in_hand.len());
}

/// On sockets: a database slow by itself was left one call in hand, and the cores idled for 12 s.
#[test]
fn slow_calls_leave_a_quarter_of_the_share_and_what_would_wait_in_vain_goes_without() {
    let mut set = with_calls(12.0);
    set.classes[0].skipped_call_weight = 0.6;
    set.cores = 16;
    let mut b = Bench::new(set);
    let (mut called, mut skipped, mut refusals) = (BTreeMap::new(), 0, 0);
    for id in 0..600 {
        b.now += 0.01;
        // Each call takes 20 ms, then 400 ms.
        let lasts = if id < 100 { 0.02 } else { 0.4 };
        let over: Vec<u64> = called.iter().filter(|(_, at)| b.now >= **at + lasts).map(|(i, _)| *i).collect();
        let mut out = b.arrive(id, 0);
        refusals += usize::from(refused(&out, id));
        out.extend(b.wake(0.5));
        for id in over {
            called.remove(&id);
            out.extend(b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok }));
            out.extend(b.end(id, Outcome::Ok));
        }
        let mut at = 0;
        while at < out.len() {
            match out[at] {
                Action::Start(id) => out.extend(b.tell(Event::AtCall(id))),
                Action::Call { id, .. } => drop(called.insert(id.0, b.now)),
                Action::SkipCall(id) => {
                    skipped += 1;
                    out.extend(b.end(id.0, Outcome::Ok));
                }
                _ => {}
            }
            at += 1;
        }
    }
    assert!(called.len() >= 3, "{} in hand", called.len());
    assert!(skipped > 300 && refusals == 0, "{skipped} without a call, {refusals} refused");
}

/// On sockets: among the lengths of sound calls every few windows of six looked slow, and the room for calls fell.
#[test]
fn chance_among_the_lengths_of_calls_does_not_lower_their_bound() {
    let mut b = Bench::new(with_calls(12.0));
    // Lengths with the mean and the spread of an exponential draw, in an order without a trend.
    let length = |id: u64| -0.02 * (1.0 - ((id * 37 % 64) as f64 + 0.5) / 64.0).ln();
    for id in 1..=640 {
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
        b.now += length(id);
        b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        b.end(id, Outcome::Ok);
    }
    // Six at calls at once: the start is half of the share.
    let in_hand: usize = (1000..1006)
        .map(|id| {
            b.arrive(id, 0);
            calls_made(&b.tell(Event::AtCall(RequestId(id))))
        })
        .sum();
    assert_eq!(in_hand, 6);
}

/// On sockets: orders were held while lookups stood at calls, and half of them were never run.
#[test]
fn what_stands_at_calls_below_a_tier_is_no_jam_to_it() {
    let mut set = with_calls(2.0);
    set.classes[0].skipped_call_weight = 0.6;
    (set.classes[1].effect, set.classes[1].calls) = (Idempotency::Keyed, true);
    let mut b = Bench::new(set);
    let mut id = 0;
    while b.c.take_released().is_empty() && id < 8 {
        id += 1;
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
    }
    assert!(starts(&b.arrive(99, 1)).contains(&99), "after {id} lookups at their calls");
}

/// On sockets: calls were placed that could not end before their run had to go on, 20 a second.
#[test]
fn a_call_that_could_not_end_in_time_is_not_begun() {
    let mut set = with_calls(4.0);
    set.classes[0].skipped_call_weight = 0.6;
    let mut b = Bench::new(set);
    for id in 1..=20 {
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
        b.now += 0.2;
        b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        b.end(id, Outcome::Ok);
    }
    // Of an aim of 2 s, 0.3 are left: not enough for two calls of 0.2 s, as half of them take longer than one.
    b.arrive(50, 0);
    b.now += 1.7;
    let out = b.tell(Event::AtCall(RequestId(50)));
    assert!(out.contains(&Action::SkipCall(RequestId(50))) && calls_made(&out) == 0, "{out:?}");
}

/// On sockets: 1 in 50 calls was never answered, and soon all that could be in hand were of those.
#[test]
fn a_call_that_is_never_answered_is_given_up_after_some_lengths_and_holds_no_slot() {
    let mut b = Bench::new(with_calls(4.0));
    for id in 1..=20 {
        b.now += 0.05;
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
        b.now += 0.05;
        b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        b.end(id, Outcome::Ok);
    }
    let mut until = Vec::new();
    for id in 21..=23 {
        b.arrive(id, 0);
        for action in b.tell(Event::AtCall(RequestId(id))) {
            if let Action::Call { id, until_s } = action {
                until.push((id, until_s - b.now));
            }
        }
    }
    assert!(!until.is_empty() && until.iter().all(|(_, s)| (0.2..=0.6).contains(s)), "{until:?}");
    b.now += 0.6;
    let mut again = 0;
    for (id, _) in until {
        again += calls_made(&b.tell(Event::CallEnded { id, outcome: Outcome::TimedOut }));
    }
    assert!(again > 0, "what was given up still fills the room for calls");
}

/// On sockets: runs of 10 ms that stalled for 20 ms were taken for hung, and all that was held was sent away.
#[test]
fn a_stall_of_short_runs_is_no_hang() {
    let mut b = Bench::new(Settings { cores: 8, ..settings() });
    for id in 1..=500 {
        b.now += 0.002;
        b.arrive(id, 0);
        b.end(id, Outcome::Ok);
    }
    for id in 501..=512 {
        b.arrive(id, 0);
    }
    let refusals = |out: &[Action]| out.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(refusals(&b.pass(0.2, 1.0)), 0);
    assert!(refusals(&b.pass(1.0, 1.0)) > 0, "a hang is one in the end");
}

/// Full-size days: all workers of a fleet made their first call at the same moment, and cut off half of them.
#[test]
fn a_share_under_one_call_is_there_at_the_start_and_not_spent_on_calls_too_short_to_end() {
    let mut b = Bench::new(with_calls(0.4));
    b.arrive(1, 0);
    let first = b.tell(Event::AtCall(RequestId(1)));
    let Some(Action::Call { until_s, .. }) = first.first() else { panic!("no call at once: {first:?}") };
    assert!(*until_s >= 0.4, "{until_s}");
    b.now = 0.2;
    b.tell(Event::CallEnded { id: RequestId(1), outcome: Outcome::Ok });
    b.end(1, Outcome::Ok);
    // What is left would cut the next call off before it could end: it waits until enough is saved up.
    let mut times = Vec::new();
    for id in 2..=6 {
        b.arrive(id, 0);
        let mut out = b.tell(Event::AtCall(RequestId(id)));
        while !out.iter().any(|a| matches!(a, Action::Call { .. })) {
            b.now += 0.025;
            out = b.wake(1.0);
            assert!(b.now < 30.0, "never called");
        }
        let made =
            out.iter().find_map(|a| if let Action::Call { until_s, .. } = a { Some(*until_s) } else { None });
        times.push(made.unwrap() - b.now);
        b.now += 0.1;
        b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        b.end(id, Outcome::Ok);
    }
    assert!(times.iter().all(|t| *t >= 0.25), "{times:?}");
}

/// Overload with a slow spell: the length remembered from it kept out the calls that could show its end.
#[test]
fn a_slow_spell_of_the_dependency_is_forgotten_while_no_calls_are_made() {
    let mut b = Bench::new(with_calls(5.0));
    for id in 1..=16 {
        b.arrive(id, 0);
        b.tell(Event::AtCall(RequestId(id)));
        b.now += if id < 9 { 0.05 } else { 3.0 };
        b.tell(Event::CallEnded { id: RequestId(id), outcome: Outcome::Ok });
        b.end(id, Outcome::Ok);
    }
    assert!(refused(&b.arrive(17, 0), 17), "calls take longer than the aim");
    b.pass(20.0, 0.1);
    assert!(!refused(&b.arrive(18, 0), 18), "nothing is known to be slow any more");
}

/// Two-core workers: a mean under 0.95 is chance there; what counts is work that wants a core just now.
#[test]
fn a_low_mean_of_busy_cores_alone_does_not_raise_the_run_limit() {
    let limit = |runnable: f64| {
        let mut b = Bench::new(settings());
        for id in 1..=4 {
            b.arrive(id, 0);
        }
        let mut started = 0;
        for _ in 0..22 {
            b.now += 0.025;
            let gauges = Gauges { cores_busy: Some(0.8), runnable: Some(runnable), ..Gauges::default() };
            started += starts(&b.tell(Event::Woken(gauges))).len();
        }
        started
    };
    assert_eq!(limit(3.0), 0);
    assert_eq!(limit(1.0), 1);
}

/// budapest: one account sends three times its share. Its excess waits for next to nothing; but where all look
/// over (a fleet that shrank, a lost zone), nobody is greedy.
#[test]
fn only_an_account_far_over_its_share_of_the_arrivals_is_held_short() {
    let taken = |heavy: bool| {
        let mut set = settings();
        (set.workers, set.over_quota_weight) = (200, 0.05);
        set.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
        let mut b = Bench::new(set);
        let mut taken = 0;
        for id in 1..=60 {
            b.now += 0.1;
            let tenant = Some(usize::from(id % if heavy { 10 } else { 2 } == 0));
            let arrival = Arrival { id: RequestId(id), tenant, kb: 10.0, ..Arrival::default() };
            taken += u32::from(!refused(&b.tell(Event::Arrived(arrival)), id));
            if id % 5 == 0 {
                b.end(id / 5, Outcome::Ok);
            }
        }
        taken
    };
    assert!(taken(true) < taken(false), "{} {}", taken(true), taken(false));
}

/// budapest: further tries of small accounts, refused and unmarked, emptied their buckets.
#[test]
fn what_is_refused_spends_no_quota() {
    let mut set = settings();
    (set.workers, set.over_quota_weight) = (200, 0.05);
    set.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
    let mut b = Bench::new(set);
    let arrive = |b: &mut Bench, id: u64, tenant: usize, read_delay_s: f64| {
        let (id, tenant) = (RequestId(id), Some(tenant));
        b.tell(Event::Arrived(Arrival { id, tenant, kb: 10.0, read_delay_s, ..Arrival::default() }))
    };
    for id in 1..=4 {
        arrive(&mut b, id, 0, 0.0);
    }
    assert!((5..=14).all(|id| refused(&arrive(&mut b, id, 1, 1.9), id)), "read too late");
    arrive(&mut b, 20, 0, 0.0);
    arrive(&mut b, 21, 1, 0.0);
    let order: Vec<u64> = (1..=4).flat_map(|id| starts(&b.end(id, Outcome::Ok))).collect();
    assert_eq!(order.first(), Some(&3));
    assert!(
        order.contains(&21)
            && order.iter().position(|i| *i == 21) < order.iter().position(|i| *i == 20).or(Some(9))
    );
}

/// Where callers heed a weight, one that is not well or leaves asks for nothing.
#[test]
fn a_weight_is_one_and_nothing_while_leaving() {
    let mut out = Vec::new();
    let mut c = Controller::new(Settings { signal: Signal::Weight, ..settings() }, 0.0, &mut out);
    assert!(out.contains(&Action::Publish(1.0)));
    out.clear();
    c.handle(0.0, Event::Shutdown { ago_s: 0.0, in_s: 4.0 }, &mut out);
    c.handle(0.6, Event::Woken(Gauges::default()), &mut out);
    assert!(out.contains(&Action::Publish(0.0)));
}

/// A large fleet: a tenant's part is a fraction of a request a second, yet a few requests are no excess.
#[test]
fn a_tiny_part_of_a_quota_still_holds_a_few_requests() {
    let mut set = settings();
    (set.workers, set.over_quota_weight) = (200, 0.1);
    set.tenants = vec![Tenant { quota_per_s: 20.0 }; 2];
    let mut b = Bench::new(set);
    for (id, tenant) in [(1, 0), (2, 0), (3, 0), (4, 0), (5, 0), (6, 1)] {
        let id = RequestId(id);
        b.tell(Event::Arrived(Arrival { id, tenant: Some(tenant), kb: 10.0, ..Arrival::default() }));
    }
    // The first tenant's fifth is too many at once, and nearly all that arrives is its own; the other's is not.
    let order: Vec<u64> = (1..=4).flat_map(|id| starts(&b.end(id, Outcome::Ok))).collect();
    assert_eq!(order, vec![3, 4, 6]);
}

/// Work of the top class that looked over quota was refused for held work worth a tenth of it.
#[test]
fn held_work_worth_far_less_does_not_count_against_an_arrival() {
    let mut set = settings();
    set.over_quota_weight = 0.1;
    set.tenants = vec![Tenant { quota_per_s: 0.0 }; 2];
    let mut b = Bench::new(set);
    let mut arrive = |id: u64, class: usize, tenant: usize| {
        let id = RequestId(id);
        b.tell(Event::Arrived(Arrival { id, class, tenant: Some(tenant), kb: 10.0, ..Arrival::default() }))
    };
    for id in 1..=4 {
        arrive(id, 0, 0);
    }
    let low = (5..60).find(|&id| refused(&arrive(id, 0, 1), id)).expect("j of the low class is reached");
    for id in 61..=64 {
        arrive(id, 0, 1);
    }
    // Its tenant has used up its bucket, so it is not in the top tier; what is held is worth a fifth.
    assert!(low > 6 && !refused(&arrive(100, 1, 1), 100));
}

/// zarqa-later overload: workers that read late left the list one by one, and the rest drowned.
#[test]
fn in_a_full_fleet_late_reading_is_no_bad_health() {
    let health = |retry: bool, read_delay_s: f64| {
        let mut b = Bench::new(settings());
        let mut bad = false;
        for id in 1..=70 {
            b.now += 0.1;
            let read_delay_s = if id <= 10 { 0.0 } else { read_delay_s };
            let id = RequestId(id);
            let out =
                b.tell(Event::Arrived(Arrival { id, kb: 10.0, read_delay_s, retry, ..Arrival::default() }));
            bad |= out.contains(&Action::Health(false));
        }
        bad
    };
    assert!(health(false, 2.5), "trouble that is only here");
    assert!(!health(true, 2.5), "others refuse as well");
    assert!(!health(true, 6.0), "however late");
}

/// Found by the seeded worker with a small memory: repeats that wait for a run's answer are memory too.
#[test]
fn a_flood_of_repeats_does_not_fill_the_memory() {
    let mut b = Bench::new(Settings { memory_kb: 100.0, ..settings() });
    b.arrive(1, 1);
    let out: Vec<Action> = (2..=8).flat_map(|id| b.repeat(id, 1)).collect();
    // The run takes 40, its entry 10; of seven repeats of 10 each, four fit.
    assert!(!failed(&out, 5) && failed(&out, 6) && failed(&out, 7) && failed(&out, 8), "{out:?}");
}

/// A worker that came back from a drain was sick at its first two runs: the time in which it had nothing to run was
/// held against them, it went off the list at once, and was sent too little to be well again.
#[test]
fn the_first_runs_after_a_rest_are_not_taken_for_hung_and_hung_ones_still_are() {
    let mut b = Bench::new(settings());
    for id in 1..=40 {
        b.arrive(id, 0);
        b.now += 0.06;
        b.end(id, Outcome::Ok);
    }
    b.pass(4.0, 0.0);
    b.arrive(101, 0);
    b.arrive(102, 0);
    let out = b.pass(0.05, 1.0);
    assert!(!out.contains(&Action::Health(false)), "{out:?}");
    b.end(101, Outcome::Ok);
    b.end(102, Outcome::Ok);
    b.arrive(103, 0);
    b.arrive(104, 0);
    assert!(b.pass(30.0, 0.0).contains(&Action::Health(false)));
}

/// What another process of the same worker uses counts against the crowd, the memory and the share of the calls.
#[test]
fn what_a_process_beside_uses_is_not_used_here_as_well() {
    let beside = |on_cores, calling, kb| Event::OtherProcess { on_cores, calling, kb };
    let mut b = Bench::new(settings());
    b.tell(beside(2, 0, 0.0));
    assert!(starts(&b.arrive(1, 0)).is_empty());
    assert_eq!(starts(&b.tell(beside(1, 0, 0.0))), [1]);
    let mut b = Bench::new(settings());
    b.tell(beside(0, 0, 99_000.0));
    assert!(matches!(b.arrive(1, 0)[..], [Action::Reject { .. }]));
    b.tell(beside(0, 0, 0.0));
    assert_eq!(starts(&b.arrive(2, 0)), [2]);
    let mut b = Bench::new(with_calls(4.0));
    b.tell(beside(0, 4, 0.0));
    b.arrive(1, 0);
    let made = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Call { .. }));
    assert!(!made(&b.tell(Event::AtCall(RequestId(1)))));
    assert!(made(&b.tell(beside(0, 0, 0.0))));
}
