//! GOAWAY and PING on idle connections.

use crate::expect_start;
use crate::peer::*;
use crate::WORKER;

#[test]
fn idle_connection_gets_goaway_and_a_crossing_request_is_served() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}idle_s = 1\n")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.ack_pings = false;
    peer.send_request(1, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
    assert_eq!(peer.read_goaway(), (0x7fff_ffff, NO_ERROR));
    peer.send_request(3, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    let ping = peer.next("a PING", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.read_goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "crossed");
    assert_eq!(peer.read_response(3).body, b"crossed");
    assert!(peer.is_closed());
}

#[test]
fn idle_client_that_answers_no_ping_is_closed() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}ping_s = 0.5\n")));
    let (mut executor, mut responsive) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut unresponsive = Peer::connect(&worker, &[]);
    unresponsive.ack_pings = false;
    for peer in [&mut responsive, &mut unresponsive] {
        peer.send_request(1, "look", None, "hello");
        let job = expect_start(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(1).body, b"seen");
    }
    for _ in 0..3 {
        responsive.next("a PING", |f| f.kind == PING && f.flags & ACK == 0);
    }
    unresponsive.next("a PING", |f| f.kind == PING && f.flags & ACK == 0);
    assert!(unresponsive.is_closed());
    // Reading the response also acknowledges the PINGs that arrived while the other connection was being closed.
    responsive.send_request(3, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "still here");
    assert_eq!(responsive.read_response(3).body, b"still here");
}
