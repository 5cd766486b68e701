//! Requests and responses over HTTP/1.1.

use crate::WORKER;
use serde_json::json;
use test_support::{to_base64, unique_request_id, unix_ms, Client, RequestBuilder};

#[test]
fn request_body_reaches_the_run_and_its_result_is_the_response() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    for round in 0..2 {
        let id = unique_request_id();
        client.send(&RequestBuilder::new("look").id(&id).body("caf\u{e9}\0"));
        let exec = executor.expect_command("EXEC");
        assert_eq!(
            (&exec["job"], &exec["kind"], &exec["data"]),
            (&json!(id), &json!("look"), &json!(to_base64("caf\u{e9}\0")))
        );
        executor.send_exit(&exec["job"], "PASS", "the result");
        let reply = client.read_response();
        assert_eq!((reply.status, &reply.body[..]), (200, &b"the result"[..]), "round {round}");
        assert_eq!(reply.header("X-Backend-Says"), Some("1"));
    }
}

#[test]
fn first_run_after_a_start_is_not_reported_as_stalled() {
    // The executor has been running for an hour, the worker only for a moment.
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    for _ in 0..10 {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut check = Client::connect(worker.http);
        check.write("GET /check HTTP/1.1\r\n\r\n");
        assert_eq!(check.read_response().status, 200);
    }
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);
}

#[test]
fn attempts_with_one_key_share_one_run_and_its_result() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (mut first, mut second) = (Client::connect(worker.http), Client::connect(worker.http));
    let order = || RequestBuilder::new("order").key("k1");
    first.send(&order());
    let exec = executor.expect_command("EXEC");
    // The second attempt arrives while the first runs, the third after the response.
    second.send(&order());
    executor.expect_no_command(&worker);
    executor.send_exit(&exec["job"], "PASS", "placed 17");
    for client in [&mut first, &mut second] {
        let reply = client.read_response();
        assert_eq!((reply.status, &reply.body[..]), (200, &b"placed 17"[..]));
    }
    let reply = first.request(&order());
    assert_eq!((reply.status, &reply.body[..]), (200, &b"placed 17"[..]));
    executor.expect_no_command(&worker);
}

#[test]
fn failed_keyed_run_is_not_repeated_and_its_retries_fail() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let order = || RequestBuilder::new("order").key("k2");
    client.send(&order());
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "FAIL", "");
    assert_eq!(client.read_response().status, 500);
    assert_eq!(client.request(&order()).status, 500);
    executor.expect_no_command(&worker);
}

#[test]
fn run_ending_in_any_state_gets_exactly_one_response() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    for end in ["KILLED", "NOOP", "FAIL", "BAD", "nonsense"] {
        let id = unique_request_id();
        client.send(&RequestBuilder::new("look").id(&id));
        let exec = executor.expect_command("EXEC");
        match end {
            "BAD" => executor.send(&json!({"type": "BAD", "state": "EXEC", "job": exec["job"]})),
            end => executor.send_exit(&exec["job"], end, ""),
        }
        // Further notices for this run, and malformed notices, change nothing.
        executor.send_notice(json!({"type": "CALLOUT", "job": exec["job"], "data": ""}));
        executor.send_exit(&exec["job"], "PASS", "late");
        executor.send(&json!({"type": 7}));
        executor.send(&json!({"type": "EXIT", "n": executor.last_notice + 1}));
        executor.last_notice += 1;
        // NOOP means that nothing was started, so the request is rejected.
        assert_eq!(client.read_response().status, if end == "NOOP" { 503 } else { 500 }, "{end}");
        // The next response on this connection belongs to the next request: there was no second response.
        executor.expect_no_command(&worker);
    }
}

#[test]
fn run_beyond_its_deadline_is_answered_in_time_and_its_result_is_retained() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    // Half of the request's time to its deadline has already passed.
    let arrived_ms = unix_ms() - 600;
    client.send(&RequestBuilder::new("order").key("k4").deadline_ms(1200).arrived_ms(arrived_ms));
    let exec = executor.expect_command("EXEC");
    let reply = client.read_response();
    assert_eq!(reply.status, 504);
    assert!(unix_ms() <= arrived_ms + 5000, "answered at the class's deadline, not at its own");
    executor.send_exit(&exec["job"], "PASS", "placed late");
    let reply = client.request(&RequestBuilder::new("order").key("k4"));
    assert_eq!((reply.status, &reply.body[..]), (200, &b"placed late"[..]));
}

