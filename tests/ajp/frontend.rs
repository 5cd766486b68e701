//! Portals' requests to the AJP frontend.

use crate::{forward, order, Ajp, FRONTEND, WORKER};
use port_worker::net::upstreams::ajp_codec::{self, Direction, Forward, ToWebServer};
use serde_json::json;
use test_support::{
    reserve_address, to_base64, unique_request_id, unix_ms, Client, RequestBuilder, SharedListener,
};

#[test]
fn portal_connection_serves_pings_and_bodies_in_chunks() {
    let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
    let mut executor = worker.accept_link();
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    for (body, chunk_count) in [("hello", 1), ("hello", 2), ("unmeasured", 3)] {
        portal.write(&ajp_codec::write_cping());
        assert_eq!(
            ajp_codec::parse_to_web_server(&portal.read_packet(Direction::ToWebServer).unwrap()),
            Ok(ToWebServer::CPong)
        );
        let mut f = forward("/portal/look/17?a=b", "");
        if chunk_count == 3 {
            f.headers[0] = ("transfer-encoding", b"chunked");
            portal.send(&f, b"");
        } else {
            portal.send(&f, &body.as_bytes()[..if chunk_count == 2 { 2 } else { 5 }]);
        }
        for chunk in [&body.as_bytes()[2..], b""].iter().take(chunk_count - 1) {
            let payload = portal.read_packet(Direction::ToWebServer).unwrap();
            let Ok(ToWebServer::GetBody(requested)) = ajp_codec::parse_to_web_server(&payload) else {
                panic!("no GET_BODY_CHUNK")
            };
            assert!(usize::from(requested) >= chunk.len());
            // A body without Content-Length is sent only on request, from its first chunk on.
            let chunk = if chunk_count == 3 && !chunk.is_empty() { body.as_bytes() } else { chunk };
            portal.write(&ajp_codec::write_body(chunk).unwrap());
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
    // The first order arrives over AJP, then over HTTP while it runs and after its response.
    portal.send(&f, b"hello");
    let exec = executor.expect_command("EXEC");
    router.send(&order("k1"));
    executor.expect_no_command(&worker);
    executor.send_exit(&exec["job"], "PASS", "placed 1");
    assert_eq!(portal.read_response().0.body, b"placed 1");
    assert_eq!(router.read_response().body, b"placed 1");
    assert_eq!(router.request(&order("k1")).body, b"placed 1");
    // The second order arrives over HTTP, then over AJP while it runs and after its response.
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
fn connection_lost_during_the_body_runs_nothing_and_after_it_retains_the_result() {
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
    // The incomplete request was never dispatched, so its key is still unused.
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
    let address = worker.ajp.unwrap();
    let valid = forward("/portal/order", "k");
    let duplicate_key = [&valid.headers[..], &[("X-Operation-Key", &b"l"[..])]].concat();
    let too_long = vec![("content-length", &b"2049"[..])];
    let signed = vec![("content-length", &b"+0"[..])];
    for (f, status) in [
        (Forward { secret: None, ..valid.clone() }, 403),
        (Forward { secret: Some(b"s3cres"), ..valid.clone() }, 403),
        (Forward { server_name: "other.example", ..valid.clone() }, 403),
        (forward("/portal/order", ""), 400),
        (Forward { headers: duplicate_key, ..valid.clone() }, 400),
        (Forward { headers: too_long, uri: "/portal/look", ..valid.clone() }, 413),
        (Forward { headers: signed, uri: "/portal/look", ..valid.clone() }, 400),
        (forward("/portal/orders", "k"), 404),
        (Forward { method: "GET", ..valid.clone() }, 405),
    ] {
        let mut portal = Ajp::connect(address);
        portal.send(&f, b"");
        let (reply, reuse) = portal.read_response();
        assert_eq!((reply.status, reuse), (status, false), "{f:?}");
        assert!(portal.is_closed());
    }
    for bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], b"\x12\x34\xff\xff", b"\x12\x34\0\x02\x02\x63", b"\x12\x34\0\0"]
    {
        let mut portal = Ajp::connect(address);
        portal.write(bytes);
        assert!(portal.is_closed());
        worker.wait_log("ajp_connection_rejected");
    }
    // Anyone who can connect can send a shutdown packet; it must not stop the worker.
    Ajp::connect(address).write(&[0x12, 0x34, 0, 1, 7]);
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
    assert!(unix_ms() <= sent + 5000, "answered at the class's deadline, not at its own");
    // No run ends, so requests that can't be started in time are rejected with Retry-After.
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

/// Guards against a request without an id that conflicts with one that runs in the predecessor, because both processes
/// generate the same ids.
#[test]
fn successor_serves_requests_without_an_id_while_others_run_in_its_predecessor() {
    let (reserved, address) = reserve_address();
    drop(reserved);
    let operator = FRONTEND.replace("127.0.0.1:0", &address.to_string());
    let shared = SharedListener::bind();
    let mut predecessor = WORKER.start_on_with(&shared, |_| {}, Some(&operator));
    predecessor.wait_log("listeners_acquired");
    let mut predecessor_executor = predecessor.accept_link();
    let mut portals = [Ajp::connect(address), Ajp::connect(address)];
    let execs = portals.each_mut().map(|portal| {
        portal.send(&forward("/portal/look", ""), b"hello");
        predecessor_executor.expect_command("EXEC")
    });
    let successor = WORKER.start_on_with(&shared, |_| {}, Some(&operator));
    let mut executor = successor.accept_link();
    successor.wait_ready();
    let mut portal = Ajp::connect(address);
    portal.send(&forward("/portal/look", ""), b"hello");
    predecessor_executor.send_exit(&execs[1]["job"], "PASS", "of the predecessor");
    assert_eq!(portals[1].read_response().0.body, b"of the predecessor");
    let exec = executor.expect_command("EXEC");
    assert_ne!(exec["job"], execs[0]["job"]);
    executor.send_exit(&exec["job"], "PASS", "of the successor");
    assert_eq!(portal.read_response().0.body, b"of the successor");
}

/// Guards against requests that run although their web server has closed the connection with all responses unread.
#[test]
fn pipelined_requests_of_a_web_server_that_has_left_do_not_run() {
    for requests in [20, 600] {
        let worker = WORKER.start_with(|_| {}, Some(FRONTEND));
        let mut executor = worker.accept_link();
        let mut portal = Ajp::connect(worker.ajp.unwrap());
        for _ in 0..requests {
            portal.send(&forward("/portal/look", ""), b"hello");
        }
        let exec = executor.expect_command("EXEC");
        drop(portal);
        executor.send_exit(&exec["job"], "PASS", "served");
        executor.expect_no_command(&worker);
        // Longer than the time for which the worker waits for a reset.
        std::thread::sleep(std::time::Duration::from_millis(150));
        executor.expect_no_command(&worker);
    }
}

/// Guards against an id that runs in both processes of a hot restart: a portal's request is queued in the predecessor, which
/// starts it after the hand-off, and its id comes again at the successor.
#[test]
fn id_of_a_request_queued_in_the_predecessor_conflicts_at_the_successor() {
    let (reserved, address) = reserve_address();
    drop(reserved);
    let operator = FRONTEND.replace("127.0.0.1:0", &address.to_string());
    let shared = SharedListener::bind();
    let with_console = |c: &mut serde_json::Value| c["console"] = json!("127.0.0.1:0");
    let mut predecessor = WORKER.start_on_with(&shared, with_console, Some(&operator));
    predecessor.wait_log("listeners_acquired");
    let mut predecessor_executor = predecessor.accept_link();
    // All cores are busy, so that no third run starts.
    predecessor_executor.gauges = [1.0, 4.0, 0.1, 3.0];
    let mut portals = [Ajp::connect(address), Ajp::connect(address)];
    let execs = portals.each_mut().map(|portal| {
        portal.send(&forward("/portal/look", ""), b"hello");
        predecessor_executor.expect_command("EXEC")
    });
    let id = unique_request_id();
    let mut request = forward("/portal/look", "");
    request.headers.push(("X-Correlation-Id", id.as_bytes()));
    let mut queued = Ajp::connect(address);
    queued.send(&request, b"hello");
    while predecessor.metric("svc.concurrent") < 3 {}

    let successor = WORKER.start_on_with(&shared, with_console, Some(&operator));
    let mut executor = successor.accept_link();
    successor.wait_ready();
    let mut again = Client::connect(successor.http);
    assert_eq!(again.request(&RequestBuilder::new("look").id(&id)).status, 409);
    predecessor_executor.send_exit(&execs[0]["job"], "PASS", "first");
    let exec = predecessor_executor.expect_command("EXEC");
    assert_eq!(exec["job"], id.as_str());
    predecessor_executor.send_exit(&exec["job"], "PASS", "queued");
    assert_eq!(queued.read_response().0.body, b"queued");
    executor.expect_no_command(&successor);
}
