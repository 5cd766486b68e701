//! Requests and responses on streams.

use crate::expect_start;
use crate::peer::*;
use crate::WORKER;
use port_worker::net::upstreams::ajp_codec::{self, Direction, Forward, ToWebServer};
use std::io::{Read, Write};
use std::net::TcpStream;
use test_support::{add_second_tenant, Client, RequestBuilder, WorkerUnderTest, TIMEOUT};

#[test]
fn attempts_with_one_key_share_one_run_across_all_frontends() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = expect_start(&mut executor, "order");
    // While the order runs, retries arrive on another stream and over HTTP/1.1.
    peer.send_request(3, "order", Some("k1"), "hello");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("order").key("k1"));
    executor.expect_no_command(&worker);
    executor.send_exit(&job, "PASS", "placed");
    let replies = [peer.read_response(1), peer.read_response(3)];
    assert!(replies.iter().all(|r| r.status == 200 && r.body == b"placed"), "{replies:?}");
    assert_eq!(client.read_response().body, b"placed");
    // A retry after the end of the run gets the same result.
    peer.send_request(5, "order", Some("k1"), "hello");
    assert_eq!(peer.read_response(5).body, b"placed");
}

/// Guards against a second run, a rejection or a foreign result when a retry on a stream names another tenant than the
/// attempt that ran, and against a tenant that blocks another's key.
#[test]
fn key_of_another_tenant_fails_a_retry_of_the_same_order_and_runs_a_different_one() {
    let worker = WORKER.start_with(add_second_tenant, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = expect_start(&mut executor, "order");
    let send_retry_of_bolt = |peer: &mut Peer, stream: u32, body: &str| {
        let mut headers = Peer::request_headers("order", Some("k1"));
        headers
            .iter_mut()
            .filter(|(name, _)| name == "x-org")
            .for_each(|(_, tenant)| *tenant = "bolt".into());
        headers.push(pair("x-resent", "1"));
        peer.frame(HEADERS, END_HEADERS, stream, &Peer::header_block(&headers));
        peer.frame(DATA, END_STREAM, stream, body.as_bytes());
    };
    send_retry_of_bolt(&mut peer, 3, "hello");
    assert_eq!(peer.read_response(3).status, 500);
    send_retry_of_bolt(&mut peer, 5, "other");
    let other_job = expect_start(&mut executor, "order");
    executor.send_exit(&other_job, "PASS", "placed 2");
    executor.send_exit(&job, "PASS", "placed 1");
    assert_eq!(peer.read_response(5).body, b"placed 2");
    assert_eq!(peer.read_response(1).body, b"placed 1");
    send_retry_of_bolt(&mut peer, 7, "hello");
    // The second tenant has used the key for another order by now.
    assert_eq!(peer.read_response(7).status, 409);
    peer.send_request(9, "order", Some("k1"), "hello");
    assert_eq!(peer.read_response(9).body, b"placed 1");
    executor.expect_no_command(&worker);
}

#[test]
fn stream_reset_after_the_start_retains_the_result_for_a_retry() {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/portal/order\"\nclass = \"order\"\n";
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}{ajp}")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = expect_start(&mut executor, "order");
    peer.reset(1);
    executor.expect_no_command(&worker);
    executor.send_exit(&job, "PASS", "placed");
    peer.send_request(3, "order", Some("k1"), "hello");
    assert_eq!(peer.read_response(3).body, b"placed");
    let mut client = Client::connect(worker.http);
    assert_eq!(client.request(&RequestBuilder::new("order").key("k1")).body, b"placed");
    assert_eq!(ajp_order(&worker, "k1"), b"placed");
}

