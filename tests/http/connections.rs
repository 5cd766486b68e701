//! Connection limits and misbehaving clients.

use crate::WORKER;
use serde_json::json;
use std::io::{ErrorKind, Write};
use std::time::{Duration, Instant};
use test_support::{unique_request_id, Client, RequestBuilder, WorkerUnderTest, TIMEOUT};

#[test]
fn full_connection_table_makes_new_clients_wait_and_not_fail() {
    // The descriptors of one worker are limited by the configuration, those of the other by the system (`ulimit -n`).
    for worker in
        [WORKER.start_with(|c| c["limits"]["sockets"] = json!(64), None), WORKER.start_with_descriptors(40)]
    {
        let mut executor = worker.accept_link();
        // More idle connections than the limit: those that have been idle longest are evicted for new clients.
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
    let mut non_reading = std::net::TcpStream::connect(worker.http).unwrap();
    non_reading.set_write_timeout(Some(std::time::Duration::from_millis(300))).unwrap();
    let checks = "GET /check HTTP/1.1\r\n\r\n".repeat(4000);
    // Unread data must accumulate on the client's side; the system's buffers hold far less than these 70 MB.
    let throttled = (0..800).any(|_| non_reading.write_all(checks.as_bytes()).is_err());
    assert!(throttled, "the worker read 70 MB of requests whose responses are not read");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "served");
    assert_eq!(client.read_response().body, b"served");
}

/// Guards against silent clients that use up the file descriptors (hundreds did), and against incomplete requests
/// that stay open for 10 s.
#[test]
fn silent_and_incomplete_connections_are_closed_and_used_ones_stay() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    let mut request = |client: &mut Client| {
        client.send(&RequestBuilder::new("look"));
        let exec = executor.expect_command("EXEC");
        executor.send_exit(&exec["job"], "PASS", "served");
        assert_eq!(client.read_response().body, b"served");
    };
    request(&mut client);
    let mut silent = Client::connect(worker.http);
    let mut incomplete_head = Client::connect(worker.http);
    incomplete_head.write("POST /do/look HTTP/1.1\r\nContent-Length: 9");
    let mut incomplete_body = Client::connect(worker.http);
    incomplete_body.write("POST /do/look HTTP/1.1\r\nContent-Length: 9\r\n\r\nfour");
    for (description, client) in [
        ("silent", &mut silent),
        ("incomplete head", &mut incomplete_head),
        ("incomplete body", &mut incomplete_body),
    ] {
        assert!(client.is_closed(), "{description}");
    }
    request(&mut client);
}

/// Guards against evicting a router's connection during a flood of silent clients, for having been idle for longer. A
/// connection that has carried more than one request must never be evicted, however long it is idle; after a single
/// request it may be (`Connection::eviction_rank`).
#[test]
fn flood_of_silent_clients_evicts_no_used_connection() {
    let worker = WORKER.start_with(|c| c["limits"]["sockets"] = json!(64), None);
    let mut executor = worker.accept_link();
    let mut router = Client::connect(worker.http);
    let mut request = |router: &mut Client| {
        router.send(&RequestBuilder::new("look"));
        executor.serve_next(router, "served");
    };
    request(&mut router);
    for _ in 0..3 {
        request(&mut router);
        // Longer than the idle time after which a connection with one request may be evicted.
        std::thread::sleep(Duration::from_millis(60));
        let flood: Vec<Client> = (0..80).map(|_| Client::connect(worker.http)).collect();
        let mut new_client = Client::connect(worker.http);
        new_client.write("GET /check HTTP/1.1\r\n\r\n");
        assert_eq!(new_client.read_response().status, 200);
        drop(flood);
    }
    request(&mut router);
}

/// Guards against requests that stay unread until their deadlines have passed because all connections are busy; there
/// were 622 in one day.
#[test]
fn new_client_is_closed_immediately_when_all_connections_are_busy() {
    let small_limits = |c: &mut serde_json::Value| {
        (c["limits"]["sockets"], c["settings"]["domain"]["nCores"]) = (json!(64), json!(60));
    };
    let worker = WORKER.start_with(small_limits, None);
    let mut executor = worker.accept_link();
    let mut busy: Vec<Client> = Vec::new();
    // The first few are accepted; each sends its request before the next one connects.
    let rejected = loop {
        let mut client = Client::connect(worker.http);
        let _ = client.reader.get_ref().write_all(RequestBuilder::new("look").text().as_bytes());
        client.reader.get_ref().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        match std::io::Read::read(&mut client.reader, &mut [0; 16]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => busy.push(client),
            result => break result,
        }
        assert!(busy.len() < 60, "{} connections were accepted, and none was closed", busy.len());
    };
    assert!(matches!(rejected, Ok(0) | Err(_)), "{rejected:?}");
    assert!(busy.len() >= 4, "{} connections were accepted; expected 4 or more", busy.len());
    // Accepted connections are still served.
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "served");
    busy[0].reader.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(busy[0].read_response().body, b"served");
}

