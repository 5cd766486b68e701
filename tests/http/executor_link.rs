//! The link to the executor, lost and restored.

use crate::WORKER;
use serde_json::json;
use std::time::{Duration, Instant};
use test_support::{Client, Executor, RequestBuilder, TIMEOUT};

#[test]
fn lost_executor_link_resumes_without_running_anything_twice() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut one, mut two) = (Client::connect(worker.http), Client::connect(worker.http));
    one.send(&RequestBuilder::new("look"));
    let first = executor.expect_command("EXEC");
    two.send(&RequestBuilder::new("look"));
    let second = executor.expect_command("EXEC");
    executor.send_exit(&first["job"], "PASS", "first");
    assert_eq!(one.read_response().body, b"first");
    drop(executor);

    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 1);
    executor.send(&json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_100.0}));
    executor.started_jobs.push(second["job"].clone());
    // Notice 1 again: it was dealt with. Then the end that came while there was no link.
    executor.send(&json!({"type": "EXIT", "n": 1, "job": second["job"], "state": "FAIL", "took": 1.0}));
    executor.last_notice = 1;
    executor.send_exit(&second["job"], "PASS", "second");
    let reply = two.read_response();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"second"[..]));
    executor.started_jobs.clear();
    executor.expect_no_command(&worker);
}

/// What was commanded just before a break never ran, and held its run slot for long.
#[test]
fn start_lost_with_a_broken_link_is_sent_again_after_the_fence_response() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let until = Instant::now() + TIMEOUT;
    loop {
        assert!(Instant::now() < until, "this machine is too slow for the test");
        let before = Instant::now();
        client.send(&RequestBuilder::new("look"));
        let lost = executor.expect_command("EXEC");
        let n = executor.last_notice;
        drop(executor);
        executor = Executor::accept(&worker.executor);
        assert_eq!(executor.expect_command("JOIN")["n"], n);
        executor.last_notice = n;
        // A command that was old when the link broke is not indeterminate: then the test begins anew.
        let in_doubt = before.elapsed() < Duration::from_millis(100);
        if in_doubt {
            assert_eq!(executor.expect_command("EXEC"), lost);
        }
        executor.send_exit(&lost["job"], "PASS", "late");
        assert_eq!(client.read_response().body, b"late");
        if in_doubt {
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
    // It may have run: the key stays taken. Notices are numbered from 1 again.
    assert_eq!(client.request(&RequestBuilder::new("order").key("k5")).status, 500);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "new");
    assert_eq!(client.read_response().body, b"new");
}
