//! Runs on AJP servers.

use crate::{forward, order, Ajp, FRONTEND, WORKER};
use port_worker::net::upstreams::ajp_codec::{self, Direction, ToContainer};
use std::net::{SocketAddr, TcpListener};
use test_support::{accept_link, reserve_address, Client, RequestBuilder, WorkerUnderTest};

/// Starts a worker whose requests run on an AJP server at this address.
fn start_with_server(address: SocketAddr) -> WorkerUnderTest {
    WORKER.start_with(
        |_| {},
        Some(&format!("{FRONTEND}\n[backend]\nservers = [\"{address}\"]\nsecret = \"below\"\n")),
    )
}

/// Reads a request and its body as an AJP server does, and answers the pings before it.
fn expect_request(server: &mut Ajp, path: &str, body: &[u8]) {
    let payload = loop {
        let payload = server.read_packet(Direction::ToContainer).expect("a request");
        if ajp_codec::parse_to_container(&payload) != Ok(ToContainer::CPing) {
            break payload;
        }
        server.write(&ajp_codec::write_cpong());
    };
    let Ok(ToContainer::Forward(f)) = ajp_codec::parse_to_container(&payload) else { panic!("no request") };
    assert_eq!((f.method, f.uri, f.secret), ("POST", path, Some(&b"below"[..])));
    assert_eq!(ajp_codec::parse_body(&server.read_packet(Direction::ToContainer).unwrap()), Ok(body));
}

/// Sends a response.
fn respond(server: &mut Ajp, status: u16, body: &[u8]) {
    let mut bytes = ajp_codec::write_headers(status, "", &[]).unwrap();
    bytes.extend(ajp_codec::write_chunk_head(body.len()));
    bytes.extend(body);
    bytes.push(0);
    bytes.extend(ajp_codec::write_end(true));
    server.write(&bytes);
}

#[test]
fn ajp_server_runs_requests_of_both_frontends_and_is_pinged_before_reuse() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = start_with_server(listener.local_addr().unwrap());
    worker.wait_load_report("ready");
    let (mut portal, mut router) = (Ajp::connect(worker.ajp.unwrap()), Client::connect(worker.http));
    portal.send(&forward("/portal/look", ""), b"hello");
    let mut server = Ajp::from_stream(accept_link(&listener));
    expect_request(&mut server, "/do/look", b"hello");
    respond(&mut server, 200, b"seen");
    assert_eq!(portal.read_response().0.body, b"seen");
    router.send(&RequestBuilder::new("look"));
    let ping = server.read_packet(Direction::ToContainer).unwrap();
    assert_eq!(ajp_codec::parse_to_container(&ping), Ok(ToContainer::CPing));
    server.write(&ajp_codec::write_cpong());
    expect_request(&mut server, "/do/look", b"hello");
    respond(&mut server, 500, b"");
    assert_eq!(router.read_response().status, 500);
    // The server closes the idle connection before or during the ping: the request is sent on a new connection.
    router.send(&RequestBuilder::new("look"));
    server.read_packet(Direction::ToContainer).unwrap();
    drop(server);
    let mut server = Ajp::from_stream(accept_link(&listener));
    expect_request(&mut server, "/do/look", b"hello");
    respond(&mut server, 200, b"again");
    assert_eq!(router.read_response().body, b"again");
}

#[test]
fn keyed_request_possibly_begun_at_an_ajp_server_is_never_resent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = start_with_server(listener.local_addr().unwrap());
    worker.wait_load_report("ready");
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    let f = forward("/portal/order", "k");
    portal.send(&f, b"hello");
    let mut server = Ajp::from_stream(accept_link(&listener));
    expect_request(&mut server, "/do/order", b"hello");
    // The server closes the connection in the middle of its response.
    server.write(&ajp_codec::write_headers(200, "", &[]).unwrap()[..6]);
    drop(server);
    assert_eq!(portal.read_response().0.status, 502);
    assert_eq!(portal.request(&f, b"hello").status, 502);
    let mut router = Client::connect(worker.http);
    assert_eq!(router.request(&order("k")).status, 500);
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "the order was resent");
}

#[test]
fn keyed_request_that_no_server_accepted_may_be_retried() {
    let (socket, address) = reserve_address();
    let worker = start_with_server(address);
    worker.wait_load_report("ready");
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    let f = forward("/portal/order", "k");
    let rejected = portal.request(&f, b"hello");
    assert_eq!((rejected.status, rejected.header("Retry-After")), (503, Some("1")));
    socket.listen(16).unwrap();
    let listener = TcpListener::from(socket);
    portal.send(&f, b"hello");
    let mut server = Ajp::from_stream(accept_link(&listener));
    expect_request(&mut server, "/do/order", b"hello");
    respond(&mut server, 200, b"placed");
    assert_eq!(portal.read_response().0.body, b"placed");
}