/// Guards against closing a connection while the rest of the body is still arriving: that resets it, and the client loses
/// the rejection.
#[test]
fn body_of_60_mb_is_rejected_immediately_with_a_readable_response() {
    let worker = WORKER.start();
    let _executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client
        .write(&RequestBuilder::new("look").text().replace("Content-Length: 5", "Content-Length: 60000000"));
    let chunk = "x".repeat(1_000_000);
    (0..60).for_each(|_| client.write(&chunk));
    assert_eq!(client.read_response().status, 413);
    assert!(client.is_closed());
}

/// Waits until the given number of responses are pending.
fn wait_pending_responses(worker: &WorkerUnderTest, expected: u64) {
    let deadline = Instant::now() + TIMEOUT;
    while worker.metric("svc.concurrent") != expected {
        assert!(Instant::now() < deadline, "did not reach {expected} pending responses within {TIMEOUT:?}");
    }
}

/// Guards against a dispatcher that keeps working on requests whose clients have reset their connections.
#[test]
fn reset_connection_drops_its_queued_request_and_keeps_its_keyed_run() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), None);
    let mut executor = worker.accept_link();
    // The gauges report busy cores; otherwise the worker may start a third run on a slow machine.
    executor.gauges = [1.0, 4.0, 0.1, 3.0];
    let mut routers: Vec<Client> = (0..3).map(|_| Client::connect(worker.http)).collect();
    let order = RequestBuilder::new("order").key("5c0f");
    let (queued, mut running) = (unique_request_id(), Vec::new());
    for (i, request) in
        [order, RequestBuilder::new("look"), RequestBuilder::new("look").id(&queued)].iter().enumerate()
    {
        routers[i].send(request);
        if i < 2 {
            running.push(executor.expect_command("EXEC")["job"].clone());
        }
    }
    // Both run slots are taken, so the third request is queued until its client is gone; the health check shows that it
    // was read.
    let check = || Client::connect(worker.http).check_health();
    assert_eq!(check(), 200);
    wait_pending_responses(&worker, 3);
    routers.remove(2).reset();
    routers.remove(0).reset();
    // On a busy machine a health check on another connection may overtake a reset; only the metric shows that the
    // worker has processed both resets.
    wait_pending_responses(&worker, 1);
    assert_eq!(check(), 200);
    executor.send_exit(&running[0], "PASS", "done");
    let mut retrying = Client::connect(worker.http);
    assert_eq!(retrying.request(&RequestBuilder::new("order").key("5c0f")).body, b"done");
    executor.expect_no_command(&worker);
}

/// How a client leaves its connection.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Close,
    Reset,
}

/// Guards against requests that run although their client has left: it wrote many at once and read no response. With 600 of
/// them the worker's input buffer is full, so that reading shows neither a close nor a reset.
#[test]
fn pipelined_requests_of_a_client_that_has_left_do_not_run() {
    for (requests, leave) in
        [(20, Leave::Close), (20, Leave::Reset), (600, Leave::Close), (600, Leave::Reset)]
    {
        let worker = WORKER.start();
        let mut executor = worker.accept_link();
        let mut client = Client::connect(worker.http);
        client.write(&(0..requests).map(|_| RequestBuilder::new("look").text()).collect::<String>());
        let exec = executor.expect_command("EXEC");
        match leave {
            Leave::Close => drop(client),
            Leave::Reset => client.reset(),
        }
        executor.send_exit(&exec["job"], "PASS", "served");
        executor.expect_no_command(&worker);
        // Longer than the time for which the worker waits for a reset.
        std::thread::sleep(Duration::from_millis(150));
        executor.expect_no_command(&worker);
    }
}

/// Guards against a client that loses its responses because it ends its sending side after its last request.
#[test]
fn pipelined_requests_of_a_client_that_ended_its_sending_side_are_served() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut client = Client::connect(worker.http);
    client.write(&(0..3).map(|_| RequestBuilder::new("look").text()).collect::<String>());
    client.reader.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    for _ in 0..3 {
        executor.serve_next(&mut client, "served");
    }
    assert!(client.is_closed());
}

/// Guards against a queued request that runs although its client has reset the connection: with a full input buffer, reading
/// doesn't show the reset.
#[test]
fn reset_behind_a_full_input_buffer_drops_the_queued_request() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), None);
    let mut executor = worker.accept_link();
    // The gauges report busy cores; otherwise the worker may start a third run on a slow machine.
    executor.gauges = [1.0, 4.0, 0.1, 3.0];
    let mut routers: Vec<Client> = (0..2).map(|_| Client::connect(worker.http)).collect();
    for router in &mut routers {
        router.send(&RequestBuilder::new("look"));
        executor.expect_command("EXEC");
    }
    let mut leaving = Client::connect(worker.http);
    leaving.write(&(0..600).map(|_| RequestBuilder::new("look").text()).collect::<String>());
    wait_pending_responses(&worker, 3);
    leaving.reset();
    wait_pending_responses(&worker, 2);
    // It was dropped for the reset, and not rejected because it was queued for too long.
    assert_eq!((worker.metric("svc.replies.look.error"), worker.metric("svc.replies.look.overload")), (1, 0));
}
