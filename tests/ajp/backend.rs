//! Runs at AJP servers.

use crate::{forward, order, Ajp, FRONTEND, WORKER};
use port_worker::net::upstreams::ajp_codec::{self, Direction, ToContainer};
use std::net::{SocketAddr, TcpListener};
use test_support::{accept_link, reserve_address, Client, RequestBuilder, WorkerUnderTest};

/// A worker whose runs go to an AJP server at this listener.
fn with_server(at: SocketAddr) -> WorkerUnderTest {
    WORKER.start_with(
        |_| {},
        Some(&format!("{FRONTEND}\n[backend]\nservers = [\"{at}\"]\nsecret = \"below\"\n")),
    )
}

/// Reads a request with its body as an AJP server does, after pings.
fn serve(server: &mut Ajp, path: &str, body: &[u8]) {
    let payload = loop {
        let payload = server.packet(Direction::ToContainer).expect("a request");
        if ajp_codec::parse_to_container(&payload) != Ok(ToContainer::CPing) {
            break payload;
        }
        server.write(&ajp_codec::write_cpong());
    };
    let Ok(ToContainer::Forward(f)) = ajp_codec::parse_to_container(&payload) else { panic!("no request") };
    assert_eq!((f.method, f.uri, f.secret), ("POST", path, Some(&b"below"[..])));
    assert_eq!(ajp_codec::parse_body(&server.packet(Direction::ToContainer).unwrap()), Ok(body));
}

fn reply(server: &mut Ajp, status: u16, body: &[u8]) {
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
    let worker = with_server(listener.local_addr().unwrap());
    worker.wait_load_report("ready");
    let (mut portal, mut router) = (Ajp::connect(worker.ajp.unwrap()), Client::connect(worker.http));
    portal.send(&forward("/portal/look", ""), b"hello");
    let mut server = Ajp::on(accept_link(&listener));
    serve(&mut server, "/do/look", b"hello");
    reply(&mut server, 200, b"seen");
    assert_eq!(portal.read_response().0.body, b"seen");
    router.send(&RequestBuilder::new("look"));
    let ping = server.packet(Direction::ToContainer).unwrap();
    assert_eq!(ajp_codec::parse_to_container(&ping), Ok(ToContainer::CPing));
    server.write(&ajp_codec::write_cpong());
    serve(&mut server, "/do/look", b"hello");
    reply(&mut server, 500, b"");
    assert_eq!(router.read_response().status, 500);
    // It ends the kept connection unasked, or while it is pinged: the request goes out on a new one.
    router.send(&RequestBuilder::new("look"));
    server.packet(Direction::ToContainer).unwrap();
    drop(server);
    let mut server = Ajp::on(accept_link(&listener));
    serve(&mut server, "/do/look", b"hello");
    reply(&mut server, 200, b"again");
    assert_eq!(router.read_response().body, b"again");
}

#[test]
fn keyed_request_possibly_begun_at_an_ajp_server_is_never_resent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let worker = with_server(listener.local_addr().unwrap());
    worker.wait_load_report("ready");
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    let f = forward("/portal/order", "k");
    portal.send(&f, b"hello");
    let mut server = Ajp::on(accept_link(&listener));
    serve(&mut server, "/do/order", b"hello");
    // Gone in the middle of its answer.
    server.write(&ajp_codec::write_headers(200, "", &[]).unwrap()[..6]);
    drop(server);
    assert_eq!(portal.read_response().0.status, 502);
    assert_eq!(portal.request(&f, b"hello").status, 502);
    let mut router = Client::connect(worker.http);
    assert_eq!(router.request(&order("k")).status, 500);
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "the order was sent again");
}

#[test]
fn keyed_request_that_no_server_accepted_may_be_retried() {
    let (socket, at) = reserve_address();
    let worker = with_server(at);
    worker.wait_load_report("ready");
    let mut portal = Ajp::connect(worker.ajp.unwrap());
    let f = forward("/portal/order", "k");
    let refused = portal.request(&f, b"hello");
    assert_eq!((refused.status, refused.header("Retry-After")), (503, Some("1")));
    socket.listen(16).unwrap();
    let listener = TcpListener::from(socket);
    portal.send(&f, b"hello");
    let mut server = Ajp::on(accept_link(&listener));
    serve(&mut server, "/do/order", b"hello");
    reply(&mut server, 200, b"placed");
    assert_eq!(portal.read_response().0.body, b"placed");
}
