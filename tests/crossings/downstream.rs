//! Executor and records service: their messages against the end of their links and of timeouts.

use super::*;

/// After so many calls the controller knows how long one takes.
const CALLS: usize = 40;

/// The reply is there when its timeout ends: what came in time counts.
#[test]
fn a_reply_that_meets_its_timeout_counts() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut records: Option<Client> = None;
    // The first calls show how long one takes; the timeout of later ones follows.
    for round in 0..CALLS {
        let (mut client, job) =
            start_run(&worker, &mut executor, &RequestBuilder::new("order").key(&unique_request_id()));
        executor.send_notice(json!({"type": "CALLOUT", "job": job, "data": to_base64("number?")}));
        let mut service = worker.records.accept();
        let (_, head, _) = service.read_message();
        let head = Reply { status: 0, head, body: Vec::new() };
        let wait_ms: u64 = head.header("Op-Wait-Ms").unwrap().parse().unwrap();
        if round + 1 == CALLS {
            assert!(wait_ms <= 2000, "{wait_ms}");
            worker.suspend();
            service.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
            let_pass(Duration::from_millis(wait_ms + 50));
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

/// Complete notices, half a notice and the end of the link at once: complete ones count, once.
#[test]
fn notices_before_the_end_of_a_link_count_once_and_half_a_notice_is_repeated() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut first, one) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key("a"));
    let (mut second, two) = start_run(&worker, &mut executor, &RequestBuilder::new("order").key("b"));
    worker.suspend();
    executor.send_exit(&one, "PASS", "one");
    let half =
        json!({"type": "EXIT", "n": 2, "job": two, "state": "PASS", "took": 1.0, "data": to_base64("two")});
    executor.send_raw(&half.to_string()[..40]);
    drop(executor);
    worker.resume();
    assert_eq!(first.read_response().body, b"one");
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 1);
    executor.send_welcome();
    executor.last_notice = 1;
    executor.started_jobs = vec![one, two.clone()];
    executor.send_exit(&two, "PASS", "two");
    assert_eq!(second.read_response().body, b"two");
    executor.expect_no_command(&worker);
}

/// The end of a run and the notice that its request is unknown, for one job and in either order: one response.
#[test]
fn an_exit_and_a_bad_for_one_job_are_one_response() {
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

/// A link breaks after a run was commanded, and a retry comes before the new link's fence is answered.
#[test]
fn a_retry_between_the_break_of_a_link_and_its_fence_shares_the_run() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let order = || RequestBuilder::new("order").key("5c0f");
    let (mut first, job) = start_run(&worker, &mut executor, &order());
    let mut again = Client::connect(worker.http);
    assert_eq!(again.check_health(), 200);
    worker.suspend();
    drop(executor);
    again.send(&order());
    worker.resume();
    let mut executor = Executor::accept(&worker.executor);
    assert_eq!(executor.expect_command("JOIN")["n"], 0);
    executor.send_welcome();
    executor.started_jobs = vec![job.clone()];
    executor.send_exit(&job, "PASS", "once");
    for client in [&mut first, &mut again] {
        assert_eq!(client.read_response().body, b"once");
    }
    executor.expect_no_command(&worker);
}

/// A reply and the close of its connection at once; a reply truncated by a byte; bytes behind a reply.
#[test]
fn a_complete_reply_counts_and_a_truncated_one_proves_nothing() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for (text, whole) in [
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
        if whole {
            assert_eq!(executor.expect_command("RETURN")["data"], json!(to_base64("yes")));
            executor.send_exit(&job, "PASS", "done");
            assert_eq!(client.read_response().body, b"done");
        } else {
            // It may have had its effect: the order fails, and the call is not repeated.
            assert_eq!(client.read_response().status, 500);
            executor.send_exit(&job, "KILLED", "");
            let mut again = Client::connect(worker.http);
            assert_eq!(again.request(&RequestBuilder::new("order").key(&key)).status, 500);
            executor.expect_no_command(&worker);
        }
    }
}

/// Ready as soon as it can serve, and not before: the executor may take long, its message may come in pieces, and the
/// link may break in the middle of it.
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
