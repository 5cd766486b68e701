//! Predecessors and successors that die, hang or send malformed frames.

use crate::{job, order, retry, start_first, start_successor, ScriptedProcess, WORKER};
use port_worker::hot_restart::frame::{Bytes, Frame, Key, KeyOutcome, KeyState, VERSION};
use port_worker::hot_restart::FingerprintKey;
use serde_json::json;
use std::io::Write;
use std::os::unix::net::UnixListener;
use test_support::{unix_ms, Client, RequestBuilder, SharedListener};

#[test]
fn key_running_in_a_killed_predecessor_fails_and_is_not_run_again() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut first_client = Client::connect(predecessor.http);
    first_client.send(&order("k1"));
    predecessor_executor.expect_command("EXEC");
    let (successor, mut successor_executor) = start_successor(&shared);
    let mut client = Client::connect(successor.http);
    client.send(&retry("k1"));
    successor_executor.expect_no_command(&successor);
    predecessor.kill();
    assert_eq!(client.read_response().status, 500);
    assert_eq!(client.request(&retry("k1")).status, 500);
    // The predecessor reported all its keys before it was killed, so that another key is known not to have run.
    client.send(&retry("k2"));
    successor_executor.serve_next(&mut client, "placed");
}

#[test]
fn a_successor_that_dies_before_it_can_serve_changes_nothing() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut successor = WORKER.start_on(&shared, |_| {});
    assert_eq!(successor.console_request("GET", "/-/ready").0, 503);
    successor.kill();
    predecessor.wait_log("hot_restart_peer_exited peer=successor");
    let mut client = Client::connect(predecessor.http);
    client.send(&RequestBuilder::new("look"));
    predecessor_executor.serve_next(&mut client, "as before");
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 200);
}

#[test]
fn listeners_are_reopened_when_the_successor_dies_and_unknown_retries_fail_for_a_window() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let (mut successor, _successor_executor) = start_successor(&shared);
    predecessor.wait_log("listeners_handed_off");
    successor.kill();
    predecessor.wait_log("listeners_acquired");
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 200);
    predecessor.wait_load_report("ready");
    let mut client = Client::connect(predecessor.http);
    client.send(&RequestBuilder::new("look"));
    predecessor_executor.serve_next(&mut client, "");
    assert_eq!(client.request(&retry("k1")).status, 500);
    client.send(&order("k2"));
    predecessor_executor.serve_next(&mut client, "placed");
    // Another successor can take over.
    let (third, _executor) = start_successor(&shared);
    assert_eq!(third.check_health(), 200);
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
}

#[test]
fn successor_serves_without_a_hung_predecessor_which_hands_off_when_it_recovers() {
    let shared = SharedListener::bind();
    let (mut predecessor, mut predecessor_executor) = start_first(&shared);
    let mut client = Client::connect(predecessor.http);
    client.send(&order("k1"));
    let exec = predecessor_executor.expect_command("EXEC");
    predecessor_executor.send_exit(job(&exec), "PASS", "placed 1");
    client.read_response();
    predecessor.suspend();
    let (mut successor, mut successor_executor) = start_successor(&shared);
    let mut fresh = Client::connect(successor.http);
    fresh.send(&RequestBuilder::new("look"));
    successor_executor.serve_next(&mut fresh, "");
    // The keys that the predecessor runs are unknown, so that every keyed request fails, even a first attempt.
    assert_eq!(fresh.request(&order("k2")).status, 500);
    predecessor.resume();
    successor.wait_log("indeterminate_keys_changed unknown_keys=run");
    predecessor.wait_log("listeners_handed_off");
    let mut fresh = Client::connect(successor.http);
    assert_eq!(fresh.request(&retry("k1")).body, b"placed 1");
    client.send(&RequestBuilder::new("look"));
    successor_executor.serve_next(&mut client, "on the handed-off connection");
    predecessor.terminate();
    assert!(predecessor.exits_successfully());
}

/// Guards against a rejection of an order that may have run in the other process, by a successor whose executor is not up
/// yet: a rejection says that the order has not run.
#[test]
fn retries_fail_in_a_successor_of_an_incompatible_predecessor_before_its_executor_is_up() {
    let shared = SharedListener::bind();
    let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
    let mut successor = WORKER.start_on(&shared, |_| {});
    let mut peer = ScriptedProcess::new(listener.accept().unwrap().0);
    assert!(matches!(peer.receive(), Frame::Hello { version: VERSION, .. }));
    peer.send(&Frame::Incompatible { reason: "version is too old".into() });
    successor.wait_log("indeterminate_keys_changed unknown_keys=fail");
    successor.wait_log("listeners_acquired");
    let mut client = Client::connect(successor.http);
    assert_eq!(client.request(&order("k1")).status, 500);
    assert_eq!(client.request(&RequestBuilder::new("look")).status, 503);
    // Once the predecessor has ended, first attempts have run nowhere.
    drop((peer, listener));
    successor.wait_log("unknown_keys=retries_fail_for_a_window");
    assert_eq!(client.request(&retry("k1")).status, 500);
    assert_eq!(client.request(&order("k2")).status, 503);
}

