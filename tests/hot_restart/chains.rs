//! Keys across two and three replacements, the first of them of a process that is silent, killed, or stopped half-way through
//! the takeover.

use crate::{job, order, retry, start_first, start_successor, ScriptedProcess, WORKER};
use port_worker::hot_restart::frame::{Frame, Usage, VERSION};
use port_worker::hot_restart::FingerprintKey;
use port_worker::interface::LearnedState;
use std::os::unix::net::UnixListener;
use test_support::{Client, Executor, SharedListener, WorkerUnderTest};

/// Runs the order with this key to its end.
fn place_order(worker: &WorkerUnderTest, executor: &mut Executor, key: &str) {
    let mut client = Client::connect(worker.http);
    client.send(&order(key));
    executor.serve_next(&mut client, "placed");
}

/// Checks that a retry of the order that has run fails, and that it isn't run.
fn expect_failed_retry(worker: &WorkerUnderTest, executor: &mut Executor) {
    assert_eq!(Client::connect(worker.http).request(&retry("k1")).status, 500);
    executor.expect_no_command(worker);
}

/// Guards against a second run in a process that takes over from one which fails the keys of a silent process.
#[test]
fn order_of_a_silent_process_does_not_run_after_two_and_three_replacements() {
    let shared = SharedListener::bind();
    let (first, mut executor) = start_first(&shared);
    place_order(&first, &mut executor, "k1");
    first.suspend();
    let (mut second, _second_executor) = start_successor(&shared);
    second.wait_log("indeterminate_keys_changed unknown_keys=fail");
    let (mut third, mut executor) = start_successor(&shared);
    third.wait_log("indeterminate_keys_changed unknown_keys=fail");
    expect_failed_retry(&third, &mut executor);
    // The silent process is killed, which the second one reports to the third.
    drop(first);
    third.wait_log("indeterminate_keys_changed unknown_keys=retries_fail_for_a_window");
    expect_failed_retry(&third, &mut executor);
    place_order(&third, &mut executor, "k2");
    second.terminate();
    assert!(second.exits_successfully());
    expect_failed_retry(&third, &mut executor);
    let (fourth, mut executor) = start_successor(&shared);
    expect_failed_retry(&fourth, &mut executor);
    place_order(&fourth, &mut executor, "k3");
}

/// Guards against a second run in the second process after one that was killed.
#[test]
fn order_of_a_killed_process_does_not_run_after_two_replacements() {
    let shared = SharedListener::bind();
    let (first, mut executor) = start_first(&shared);
    place_order(&first, &mut executor, "k1");
    drop(first);
    let (second, mut executor) = start_successor(&shared);
    expect_failed_retry(&second, &mut executor);
    let (third, mut executor) = start_successor(&shared);
    expect_failed_retry(&third, &mut executor);
    place_order(&third, &mut executor, "k2");
}

/// Guards against a second run in a process that is started after a successor has run an order and died.
#[test]
fn order_of_a_successor_that_dies_after_its_takeover_does_not_run_in_the_next_one() {
    let shared = SharedListener::bind();
    let (mut first, _first_executor) = start_first(&shared);
    let (second, mut executor) = start_successor(&shared);
    place_order(&second, &mut executor, "k1");
    drop(second);
    first.wait_log("indeterminate_keys_changed unknown_keys=retries_fail_for_a_window");
    let (third, mut executor) = start_successor(&shared);
    expect_failed_retry(&third, &mut executor);
    place_order(&third, &mut executor, "k2");
}

/// Guards against a second run when a process is stopped while it hands off, and recovers after two replacements: its state
/// then comes to a process that no longer accepts clients.
#[test]
fn order_of_a_process_that_recovers_after_two_replacements_does_not_run_again() {
    let shared = SharedListener::bind();
    let (mut first, mut first_executor) = start_first(&shared);
    let mut client = Client::connect(first.http);
    client.send(&order("k1"));
    let exec = first_executor.expect_command("EXEC");
    first.suspend();
    let (mut second, _second_executor) = start_successor(&shared);
    let (third, mut executor) = start_successor(&shared);
    first.resume();
    second.wait_log("hot_restart_state_adopted");
    first_executor.send_exit(job(&exec), "PASS", "placed");
    assert_eq!(client.read_response().body, b"placed");
    for _ in 0..2 {
        assert_ne!(Client::connect(third.http).request(&retry("k1")).status, 503);
        executor.expect_no_command(&third);
    }
    first.terminate();
    assert!(first.exits_successfully());
    second.terminate();
    assert!(second.exits_successfully());
    assert_ne!(Client::connect(third.http).request(&retry("k1")).status, 503);
    place_order(&third, &mut executor, "k2");
}

/// Guards against a second run after an older predecessor, whose usage report lacks the field for indeterminate keys: it may
/// have failed keys that ran in a process before it. The form without a usage report is that of a predecessor whose executor
/// was not up.
#[test]
fn unknown_retries_fail_for_a_window_after_a_predecessor_that_reports_no_indeterminate_keys() {
    for sends_usage in [true, false] {
        let shared = SharedListener::bind();
        let listener = UnixListener::bind(shared.hot_restart_socket()).unwrap();
        let successor = WORKER.start_on(&shared, |_| {});
        let mut peer = ScriptedProcess::new(listener.accept().unwrap().0);
        let mut executor = successor.accept_link_without_waiting();
        assert!(matches!(peer.receive(), Frame::Hello { version: VERSION, .. }));
        peer.send(&Frame::Welcome);
        assert_eq!(peer.receive(), Frame::RequestListeners);
        peer.send(&Frame::State {
            fingerprint_key: FingerprintKey(1, 2),
            draining: false,
            learned: LearnedState::default(),
            running: Vec::new(),
        });
        if sends_usage {
            peer.send(&Frame::Usage(Usage { sockets: 12, ..Usage::default() }));
        }
        peer.send(&Frame::StateComplete);
        successor.wait_ready();
        expect_failed_retry(&successor, &mut executor);
        place_order(&successor, &mut executor, "k2");
    }
}
