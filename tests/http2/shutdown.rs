//! GOAWAY during shutdown and drain, and streams opened while it is in flight.

use crate::expect_start;
use crate::peer::*;
use crate::WORKER;
use serde_json::json;
use std::time::Duration;

#[test]
fn shutdown_sends_goaway_twice_answers_open_streams_and_closes() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut idle = Peer::connect(&worker, &[]);
    idle.frame(PING, 0, 0, b"whatever");
    idle.next("the PING acknowledgement", |f| f.kind == PING && f.flags & ACK != 0);
    peer.ack_pings = false;
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = expect_start(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.read_goaway(), (0x7fff_ffff, NO_ERROR));
    // A stream opened while GOAWAY is in flight is still accepted and answered.
    peer.send_request(3, "look", None, "hello");
    let crossing = expect_start(&mut executor, "look");
    let ping = peer.next("a PING", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.read_goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "placed");
    executor.send_exit(&crossing, "PASS", "seen");
    assert_eq!(
        (peer.read_response(1).body, peer.read_response(3).body),
        (b"placed".to_vec(), b"seen".to_vec())
    );
    assert!(peer.is_closed() && idle.is_closed());
    worker.wait_log("shutdown_complete responses=all_sent");
    assert!(worker.exits_successfully());
}

/// Guards against a drain from the console that changes only the health checks and sends clients with an open connection
/// no GOAWAY.
#[test]
fn console_drain_sends_goaway_to_idle_clients_and_serves_crossing_requests() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut request = |peer: &mut Peer, stream: u32| {
        peer.send_request(stream, "look", None, "hello");
        let job = expect_start(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(stream).body, b"seen");
    };
    request(&mut peer, 1);
    peer.ack_pings = false;
    assert_eq!(worker.console_request("POST", "/-/drain").0, 200);
    assert_eq!(peer.read_goaway(), (0x7fff_ffff, NO_ERROR));
    request(&mut peer, 3);
    let ping = peer.next("a PING", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.read_goaway(), (3, NO_ERROR));
    assert!(peer.is_closed());
    // New connections are served even during the drain, and after it no client gets GOAWAY.
    let mut during_drain = Peer::connect(&worker, &[]);
    request(&mut during_drain, 1);
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    let mut after_resume = Peer::connect(&worker, &[]);
    request(&mut after_resume, 1);
    std::thread::sleep(Duration::from_millis(600));
    request(&mut after_resume, 3);
    assert!(after_resume.unmatched.iter().all(|f| f.kind != GOAWAY), "{:?}", after_resume.unmatched);
}

#[test]
fn second_shutdown_notice_changes_nothing() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = expect_start(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.read_goaway(), (0x7fff_ffff, NO_ERROR));
    assert_eq!(peer.read_goaway(), (1, NO_ERROR));
    worker.terminate();
    // A stream opened after the last GOAWAY is ignored; its request does not run.
    peer.send_request(3, "look", None, "hello");
    executor.send_exit(&job, "PASS", "placed");
    assert_eq!(peer.read_response(1).body, b"placed");
    assert!(peer.is_closed());
    worker.wait_log("shutdown_complete responses=all_sent");
    assert!(worker.exits_successfully());
    assert_eq!(worker.log.iter().filter(|l| l.contains("shutdown_started")).count(), 1);
}

#[test]
fn shutdown_completes_partial_headers_and_responses_behind_closed_windows() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut incomplete, mut blocked) =
        (worker.accept_link(), Peer::connect(&worker, &[]), Peer::connect(&worker, &[(4, 0)]));
    blocked.send_request(1, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    blocked.next("the response HEADERS", |f| f.kind == HEADERS);
    let block = Peer::header_block(&Peer::request_headers("look", None));
    incomplete.frame(HEADERS, 0, 1, &block[..20]);
    worker.terminate();
    worker.wait_log("shutdown_started");
    incomplete.frame(CONTINUATION, END_HEADERS, 1, &block[20..]);
    incomplete.frame(DATA, END_STREAM, 1, b"hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(incomplete.read_response(1).body, b"seen");
    blocked.update_window(1, 12);
    assert_eq!(blocked.next("the response DATA", |f| f.kind == DATA).payload, b"twelve bytes");
    assert!(incomplete.is_closed() && blocked.is_closed());
    worker.wait_log("shutdown_complete responses=all_sent");
    assert!(worker.exits_successfully());
}

/// With a shutdown time so short that the controller can't abandon runs, streams are still answered, each according to
/// what is known about its request.
#[test]
fn streams_are_answered_before_the_exit_however_short_the_shutdown() {
    for stop_ms in [120, 1, 0] {
        let mut worker = WORKER.start_with(|c| c["stop_ms"] = json!(stop_ms), Some(FRONTEND));
        let mut executor = worker.accept_link();
        executor.gauges = [1.0, 4.0, 0.1, 3.0];
        let mut peer = Peer::connect(&worker, &[]);
        peer.send_request(1, "order", Some("k1"), "hello");
        expect_start(&mut executor, "order");
        peer.send_request(3, "look", None, "hello");
        expect_start(&mut executor, "look");
        peer.send_request(5, "look", None, "hello");
        peer.frame(PING, 0, 0, b"whatever");
        peer.next("the PING acknowledgement", |f| f.kind == PING && f.flags & ACK != 0);
        worker.terminate();
        let statuses = [1, 3, 5].map(|stream| peer.read_response(stream).status);
        assert!([500, 504].contains(&statuses[0]) && statuses[2] == 503, "{statuses:?}");
        assert!(worker.exits_successfully());
    }
}