#[test]
fn incompatible_or_malformed_predecessor_state_is_discarded() {
    for malformed in [false, true] {
        let shared = SharedListener::bind();
        let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
        let mut successor = WORKER.start_on(&shared, |_| {});
        let mut peer = ScriptedProcess::new(listener.accept().unwrap().0);
        assert!(matches!(peer.receive(), Frame::Hello { version: VERSION, .. }));
        let mut executor = successor.accept_link_without_waiting();
        if malformed {
            peer.send(&Frame::Welcome);
            assert_eq!(peer.receive(), Frame::RequestListeners);
            let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
            let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"made up"))));
            peer.send(&Frame::Key(KeyState {
                key,
                body_fingerprint: 0,
                principal_fingerprint: None,
                is_first_attempt: false,
                expires_at_ms: 4e12,
                outcome,
            }));
            peer.stream.write_all(b"\0\0\0\x05\0nonsense").unwrap();
        } else {
            peer.send(&Frame::Incompatible { reason: "version is too old".into() });
        }
        successor.wait_log("indeterminate_keys_changed unknown_keys=fail");
        successor.wait_ready();
        let mut client = Client::connect(successor.http);
        assert_eq!(client.request(&order("k1")).status, 500);
        client.send(&RequestBuilder::new("look"));
        executor.serve_next(&mut client, "");
        // The successor also monitors a predecessor whose state it discarded: keys are indeterminate for a limited time
        // after the end of that process.
        let monitor = malformed.then(|| listener.accept().unwrap());
        let (link, monitor) = (peer, monitor);
        drop((link, monitor));
        if malformed {
            successor.wait_log("hot_restart_peer_exited peer=predecessor");
        }
    }
}

#[test]
fn a_successor_of_an_unknown_version_is_rejected_and_the_predecessor_serves_on() {
    let shared = SharedListener::bind();
    let (mut predecessor, _executor) = start_first(&shared);
    let mut peer = ScriptedProcess::connect(&shared);
    peer.send_hello(VERSION + 1);
    assert!(matches!(peer.receive(), Frame::Incompatible { .. }));
    peer.send(&Frame::RequestListeners);
    assert_eq!(predecessor.check_health(), 200);
    assert_eq!(predecessor.console_request("GET", "/-/ready").0, 200);
    drop(peer);
    // Bytes that are not a frame are logged and have no other effect.
    let mut peer = ScriptedProcess::connect(&shared);
    peer.stream.write_all(&[0xff; 64]).unwrap();
    predecessor.wait_log("hot_restart_frame_damaged");
    assert_eq!(predecessor.check_health(), 200);
}

#[test]
fn unknown_retries_fail_after_a_dead_predecessor() {
    let shared = SharedListener::bind();
    drop(UnixListener::bind(shared.hot_restart_socket()).unwrap());
    let (mut worker, mut executor) = start_first(&shared);
    worker.wait_log("predecessor_dead");
    let mut client = Client::connect(worker.http);
    assert_eq!(client.request(&retry("k1")).status, 500);
    client.send(&order("k2"));
    executor.serve_next(&mut client, "placed");
    // A graceful shutdown removes the socket file.
    worker.terminate();
    assert!(worker.exits_successfully());
    assert!(!shared.hot_restart_socket().exists());
}

#[test]
fn state_of_a_predecessor_killed_while_sending_is_discarded() {
    let shared = SharedListener::bind();
    let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
    let mut successor = WORKER.start_on(&shared, |_| {});
    let mut peer = ScriptedProcess::new(listener.accept().unwrap().0);
    let mut executor = successor.accept_link_without_waiting();
    assert!(matches!(peer.receive(), Frame::Hello { .. }));
    peer.send(&Frame::Welcome);
    assert_eq!(peer.receive(), Frame::RequestListeners);
    let learned = port_worker::interface::LearnedState { run_limit: 9, ..Default::default() };
    peer.send(&Frame::State {
        fingerprint_key: FingerprintKey(1, 2),
        draining: true,
        learned,
        running: vec!["r1".into()],
    });
    let key = Key { class: 1, tenant: Some(0), key: "k1".into() };
    let outcome = KeyOutcome::Served(Some(Bytes(std::rc::Rc::from(*b"placed"))));
    let frame = Frame::Key(KeyState {
        key,
        body_fingerprint: 7,
        principal_fingerprint: None,
        is_first_attempt: false,
        expires_at_ms: unix_ms() as f64 + 9000.0,
        outcome,
    })
    .encode();
    peer.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(peer);
    successor.wait_log("hot_restart_peer_exited peer=predecessor");
    successor.wait_ready();
    // The drain and the key are discarded, since the state was not received completely.
    assert_eq!(successor.check_health(), 200);
    let mut client = Client::connect(successor.http);
    assert_eq!(client.request(&retry("k1")).status, 500);
    assert_eq!(client.request(&retry("k2")).status, 500);
    client.send(&order("k3"));
    executor.serve_next(&mut client, "placed");
}

#[test]
fn predecessor_state_beyond_the_memory_limit_is_discarded() {
    let shared = SharedListener::bind();
    let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
    let mut successor = WORKER.start_on(&shared, |c| c["limits"]["memory_mb"] = json!(16));
    let mut peer = ScriptedProcess::new(listener.accept().unwrap().0);
    let _executor = successor.accept_link_without_waiting();
    assert!(matches!(peer.receive(), Frame::Hello { .. }));
    peer.send(&Frame::Welcome);
    assert_eq!(peer.receive(), Frame::RequestListeners);
    // Results of 4 KiB for more keys than the memory limit allows.
    let result = Bytes(vec![b'x'; 4096].into());
    for n in 0..5000 {
        let key = Key { class: 1, tenant: Some(0), key: format!("k{n}").into() };
        let outcome = KeyOutcome::Served(Some(result.clone()));
        let frame = Frame::Key(KeyState {
            key,
            body_fingerprint: 0,
            principal_fingerprint: None,
            is_first_attempt: false,
            expires_at_ms: 4e12,
            outcome,
        });
        if peer.stream.write_all(&frame.encode()).is_err() {
            break;
        }
    }
    successor.wait_log("hot_restart_state_too_large");
    successor.wait_ready();
    assert!(
        successor.resident_kb() < 24.0 * 1024.0,
        "{} KB of resident memory; expected less than 24 MB",
        successor.resident_kb()
    );
}
