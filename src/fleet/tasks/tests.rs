use super::super::frame::RenewedLease;
use super::*;

fn schedule(safe: bool) -> Schedule {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Schedule { name: "t".into(), period_s: 10.0, address, path: "/".into(), deadline_s: 0.5, safe }
}

fn held(token: u64) -> LeaseRef {
    LeaseRef { task: "t".into(), token }
}

/// A holder whose lease was renewed with a sign of life sent at `at`.
fn holding(at: f64) -> LeaseHolder {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(1));
    holder.ask(at, 1);
    holder.kept(1, &[RenewedLease { held: held(1), ttl_ms: 3000 }]);
    holder
}

#[test]
fn nothing_is_asked_or_sent_under_a_lease_that_ends_before_the_call_may() {
    let holder = holding(0.0);
    let mut task = ScheduledTask::new(0, schedule(false));
    assert_eq!(task.tick(2.3, &holder), None);
    assert!(matches!(task.tick(1.0, &holder), Some(ClientMessage::BeginPeriod { attempt: 1, .. })));
    // The answer comes late: what has begun surely had no effect, and the log hears so.
    let told = task.begun(2.3, &held(1), 4, 1, &holder);
    assert_eq!(
        told,
        PeriodDecision::Tell(ClientMessage::EndPeriod {
            held: held(1),
            period: 4,
            ending: CallOutcome::NotDone
        })
    );
}

#[test]
fn a_lost_answer_is_asked_for_again_under_the_same_attempt_and_the_call_is_made_once() {
    let holder = holding(0.0);
    let mut task = ScheduledTask::new(0, schedule(false));
    let first = task.tick(0.1, &holder);
    assert_eq!(task.tick(0.2, &holder), None);
    assert_eq!(task.tick(1.7, &holder), first);
    assert!(matches!(task.begun(1.8, &held(1), 1, 1, &holder), PeriodDecision::Call(_)));
    assert_eq!(task.begun(1.8, &held(1), 1, 1, &holder), PeriodDecision::Overtaken, "it came twice");
    let end = task.ended(1.9, CallOutcome::Unknown);
    assert_eq!(task.relinked(2.0), end, "it may have been lost with the link");
}

#[test]
fn a_holder_that_fails_three_times_in_a_row_gives_its_turn_away() {
    let mut task = ScheduledTask::new(0, schedule(true));
    for n in 1..=3u32 {
        let now = f64::from(n) * 2.0;
        let holder = holding(now);
        assert!(!task.gives_up());
        assert!(task.tick(now, &holder).is_some());
        assert!(matches!(task.begun(now, &held(1), 1, u64::from(n), &holder), PeriodDecision::Call(_)));
        task.ended(now, CallOutcome::NotDone);
    }
    assert!(task.gives_up() && !task.gives_up());
}
