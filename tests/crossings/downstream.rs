//! Races between messages of the executor or the records service and the end of their links or timeouts.

use super::*;

/// The number of calls after which the controller has learned how long one takes.
const CALLS_TO_LEARN: usize = 40;

/// The worker handles a reply and the expiry of its timeout in one turn: the reply arrived in time and is used.
#[test]
fn reply_received_before_its_timeout_is_handled_is_used() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut records: Option<Client> = None;
    // The controller derives the timeout of later calls from the lengths of the first.
    for round in 0..CALLS_TO_LEARN {
        let (mut client, job) =
            start_run(&worker, &mut executor, &RequestBuilder::new("order").key(&unique_request_id()));
        executor.send_notice(json!({"type": "CALLOUT", "job": job, "data": to_base64("number?")}));
        let mut service = worker.records.accept();
        let (_, head, _) = service.read_message();
        let head = Reply { status: 0, head, body: Vec::new() };
        let wait_ms: u64 = head.header("Op-Wait-Ms").unwrap().parse().unwrap();
        if round + 1 == CALLS_TO_LEARN {
            assert!(wait_ms <= 2000, "{wait_ms}");
            worker.suspend();
            service.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
            sleep_past(Duration::from_millis(wait_ms + 50));
            worker.resume();
        } else {
            service.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
        }
        let command = executor.expect_command("RETURN");
        assert_eq!((&command["job"], &command["data"]), (&job, &json!(to_base64("yes"))));
        finish_run(&mut executor, &job, &mut client);
        records = Some(service);
    }
    drop(records);
}

/// Complete notices, a partial notice and the end of the link are read in one turn: each complete notice is handled
/// once, and the executor resends the partial one on the next link.
#[test]
fn complete_notices_before_a_link_failure_count_once_and_a_partial_one_is_resent() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut first, job_a) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key("a"));
    let (mut second, job_b) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key("b"));
    worker.suspend();
    executor.send_exit(&job_a, "PASS", "one");
    let partial =
        json!({"type": "EXIT", "n": 2, "job": job_b, "state": "PASS", "took": 1.0, "data": to_base64("two")});
    executor.send_raw(&partial.to_string()[..40]);
    drop(executor);
    worker.resume();
    assert_eq!(first.read_response().body, b"one");
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 1);
    executor.send_welcome();
    executor.last_notice = 1;
    executor.started_jobs = vec![job_a, job_b.clone()];
    executor.send_exit(&job_b, "PASS", "two");
    assert_eq!(second.read_response().body, b"two");
    executor.expect_no_command(&worker);
}

/// `EXIT` and `BAD` (request unknown) arrive for one job in one turn, in either order: the caller gets one response.
#[test]
fn exit_and_bad_notices_for_one_job_give_one_response() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for bad_first in [true, false] {
        let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
        worker.suspend();
        let bad = json!({"type": "BAD", "state": "EXEC", "job": job});
        if bad_first {
            executor.send(&bad);
            executor.send_exit(&job, "PASS", "done");
        } else {
            executor.send_exit(&job, "PASS", "done");
            executor.send(&bad);
        }
        worker.resume();
        assert_eq!(client.read_response().status, if bad_first { 500 } else { 200 });
        let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
        executor.send_exit(&job, "PASS", "next");
        assert_eq!(client.read_response().body, b"next");
    }
}

/// Guards against a second run when the link fails after the command to run was sent, and a retry arrives before the
/// executor has answered the `JOIN` of the new link.
#[test]
fn retry_between_a_link_failure_and_the_next_welcome_shares_the_run() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let order = || RequestBuilder::new("order").key("5c0f");
    let (mut first, job) = start_run(&worker, &mut executor, &order());
    let mut retry = Client::connect(worker.http);
    assert_eq!(retry.check_health(), 200);
    worker.suspend();
    drop(executor);
    retry.send(&order());
    worker.resume();
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 0);
    executor.send_welcome();
    executor.started_jobs = vec![job.clone()];
    executor.send_exit(&job, "PASS", "once");
    for client in [&mut first, &mut retry] {
        assert_eq!(client.read_response().body, b"once");
    }
    executor.expect_no_command(&worker);
}

/// Guards against losing a complete reply that arrives with the close of its connection or with extra bytes, and against
/// repeating a call whose reply is truncated by one byte.
#[test]
fn complete_reply_is_used_and_truncated_one_leaves_the_call_indeterminate() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for (text, complete) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesNOISE", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nye", false),
        ("HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 3\r\n\r\nno", false),
    ] {
        let key = unique_request_id();
        let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key(&key));
        executor.send_notice(json!({"type": "CALLOUT", "job": job, "data": to_base64("number?")}));
        let mut service = worker.records.accept();
        service.read_message();
        worker.suspend();
        service.write(text);
        drop(service);
        worker.resume();
        if complete {
            assert_eq!(executor.expect_command("RETURN")["data"], json!(to_base64("yes")));
            executor.send_exit(&job, "PASS", "done");
            assert_eq!(client.read_response().body, b"done");
        } else {
            // The call may have taken effect: the order fails, and the call is not repeated.
            assert_eq!(client.read_response().status, 500);
            executor.send_exit(&job, "KILLED", "");
            let mut retry = Client::connect(worker.http);
            assert_eq!(retry.request(&RequestBuilder::new("order").key(&key)).status, 500);
            executor.expect_no_command(&worker);
        }
    }
}

/// The worker is ready as soon as it can serve, and not before: the executor may take long, its `WELCOME` may arrive in
/// pieces, and the link may fail in the middle of it.
#[test]
fn a_worker_is_ready_with_the_complete_welcome_and_not_before() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), None);
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 0);
    assert_eq!((worker.check_health(), worker.console_request("GET", "/-/ready").0 / 100), (503, 5));
    executor.send_raw(r#"{"type":"WELCOME","state":"LOA"#);
    assert_eq!((worker.check_health(), worker.console_request("GET", "/-/ready").0 / 100), (503, 5));
    drop(executor);
    let mut executor = worker.accept_link();
    assert_eq!((worker.check_health(), worker.console_request("GET", "/-/ready").0), (200, 200));
    let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    finish_run(&mut executor, &job, &mut client);
}
