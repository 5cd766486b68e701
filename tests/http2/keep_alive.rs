//! Idle connections: GOAWAY and PING.

use crate::peer::*;
use crate::starts;
use crate::WORKER;

#[test]
fn idle_connection_gets_goaway_and_a_crossing_request_is_served() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}idle_s = 1\n")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.ack_pings = false;
    peer.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    peer.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "crossed");
    assert_eq!(peer.read_response(3).body, b"crossed");
    assert!(peer.is_closed());
}

#[test]
fn idle_client_that_answers_no_ping_is_closed() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}ping_s = 0.5\n")));
    let (mut executor, mut alive) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut dead = Peer::connect(&worker, &[]);
    dead.ack_pings = false;
    for peer in [&mut alive, &mut dead] {
        peer.send_request(1, "look", None, "hello");
        let job = starts(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(1).body, b"seen");
    }
    for _ in 0..3 {
        alive.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    }
    dead.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    assert!(dead.is_closed());
    // It goes on answering pings while it waits for its turn here.
    alive.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "still here");
    assert_eq!(alive.read_response(3).body, b"still here");
}
