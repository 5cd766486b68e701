//! Requests of portals at the AJP frontend.

use crate::{forward, order, Ajp, FRONTEND, WORKER};
use port_worker::net::upstreams::ajp_codec::{self, Direction, Forward, ToWebServer};
use serde_json::json;
use test_support::{to_base64, unix_ms, Client};

#[test]
fn portal_connection_serves_pings_and_bodies_in_chunks() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    for (body, pieces) in [("hello", 1), ("hello", 2), ("unmeasured", 3)] {
        portal.write(&ajp_codec::write_cping());
        assert_eq!(
            ajp_codec::parse_to_web_server(&portal.packet(Direction::ToWebServer).unwrap()),
            Ok(ToWebServer::CPong)
        );
        let mut f = forward("/portal/look/17?a=b", "");
        if pieces == 3 {
            f.headers[0] = ("transfer-encoding", b"chunked");
            portal.send(&f, b"");
        } else {
            portal.send(&f, &body.as_bytes()[..if pieces == 2 { 2 } else { 5 }]);
        }
        for piece in [&body.as_bytes()[2..], b""].iter().take(pieces - 1) {
            let payload = portal.packet(Direction::ToWebServer).unwrap();
            let Ok(ToWebServer::GetBody(wanted)) = ajp_codec::parse_to_web_server(&payload) else {
                panic!("no GET_BODY_CHUNK")
            };
            assert!(usize::from(wanted) >= piece.len());
            // Of the body without a length the first piece has not been sent unasked.
            let piece = if pieces == 3 && !piece.is_empty() { body.as_bytes() } else { piece };
            portal.write(&ajp_codec::write_body(piece).unwrap());
        }
        let exec = executor.expect_command("EXEC");
        assert_eq!((&exec["kind"], &exec["data"]), (&json!("look"), &json!(to_base64(body))));
        let result = "r".repeat(4096);
        executor.send_exit(&exec["job"], "PASS", &result);
        let (reply, reuse) = portal.read_response();
        assert_eq!((reply.status, reuse, reply.body == result.as_bytes()), (200, true, true));
        assert_eq!(reply.header("X-Backend-Says"), Some("1"));
    }
}

#[test]
fn attempts_with_one_key_share_one_run_over_ajp_and_http() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let (mut portal, mut router) = (Ajp::connect(worker.ajp.unwrap()), Client::connect(worker.http));
    let f = forward("/portal/order", "k1");
    // First over AJP, again over HTTP while it runs, and when it has been served.
    portal.send(&f, b"hello");
    let exec = executor.expect_command("EXEC");
    router.send(&order("k1"));
    executor.expect_no_command(&worker);
    executor.send_exit(&exec["job"], "PASS", "placed 1");
    assert_eq!(portal.read_response().0.body, b"placed 1");
    assert_eq!(router.read_response().body, b"placed 1");
    assert_eq!(router.request(&order("k1")).body, b"placed 1");
    // The reverse.
    router.send(&order("k2"));
    let exec = executor.expect_command("EXEC");
    let f = forward("/portal/order", "k2");
    portal.send(&f, b"hello");
    executor.expect_no_command(&worker);
    executor.send_exit(&exec["job"], "PASS", "placed 2");
    assert_eq!(router.read_response().body, b"placed 2");
    assert_eq!(portal.read_response().0.body, b"placed 2");
    assert_eq!(portal.request(&f, b"hello").body, b"placed 2");
    executor.expect_no_command(&worker);
}

#[test]
fn connection_lost_in_mid_body_runs_nothing_and_after_it_retains_the_result() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&forward("/portal/order", "k1"), b"he");
    drop(portal);
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&forward("/portal/order", "k2"), b"hello");
    let exec = executor.expect_command("EXEC");
    assert_eq!(exec["data"], to_base64("hello"));
    drop(portal);
    executor.expect_no_command(&worker);
    executor.send_exit(&exec["job"], "PASS", "placed");
    let mut router = Client::connect(worker.http);
    assert_eq!(router.request(&order("k2")).body, b"placed");
    // The key of the half request is free: it was never dispatched.
    router.send(&order("k1"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "now");
    assert_eq!(router.read_response().body, b"now");
}

