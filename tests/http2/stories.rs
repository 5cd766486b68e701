//! One story for each failure.

use crate::peer::*;
use crate::WORKER;
use port_worker::net::upstreams::ajp_codec::{self, Forward, ToWebServer, Way};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_support::{Client, Executor, RequestBuilder, WorkerUnderTest, TIMEOUT};

fn starts(executor: &mut Executor, class: &str) -> Value {
    let command = executor.expect_command("EXEC");
    assert_eq!(command["kind"], class, "{command}");
    command["job"].clone()
}

#[test]
fn an_order_on_a_stream_is_one_run_for_every_front() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    // Again on another stream, and over HTTP/1.1, while it runs.
    peer.send_request(3, "order", Some("k1"), "hello");
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("order").key("k1"));
    executor.expect_no_command(&worker);
    executor.send_exit(&job, "PASS", "placed");
    let replies = [peer.read_response(1), peer.read_response(3)];
    assert!(replies.iter().all(|r| r.status == 200 && r.body == b"placed"), "{replies:?}");
    assert_eq!(client.read_response().body, b"placed");
    // And after it.
    peer.send_request(5, "order", Some("k1"), "hello");
    assert_eq!(peer.read_response(5).body, b"placed");
}

#[test]
fn a_reset_after_the_run_began_keeps_the_result_for_the_next_try() {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/portal/order\"\nclass = \"order\"\n";
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}{ajp}")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    peer.reset(1);
    executor.expect_no_command(&worker);
    executor.send_exit(&job, "PASS", "placed");
    peer.send_request(3, "order", Some("k1"), "hello");
    assert_eq!(peer.read_response(3).body, b"placed");
    let mut client = Client::connect(worker.http);
    assert_eq!(client.request(&RequestBuilder::new("order").key("k1")).body, b"placed");
    assert_eq!(ajp_order(&worker, "k1"), b"placed");
}

/// The result of an order of five bytes that comes over AJP.
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
        let range = ajp_codec::packet(&bytes, Way::ToWebServer).unwrap().unwrap();
        match ajp_codec::to_web_server(&bytes[range]).unwrap() {
            ToWebServer::Chunk(chunk) => result.extend(chunk),
            ToWebServer::End { .. } => return result,
            _ => {}
        }
    }
}

#[test]
fn a_reset_before_the_start_is_forgotten_and_its_slot_goes_to_the_next() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for (stream, key) in [(1, "k1"), (3, "k2"), (5, "k3"), (7, "k4")] {
        peer.send_request(stream, "order", Some(key), "hello");
    }
    let jobs = [starts(&mut executor, "order"), starts(&mut executor, "order")];
    peer.reset(5);
    // The answer to a ping shows that the reset has been read.
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
    executor.send_exit(&jobs[0], "PASS", "one");
    let next = executor.expect_command("EXEC");
    executor.send_exit(&jobs[1], "PASS", "two");
    executor.send_exit(&next["job"], "PASS", "four");
    let bodies = [peer.read_response(1).body, peer.read_response(3).body, peer.read_response(7).body];
    assert_eq!(bodies, [b"one".to_vec(), b"two".to_vec(), b"four".to_vec()]);
}

#[test]
fn a_stream_beyond_the_limit_is_refused_and_nothing_of_it_runs() {
    let worker = WORKER.start_with(|_| {}, Some("[http2]\nlisten = \"127.0.0.1:0\"\nstreams = 2\n"));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for stream in [1, 3, 5] {
        peer.send_request(stream, "order", Some(&format!("k{stream}")), "hello");
    }
    let jobs = [starts(&mut executor, "order"), starts(&mut executor, "order")];
    assert_eq!(peer.read_response(5).reset, Some(REFUSED_STREAM));
    executor.send_exit(&jobs[0], "PASS", "one");
    executor.send_exit(&jobs[1], "PASS", "two");
    assert_eq!((peer.read_response(1).body, peer.read_response(3).body), (b"one".to_vec(), b"two".to_vec()));
    // It is true that nothing ran: its key runs now, for the first time.
    peer.send_request(7, "order", Some("k5"), "hello");
    let job = starts(&mut executor, "order");
    executor.send_exit(&job, "PASS", "five");
    assert_eq!(peer.read_response(7).body, b"five");
}

