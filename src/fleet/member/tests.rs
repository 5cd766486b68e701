use super::*;
use crate::fleet::frame::{LeaseRef, RenewedLease, ServerMessage};
use crate::fleet::tasks::Schedule;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn lease(token: u64) -> LeaseRef {
    LeaseRef { task: "t".into(), token }
}

fn config() -> MembershipConfig {
    let schedule = Schedule {
        name: "t".into(),
        period_s: 10.0,
        address: address(9),
        path: "/".into(),
        deadline_s: 0.5,
        idempotent: true,
    };
    MembershipConfig {
        fleet: "f".into(),
        name: "w1".into(),
        zone: "z".into(),
        coordinators: vec![address(1)],
        drift: 0.1,
        computes_totals: false,
        tasks: vec![schedule],
        overload: None,
    }
}

fn welcome() -> ServerMessage {
    ServerMessage::Welcome { session: 5, session_ttl_ms: 3000, heartbeat_interval_ms: 500, version: VERSION }
}

/// A member whose session was established at 1 s and which holds the task's lease with token 3.
fn member_with_lease() -> FleetMember {
    let mut member = FleetMember::new(0.0, config(), Incarnation(1), 1);
    member.tick(1.0, Counters::new);
    member.connected();
    member.receive(1.0, &welcome());
    member.receive(1.0, &ServerMessage::LeaseGranted { lease: lease(3) });
    member.take_actions();
    member
}

fn sent(member: &mut FleetMember) -> Vec<ClientMessage> {
    let message = |action| match action {
        MemberAction::Send(message) => Some(message),
        _ => None,
    };
    member.take_actions().into_iter().filter_map(message).collect()
}

fn released(token: u64, pass_on: bool) -> ClientMessage {
    ClientMessage::ReleaseLease { lease: lease(token), failed: false, pass_on }
}

#[test]
fn a_draining_worker_releases_its_lease_and_rejects_one_granted_during_the_drain() {
    let mut member = member_with_lease();
    member.set_accepting_tasks(2.0, false);
    assert_eq!(sent(&mut member), [released(3, false)]);
    member.receive(2.1, &ServerMessage::LeaseGranted { lease: lease(4) });
    assert_eq!(sent(&mut member), [released(4, false)]);
    assert_eq!(member.may_act(2.1, "t", 0.0), None);
}

#[test]
fn a_replaced_worker_passes_on_its_lease_and_closes_its_session_once() {
    let mut member = member_with_lease();
    member.leave(true);
    member.leave(true);
    assert_eq!(sent(&mut member), [released(3, true), ClientMessage::Goodbye]);
}

#[test]
fn all_leases_are_lost_when_the_session_expires() {
    let mut member = member_with_lease();
    member.receive(2.0, &ServerMessage::SessionExpired);
    assert!(!member.has_established_session());
    assert_eq!(member.leases.token("t"), None);
    let lease_lost = MemberAction::Log(MembershipEvent::LeaseLost {
        lease: lease(3),
        cause: LeaseLossCause::SessionExpired,
    });
    assert_eq!(member.take_actions(), [lease_lost, MemberAction::Close]);
}

/// A member with a scheduled call in flight, made under the lease with token 3.
fn member_with_call() -> FleetMember {
    let mut member = member_with_lease();
    member.tick(1.0, Counters::new);
    let renewal = RenewedLease { lease: lease(3), ttl_ms: 3000 };
    let ack = ServerMessage::HeartbeatAck {
        seq: 1,
        leases: vec![renewal],
        totals: None,
        counters: Vec::new(),
        overload: None,
    };
    member.receive(1.1, &ack);
    member.tick(1.1, Counters::new);
    member.receive(1.2, &ServerMessage::PeriodBegun { lease: lease(3), period: 7, attempt: 1 });
    let calls = member.take_actions().into_iter().filter(|action| matches!(action, MemberAction::Call(_)));
    assert_eq!(calls.count(), 1);
    member
}

fn ended(outcome: CallOutcome) -> ClientMessage {
    ClientMessage::EndPeriod { lease: lease(3), period: 7, outcome }
}

/// Guards against a process that exits during a scheduled call: its lease would be free only when it expires.
#[test]
fn a_replaced_worker_has_left_when_its_call_has_ended_and_its_lease_is_passed_on() {
    let mut member = member_with_call();
    member.leave(true);
    assert_eq!((sent(&mut member), member.has_left()), (vec![], false));
    member.call_ended(1.3, 0, CallOutcome::Done);
    let messages = [ended(CallOutcome::Done), released(3, true), ClientMessage::Goodbye];
    assert_eq!(sent(&mut member), messages);
    assert!(member.has_left());
}

#[test]
fn a_call_that_outlives_its_process_is_indeterminate_and_its_lease_is_not_released() {
    let mut member = member_with_call();
    member.leave(true);
    member.abandon_calls(1.3);
    assert_eq!(sent(&mut member), [ended(CallOutcome::Unknown)]);
    member.call_ended(1.4, 0, CallOutcome::Done);
    assert!(!sent(&mut member).contains(&ended(CallOutcome::Done)));
}

/// Guards against a leaving worker that waits for its session to be closed although nobody closes it.
#[test]
fn a_worker_without_a_link_has_left_and_closes_its_session_if_the_link_returns() {
    let mut member = member_with_lease();
    member.disconnected(2.0);
    assert!(!member.has_left());
    member.leave(false);
    assert!(member.has_left());
    member.tick(4.0, Counters::new);
    member.connected();
    member.take_actions();
    member.receive(4.0, &welcome());
    assert!(sent(&mut member).contains(&ClientMessage::Goodbye));
    assert!(member.has_left());
}

/// Guards against a worker that accepts no leases any more after a hot restart that failed.
#[test]
fn a_worker_that_rejoins_accepts_leases_again() {
    let mut member = member_with_lease();
    member.leave(true);
    member.take_actions();
    member.rejoin(2.0);
    assert!(!member.has_left());
    member.receive(2.1, &ServerMessage::LeaseGranted { lease: lease(4) });
    assert_eq!(member.leases.token("t"), Some(4));
    assert!(!sent(&mut member).iter().any(|message| matches!(message, ClientMessage::ReleaseLease { .. })));
}
