//! Many connections, and clients that misbehave.

use crate::WORKER;
use serde_json::json;
use std::io::{ErrorKind, Write};
use std::time::{Duration, Instant};
use test_support::{unique_request_id, Client, RequestBuilder, WorkerUnderTest, TIMEOUT};

#[test]
fn full_connection_table_makes_new_clients_wait_and_not_fail() {
    // Full by its own budget, and full by the system's word.
    for worker in
        [WORKER.start_with(|c| c["limits"]["sockets"] = json!(64), None), WORKER.start_with_descriptors(40)]
    {
        let mut executor = worker.accept_link();
        // More idle connections than there is room for: the longest idle ones are closed for new callers.
        let idle: Vec<Client> = (0..80).map(|_| Client::connect(worker.http)).collect();
        let mut client = Client::connect(worker.http);
        client.send(&RequestBuilder::new("look"));
        let exec = executor.expect_command("EXEC");
        executor.send_exit(&exec["job"], "PASS", "served");
        assert_eq!(client.read_response().body, b"served");
        drop(idle);
    }
}

#[test]
fn client_that_never_reads_is_throttled_and_others_are_served() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut greedy = std::net::TcpStream::connect(worker.http).unwrap();
    greedy.set_write_timeout(Some(std::time::Duration::from_millis(300))).unwrap();
    let checks = "GET /check HTTP/1.1\r\n\r\n".repeat(4000);
    // What it writes must pile up on its own side: far less than this fits into the system's buffers.
    let held_back = (0..800).any(|_| greedy.write_all(checks.as_bytes()).is_err());
    assert!(held_back, "the worker took in 70 MB of questions whose answers nobody reads");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "served");
    assert_eq!(client.read_response().body, b"served");
}

/// Silent clients by the hundred took the descriptors, and half-sent requests stood for 10 s.
#[test]
fn silent_and_incomplete_connections_are_closed_and_used_ones_stay() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let mut ask = |client: &mut Client| {
        client.send(&RequestBuilder::new("look"));
        let exec = executor.expect_command("EXEC");
        executor.send_exit(&exec["job"], "PASS", "served");
        assert_eq!(client.read_response().body, b"served");
    };
    ask(&mut client);
    let mut silent = Client::connect(worker.http);
    let mut half = Client::connect(worker.http);
    half.write("POST /do/look HTTP/1.1\r\nContent-Length: 9");
    let mut bodiless = Client::connect(worker.http);
    bodiless.write("POST /do/look HTTP/1.1\r\nContent-Length: 9\r\n\r\nfour");
    for (what, c) in [("silent", &mut silent), ("half", &mut half), ("bodiless", &mut bodiless)] {
        assert!(c.is_closed(), "{what}");
    }
    ask(&mut client);
}

/// Under a flood of silent clients a router's connection went, since it had been idle for longer. One that has carried
/// more than one request stays however long it rests; one that asked a single time may go (`Connection::rank`).
#[test]
fn flood_of_silent_clients_evicts_no_used_connection() {
    let worker = WORKER.start_with(|c| c["limits"]["sockets"] = json!(64), None);
    let mut executor = worker.accept_link();
    let mut router = Client::connect(worker.http);
    let mut ask = |router: &mut Client| {
        router.send(&RequestBuilder::new("look"));
        executor.serve_next(router, "served");
    };
    ask(&mut router);
    for _ in 0..3 {
        ask(&mut router);
        // Longer than the rest after which a connection that asked once may be closed for another.
        std::thread::sleep(Duration::from_millis(60));
        let flood: Vec<Client> = (0..80).map(|_| Client::connect(worker.http)).collect();
        let mut late = Client::connect(worker.http);
        late.write("GET /check HTTP/1.1\r\n\r\n");
        assert_eq!(late.read_response().status, 200);
        drop(flood);
    }
    ask(&mut router);
}

/// Requests lay unread behind a full table until their time was over: 622 of them on one day.
#[test]
fn new_client_is_closed_immediately_when_all_connections_are_busy() {
    let few = |c: &mut serde_json::Value| {
        (c["limits"]["sockets"], c["settings"]["domain"]["nCores"]) = (json!(64), json!(60));
    };
    let worker = WORKER.start_with(few, None);
    let mut executor = worker.accept_link();
    let mut busy: Vec<Client> = Vec::new();
    // There is room for a few; each of them has asked before the next one comes.
    let turned_away = loop {
        let mut client = Client::connect(worker.http);
        let _ = client.reader.get_ref().write_all(RequestBuilder::new("look").text().as_bytes());
        client.reader.get_ref().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        match std::io::Read::read(&mut client.reader, &mut [0; 16]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => busy.push(client),
            closed => break closed,
        }
        assert!(busy.len() < 60, "no connection is rejected");
    };
    assert!(matches!(turned_away, Ok(0) | Err(_)), "{turned_away:?}");
    assert!(busy.len() >= 4, "{} are held", busy.len());
    // What is held is served all the same.
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "served");
    busy[0].reader.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(busy[0].read_response().body, b"served");
}

/// A close while the rest of the body came in reset the connection, and the refusal was lost with it.
#[test]
fn body_of_60_mb_is_rejected_immediately_with_a_readable_response() {
    let worker = WORKER.start();
    let _executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client
        .write(&RequestBuilder::new("look").text().replace("Content-Length: 5", "Content-Length: 60000000"));
    let piece = "x".repeat(1_000_000);
    (0..60).for_each(|_| client.write(&piece));
    assert_eq!(client.read_response().status, 413);
    assert!(client.is_closed());
}

/// Waits until this many responses are pending.
fn wait_pending_responses(worker: &WorkerUnderTest, expected: u64) {
    let until = Instant::now() + TIMEOUT;
    while worker.metric("svc.concurrent") != expected {
        assert!(Instant::now() < until, "not {expected} responses pending");
    }
}

/// The dispatcher went on for callers that had torn their connections down.
#[test]
fn reset_connection_drops_its_queued_request_and_keeps_its_keyed_run() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), None);
    let mut executor = worker.accept_link();
    // Its cores are busy, else the worker may take up a third run on a slow machine.
    executor.gauges = [1.0, 4.0, 0.1, 3.0];
    let mut routers: Vec<Client> = (0..3).map(|_| Client::connect(worker.http)).collect();
    let order = RequestBuilder::new("order").key("5c0f");
    let (held, mut running) = (unique_request_id(), Vec::new());
    for (i, ask) in
        [order, RequestBuilder::new("look"), RequestBuilder::new("look").id(&held)].iter().enumerate()
    {
        routers[i].send(ask);
        if i < 2 {
            running.push(executor.expect_command("EXEC")["job"].clone());
        }
    }
    // The third is held, and both slots are taken, until its router has gone; the check shows that it was read.
    let check = || Client::connect(worker.http).check_health();
    assert_eq!(check(), 200);
    wait_pending_responses(&worker, 3);
    routers.remove(2).reset();
    routers.remove(0).reset();
    // A check on another connection may overtake a reset on a busy machine: only the metric shows that both were seen.
    wait_pending_responses(&worker, 1);
    assert_eq!(check(), 200);
    executor.send_exit(&running[0], "PASS", "done");
    let mut again = Client::connect(worker.http);
    assert_eq!(again.request(&RequestBuilder::new("order").key("5c0f")).body, b"done");
    executor.expect_no_command(&worker);
}