#[test]
fn a_refusal_says_when_to_come_back_in_the_same_words_as_the_platforms_front() {
    let pools = "[pools]\n[[pools.pool]]\nname = \"orders\"\nclasses = [\"order\"]\nqueue = 1\n";
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}{pools}")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for stream in [1, 3, 5, 7] {
        peer.send_request(stream, "order", Some(&format!("k{stream}")), "hello");
    }
    let jobs = [starts(&mut executor, "order"), starts(&mut executor, "order")];
    let refused = peer.read_response(7);
    let advice: u64 = refused.header("x-pushback-ms").unwrap().parse().unwrap();
    assert!(refused.status == 503 && (1..=1000).contains(&advice), "{refused:?}");
    assert_eq!(refused.header("x-backend-says"), Some("1"));
    for job in &jobs {
        executor.send_exit(job, "PASS", "placed");
    }
    let job = starts(&mut executor, "order");
    executor.send_exit(&job, "PASS", "placed");
    assert!([1, 3, 5].iter().all(|s| peer.read_response(*s).status == 200));
    // Health is asked for in the same way, and a method that fits nothing is said to.
    let ask = |method: &str, path: &str| {
        [pair(":method", method), pair(":scheme", "http"), pair(":authority", "x"), pair(":path", path)]
    };
    peer.frame(HEADERS, END_HEADERS | END_STREAM, 9, &Peer::block(&ask("GET", "/check?e2e=1")));
    assert_eq!(peer.read_response(9).body, b"good\n");
    peer.frame(HEADERS, END_HEADERS | END_STREAM, 11, &Peer::block(&ask("PUT", "/check")));
    let reply = peer.read_response(11);
    assert_eq!((reply.status, reply.header("allow")), (405, Some("GET")));
}

#[test]
fn a_drain_in_mid_stream_says_goodbye_twice_answers_all_and_closes() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut idle = Peer::connect(&worker, &[]);
    idle.frame(PING, 0, 0, b"whatever");
    idle.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
    peer.ack_pings = false;
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    // A stream that crossed it is still taken, and its read is answered.
    peer.send_request(3, "look", None, "hello");
    let crossed = starts(&mut executor, "look");
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "placed");
    executor.send_exit(&crossed, "PASS", "seen");
    assert_eq!(
        (peer.read_response(1).body, peer.read_response(3).body),
        (b"placed".to_vec(), b"seen".to_vec())
    );
    assert!(peer.is_closed() && idle.is_closed());
    worker.wait_log("left with all answered");
    assert!(worker.exits_successfully());
}

#[test]
fn a_client_of_another_version_gets_a_word_that_it_can_read() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let _executor = worker.accept_link();
    let mut client = Client::connect(worker.http2.unwrap());
    client.write("GET /check HTTP/1.1\r\nHost: x\r\n\r\n");
    let reply = client.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (505, Some("close")));
    assert!(client.is_closed());
    // Half a preface and then nothing: closed in its time, and the worker serves on.
    let mut half = Client::connect(worker.http2.unwrap());
    half.write("PRI * HTTP/2.0\r\n");
    assert!(half.is_closed());
    assert_eq!(Client::connect(worker.http).check_health(), 200);
}

