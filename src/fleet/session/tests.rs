use super::*;

fn session(seed: u64) -> Session {
    let all = (1..=3).map(|n| SocketAddr::from(([127, 0, 0, 1], n))).collect();
    Session::new(0.0, all, seed, ClientMessage::Goodbye)
}

fn welcome(session: u64) -> ServerMessage {
    ServerMessage::Welcome { session, session_ttl_ms: 10_000, keep_every_ms: 1000, version: 2 }
}

#[test]
fn three_hundred_that_are_cut_off_at_once_come_back_spread_out() {
    let mut at = Vec::new();
    for seed in 1..=300u64 {
        let mut s = session(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut steps = Vec::new();
        s.tick(10.0, &mut steps);
        s.heard(10.0, &welcome(1), &mut steps);
        s.broken(20.0);
        at.push(s.next() - 20.0);
    }
    at.sort_by(f64::total_cmp);
    assert!(at[0] >= 0.05 && at[299] <= 0.7, "{} to {}", at[0], at[299]);
    let most = at.windows(60).map(|w| w[59] - w[0]).fold(f64::INFINITY, f64::min);
    assert!(most > 0.05, "60 of 300 come within {most} s");
}

#[test]
fn a_leader_that_does_not_answer_is_left_for_the_next() {
    let mut s = session(5);
    let mut steps = Vec::new();
    s.tick(1.0, &mut steps);
    s.heard(1.0, &welcome(1), &mut steps);
    let first = s.coordinator();
    assert!(s.tick(1.0, &mut steps));
    s.keep(1.0, 1.0);
    assert!(s.tick(2.1, &mut steps));
    s.keep(2.1, 1.0);
    steps.clear();
    s.tick(3.6, &mut steps);
    assert_eq!(steps, vec![Step::Close]);
    assert_ne!(s.coordinator(), first);
    assert_eq!(s.number, Some(1), "the session goes on over another coordinator");
}

#[test]
fn answers_that_keep_coming_keep_the_link_and_the_word_of_a_leader_is_followed() {
    let mut s = session(5);
    let mut steps = Vec::new();
    s.tick(1.0, &mut steps);
    let named = SocketAddr::from(([127, 0, 0, 1], 3));
    s.heard(
        1.0,
        &ServerMessage::NotLeader { leader: Some(named.to_string()), why: String::new() },
        &mut steps,
    );
    assert_eq!(s.coordinator(), Some(named));
    let at = s.next();
    s.tick(at, &mut steps);
    assert!(s.heard(at, &welcome(4), &mut steps));
    for n in 0..20 {
        let now = at + f64::from(n);
        assert!(s.tick(now, &mut steps), "{n}");
        let seq = s.keep(now, 1.0);
        s.heard(
            now + 0.9,
            &ServerMessage::HeartbeatAck {
                seq,
                leases: vec![],
                totals: None,
                figures: vec![],
                overload: None,
            },
            &mut steps,
        );
    }
    assert!(s.is_up());
    s.broken(40.0);
    let at = s.next();
    s.tick(at, &mut steps);
    assert!(!s.heard(at, &welcome(4), &mut steps), "the same session");
}
