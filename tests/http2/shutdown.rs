//! Shutdown and drain: GOAWAY, and streams that cross it.

use crate::peer::*;
use crate::starts;
use crate::WORKER;
use serde_json::json;
use std::time::Duration;

#[test]
fn shutdown_sends_goaway_twice_answers_open_streams_and_closes() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut idle = Peer::connect(&worker, &[]);
    idle.frame(PING, 0, 0, b"whatever");
    idle.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
    peer.ack_pings = false;
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    // A stream that crossed it is still taken, and its read is answered.
    peer.send_request(3, "look", None, "hello");
    let crossed = starts(&mut executor, "look");
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "placed");
    executor.send_exit(&crossed, "PASS", "seen");
    assert_eq!(
        (peer.read_response(1).body, peer.read_response(3).body),
        (b"placed".to_vec(), b"seen".to_vec())
    );
    assert!(peer.is_closed() && idle.is_closed());
    worker.wait_log("shutdown_complete responses=all_sent");
    assert!(worker.exits_successfully());
}

/// A drain by console changed health alone, and clients that kept their connection never heard of it.
#[test]
fn console_drain_sends_goaway_to_idle_clients_and_serves_crossing_requests() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut ask = |peer: &mut Peer, stream: u32| {
        peer.send_request(stream, "look", None, "hello");
        let job = starts(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(stream).body, b"seen");
    };
    ask(&mut peer, 1);
    peer.ack_pings = false;
    assert_eq!(worker.console_request("POST", "/-/drain").0, 200);
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    ask(&mut peer, 3);
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    assert!(peer.is_closed());
    // Whoever comes all the same is served, and after the drain nobody is sent away.
    let mut late = Peer::connect(&worker, &[]);
    ask(&mut late, 1);
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    let mut back = Peer::connect(&worker, &[]);
    ask(&mut back, 1);
    std::thread::sleep(Duration::from_millis(600));
    ask(&mut back, 3);
    assert!(back.kept.iter().all(|f| f.kind != GOAWAY), "{:?}", back.kept);
}

#[test]
fn second_shutdown_notice_changes_nothing() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    assert_eq!(peer.goaway(), (1, NO_ERROR));
    worker.terminate();
    // A stream that is opened after the last GOAWAY is none, and nothing of it runs.
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
    let (mut executor, mut half, mut shut) =
        (worker.accept_link(), Peer::connect(&worker, &[]), Peer::connect(&worker, &[(4, 0)]));
    shut.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    shut.next("the head", |f| f.kind == HEADERS);
    let block = Peer::block(&Peer::head("look", None));
    half.frame(HEADERS, 0, 1, &block[..20]);
    worker.terminate();
    worker.wait_log("shutdown_started");
    half.frame(CONTINUATION, END_HEADERS, 1, &block[20..]);
    half.frame(DATA, END_STREAM, 1, b"hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(half.read_response(1).body, b"seen");
    shut.window(1, 12);
    assert_eq!(shut.next("the body", |f| f.kind == DATA).payload, b"twelve bytes");
    assert!(half.is_closed() && shut.is_closed());
    worker.wait_log("shutdown_complete responses=all_sent");
    assert!(worker.exits_successfully());
}

/// A shutdown so short that the controller has no time to abandon runs: the streams are answered all the same, each in the way of
/// what is known of it.
#[test]
fn streams_are_answered_before_the_exit_however_short_the_shutdown() {
    for stop_ms in [120, 1, 0] {
        let mut worker = WORKER.start_with(|c| c["stop_ms"] = json!(stop_ms), Some(FRONTEND));
        let mut executor = worker.accept_link();
        executor.gauges = [1.0, 4.0, 0.1, 3.0];
        let mut peer = Peer::connect(&worker, &[]);
        peer.send_request(1, "order", Some("k1"), "hello");
        starts(&mut executor, "order");
        peer.send_request(3, "look", None, "hello");
        starts(&mut executor, "look");
        peer.send_request(5, "look", None, "hello");
        peer.frame(PING, 0, 0, b"whatever");
        peer.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
        worker.terminate();
        let status = [1, 3, 5].map(|stream| peer.read_response(stream).status);
        assert!([500, 504].contains(&status[0]) && status[2] == 503, "{status:?}");
        assert!(worker.exits_successfully());
    }
}