#[test]
fn an_answer_waits_for_windows_that_open_a_byte_at_a_time() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    // SETTINGS_INITIAL_WINDOW_SIZE of 0.
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[(4, 0)]));
    peer.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    let head = peer.next("the head", |f| f.kind == HEADERS);
    assert_eq!(head.flags & END_STREAM, 0);
    let mut body = Vec::new();
    for _ in 0..12 {
        peer.window(1, 1);
        let data = peer.next("a byte", |f| f.kind == DATA);
        assert_eq!(data.payload.len(), 1);
        body.extend(data.payload);
    }
    assert_eq!(body, b"twelve bytes");
    // Windows that go below 0: two streams in flight, then settings that shrink what they were given.
    peer.frame(SETTINGS, 0, 0, &[&4u16.to_be_bytes()[..], &8u32.to_be_bytes()[..]].concat());
    peer.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    assert_eq!(peer.next("eight bytes", |f| f.kind == DATA && f.stream == 3).payload.len(), 8);
    peer.frame(SETTINGS, 0, 0, &[&4u16.to_be_bytes()[..], &0u32.to_be_bytes()[..]].concat());
    peer.window(3, 8);
    peer.frame(PING, 0, 0, b"whatever");
    peer.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
    assert!(!peer.kept.iter().any(|f| f.kind == DATA), "sent into a closed window");
    peer.window(3, 4);
    assert_eq!(peer.next("the rest", |f| f.kind == DATA && f.stream == 3).payload, b"ytes");
}

#[test]
fn a_body_that_is_too_long_is_refused_without_reading_on() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let block = Peer::block(&Peer::head("look", None));
    peer.frame(HEADERS, END_HEADERS, 1, &block);
    peer.frame(DATA, 0, 1, &[b'x'; 1500]);
    peer.frame(DATA, 0, 1, &[b'x'; 1500]);
    assert_eq!(peer.read_response(1).status, 413);
    // Other streams of the connection are not touched.
    peer.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(3).body, b"seen");
}

#[test]
fn malformed_requests_never_reach_the_module() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let mut executor = worker.accept_link();
    let good = Peer::head("look", None);
    let without = |name: &str| good.iter().filter(|(n, _)| n != name).cloned().collect::<Vec<_>>();
    let with = |name: &str, value: &str| [good.clone(), vec![pair(name, value)]].concat();
    let swapped = [good[4..].to_vec(), good[..4].to_vec()].concat();
    // By RFC 9113, sections 8.1.1, 8.2 and 8.3: stream errors, before any answer.
    for (what, list) in [
        ("an upper-case name", with("X-Upper", "1")),
        ("a connection header", with("connection", "close")),
        ("a transfer coding", with("transfer-encoding", "chunked")),
        ("no method", without(":method")),
        ("two paths", with(":path", "/do/look")),
        ("a pseudo-header after others", swapped),
        ("a length that does not fit", with("content-length", "7")),
        ("two lengths", [with("content-length", "5"), vec![pair("content-length", "5")]].concat()),
    ] {
        let mut peer = Peer::connect(&worker, &[]);
        peer.frame(HEADERS, END_HEADERS, 1, &Peer::block(&list));
        peer.frame(DATA, END_STREAM, 1, b"hello");
        let frame = peer.next(what, |f| f.kind == RST_STREAM || f.kind == GOAWAY);
        let code = if frame.kind == GOAWAY { frame.code(4) } else { frame.code(0) };
        assert_eq!(code, PROTOCOL_ERROR, "{what}");
    }
    // What is sound HTTP/2 but no sound request gets the platform's statuses.
    for (list, status) in [
        (with("x-deadline-ms", "NaN"), 400),
        (with("x-org", "acme"), 400),
        (without("x-correlation-id"), 400),
        (Peer::head("nonsense", None), 404),
        (Peer::head("order", None), 400),
    ] {
        let mut peer = Peer::connect(&worker, &[]);
        peer.frame(HEADERS, END_HEADERS, 1, &Peer::block(&list));
        peer.frame(DATA, END_STREAM, 1, b"hello");
        assert_eq!(peer.read_response(1).status, status, "{list:?}");
    }
    executor.expect_no_command(&worker);
}

