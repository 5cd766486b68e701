//! Responses of the HTTP/1.1 frontend.

use crate::{mask_after, Transcript, WORKER};
use std::net::SocketAddr;
use test_support::{Client, Reply, RequestBuilder};

/// Reads one complete response and returns its bytes.
fn response_bytes(client: &mut Client) -> Vec<u8> {
    let (first, rest, body) = client.read_message();
    [first.as_bytes(), b"\r\n", rest.as_bytes(), &body].concat()
}

/// Sends a request on a new connection and returns the bytes of the response. Checks that the worker then closes the
/// connection.
fn closing_response(to: SocketAddr, request: &str) -> Vec<u8> {
    let mut client = Client::connect(to);
    client.write(request);
    let bytes = response_bytes(&mut client);
    assert!(client.is_closed(), "more than one response to {request:?}");
    bytes
}

#[test]
fn frontend_responses_match_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let check = "GET /check HTTP/1.1\r\nConnection: close\r\n\r\n";
    transcript.add_bytes("check without a link", &closing_response(worker.http, check));
    let unknown_path = "GET /nothing HTTP/1.1\r\n\r\n";
    transcript.add_bytes("404 without a link", &closing_response(worker.http, unknown_path));
    let mut executor = worker.accept_link();
    transcript.add_bytes("check", &closing_response(worker.http, check));
    let mut client = Client::connect(worker.http);
    client.write("GET /check?e2e=1 HTTP/1.1\r\n\r\n");
    transcript.add_bytes("check on a connection that is kept", &response_bytes(&mut client));
    let mut serve =
        |transcript: &mut Transcript, title: &str, request: &RequestBuilder, state: &str, result: &str| {
            client.send(request);
            let exec = executor.expect_command("EXEC");
            executor.send_exit(&exec["job"], state, result);
            transcript.add_bytes(title, &response_bytes(&mut client));
        };
    serve(&mut transcript, "served", &RequestBuilder::new("look"), "PASS", "the result");
    serve(&mut transcript, "served with an empty result", &RequestBuilder::new("look"), "PASS", "");
    serve(&mut transcript, "failed", &RequestBuilder::new("look"), "FAIL", "");
    serve(&mut transcript, "started nothing", &RequestBuilder::new("look"), "NOOP", "");
    let keyed = RequestBuilder::new("order").key("k1");
    serve(&mut transcript, "served with a key", &keyed, "PASS", "placed 17");
    client.send(&RequestBuilder::new("order").key("k1").retry());
    transcript.add_bytes("repeated", &response_bytes(&mut client));
    client.send(&RequestBuilder::new("order").key("k1").body("another"));
    transcript.add_bytes("409: a key with another body", &response_bytes(&mut client));
    let valid = RequestBuilder::new("look").text();
    let order = RequestBuilder::new("order").key("k").text();
    client.write(&valid.replace("X-Org: acme", "X-Org: acme\r\nConnection: close"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "last");
    transcript.add_bytes("served, and the client wants the end", &response_bytes(&mut client));
    assert!(client.is_closed());
    for (title, text) in [
        ("400: unknown version", valid.replace("HTTP/1.1", "HTTP/9")),
        ("400: two lengths", valid.replace("X-Org: acme\r\n", "X-Org: acme\r\nContent-Length: 5\r\n")),
        ("400: transfer encoding", valid.replace("Content-Length: 5", "Transfer-Encoding: chunked")),
        ("400: no tenant", valid.replace("X-Org: acme\r\n", "")),
        ("400: bad correlation", valid.replace("X-Correlation-Id: ", "X-Correlation-Id: z")),
        ("400: bad deadline", valid.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: NaN")),
        ("400: bad need", valid.replace("X-Need-Kb: 24.5", "X-Need-Kb: 0")),
        ("400: bad criticality", valid.replace("X-Criticality: 0.6250", "X-Criticality: 1.0")),
        ("400: bad peer", valid.replace("X-Upstream-Peer: 4", "X-Upstream-Peer: +4")),
        ("400: stamp of another day", RequestBuilder::new("look").arrived_ms(12).text()),
        ("400: no operation key", order.replace("X-Operation-Key: k\r\n", "")),
        ("403: unknown tenant", valid.replace("X-Org: acme", "X-Org: other")),
        ("404: unknown class", valid.replace("/do/look", "/do/nothing")),
        ("404: unknown path", valid.replace("/do/look", "/")),
        ("405: a request with DELETE", valid.replace("POST", "DELETE")),
        ("405: a check with POST", "POST /check HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned()),
        ("413: body too long", valid.replace("Content-Length: 5", "Content-Length: 3000")),
        ("431: head too long", valid.replace("X-Org: acme", &format!("X-Org: {}", "a".repeat(9000)))),
        ("431: too many headers", valid.replace("X-Org: acme", &"X-Odd: 1\r\n".repeat(80))),
    ] {
        transcript.add_bytes(title, &closing_response(worker.http, &text));
    }
    transcript.check("front_answers.txt");
}

/// Retry advice and load are measured: their values vary, while the headers and their order are fixed.
#[test]
fn rejection_with_advice_matches_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = Client::connect(worker.http);
        client.send(&RequestBuilder::new("look"));
        clients.push(client);
    }
    executor.expect_command("EXEC");
    // No run ends, so the last request can't be started in time.
    let response = String::from_utf8(response_bytes(clients.last_mut().unwrap())).unwrap();
    let reply = Reply { status: 503, head: response.clone(), body: Vec::new() };
    assert!(reply.header("X-Pushback-Ms").unwrap().parse::<u64>().unwrap() > 0, "{response}");
    let load: f64 = reply.header("X-Backend-Says").unwrap().parse().unwrap();
    assert!((0.0..=1.0).contains(&load), "{response}");
    let response = mask_after(&mask_after(&response, "X-Pushback-Ms: "), "X-Backend-Says: ");
    transcript.add_bytes("refused with advice", response.as_bytes());
    transcript.check("front_refusal.txt");
}

/// Requests that reach their deadline while they run: an idempotent one may be resent, one with a key may not.
#[test]
fn timeout_responses_match_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for (title, request) in [
        ("504: with a key", RequestBuilder::new("order").key("k4").deadline_ms(1200)),
        ("idempotent", RequestBuilder::new("look").deadline_ms(1200)),
    ] {
        let mut client = Client::connect(worker.http);
        client.send(&request);
        let exec = executor.expect_command("EXEC");
        let response = response_bytes(&mut client);
        executor.send_exit(&exec["job"], "PASS", "late");
        transcript.add_bytes(title, &response);
    }
    transcript.check("front_timeouts.txt");
}
