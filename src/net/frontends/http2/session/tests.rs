//! A property of sessions: for any interleaving of opened streams, bodies, resets, responses, windows, segmentation of
//! the bytes and a graceful shutdown, each accepted stream ends exactly once, and none is left over. Seeds are fixed.

use super::{NoopWaker, PollInput, Session};
use crate::config::{Config, Http2Settings, OperatorSettings};
use crate::dispatch::{Response, Ticket};
use crate::net::frontends::http2::transport::Pipe;
use crate::net::frontends::request_fields::Catalog;
use crate::net::{Availability, Clock, FrontendContext, Health};
use bytes::Bytes;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// The client's view of one request.
struct ClientStream {
    /// The sending side of the request, until its body is complete.
    request_body: Option<SendStream<Bytes>>,
    response: Option<ResponseFuture>,
    response_body: Option<RecvStream>,
    status: Option<u16>,
    received_bytes: usize,
    ended: bool,
    was_reset: bool,
}

/// A client and a session, connected by a transport that moves bytes on request.
struct Harness {
    waker: Waker,
    clock: Clock,
    context: FrontendContext,
    session: Session,
    client_pipe: Pipe,
    client: SendRequest<Bytes>,
    connection: Connection<Pipe, Bytes>,
    streams: Vec<ClientStream>,
    /// Tickets of the requests that the session has produced.
    requests: BTreeSet<u64>,
    /// Tickets of those that were given a response.
    answered: BTreeSet<u64>,
    /// Tickets of those whose client has disconnected.
    disconnected: BTreeSet<u64>,
    last_ticket: Rc<Cell<u64>>,
    /// Bytes in transit.
    towards_server: Vec<u8>,
    towards_client: Vec<u8>,
    session_ended: bool,
}

fn settings() -> (Http2Settings, Config) {
    let config = Config::decode(include_str!("../../../../../examples/config.json")).unwrap();
    let text = "[http2]\nlisten = \"127.0.0.1:0\"\nstreams = 5\n";
    (OperatorSettings::decode(text, &config).unwrap().http2.unwrap(), config)
}

impl Harness {
    fn new(window: u32) -> Harness {
        let (http2, config) = settings();
        let catalog = Rc::new(Catalog::new(&config.settings, &config.settings.settings(1)));
        let client_pipe = Pipe::default();
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(window);
        let mut handshake = Box::pin(builder.handshake::<_, Bytes>(client_pipe.clone()));
        let waker: Waker = Arc::new(NoopWaker).into();
        let Poll::Ready(Ok((client, connection))) = handshake.as_mut().poll(&mut Context::from_waker(&waker))
        else {
            panic!("the client's handshake did not complete immediately")
        };
        Harness {
            waker,
            clock: Clock::new(),
            context: FrontendContext {
                catalog,
                availability: Availability {
                    published_weight: Some(1.0),
                    health: Health::Healthy,
                    ..Availability::default()
                },
            },
            session: Session::new(&http2),
            client_pipe,
            client,
            connection,
            streams: Vec::new(),
            requests: BTreeSet::new(),
            answered: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            last_ticket: Rc::new(Cell::new(0)),
            towards_server: Vec::new(),
            towards_client: Vec::new(),
            session_ended: false,
        }
    }

    /// Moves at most `max_bytes` in each direction, and polls both ends.
    fn transfer(&mut self, max_bytes: usize) {
        let waker = self.waker.clone();
        let cx = &mut Context::from_waker(&waker);
        let _ = Pin::new(&mut self.connection).poll(cx);
        self.towards_server.extend(self.client_pipe.drain());
        let length = max_bytes.min(self.towards_server.len()).min(self.session.pipe().free_bytes());
        self.session.pipe().feed(&self.towards_server[..length]);
        self.towards_server.drain(..length);
        if !self.session_ended {
            let last_ticket = self.last_ticket.clone();
            let next_ticket = move || {
                last_ticket.set(last_ticket.get() + 1);
                last_ticket.get()
            };
            let input = PollInput {
                clock: &self.clock,
                context: &self.context,
                max_streams: 4,
                next_ticket: &next_ticket,
            };
            let output = self.session.poll(&input);
            for request in output.requests {
                assert!(self.requests.insert(request.ticket.0), "a ticket was used twice");
            }
            for ticket in output.disconnected {
                assert!(self.requests.contains(&ticket.0) && !self.answered.contains(&ticket.0));
                assert!(self.disconnected.insert(ticket.0), "a disconnection was reported twice");
            }
            self.session_ended = output.ended;
        }
        self.towards_client.extend(self.session.pipe().drain());
        let length = max_bytes.min(self.towards_client.len()).min(self.client_pipe.free_bytes());
        self.client_pipe.feed(&self.towards_client[..length]);
        self.towards_client.drain(..length);
        let _ = Pin::new(&mut self.connection).poll(cx);
    }

    /// Opens a stream; with `complete`, its request is complete.
    fn send_request(&mut self, complete: bool) {
        let waker = self.waker.clone();
        if !matches!(self.client.poll_ready(&mut Context::from_waker(&waker)), Poll::Ready(Ok(()))) {
            return;
        }
        let number = self.streams.len();
        let request = http::Request::builder()
            .method("POST")
            .uri("http://service.internal/do/port-submit")
            .header("x-correlation-id", format!("{number:016x}"))
            .header("x-org", "belwijs")
            .header("x-operation-key", format!("k{number}"))
            .body(())
            .unwrap();
        let Ok((response, mut body)) = self.client.send_request(request, false) else { return };
        body.send_data(Bytes::from_static(b"hello"), complete).unwrap();
        self.streams.push(ClientStream {
            request_body: Some(body).filter(|_| !complete),
            response: Some(response),
            response_body: None,
            status: None,
            received_bytes: 0,
            ended: false,
            was_reset: false,
        });
    }