#[test]
fn floods_end_their_connection_and_leave_the_worker_serving() {
    let worker = WORKER.start_with(|_| {}, Some(FRONT));
    let mut executor = worker.accept_link();
    // Rapid reset: streams opened and reset without end.
    let mut peer = Peer::connect(&worker, &[]);
    let flood = |peer: &mut Peer, frames: &dyn Fn(u32) -> Vec<(u8, u8, u32, Vec<u8>)>| {
        for n in 0..20_000 {
            for (kind, flags, stream, payload) in frames(n) {
                if peer.stream.write_all(&Peer::bytes(kind, flags, stream, &payload)).is_err() {
                    return;
                }
            }
        }
    };
    flood(&mut peer, &|n| {
        let block = Peer::block(&Peer::head("nonsense", None));
        let stream = 2 * n + 1;
        vec![(HEADERS, END_HEADERS, stream, block), (RST_STREAM, 0, stream, CANCEL.to_be_bytes().to_vec())]
    });
    let ended_with =
        |peer: &mut Peer| std::iter::from_fn(|| peer.read()).find(|f| f.kind == GOAWAY).map(|f| f.code(4));
    assert_eq!(ended_with(&mut peer), Some(ENHANCE_YOUR_CALM));
    // A header block without end.
    let mut endless = Peer::connect(&worker, &[]);
    endless.frame(HEADERS, 0, 1, &Peer::block(&Peer::head("look", None)));
    flood(&mut endless, &|_| vec![(CONTINUATION, 0, 1, Peer::block(&[pair("x-filler", &"y".repeat(100))]))]);
    assert_eq!(ended_with(&mut endless), Some(ENHANCE_YOUR_CALM));
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(client.read_response().body, b"seen");
}

/// PING is answered, so a client that sent nothing else could keep the worker's core to itself for as long as it liked.
#[test]
fn a_flood_that_asks_for_nothing_is_read_slowly_and_told_to_go_and_whoever_asks_is_not() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut asks) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut flood = Peer::connect(&worker, &[]);
    flood.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(flood.read_response(1).body, b"seen");
    flood.stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let pings = Peer::bytes(PING, ACK, 0, b"whatever").repeat(1000);
    // What is not taken piles up on its own side: far less than this fits into the system's buffers.
    let held_back = (0..4000).any(|_| flood.stream.write_all(&pings).is_err());
    assert!(held_back, "the worker took in 68 MB that ask for nothing");
    worker.wait_log("it is read slowly");
    // Far more than the allowance, all of it asked for; and a newcomer, which begins with little.
    let mut newcomer = Peer::connect(&worker, &[]);
    for n in 0..100 {
        for peer in [&mut asks, &mut newcomer] {
            peer.send_request(2 * n + 1, "look", None, &"x".repeat(2000));
            let job = starts(&mut executor, "look");
            executor.send_exit(&job, "PASS", "seen");
            assert_eq!(peer.read_response(2 * n + 1).body, b"seen");
        }
    }
    let ended = std::iter::from_fn(|| flood.read()).find(|f| f.kind == GOAWAY).map(|f| f.code(4));
    assert_eq!(ended, Some(ENHANCE_YOUR_CALM));
    worker.wait_log("it is told to go");
}