/// Sends an order with a body of five bytes over AJP and returns its result.
fn ajp_order(worker: &WorkerUnderTest, key: &str) -> Vec<u8> {
    let headers: Vec<(&str, &[u8])> =
        vec![("content-length", b"5"), ("X-Org", b"acme"), ("X-Operation-Key", key.as_bytes())];
    let (server_name, uri) = ("portal.example", "/portal/order");
    let f = Forward { method: "POST", uri, server_name, headers, remote_user: None, secret: None };
    let mut stream = TcpStream::connect(worker.ajp.unwrap()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let bytes = [ajp_codec::write_forward(&f).unwrap(), ajp_codec::write_body(b"hello").unwrap()].concat();
    stream.write_all(&bytes).unwrap();
    let mut result = Vec::new();
    loop {
        let mut bytes = vec![0; 4];
        stream.read_exact(&mut bytes).unwrap();
        bytes.resize(4 + usize::from(u16::from_be_bytes([bytes[2], bytes[3]])), 0);
        stream.read_exact(&mut bytes[4..]).unwrap();
        let range = ajp_codec::find_packet(&bytes, Direction::ToWebServer).unwrap().unwrap();
        match ajp_codec::parse_to_web_server(&bytes[range]).unwrap() {
            ToWebServer::Chunk(chunk) => result.extend(chunk),
            ToWebServer::End { .. } => return result,
            _ => {}
        }
    }
}

#[test]
fn stream_reset_before_the_start_frees_its_queue_place() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for (stream, key) in [(1, "k1"), (3, "k2"), (5, "k3"), (7, "k4")] {
        peer.send_request(stream, "order", Some(key), "hello");
    }
    let jobs = [expect_start(&mut executor, "order"), expect_start(&mut executor, "order")];
    peer.reset(5);
    // The PING acknowledgement shows that the reset has been read.
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the PING acknowledgement", |f| f.kind == PING && f.flags & ACK != 0);
    executor.send_exit(&jobs[0], "PASS", "one");
    let next = executor.expect_command("EXEC");
    executor.send_exit(&jobs[1], "PASS", "two");
    executor.send_exit(&next["job"], "PASS", "four");
    let bodies = [peer.read_response(1).body, peer.read_response(3).body, peer.read_response(7).body];
    assert_eq!(bodies, [b"one".to_vec(), b"two".to_vec(), b"four".to_vec()]);
}

#[test]
fn rejection_carries_the_same_retry_advice_as_over_http1() {
    let pools = "[pools]\n[[pools.pool]]\nname = \"orders\"\nclasses = [\"order\"]\nqueue = 1\n";
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}{pools}")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for stream in [1, 3, 5, 7] {
        peer.send_request(stream, "order", Some(&format!("k{stream}")), "hello");
    }
    let jobs = [expect_start(&mut executor, "order"), expect_start(&mut executor, "order")];
    let rejected = peer.read_response(7);
    let advice: u64 = rejected.header("x-pushback-ms").unwrap().parse().unwrap();
    assert!(rejected.status == 503 && (1..=1000).contains(&advice), "{rejected:?}");
    assert_eq!(rejected.header("x-backend-says"), Some("1"));
    for job in &jobs {
        executor.send_exit(job, "PASS", "placed");
    }
    let job = expect_start(&mut executor, "order");
    executor.send_exit(&job, "PASS", "placed");
    assert!([1, 3, 5].iter().all(|s| peer.read_response(*s).status == 200));
    // Health checks work as over HTTP/1.1, and an unsupported method gets 405 with Allow.
    let header_list = |method: &str, path: &str| {
        [pair(":method", method), pair(":scheme", "http"), pair(":authority", "x"), pair(":path", path)]
    };
    peer.frame(
        HEADERS,
        END_HEADERS | END_STREAM,
        9,
        &Peer::header_block(&header_list("GET", "/check?e2e=1")),
    );
    assert_eq!(peer.read_response(9).body, b"good\n");
    peer.frame(HEADERS, END_HEADERS | END_STREAM, 11, &Peer::header_block(&header_list("PUT", "/check")));
    let reply = peer.read_response(11);
    assert_eq!((reply.status, reply.header("allow")), (405, Some("GET")));
}

#[test]
fn http1_client_gets_a_readable_505() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let _executor = worker.accept_link();
    let mut client = Client::connect(worker.http2.unwrap());
    client.write("GET /check HTTP/1.1\r\nHost: x\r\n\r\n");
    let reply = client.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (505, Some("close")));
    assert!(client.is_closed());
    // An incomplete preface: the connection is closed by timeout, and the worker continues to serve.
    let mut incomplete = Client::connect(worker.http2.unwrap());
    incomplete.write("PRI * HTTP/2.0\r\n");
    assert!(incomplete.is_closed());
    assert_eq!(Client::connect(worker.http).check_health(), 200);
}

