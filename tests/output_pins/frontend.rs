//! Responses of the HTTP/1.1 frontend.

use crate::{mask_after, Transcript, WORKER};
use std::net::SocketAddr;
use test_support::{Client, Reply, RequestBuilder};

/// Reads one whole answer and returns its bytes.
fn answer_bytes(client: &mut Client) -> Vec<u8> {
    let (first, rest, body) = client.read_message();
    [first.as_bytes(), b"\r\n", rest.as_bytes(), &body].concat()
}

/// Sends a request on a connection of its own; the bytes of its answer, after which the worker must close.
fn closing_answer(to: SocketAddr, request: &str) -> Vec<u8> {
    let mut client = Client::connect(to);
    client.write(request);
    let bytes = answer_bytes(&mut client);
    assert!(client.is_closed(), "more than one answer to {request:?}");
    bytes
}

#[test]
fn frontend_responses_match_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let check = "GET /check HTTP/1.1\r\nConnection: close\r\n\r\n";
    transcript.wire("check without a link", &closing_answer(worker.http, check));
    let bad = "GET /nothing HTTP/1.1\r\n\r\n";
    transcript.wire("404 without a link", &closing_answer(worker.http, bad));
    let mut executor = worker.accept_link();
    transcript.wire("check", &closing_answer(worker.http, check));
    let mut client = Client::connect(worker.http);
    client.write("GET /check?e2e=1 HTTP/1.1\r\n\r\n");
    transcript.wire("check on a connection that is kept", &answer_bytes(&mut client));
    let mut serve =
        |transcript: &mut Transcript, title: &str, ask: &RequestBuilder, state: &str, result: &str| {
            client.send(ask);
            let exec = executor.expect_command("EXEC");
            executor.send_exit(&exec["job"], state, result);
            transcript.wire(title, &answer_bytes(&mut client));
        };
    serve(&mut transcript, "served", &RequestBuilder::new("look"), "PASS", "the result");
    serve(&mut transcript, "served with an empty result", &RequestBuilder::new("look"), "PASS", "");
    serve(&mut transcript, "failed", &RequestBuilder::new("look"), "FAIL", "");
    serve(&mut transcript, "started nothing", &RequestBuilder::new("look"), "NOOP", "");
    let keyed = RequestBuilder::new("order").key("k1");
    serve(&mut transcript, "served with a key", &keyed, "PASS", "placed 17");
    client.send(&RequestBuilder::new("order").key("k1").retry());
    transcript.wire("repeated", &answer_bytes(&mut client));
    client.send(&RequestBuilder::new("order").key("k1").body("another"));
    transcript.wire("409: a key with another body", &answer_bytes(&mut client));
    let good = RequestBuilder::new("look").text();
    let order = RequestBuilder::new("order").key("k").text();
    client.write(&good.replace("X-Org: acme", "X-Org: acme\r\nConnection: close"));
    let exec = executor.expect_command("EXEC");
    executor.send_exit(&exec["job"], "PASS", "last");
    transcript.wire("served, and the client wants the end", &answer_bytes(&mut client));
    assert!(client.is_closed());
    for (title, text) in [
        ("400: unknown version", good.replace("HTTP/1.1", "HTTP/9")),
        ("400: two lengths", good.replace("X-Org: acme\r\n", "X-Org: acme\r\nContent-Length: 5\r\n")),
        ("400: transfer encoding", good.replace("Content-Length: 5", "Transfer-Encoding: chunked")),
        ("400: no tenant", good.replace("X-Org: acme\r\n", "")),
        ("400: bad correlation", good.replace("X-Correlation-Id: ", "X-Correlation-Id: z")),
        ("400: bad deadline", good.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: NaN")),
        ("400: bad need", good.replace("X-Need-Kb: 24.5", "X-Need-Kb: 0")),
        ("400: bad criticality", good.replace("X-Criticality: 0.6250", "X-Criticality: 1.0")),
        ("400: bad peer", good.replace("X-Upstream-Peer: 4", "X-Upstream-Peer: +4")),
        ("400: stamp of another day", RequestBuilder::new("look").arrived_ms(12).text()),
        ("400: no operation key", order.replace("X-Operation-Key: k\r\n", "")),
        ("403: unknown tenant", good.replace("X-Org: acme", "X-Org: other")),
        ("404: unknown class", good.replace("/do/look", "/do/nothing")),
        ("404: unknown path", good.replace("/do/look", "/")),
        ("405: a request with DELETE", good.replace("POST", "DELETE")),
        ("405: a check with POST", "POST /check HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned()),
        ("413: body too long", good.replace("Content-Length: 5", "Content-Length: 3000")),
        ("431: head too long", good.replace("X-Org: acme", &format!("X-Org: {}", "a".repeat(9000)))),
        ("431: too many headers", good.replace("X-Org: acme", &"X-Odd: 1\r\n".repeat(80))),
    ] {
        transcript.wire(title, &closing_answer(worker.http, &text));
    }
    transcript.check("front_answers.txt");
}

/// The advice and the load are measured: their values vary, the headers and their order don't.
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
    // Nothing ends, so the last of them can't be started in time.
    let answer = String::from_utf8(answer_bytes(clients.last_mut().unwrap())).unwrap();
    let reply = Reply { status: 503, head: answer.clone(), body: Vec::new() };
    assert!(reply.header("X-Pushback-Ms").unwrap().parse::<u64>().unwrap() > 0, "{answer}");
    let level: f64 = reply.header("X-Backend-Says").unwrap().parse().unwrap();
    assert!((0.0..=1.0).contains(&level), "{answer}");
    let answer = mask_after(&mask_after(&answer, "X-Pushback-Ms: "), "X-Backend-Says: ");
    transcript.wire("refused with advice", answer.as_bytes());
    transcript.check("front_refusal.txt");
}

/// Requests whose time runs out while they run: what is idempotent may be sent again, what has a key may not.
#[test]
fn timeout_responses_match_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = WORKER.start();
    let mut executor = worker.accept_link();
    for (title, ask) in [
        ("504: with a key", RequestBuilder::new("order").key("k4").deadline_ms(1200)),
        ("idempotent", RequestBuilder::new("look").deadline_ms(1200)),
    ] {
        let mut client = Client::connect(worker.http);
        client.send(&ask);
        let exec = executor.expect_command("EXEC");
        let answer = answer_bytes(&mut client);
        executor.send_exit(&exec["job"], "PASS", "late");
        transcript.wire(title, &answer);
    }
    transcript.check("front_timeouts.txt");
}