#[test]
fn a_hundred_streams_of_one_connection_leave_routers_their_turn() {
    let worker = WORKER.start_with(|c| c["settings"]["domain"]["nCores"] = json!(64), Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    for n in 0..40 {
        peer.send_request(2 * n + 1, "look", None, "hello");
    }
    let mut client = Client::connect(worker.http);
    client.send(&RequestBuilder::new("look"));
    let jobs: Vec<Value> = (0..41).map(|_| starts(&mut executor, "look")).collect();
    // Answers in any order.
    for job in jobs.iter().rev() {
        executor.send_exit(job, "PASS", "seen");
    }
    assert_eq!(client.read_response().body, b"seen");
    assert!((0..40).all(|n| peer.read_response(2 * n + 1).body == b"seen"));
}

/// A measurement, out of CI: `cargo test --release --test http2 -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures, and holds nothing against them"]
fn memory_of_idle_connections() {
    const CONNECTIONS: usize = 400;
    let wide = |c: &mut Value| c["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": 1024});
    let worker = WORKER.start_with(wide, Some(FRONT));
    let _executor = worker.accept_link();
    let rest = || std::thread::sleep(std::time::Duration::from_millis(1500));
    let before = worker.resident_kb();
    let mut routers: Vec<Client> = (0..CONNECTIONS).map(|_| Client::connect(worker.http)).collect();
    assert!(routers.iter_mut().all(|c| c.check_health() == 200));
    rest();
    let http1 = (worker.resident_kb() - before) / CONNECTIONS as f64;
    drop(routers);
    rest();
    let before = worker.resident_kb();
    let check = [(":method", "GET"), (":scheme", "http"), (":authority", "x"), (":path", "/check")];
    let block = Peer::block(&check.map(|(n, v)| pair(n, v)));
    let mut peers: Vec<Peer> = (0..CONNECTIONS).map(|_| Peer::connect(&worker, &[])).collect();
    for peer in &mut peers {
        peer.frame(HEADERS, END_HEADERS | END_STREAM, 1, &block);
        assert_eq!(peer.read_response(1).status, 200);
    }
    rest();
    let http2 = (worker.resident_kb() - before) / CONNECTIONS as f64;
    println!("KB an idle connection: HTTP/1.1 {http1:.1}, HTTP/2 {http2:.1}");
}

#[test]
fn an_idle_client_is_told_to_go_before_it_is_closed_and_what_crosses_that_is_served() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}idle_s = 1\n")));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.ack_pings = false;
    peer.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(peer.read_response(1).body, b"seen");
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    peer.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    executor.send_exit(&job, "PASS", "crossed");
    assert_eq!(peer.read_response(3).body, b"crossed");
    assert!(peer.is_closed());
}

/// A drain by console changed health alone, and clients that kept their connection never heard of it.
#[test]
fn a_drain_by_console_tells_resting_clients_to_go_and_answers_what_crosses() {
    let worker = WORKER.start_with(|c| c["console"] = json!("127.0.0.1:0"), Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut ask = |peer: &mut Peer, stream: u32| {
        peer.send_request(stream, "look", None, "hello");
        let job = starts(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(stream).body, b"seen");
    };
    ask(&mut peer, 1);
    peer.ack_pings = false;
    assert_eq!(worker.console_request("POST", "/-/drain").0, 200);
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    ask(&mut peer, 3);
    let ping = peer.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    peer.frame(PING, ACK, 0, &ping.payload);
    assert_eq!(peer.goaway(), (3, NO_ERROR));
    assert!(peer.is_closed());
    // Whoever comes all the same is served, and after the drain nobody is sent away.
    let mut late = Peer::connect(&worker, &[]);
    ask(&mut late, 1);
    assert_eq!(worker.console_request("POST", "/-/resume").0, 200);
    let mut back = Peer::connect(&worker, &[]);
    ask(&mut back, 1);
    std::thread::sleep(Duration::from_millis(600));
    ask(&mut back, 3);
    assert!(back.kept.iter().all(|f| f.kind != GOAWAY), "{:?}", back.kept);
}

#[test]
fn a_client_that_rests_is_asked_for_a_sign_of_life_and_closed_where_it_gives_none() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}ping_s = 0.5\n")));
    let (mut executor, mut alive) = (worker.accept_link(), Peer::connect(&worker, &[]));
    let mut dead = Peer::connect(&worker, &[]);
    dead.ack_pings = false;
    for peer in [&mut alive, &mut dead] {
        peer.send_request(1, "look", None, "hello");
        let job = starts(&mut executor, "look");
        executor.send_exit(&job, "PASS", "seen");
        assert_eq!(peer.read_response(1).body, b"seen");
    }
    for _ in 0..3 {
        alive.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    }
    dead.next("a ping", |f| f.kind == PING && f.flags & ACK == 0);
    assert!(dead.is_closed());
    // It goes on answering pings while it waits for its turn here.
    alive.send_request(3, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "still here");
    assert_eq!(alive.read_response(3).body, b"still here");
}