#[test]
fn response_waits_for_windows_that_open_a_byte_at_a_time() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    // SETTINGS_INITIAL_WINDOW_SIZE is 0.
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[(4, 0)]));
    peer.send_request(1, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    let head = peer.next("the response HEADERS", |f| f.kind == HEADERS);
    assert_eq!(head.flags & END_STREAM, 0);
    let mut body = Vec::new();
    for _ in 0..12 {
        peer.update_window(1, 1);
        let data = peer.next("DATA of one byte", |f| f.kind == DATA);
        assert_eq!(data.payload.len(), 1);
        body.extend(data.payload);
    }
    assert_eq!(body, b"twelve bytes");
    // Windows below 0: a stream has used its window when the settings reduce it.
    peer.frame(SETTINGS, 0, 0, &[&4u16.to_be_bytes()[..], &8u32.to_be_bytes()[..]].concat());
    peer.send_request(3, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    assert_eq!(peer.next("DATA of eight bytes", |f| f.kind == DATA && f.stream == 3).payload.len(), 8);
    peer.frame(SETTINGS, 0, 0, &[&4u16.to_be_bytes()[..], &0u32.to_be_bytes()[..]].concat());
    peer.update_window(3, 8);
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the PING acknowledgement", |f| f.kind == PING && f.flags & ACK != 0);
    assert!(!peer.unmatched.iter().any(|f| f.kind == DATA), "DATA was sent although the window is closed");
    peer.update_window(3, 4);
    assert_eq!(peer.next("the remaining DATA", |f| f.kind == DATA && f.stream == 3).payload, b"ytes");
}

#[test]
fn oversized_body_is_rejected_without_reading_all_of_it() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let block = Peer::header_block(&Peer::request_headers("look", None));
    peer.frame(HEADERS, END_HEADERS, 1, &block);
    peer.frame(DATA, 0, 1, &[b'x'; 1500]);
    peer.frame(DATA, 0, 1, &[b'x'; 1500]);
    assert_eq!(peer.read_response(1).status, 413);
    // Other streams of the connection are not affected.
    peer.send_request(3, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(3).body, b"seen");
}

#[test]
fn malformed_requests_are_never_dispatched() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let valid = Peer::request_headers("look", None);
    let without = |name: &str| valid.iter().filter(|(n, _)| n != name).cloned().collect::<Vec<_>>();
    let with = |name: &str, value: &str| [valid.clone(), vec![pair(name, value)]].concat();
    let reordered = [valid[4..].to_vec(), valid[..4].to_vec()].concat();
    // RFC 9113, sections 8.1.1, 8.2 and 8.3: stream errors, before any response.
    for (description, headers) in [
        ("an upper-case name", with("X-Upper", "1")),
        ("a connection header", with("connection", "close")),
        ("a transfer coding", with("transfer-encoding", "chunked")),
        ("no method", without(":method")),
        ("two paths", with(":path", "/do/look")),
        ("a pseudo-header after others", reordered),
        ("a length that does not match the body", with("content-length", "7")),
        ("two lengths", [with("content-length", "5"), vec![pair("content-length", "5")]].concat()),
    ] {
        let mut peer = Peer::connect(&worker, &[]);
        peer.frame(HEADERS, END_HEADERS, 1, &Peer::header_block(&headers));
        peer.frame(DATA, END_STREAM, 1, b"hello");
        let frame = peer.next(description, |f| f.kind == RST_STREAM || f.kind == GOAWAY);
        let code = if frame.kind == GOAWAY { frame.code(4) } else { frame.code(0) };
        assert_eq!(code, PROTOCOL_ERROR, "{description}");
    }
    // Valid HTTP/2 that is not a valid request gets the documented statuses.
    for (headers, status) in [
        (with("x-deadline-ms", "NaN"), 400),
        (with("x-org", "acme"), 400),
        (without("x-correlation-id"), 400),
        (Peer::request_headers("nonsense", None), 404),
        (Peer::request_headers("order", None), 400),
    ] {
        let mut peer = Peer::connect(&worker, &[]);
        peer.frame(HEADERS, END_HEADERS, 1, &Peer::header_block(&headers));
        peer.frame(DATA, END_STREAM, 1, b"hello");
        assert_eq!(peer.read_response(1).status, status, "{headers:?}");
    }
    executor.expect_no_command(&worker);
}

/// Guards against requests that run although their client has closed the connection: no response can reach it.
#[test]
fn requests_of_a_client_that_has_closed_its_connection_do_not_run() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut peer = Peer::connect(&worker, &[]);
    peer.send_request(1, "look", None, "hello");
    let job = expect_start(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
    // Both are there when the worker goes on: the requests and the end of the connection.
    worker.suspend();
    // More than the worker reads at a time.
    for number in 1..60 {
        peer.send_request(2 * number + 1, "look", None, "hello");
    }
    drop(peer);
    worker.resume();
    executor.expect_no_command(&worker);
}
