//! The close of one connection against its next request, its last response and its peer's last bytes.

use super::*;
use std::io::Write;

/// The oldest idle connection is closed where descriptors run out, but not one whose next request lies unread.
#[test]
fn an_idle_connection_with_an_unread_request_is_not_closed_for_another() {
    let worker = WORKER.start_with(|c| c["limits"]["sockets"] = json!(96), None);
    let mut executor = worker.accept_link();
    // As many as the budget allows, each of which has sent a request.
    let mut resting: Vec<Client> = Vec::new();
    for _ in 0..28 {
        let mut client = Client::connect(worker.http);
        assert_eq!(client.check_health(), 200);
        resting.push(client);
    }
    // All have been idle for long enough to be closed.
    let_pass(Duration::from_millis(60));
    assert_eq!(worker.check_health(), 200);
    worker.suspend();
    let mut late: Vec<Client> = (0..20).map(|_| Client::connect(worker.http)).collect();
    for client in &mut late {
        client.write("GET /check HTTP/1.1\r\n\r\n");
    }
    resting[0].write("GET /check HTTP/1.1\r\n\r\n");
    worker.resume();
    assert_eq!(resting[0].read_response().status, 200);
    for client in &mut late {
        assert_eq!(client.read_response().status, 200);
    }
    let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    finish_run(&mut executor, &job, &mut client);
}

/// More bad input follows after the rejection: the close must not reset the connection before the response is read.
#[test]
fn a_rejection_reaches_a_peer_that_goes_on_sending() {
    let worker = WORKER.start();
    let _executor = worker.accept_link();
    for bad in
        ["NONSENSE\r\n\r\n", "POST /do/look HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n"]
    {
        let mut client = Client::connect(worker.http);
        client.write(bad);
        let mut waits = [0; 1];
        // The response is there, and not read yet.
        assert_eq!(client.reader.get_ref().peek(&mut waits).unwrap(), 1);
        for _ in 0..50 {
            client.write(&"x".repeat(8192));
        }
        assert_eq!(client.read_response().status, 400);
        assert_eq!(end_of(&mut client), End::Closed);
    }
}

/// Half a head, half a body, nothing at all: closed within 3 s without a reset, and nothing of it is dispatched.
#[test]
fn half_requests_end_by_a_close_and_never_by_a_reset() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let text = RequestBuilder::new("look").text();
    let begun = Instant::now();
    let mut clients: Vec<Client> = [0, 10, text.len() - 1]
        .iter()
        .map(|n| {
            let mut client = Client::connect(worker.http);
            client.write(&text[..*n]);
            client
        })
        .collect();
    for client in &mut clients {
        assert_eq!(end_of(client), End::Closed);
    }
    assert!(begun.elapsed() < TIMEOUT);
    executor.expect_no_command(&worker);
}

/// Bytes that follow a close which the peer requested are no request.
#[test]
fn what_follows_a_request_that_asked_for_the_close_is_dropped() {
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
    assert_eq!(end_of(&mut client), End::Closed);
    executor.expect_no_command(&worker);
}

/// A peer that never reads and never closes is waited for, but not for ever, and no other client loses its response.
#[test]
fn peers_that_go_on_sending_after_the_close_are_dropped_and_the_rest_is_served() {
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut senders: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(worker.http).unwrap()).collect();
    for sender in &mut senders {
        sender.set_write_timeout(Some(TIMEOUT)).unwrap();
        sender.write_all(b"NONSENSE\r\n\r\n").unwrap();
    }
    let bytes = vec![b'x'; 64 * 1024];
    let begun = Instant::now();
    // Each is closed although it never stops sending.
    for sender in &mut senders {
        while sender.write_all(&bytes).is_ok() {
            assert!(begun.elapsed() < TIMEOUT, "it is read for ever");
        }
    }
    let (mut client, job) = start_run(&worker, &mut executor, &RequestBuilder::new("look"));
    finish_run(&mut executor, &job, &mut client);
}

/// A packet that can't be parsed, with more behind it than is ever buffered, behind a response that is not read yet.
#[test]
fn a_bad_ajp_packet_ends_its_connection_without_a_reset() {
    let front = "[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3cret\"\n[[ajp.route]]\npath = \"/look\"\nclass = \"look\"\n";
    let worker = WORKER.start_with(|_| {}, Some(front));
    let _executor = worker.accept_link();
    let mut portal = Client::connect(worker.ajp.unwrap());
    let cping = port_worker::net::upstreams::ajp_codec::write_cping();
    portal.reader.get_ref().write_all(&cping).unwrap();
    let mut waits = [0; 1];
    assert_eq!(portal.reader.get_ref().peek(&mut waits).unwrap(), 1);
    portal.reader.get_ref().write_all(&vec![b'x'; 256 * 1024]).unwrap();
    let mut reply = [0; 5];
    portal.reader.read_exact(&mut reply).unwrap();
    assert_eq!(reply, [b'A', b'B', 0, 1, 9]);
    assert_eq!(end_of(&mut portal), End::Closed);
}
