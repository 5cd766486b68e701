//! Loss and restoration of the executor link.

use crate::WORKER;
use serde_json::json;
use std::time::{Duration, Instant};
use test_support::{Client, Executor, RequestBuilder, TIMEOUT};

#[test]
fn lost_executor_link_resumes_without_running_anything_twice() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut first_client, mut second_client) = (Client::connect(worker.http), Client::connect(worker.http));
    first_client.send(&RequestBuilder::new("look"));
    let first = executor.expect_command("EXEC");
    second_client.send(&RequestBuilder::new("look"));
    let second = executor.expect_command("EXEC");
    executor.send_exit(&first["job"], "PASS", "first");
    assert_eq!(first_client.read_response().body, b"first");
    drop(executor);

    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 1);
    executor.send(&json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_100.0}));
    executor.started_jobs.push(second["job"].clone());
    // The executor sends notice 1 again, which the worker has already processed, and then reports a run that ended while
    // there was no link.
    executor.send(&json!({"type": "EXIT", "n": 1, "job": second["job"], "state": "FAIL", "took": 1.0}));
    executor.last_notice = 1;
    executor.send_exit(&second["job"], "PASS", "second");
    let reply = second_client.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"second"[..]));
    executor.started_jobs.clear();
    executor.expect_no_command(&worker);
}

/// Guards against a run whose EXEC is lost with a broken link: it never starts, but occupies its run slot for a long time.
#[test]
fn start_lost_with_a_broken_link_is_sent_again_after_the_fence_response() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let deadline = Instant::now() + TIMEOUT;
    loop {
        assert!(Instant::now() < deadline, "no link broke within 100 ms of its request in {TIMEOUT:?}");
        let before = Instant::now();
        client.send(&RequestBuilder::new("look"));
        let lost = executor.expect_command("EXEC");
        let n = executor.last_notice;
        drop(executor);
        executor = Executor::accept(&worker.executor);
        assert_eq!(executor.expect_command("JOIN")["n"], n);
        executor.last_notice = n;
        // Only a command sent shortly before the link broke is indeterminate. If this machine was too slow for that,
        // the test starts over.
        let is_indeterminate = before.elapsed() < Duration::from_millis(100);
        if is_indeterminate {
            assert_eq!(executor.expect_command("EXEC"), lost);
        }
        executor.send_exit(&lost["job"], "PASS", "late");
        assert_eq!(client.read_response().body, b"late");
        if is_indeterminate {
            return;
        }
    }
}

#[test]
fn restarted_executor_fails_the_runs_of_the_former_one_and_accepts_new_ones() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("order").key("k5"));
    executor.expect_command("EXEC");
    drop(executor);
    let mut executor = Executor::accept(&worker.executor);
    executor.expect_command("JOIN");
    executor.send(&json!({"type": "WELCOME", "state": "EMPTY", "took": 0.0}));
    assert_eq!(client.read_response().status, 500);
    // The order may have run, so its key stays in use. The new executor numbers its notices from 1.
    assert_eq!(client.request(&RequestBuilder::new("order").key("k5")).status, 500);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "new");
    assert_eq!(client.read_response().body, b"new");
}