#[test]
fn invalid_ajp_requests_are_rejected_and_never_dispatched() {
    let rules = "[[ajp.tenant]]\nserver_name = \"portal.example\"\ntenant = \"acme\"\n";
    let mut worker = WORKER.start_with(|_| {}, Some(&format!("{FRONTEND}{rules}")));
    let mut executor = worker.accept_link();
    let at = worker.ajp.unwrap();
    let good = forward("/portal/order", "k");
    let twice = [&good.headers[..], &[("X-Operation-Key", &b"l"[..])]].concat();
    let long = vec![("content-length", &b"2049"[..])];
    let signed = vec![("content-length", &b"+0"[..])];
    for (f, status) in [
        (Forward { secret: None, ..good.clone() }, 403),
        (Forward { secret: Some(b"s3cres"), ..good.clone() }, 403),
        (Forward { server_name: "other.example", ..good.clone() }, 403),
        (forward("/portal/order", ""), 400),
        (Forward { headers: twice, ..good.clone() }, 400),
        (Forward { headers: long, uri: "/portal/look", ..good.clone() }, 413),
        (Forward { headers: signed, uri: "/portal/look", ..good.clone() }, 400),
        (forward("/portal/orders", "k"), 404),
        (Forward { method: "GET", ..good.clone() }, 405),
    ] {
        let mut portal = Ajp::connect(at);
        portal.send(&f, b"");
        let (reply, reuse) = portal.read_response();
        assert_eq!((reply.status, reuse), (status, false), "{f:?}");
        assert!(portal.is_closed());
    }
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], b"\x12\x34\xff\xff", b"\x12\x34\0\x02\x02\x63", b"\x12\x34\0\0"]
    {
        let mut portal = Ajp::connect(at);
        portal.write(bytes);
        assert!(portal.is_closed());
        worker.wait_log("ajp_connection_rejected");
    }
    // A request to shut down is not for anybody who can connect.
    Ajp::connect(at).write(&[0x12, 0x34, 0, 1, 7]);
    executor.expect_no_command(&worker);
    assert!(worker.is_running());
}

#[test]
fn failure_timeout_and_rejection_get_distinct_statuses() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&forward("/portal/look", ""), b"hello");
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "FAIL", "");
    assert_eq!(portal.read_response().0.status, 502);
    let mut f = forward("/portal/order", "k");
    f.headers.push(("X-Deadline-Ms", b"400"));
    let sent = unix_ms();
    portal.send(&f, b"hello");
    executor.expect_command("EXEC");
    assert_eq!(portal.read_response().0.status, 504);
    assert!(unix_ms() <= sent + 5000, "answered by the class's time, not by its own");
    // Nothing ends: what can't be started in time any more is refused, with word when to come back.
    let mut portals: Vec<Ajp> = (0..40).map(|_| Ajp::connect(worker.ajp.unwrap())).collect();
    for p in &mut portals {
        p.send(&forward("/portal/look", ""), b"hello");
    }
    let reply = portals.pop().unwrap().read_response().0;
    assert_eq!(reply.status, 503);
    assert!(reply.header("Retry-After").unwrap().parse::<u64>().unwrap() >= 1);
}

#[test]
fn shutdown_answers_portals_and_closes_their_connections() {
    let mut worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    portal.send(&forward("/portal/order", "k"), b"hello");
    let exec = executor.expect_command("EXEC");
    worker.terminate();
    worker.wait_load_report("draining");
    executor.send_exit(&exec["job"], "PASS", "placed");
    let (reply, reuse) = portal.read_response();
    assert_eq!((&reply.body[..], reuse), (&b"placed"[..], false));
    assert!(worker.exits_successfully());
}
