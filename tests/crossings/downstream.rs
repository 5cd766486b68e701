//! Executor and records service: their messages against the end of their links and of timeouts.

use super::*;

/// After so many calls the controller knows how long one takes.
const CALLS: usize = 40;

/// The reply is there when its timeout ends: what came in time counts.
#[test]
fn a_reply_that_meets_its_timeout_counts() {
    let site = Site::start();
    let mut executor = site.link();
    let mut records: Option<Client> = None;
    // The first calls show how long one takes; the timeout of later ones follows.
    for round in 0..CALLS {
        let (mut client, job) =
            start_run(&site, &mut executor, &Ask { key: Some(&name()), ..Ask::new("order") });
        executor.notice(json!({"type": "CALLOUT", "job": job, "data": encode("number?")}));
        let mut service = Client::on(accept(&site.records));
        let (_, head, _) = service.message();
        let head = Reply { status: 0, head, body: Vec::new() };
        let wait_ms: u64 = head.header("Op-Wait-Ms").unwrap().parse().unwrap();
        if round + 1 == CALLS {
            assert!(wait_ms <= 2000, "{wait_ms}");
            site.hang(true);
            service.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
            let_pass(Duration::from_millis(wait_ms + 50));
            site.hang(false);
        } else {
            service.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
        }
        let command = executor.next("RETURN");
        assert_eq!((&command["job"], &command["data"]), (&job, &json!(encode("yes"))));
        finish_run(&mut executor, &job, &mut client);
        records = Some(service);
    }
    drop(records);
}

/// Complete notices, half a notice and the end of the link at once: complete ones count, once.
#[test]
fn notices_before_the_end_of_a_link_count_once_and_half_a_notice_is_repeated() {
    let site = Site::start();
    let mut executor = site.link();
    let (mut first, one) = start_run(&site, &mut executor, &Ask { key: Some("a"), ..Ask::new("order") });
    let (mut second, two) = start_run(&site, &mut executor, &Ask { key: Some("b"), ..Ask::new("order") });
    site.hang(true);
    executor.exit(&one, "PASS", "one");
    let half =
        json!({"type": "EXIT", "n": 2, "job": two, "state": "PASS", "took": 1.0, "data": encode("two")});
    executor.say_raw(&half.to_string()[..40]);
    drop(executor);
    site.hang(false);
    assert_eq!(first.answer().body, b"one");
    let mut executor = Executor::accept(&site.executor);
    assert_eq!(executor.next("JOIN")["n"], 1);
    executor.say(json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_000.0}));
    executor.n = 1;
    executor.started = vec![one, two.clone()];
    executor.exit(&two, "PASS", "two");
    assert_eq!(second.answer().body, b"two");
    executor.quiet_but_for(&site, "");
}

/// The end of a run and the notice that its request is unknown, for one job and in either order: one response.
#[test]
fn an_exit_and_a_bad_for_one_job_are_one_response() {
    let site = Site::start();
    let mut executor = site.link();
    for bad_first in [true, false] {
        let (mut client, job) = start_run(&site, &mut executor, &Ask::new("look"));
        site.hang(true);
        let bad = json!({"type": "BAD", "state": "EXEC", "job": job});
        if bad_first {
            executor.say(bad);
            executor.exit(&job, "PASS", "done");
        } else {
            executor.exit(&job, "PASS", "done");
            executor.say(bad);
        }
        site.hang(false);
        assert_eq!(client.answer().status, if bad_first { 500 } else { 200 });
        let (mut client, job) = start_run(&site, &mut executor, &Ask::new("look"));
        executor.exit(&job, "PASS", "next");
        assert_eq!(client.answer().body, b"next");
    }
}

/// A link breaks after a run was commanded, and a retry comes before the new link's fence is answered.
#[test]
fn a_retry_between_the_break_of_a_link_and_its_fence_shares_the_run() {
    let site = Site::start();
    let mut executor = site.link();
    let order = || Ask { key: Some("5c0f"), ..Ask::new("order") };
    let (mut first, job) = start_run(&site, &mut executor, &order());
    let mut again = Client::connect(site.http);
    assert_eq!(again.ask_check(), 200);
    site.hang(true);
    drop(executor);
    again.send(&order());
    site.hang(false);
    let mut executor = Executor::accept(&site.executor);
    assert_eq!(executor.next("JOIN")["n"], 0);
    executor.say(json!({"type": "WELCOME", "state": "LOADED", "took": 3_600_000.0}));
    executor.started = vec![job.clone()];
    executor.exit(&job, "PASS", "once");
    for client in [&mut first, &mut again] {
        assert_eq!(client.answer().body, b"once");
    }
    executor.quiet_but_for(&site, "");
}

/// A reply and the close of its connection at once; a reply truncated by a byte; bytes behind a reply.
#[test]
fn a_complete_reply_counts_and_a_truncated_one_proves_nothing() {
    let site = Site::start();
    let mut executor = site.link();
    for (text, whole) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyesNOISE", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nye", false),
        ("HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 3\r\n\r\nno", false),
    ] {
        let key = name();
        let (mut client, job) =
            start_run(&site, &mut executor, &Ask { key: Some(&key), ..Ask::new("order") });
        executor.notice(json!({"type": "CALLOUT", "job": job, "data": encode("number?")}));
        let mut service = Client::on(accept(&site.records));
        service.message();
        site.hang(true);
        service.write(text);
        drop(service);
        site.hang(false);
        if whole {
            assert_eq!(executor.next("RETURN")["data"], json!(encode("yes")));
            executor.exit(&job, "PASS", "done");
            assert_eq!(client.answer().body, b"done");
        } else {
            // It may have had its effect: the order fails, and the call is not repeated.
            assert_eq!(client.answer().status, 500);
            executor.exit(&job, "KILLED", "");
            let mut again = Client::connect(site.http);
            assert_eq!(again.ask(&Ask { key: Some(&key), ..Ask::new("order") }).status, 500);
            executor.quiet_but_for(&site, "");
        }
    }
}

/// Ready as soon as it can serve, and not before: the executor may take long, its message may come in pieces, and the
/// link may break in the middle of it.
#[test]
fn a_worker_is_ready_with_the_complete_welcome_and_not_before() {
    let site = Site::with(|c| c["console"] = json!("127.0.0.1:0"), None);
    let mut executor = Executor::accept(&site.executor);
    assert_eq!(executor.next("JOIN")["n"], 0);
    assert_eq!((site.health(), site.call("GET", "/-/ready").0 / 100), (503, 5));
    executor.say_raw(r#"{"type":"WELCOME","state":"LOA"#);
    assert_eq!((site.health(), site.call("GET", "/-/ready").0 / 100), (503, 5));
    drop(executor);
    let mut executor = site.link();
    assert_eq!((site.health(), site.call("GET", "/-/ready").0), (200, 200));
    let (mut client, job) = start_run(&site, &mut executor, &Ask::new("look"));
    finish_run(&mut executor, &job, &mut client);
}
