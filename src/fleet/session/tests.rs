use super::*;

fn new_session(seed: u64) -> Session {
    let coordinators = (1..=3).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
    Session::new(0.0, coordinators, seed, ClientMessage::Goodbye)
}

fn welcome(session: u64) -> ServerMessage {
    ServerMessage::Welcome { session, session_ttl_ms: 10_000, heartbeat_interval_ms: 1000, version: 2 }
}

#[test]
fn reconnections_of_a_disconnected_fleet_are_spread() {
    let mut delays = Vec::new();
    for seed in 1..=300u64 {
        let mut session = new_session(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut actions = Vec::new();
        session.tick(10.0, &mut actions);
        session.receive(10.0, &welcome(1), &mut actions);
        session.disconnected(20.0);
        delays.push(session.next_wakeup() - 20.0);
    }
    delays.sort_by(f64::total_cmp);
    assert!(delays[0] >= 0.05 && delays[299] <= 0.7, "{} to {}", delays[0], delays[299]);
    let shortest = delays.windows(60).map(|w| w[59] - w[0]).fold(f64::INFINITY, f64::min);
    assert!(shortest > 0.05, "60 of 300 reconnect within {shortest} s");
}

#[test]
fn a_leader_that_does_not_answer_is_abandoned_for_the_next_coordinator() {
    let mut session = new_session(5);
    let mut actions = Vec::new();
    session.tick(1.0, &mut actions);
    session.receive(1.0, &welcome(1), &mut actions);
    let first = session.coordinator();
    assert!(session.tick(1.0, &mut actions));
    session.heartbeat_sent(1.0, 1.0);
    assert!(session.tick(2.1, &mut actions));
    session.heartbeat_sent(2.1, 1.0);
    actions.clear();
    session.tick(3.6, &mut actions);
    assert_eq!(actions, vec![LinkAction::Close]);
    assert_ne!(session.coordinator(), first);
    assert_eq!(session.number, Some(1), "the session continues over another coordinator");
}

#[test]
fn a_link_is_kept_while_heartbeats_are_acknowledged_and_the_named_leader_is_tried_next() {
    let mut session = new_session(5);
    let mut actions = Vec::new();
    session.tick(1.0, &mut actions);
    let named = SocketAddr::from(([127, 0, 0, 1], 3));
    session.receive(
        1.0,
        &ServerMessage::NotLeader { leader: Some(named.to_string()), reason: String::new() },
        &mut actions,
    );
    assert_eq!(session.coordinator(), Some(named));
    let at = session.next_wakeup();
    session.tick(at, &mut actions);
    assert!(session.receive(at, &welcome(4), &mut actions));
    for n in 0..20 {
        let now = at + f64::from(n);
        assert!(session.tick(now, &mut actions), "{n}");
        let seq = session.heartbeat_sent(now, 1.0);
        session.receive(
            now + 0.9,
            &ServerMessage::HeartbeatAck {
                seq,
                leases: vec![],
                totals: None,
                counters: vec![],
                overload: None,
            },
            &mut actions,
        );
    }
    assert!(session.is_established());
    session.disconnected(40.0);
    let at = session.next_wakeup();
    session.tick(at, &mut actions);
    assert!(!session.receive(at, &welcome(4), &mut actions), "the same session");
}
