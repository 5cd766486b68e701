//! Races between the close of a connection and its next request, its last response or its peer's last bytes.

use super::*;
use std::io::Write;

/// When descriptors run out, the oldest idle connection is evicted, unless its next request has arrived but is not read
/// yet.
#[test]
fn idle_connection_with_an_unread_request_is_not_evicted() {
    let worker = WORKER.start_with(|c| c["limits"]["sockets"] = json!(96), None);
    let mut executor = worker.accept_link();
    // Connections that use most of the descriptor limit; each has made a request. With the new clients below there are
    // more connections than the limit allows.
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..28 {
        let mut client = Client::connect(worker.http);
        assert_eq!(client.check_health(), 200);
        idle.push(client);
    }
    // All have been idle for long enough to be evicted.
    sleep_past(Duration::from_millis(60));
    assert_eq!(worker.check_health(), 200);
    worker.suspend();
    let mut new_clients: Vec<Client> = (0..20).map(|_| Client::connect(worker.http)).collect();
    for client in &mut new_clients {
        client.write("GET /check HTTP/1.1\r\n\r\n");
    }
    idle[0].write("GET /check HTTP/1.1\r\n\r\n");
    worker.resume();
    assert_eq!(idle[0].read_response().status, 200);
    for client in &mut new_clients {
        assert_eq!(client.read_response().status, 200);
    }
    let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    finish_run(&mut executor, &job, &mut client);
}

/// The peer goes on sending after its request was rejected: closing the connection with unread input would reset it,
/// and the peer would lose the response.
#[test]
fn a_rejection_reaches_a_peer_that_goes_on_sending() {
    let worker = WORKER.start();
    let _executor = worker.accept_link();
    for malformed in
        ["NONSENSE\r\n\r\n", "POST /do/look HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n"]
    {
        let mut client = Client::connect(worker.http);
        client.write(malformed);
        let mut first_byte = [0; 1];
        // The response has arrived and is left unread.
        assert_eq!(client.reader.get_ref().peek(&mut first_byte).unwrap(), 1);
        for _ in 0..50 {
            client.write(&"x".repeat(8192));
        }
        assert_eq!(client.read_response().status, 400);
        assert_eq!(connection_end(&mut client), ConnectionEnd::Closed);
    }
}

/// An incomplete head, an incomplete body or no bytes at all: the connection is closed within 3 s without a reset, and
/// no request is dispatched.
#[test]
fn partial_requests_are_closed_without_a_reset() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let text = RequestBuilder::new("look").text();
    let started = Instant::now();
    let mut clients: Vec<Client> = [0, 10, text.len() - 1]
        .iter()
        .map(|n| {
            let mut client = Client::connect(worker.http);
            client.write(&text[..*n]);
            client
        })
        .collect();
    for client in &mut clients {
        assert_eq!(connection_end(client), ConnectionEnd::Closed);
    }
    assert!(started.elapsed() < TIMEOUT);
    executor.expect_no_command(&worker);
}

/// A request pipelined after one with `Connection: close` is not executed.
#[test]
fn bytes_after_a_request_with_connection_close_are_dropped() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let (first, second) = (unique_request_id(), unique_request_id());
    let mut client = Client::connect(worker.http);
    let close = RequestBuilder::new("look").id(&first).extra_headers("Connection: close\r\n").text();
    client.write(&(close + &RequestBuilder::new("look").id(&second).text()));
    let exec = executor.expect_command("EXEC");
    assert_eq!(exec["job"], json!(first));
    executor.send_exit(&exec["job"], "PASS", "done");
    let reply = client.read_response();
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    assert_eq!(connection_end(&mut client), ConnectionEnd::Closed);
    executor.expect_no_command(&worker);
}

/// The lingering close of a peer that neither reads nor closes is bounded, and other clients still get their responses.
#[test]
fn peers_that_never_stop_sending_are_closed_and_other_clients_are_served() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut senders: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(worker.http).unwrap()).collect();
    for sender in &mut senders {
        sender.set_write_timeout(Some(TIMEOUT)).unwrap();
        sender.write_all(b"NONSENSE\r\n\r\n").unwrap();
    }
    let data = vec![b'x'; 64 * 1024];
    let started = Instant::now();
    // Each is closed although its peer never stops sending.
    for sender in &mut senders {
        while sender.write_all(&data).is_ok() {
            assert!(
                started.elapsed() < TIMEOUT,
                "the connection is still read {TIMEOUT:?} after the rejection"
            );
        }
    }
    let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    finish_run(&mut executor, &job, &mut client);
}

/// Guards against a reset by which a client loses a response that it has not read yet. After the packet that is answered,
/// the client sends a malformed one and more data than the worker ever buffers.
#[test]
fn malformed_ajp_packet_ends_its_connection_without_a_reset() {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3cret\"\n[[ajp.route]]\npath = \"/look\"\nclass = \"look\"\n";
    let worker = WORKER.start_with(|_| {}, Some(ajp));
    let _executor = worker.accept_link();
    let mut client = Client::connect(worker.ajp.unwrap());
    let cping = port_worker::net::upstreams::ajp_codec::write_cping();
    client.reader.get_ref().write_all(&cping).unwrap();
    let mut first_byte = [0; 1];
    assert_eq!(client.reader.get_ref().peek(&mut first_byte).unwrap(), 1);
    client.reader.get_ref().write_all(&vec![b'x'; 256 * 1024]).unwrap();
    let mut reply = [0; 5];
    client.reader.read_exact(&mut reply).unwrap();
    assert_eq!(reply, [b'A', b'B', 0, 1, 9]);
    assert_eq!(connection_end(&mut client), ConnectionEnd::Closed);
}
