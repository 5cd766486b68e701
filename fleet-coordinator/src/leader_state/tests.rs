use super::*;
use crate::state_machine::{ReleaseReason, Task};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};

const LINK: LinkId = LinkId(5);

fn set_tasks(epoch: u64, ttl_ms: u64, backoff_ms: u64) -> Command {
    let task = Task { name: "t".into(), ttl_ms, zones: Vec::new(), backoff_ms };
    Command::SetTasks { epoch, tasks: vec![task] }
}

fn open_session() -> Command {
    Command::OpenSession { name: "w".into(), zone: "z".into(), incarnation: 1, version: 2 }
}

fn grant_lease() -> Command {
    Command::GrantLease { task: "t".into(), session: SessionId(1) }
}

fn hello() -> Hello {
    Hello { name: "w".into(), zone: "z".into(), incarnation: 1, version: 2 }
}

fn apply(state: &mut LeaseStateMachine, at_ms: u64, command: Command) {
    state.apply(&LogEntry { at_ms, command }).unwrap();
}

#[test]
fn a_renewal_is_answered_with_at_most_the_ttl_in_force_at_its_receipt() {
    let mut state = LeaseStateMachine::default();
    apply(&mut state, 0, set_tasks(1, 1000, 0));
    apply(&mut state, 0, open_session());
    apply(&mut state, 0, grant_lease());
    let mut leader = LeaderState::new(SafetyChecks::default(), None);
    leader.start_term(0.0, &state);
    leader.on_hello(0.0, LINK, hello(), &state);
    let leases = vec![LeaseRef { task: "t".into(), token: 1 }];
    let heartbeat = Heartbeat { sequence: 1, leases: leases.clone(), ..Heartbeat::default() };
    leader.on_heartbeat(1.0, LINK, heartbeat, &state);
    leader.request_confirmation(1.0, &state);
    // The TTL is raised between the renewal and the quorum's confirmation.
    apply(&mut state, 0, set_tasks(2, 9000, 0));
    leader.on_confirmed(1.1, 1, &state);
    let leases = vec![RenewedLease { lease: leases[0].clone(), ttl_ms: 1000 }];
    let answer =
        ServerMessage::HeartbeatAck { seq: 1, leases, totals: None, counters: Vec::new(), overload: None };
    assert_eq!(leader.take_actions().pop(), Some(LeaderAction::Send(LINK, answer)));
    assert!(leader.remaining_s(1.1, 1) <= 1.0);
}

#[test]
fn a_backoff_continues_under_the_next_leader() {
    let mut state = LeaseStateMachine::default();
    apply(&mut state, 0, set_tasks(1, 1000, 4000));
    apply(&mut state, 0, open_session());
    apply(&mut state, 0, grant_lease());
    let lease = LeaseRef { task: "t".into(), token: 1 };
    apply(&mut state, 500, Command::ReleaseLease { lease, reason: ReleaseReason::Failed });
    // This leader's clock is far ahead of the log's time.
    let mut leader = LeaderState::new(SafetyChecks::default(), None);
    leader.start_term(900.0, &state);
    leader.on_hello(900.0, LINK, hello(), &state);
    let grant = LeaderAction::Propose(grant_lease());
    let mut granted_at = |now: f64| {
        let heartbeat = Heartbeat { sequence: 1, wanted_tasks: vec!["t".into()], ..Heartbeat::default() };
        leader.on_heartbeat(now, LINK, heartbeat, &state);
        leader.tick(now, &state);
        leader.take_actions().contains(&grant)
    };
    assert!(!granted_at(900.0) && !granted_at(903.9) && granted_at(904.0));
}