#[test]
fn a_second_notice_in_a_drain_changes_nothing() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut peer) = (worker.accept_link(), Peer::connect(&worker, &[]));
    peer.send_request(1, "order", Some("k1"), "hello");
    let job = starts(&mut executor, "order");
    worker.terminate();
    assert_eq!(peer.goaway(), (0x7fff_ffff, NO_ERROR));
    assert_eq!(peer.goaway(), (1, NO_ERROR));
    worker.terminate();
    // A stream that is opened after the last goodbye is none, and nothing of it runs.
    peer.send_request(3, "look", None, "hello");
    executor.send_exit(&job, "PASS", "placed");
    assert_eq!(peer.read_response(1).body, b"placed");
    assert!(peer.is_closed());
    worker.wait_log("left with all answered");
    assert!(worker.exits_successfully());
    assert_eq!(worker.log.iter().filter(|l| l.contains("notice to leave")).count(), 1);
}

#[test]
fn five_hundred_silent_connections_leave_routers_their_turn() {
    let worker = WORKER.start_with(|c| c["limits"]["sockets"] = json!(256), Some(FRONT));
    let mut executor = worker.accept_link();
    let mut router = Client::connect(worker.http);
    assert_eq!(router.check_health(), 200);
    let mut silent = Vec::new();
    for n in 0..500 {
        silent.push(if n % 2 == 0 { Peer::silent(&worker) } else { Peer::connect(&worker, &[]) });
        if n % 50 == 0 {
            router.send(&RequestBuilder::new("look"));
            executor.serve_next(&mut router, "seen");
        }
    }
    let mut newcomer = Client::connect(worker.http);
    newcomer.send(&RequestBuilder::new("look"));
    executor.serve_next(&mut newcomer, "seen");
    // Far more stand there than have a seat: whoever asks gets one all the same.
    let mut asks = Peer::connect(&worker, &[]);
    asks.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(asks.read_response(1).body, b"seen");
}

#[test]
fn a_drain_in_mid_headers_and_with_windows_shut_answers_both() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONT));
    let (mut executor, mut half, mut shut) =
        (worker.accept_link(), Peer::connect(&worker, &[]), Peer::connect(&worker, &[(4, 0)]));
    shut.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "twelve bytes");
    shut.next("the head", |f| f.kind == HEADERS);
    let block = Peer::block(&Peer::head("look", None));
    half.frame(HEADERS, 0, 1, &block[..20]);
    worker.terminate();
    worker.wait_log("notice to leave");
    half.frame(CONTINUATION, END_HEADERS, 1, &block[20..]);
    half.frame(DATA, END_STREAM, 1, b"hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(half.read_response(1).body, b"seen");
    shut.window(1, 12);
    assert_eq!(shut.next("the body", |f| f.kind == DATA).payload, b"twelve bytes");
    assert!(half.is_closed() && shut.is_closed());
    worker.wait_log("left with all answered");
    assert!(worker.exits_successfully());
}

/// Each connection kept within its bounds, and all together held far more than the worker has.
#[test]
fn answers_that_wait_are_bounded_in_all_and_who_has_most_of_them_is_told_to_go() {
    let cores = |c: &mut Value| c["settings"]["domain"]["nCores"] = json!(64);
    let mut worker = WORKER.start_with(cores, Some(&format!("{FRONT}waiting_kb = 64\n")));
    let mut executor = worker.accept_link();
    // Windows of 0: nothing of an answer's body may be sent.
    let (mut hoards, mut patient) = (Peer::connect(&worker, &[(4, 0)]), Peer::connect(&worker, &[(4, 0)]));
    patient.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    executor.send_exit(&job, "PASS", &"y".repeat(4000));
    for n in 0..20 {
        hoards.send_request(2 * n + 1, "look", None, "hello");
        let job = starts(&mut executor, "look");
        executor.send_exit(&job, "PASS", &"x".repeat(4000));
    }
    assert_eq!(hoards.goaway().1, ENHANCE_YOUR_CALM);
    assert!(hoards.is_closed());
    worker.wait_log("too much waits for clients");
    patient.window(1, 4000);
    assert_eq!(patient.read_response(1).body.len(), 4000);
}