#[test]
fn rejected_request_is_answered_immediately_with_retry_advice() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let clients: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = Client::connect(worker.http);
            client.send(&RequestBuilder::new("look"));
            client
        })
        .collect();
    // No run ends, so most of these can't be started in time; they are rejected long before their deadlines.
    let sent = std::time::Instant::now();
    let mut rejected = 0;
    for mut client in clients.into_iter().rev().take(10) {
        let reply = client.read_response();
        if reply.status == 503 {
            rejected += 1;
            assert!(reply.header("X-Pushback-Ms").unwrap().parse::<u64>().unwrap() > 0);
        }
    }
    assert!(rejected > 0);
    assert!(
        sent.elapsed().as_millis() < 6000,
        "rejections took {:?}; expected less than 6 s",
        sent.elapsed()
    );
    assert_eq!(executor.expect_command("EXEC")["kind"], "look");
}

#[test]
fn malformed_requests_get_their_status_and_are_never_dispatched() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let valid = RequestBuilder::new("look").text();
    let order = RequestBuilder::new("order").key("k").text();
    for (text, status) in [
        (valid.replace("HTTP/1.1", "HTTP/9"), 400),
        (valid.replace("X-Org: acme\r\n", "X-Org: acme\r\nContent-Length: 5\r\n"), 400),
        (valid.replace("Content-Length: 5", "Content-Length: +5"), 400),
        (valid.replace("Content-Length: 5", "Transfer-Encoding: chunked"), 400),
        (valid.replace("X-Org: acme\r\n", ""), 400),
        (valid.replace("X-Org: acme", "X-Org: acme\r\nX-Org: acme"), 400),
        (valid.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: NaN"), 400),
        (valid.replace("X-Need-Kb: 24.5", "X-Need-Kb: 0"), 400),
        (valid.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 99999999"), 400),
        (valid.replace("X-Criticality: 0.6250", "X-Criticality: inf"), 400),
        (valid.replace("X-Criticality: 0.6250", "X-Criticality: 1.0"), 400),
        (valid.replace("X-Upstream-Peer: 4", "X-Upstream-Peer: +4"), 400),
        (RequestBuilder::new("look").arrived_ms(12).text(), 400),
        (valid.replace("X-Correlation-Id: ", "X-Correlation-Id: z"), 400),
        (order.replace("X-Operation-Key: k\r\n", ""), 400),
        (valid.replace("X-Org: acme", "X-Org: other"), 403),
        (valid.replace("/do/look", "/do/nothing"), 404),
        (valid.replace("POST", "DELETE"), 405),
        (valid.replace("Content-Length: 5", "Content-Length: 3000"), 413),
        (valid.replace("Content-Length: 5", "Content-Length: 99999999999999999999999"), 413),
        (valid.replace("X-Org: acme", &format!("X-Org: {}", "a".repeat(9000))), 431),
        (valid.replace("X-Org: acme", &"X-Odd: 1\r\n".repeat(80)), 431),
    ] {
        let mut client = Client::connect(worker.http);
        client.write(&text);
        let reply = client.read_response();
        assert_eq!(reply.status, status, "{text}");
        assert_eq!(reply.header("Connection"), Some("close"));
        assert!(client.is_closed(), "{text}");
    }
    executor.expect_no_command(&worker);
}

#[test]
fn request_in_fragments_is_run_and_an_incomplete_one_is_not() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let text = RequestBuilder::new("look").extra_headers("Expect: 100-continue\r\n").text();
    let (head, body) = text.split_at(text.len() - 5);
    for chunk in head.as_bytes().chunks(40) {
        client.write(std::str::from_utf8(chunk).unwrap());
    }
    let mut line = [0; 25];
    std::io::Read::read_exact(&mut client.reader, &mut line).unwrap();
    assert_eq!(&line, b"HTTP/1.1 100 Continue\r\n\r\n");
    client.write(body);
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "");
    assert_eq!(client.read_response().status, 200);

    let mut incomplete = Client::connect(worker.http);
    incomplete.write(head);
    drop(incomplete);
    executor.expect_no_command(&worker);
}
