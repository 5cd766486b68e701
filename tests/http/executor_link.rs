//! Loss and restoration of the executor link.

use crate::WORKER;
use serde_json::json;
use std::time::{Duration, Instant};
use test_support::{to_base64, Client, Executor, RequestBuilder, WorkerUnderTest, TIMEOUT};

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

/// Accepts the worker's next link as an executor that goes on after this notice.
fn accept_next_link(worker: &WorkerUnderTest, last_notice: u64) -> Executor {
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], last_notice);
    executor.send(&json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_100.0}));
    executor.last_notice = last_notice;
    executor
}

/// Guards against a run whose second call gets the reply to its first, because that reply is sent again after a broken link:
/// here it was received, and the run reaches its second call while the link is broken a second time.
#[test]
fn second_call_of_a_run_does_not_get_the_reply_to_its_first_after_two_broken_links() {
    // The latency objective of an order is 4 s, of which 0.4 passed before a reply was resent.
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("order").key("k1"));
    let exec = executor.expect_command("EXEC");
    let callout = json!({"type": "CALLOUT", "job": exec["job"], "data": ""});
    executor.send_notice(callout.clone());
    let mut records = worker.records.accept();
    records.read_message();
    records.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst");
    assert_eq!(executor.expect_command("RETURN")["data"], to_base64("first"));
    drop(executor);
    // The fence of this link is answered, so that the worker knows of the reply that may be lost.
    let mut executor = accept_next_link(&worker, 1);
    executor.expect_no_command(&worker);
    let last_notice = executor.last_notice;
    std::thread::sleep(Duration::from_millis(1500));
    drop(executor);
    std::thread::sleep(Duration::from_millis(300));
    let mut executor = accept_next_link(&worker, last_notice);
    executor.send_notice(callout);
    let mut records = worker.records.accept();
    records.read_message();
    records.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    assert_eq!(executor.expect_command("RETURN")["data"], to_base64("second"));
    executor.send_exit(&exec["job"], "PASS", "placed");
    assert_eq!(client.read_response().body, b"placed");
}