#[test]
fn beyond_the_bound_on_connections_whoever_rests_makes_room_and_busy_ones_stay() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}connections = 2\n")));
    let mut executor = worker.accept_link();
    let mut ask = |peer: &mut Peer, stream: u32| {
        peer.send_request(stream, "look", None, "hello");
        starts(&mut executor, "look")
    };
    let (mut rests, mut busy) = (Peer::connect(&worker, &[]), Peer::connect(&worker, &[]));
    let (first, second) = (ask(&mut rests, 1), ask(&mut busy, 1));
    // Both are busy: the third is closed at once.
    assert!(Peer::connect(&worker, &[]).is_closed());
    executor.send_exit(&first, "PASS", "seen");
    assert_eq!(rests.read_response(1).body, b"seen");
    let mut third = Peer::connect(&worker, &[]);
    third.send_request(1, "look", None, "hello");
    let job = starts(&mut executor, "look");
    assert!(rests.is_closed());
    executor.send_exit(&second, "PASS", "seen");
    executor.send_exit(&job, "PASS", "seen");
    assert_eq!(
        (busy.read_response(1).body, third.read_response(1).body),
        (b"seen".to_vec(), b"seen".to_vec())
    );
}

/// A stop so short that the module has no time to give up: the streams are answered all the same, each in the way of
/// what is known of it.
#[test]
fn however_short_the_stop_streams_are_answered_before_the_end() {
    for stop_ms in [120, 1, 0] {
        let mut worker = WORKER.start_with(|c| c["stop_ms"] = json!(stop_ms), Some(FRONT));
        let mut executor = worker.accept_link();
        executor.gauges = [1.0, 4.0, 0.1, 3.0];
        let mut peer = Peer::connect(&worker, &[]);
        peer.send_request(1, "order", Some("k1"), "hello");
        starts(&mut executor, "order");
        peer.send_request(3, "look", None, "hello");
        starts(&mut executor, "look");
        peer.send_request(5, "look", None, "hello");
        peer.frame(PING, 0, 0, b"whatever");
        peer.next("the ping's answer", |f| f.kind == PING && f.flags & ACK != 0);
        worker.terminate();
        let status = [1, 3, 5].map(|stream| peer.read_response(stream).status);
        assert!([500, 504].contains(&status[0]) && status[2] == 503, "{status:?}");
        assert!(worker.exits_successfully());
    }
}

/// What a resting client says when room is needed may be no request: it is looked at, and then gives way. Whoever came
/// waits for that and is not closed.
#[test]
fn a_newcomer_waits_while_what_a_resting_client_says_is_looked_at() {
    let worker = WORKER.start_with(|_| {}, Some(&format!("{FRONT}connections = 2\n")));
    let mut executor = worker.accept_link();
    let (mut rests, mut busy) = (Peer::connect(&worker, &[]), Peer::connect(&worker, &[]));
    let mut jobs = Vec::new();
    for peer in [&mut rests, &mut busy] {
        peer.send_request(1, "look", None, "hello");
        jobs.push(starts(&mut executor, "look"));
    }
    executor.send_exit(&jobs[0], "PASS", "seen");
    assert_eq!(rests.read_response(1).body, b"seen");
    worker.suspend();
    rests.frame(PING, 0, 0, b"whatever");
    let mut third = Peer::connect(&worker, &[]);
    third.send_request(1, "look", None, "hello");
    worker.resume();
    jobs.push(starts(&mut executor, "look"));
    executor.send_exit(&jobs[1], "PASS", "seen");
    executor.send_exit(&jobs[2], "PASS", "seen");
    assert_eq!(
        (busy.read_response(1).body, third.read_response(1).body),
        (b"seen".to_vec(), b"seen".to_vec())
    );
}
