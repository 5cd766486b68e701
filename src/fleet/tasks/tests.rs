use super::super::frame::RenewedLease;
use super::*;

fn schedule(idempotent: bool) -> Schedule {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Schedule { name: "t".into(), period_s: 10.0, address, path: "/".into(), deadline_s: 0.5, idempotent }
}

fn held(token: u64) -> LeaseRef {
    LeaseRef { task: "t".into(), token }
}

fn begun(lease: &LeaseRef, period: u64, attempt: u64) -> BegunPeriod<'_> {
    BegunPeriod { lease, period, attempt }
}

/// A holder whose lease was renewed by a heartbeat sent at `at`.
fn holder_with_lease(at: f64) -> LeaseHolder {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(1));
    holder.heartbeat_sent(at, 1);
    holder.heartbeat_acked(1, &[RenewedLease { lease: held(1), ttl_ms: 3000 }]);
    holder
}

#[test]
fn no_period_is_requested_and_no_call_made_under_a_lease_that_may_expire_before_the_call_ends() {
    let holder = holder_with_lease(0.0);
    let mut task = ScheduledTask::new(0, schedule(false));
    assert_eq!(task.tick(2.3, &holder), None);
    assert!(matches!(task.tick(1.0, &holder), Some(ClientMessage::BeginPeriod { attempt: 1, .. })));
    // The answer arrives too late for the call, so the period is reported as not done.
    let decision = task.period_begun(2.3, &begun(&held(1), 4, 1), &holder);
    assert_eq!(
        decision,
        PeriodDecision::Report(ClientMessage::EndPeriod {
            lease: held(1),
            period: 4,
            outcome: CallOutcome::NotDone
        })
    );
}

#[test]
fn a_request_is_repeated_under_the_same_attempt_and_its_call_is_made_once() {
    let holder = holder_with_lease(0.0);
    let mut task = ScheduledTask::new(0, schedule(false));
    let first = task.tick(0.1, &holder);
    assert_eq!(task.tick(0.2, &holder), None);
    assert_eq!(task.tick(1.7, &holder), first);
    assert!(matches!(task.period_begun(1.8, &begun(&held(1), 1, 1), &holder), PeriodDecision::Call(_)));
    assert_eq!(
        task.period_begun(1.8, &begun(&held(1), 1, 1), &holder),
        PeriodDecision::Superseded,
        "a duplicate answer"
    );
    let report = task.call_ended(1.9, CallOutcome::Unknown);
    assert_eq!(task.reconnected(2.0), report, "the report may have been lost with the link");
}

#[test]
fn three_consecutive_failures_reach_the_failure_limit_once() {
    let mut task = ScheduledTask::new(0, schedule(true));
    for n in 1..=3u32 {
        let now = f64::from(n) * 2.0;
        let holder = holder_with_lease(now);
        assert!(!task.take_failure_limit_reached());
        assert!(task.tick(now, &holder).is_some());
        assert!(matches!(
            task.period_begun(now, &begun(&held(1), 1, u64::from(n)), &holder),
            PeriodDecision::Call(_)
        ));
        task.call_ended(now, CallOutcome::NotDone);
    }
    assert!(task.take_failure_limit_reached() && !task.take_failure_limit_reached());
}