    /// Reads the available part of a response, and opens the window by the bytes read.
    fn read(&mut self, n: usize) {
        let waker = self.waker.clone();
        let cx = &mut Context::from_waker(&waker);
        let Some(stream) = self.streams.get_mut(n) else { return };
        if let Some(response) = &mut stream.response {
            match Pin::new(response).poll(cx) {
                Poll::Pending => return,
                Poll::Ready(Ok(head)) => {
                    assert!(
                        stream.status.replace(head.status().as_u16()).is_none(),
                        "a stream got two responses"
                    );
                    stream.response_body = Some(head.into_body());
                }
                Poll::Ready(Err(_)) => stream.ended = true,
            }
            stream.response = None;
        }
        while let Some(body) = &mut stream.response_body {
            match body.poll_data(cx) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(data))) => {
                    stream.received_bytes += data.len();
                    let _ = body.flow_control().release_capacity(data.len());
                }
                Poll::Ready(Some(Err(_)) | None) => {
                    stream.response_body = None;
                    stream.ended = true;
                }
            }
        }
    }

    fn reset(&mut self, n: usize) {
        let Some(stream) = self.streams.get_mut(n) else { return };
        if let Some(mut body) = stream.request_body.take() {
            body.send_reset(Reason::CANCEL);
        }
        // Dropped before the end of the response, which makes the client's codec send a reset.
        stream.response = None;
        stream.response_body = None;
        stream.was_reset = true;
        stream.ended = true;
    }

    /// Responds to one of the pending requests.
    fn respond(&mut self, n: usize, reject: bool) {
        let pending: Vec<u64> = self
            .requests
            .iter()
            .filter(|t| !self.answered.contains(t) && !self.disconnected.contains(t))
            .copied()
            .collect();
        let Some(&ticket) = pending.get(n % pending.len().max(1)) else { return };
        self.answered.insert(ticket);
        let response = if reject {
            Response::Rejected { retry_after_s: 0.5, stop_retrying: true }
        } else {
            Response::Served(vec![7; 200].into())
        };
        self.session.respond(self.clock.now(), Ticket(ticket), response, &self.context);
    }
}

#[derive(Clone, Debug)]
enum Step {
    SendRequest(bool),
    FinishBody(usize),
    Reset(usize),
    Respond(usize, bool),
    Read(usize),
    Transfer(usize),
    ShutDown,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => any::<bool>().prop_map(Step::SendRequest),
        2 => (0usize..12).prop_map(Step::FinishBody),
        2 => (0usize..12).prop_map(Step::Reset),
        4 => (0usize..12, any::<bool>()).prop_map(|(n, reject)| Step::Respond(n, reject)),
        4 => (0usize..12).prop_map(Step::Read),
        8 => prop_oneof![1usize..40, 100usize..9000].prop_map(Step::Transfer),
        1 => Just(Step::ShutDown),
    ];
    proptest::collection::vec(step, 1..120)
}

#[test]
fn each_accepted_stream_ends_exactly_once_and_none_is_left_over() {
    let config = ProptestConfig {
        cases: 192,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let windows = prop_oneof![Just(1u32), Just(100), Just(65_535)];
    runner
        .run(&(windows, steps()), |(window, steps)| {
            let mut harness = Harness::new(window);
            for step in steps {
                match step {
                    Step::SendRequest(complete) => harness.send_request(complete),
                    Step::FinishBody(n) => {
                        if let Some(mut body) = harness.streams.get_mut(n).and_then(|s| s.request_body.take())
                        {
                            let _ = body.send_data(Bytes::new(), true);
                        }
                    }
                    Step::Reset(n) => harness.reset(n),
                    Step::Respond(n, reject) => harness.respond(n, reject),
                    Step::Read(n) => harness.read(n),
                    Step::Transfer(max_bytes) => harness.transfer(max_bytes),
                    Step::ShutDown => harness.context.availability.shutting_down = true,
                }
            }
            // Completes everything that is still open.
            for _ in 0..8_000 {
                for n in 0..harness.streams.len() {
                    if let Some(mut body) = harness.streams[n].request_body.take() {
                        let _ = body.send_data(Bytes::new(), true);
                    }
                    harness.read(n);
                }
                harness.respond(0, false);
                harness.transfer(9000);
                if harness.streams.iter().all(|s| s.ended)
                    && (harness.session_ended || !harness.session.has_streams())
                {
                    break;
                }
            }
            if harness.session_ended {
                // The frontend notifies the dispatcher of requests that were pending when the connection ended.
                let awaiting = harness.session.awaiting_response();
                harness.disconnected.extend(awaiting.iter().map(|t| t.0));
            }
            assert!(harness.streams.iter().all(|s| s.ended), "a client stream did not end");
            assert!(
                harness.session_ended || !harness.session.has_streams(),
                "the session has streams left over"
            );
            let ends = harness.answered.union(&harness.disconnected).count();
            assert_eq!(
                (ends, harness.answered.intersection(&harness.disconnected).count()),
                (harness.requests.len(), 0)
            );
            for stream in harness.streams.iter().filter(|s| !s.was_reset) {
                // Each is served completely, rejected, or refused as a stream.
                let is_served = stream.status == Some(200) && stream.received_bytes == 200;
                let is_rejected = matches!(stream.status, Some(503)) && stream.received_bytes == 0;
                assert!(
                    is_served || is_rejected || stream.status.is_none(),
                    "status {:?} with {} bytes of body",
                    stream.status,
                    stream.received_bytes
                );
            }
            Ok(())
        })
        .unwrap();
}
