//! A property of sessions: whatever the interleaving of opened streams, bodies, resets, answers, windows, cuts in the
//! bytes and a drain, each stream that was taken has one end, and nothing is left over. Seeds are fixed.

use super::session::{PollInput, Session};
use super::transport::Pipe;
use crate::config::{Config, Http2Settings, Operator};
use crate::dispatch::{Response, Ticket};
use crate::net::frontends::request_fields::Catalog;
use crate::net::{Clock, State};
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
use std::task::{Context, Poll, Wake, Waker};

struct Nobody;

impl Wake for Nobody {
    fn wake(self: Arc<Self>) {}
}

/// One request as the client sees it.
struct Open {
    body: Option<SendStream<Bytes>>,
    answer: Option<ResponseFuture>,
    result: Option<RecvStream>,
    /// Status and length of the body, once all of it is here.
    status: Option<u16>,
    got: usize,
    ended: bool,
    was_reset: bool,
}

/// A client and the session on the two ends of a wire that moves bytes when it is told to.
struct World {
    waker: Waker,
    clock: Clock,
    state: State,
    session: Session,
    wire: Pipe,
    client: SendRequest<Bytes>,
    connection: Connection<Pipe, Bytes>,
    open: Vec<Open>,
    /// Tickets that came as requests, those answered, and those whose caller has gone.
    requests: BTreeSet<u64>,
    answered: BTreeSet<u64>,
    gone: BTreeSet<u64>,
    next: Rc<Cell<u64>>,
    towards_server: Vec<u8>,
    towards_client: Vec<u8>,
    over: bool,
}

fn settings() -> (Http2Settings, Config) {
    let config = Config::decode(include_str!("../../../../examples/config.json")).unwrap();
    let text = "[http2]\nlisten = \"127.0.0.1:0\"\nstreams = 5\n";
    (Operator::decode(text, &config).unwrap().http2.unwrap(), config)
}

impl World {
    fn new(window: u32) -> World {
        let (http2, config) = settings();
        let known = Rc::new(Catalog::new(&config.settings, &config.settings.settings(1)));
        let wire = Pipe::default();
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(window);
        let mut handshake = Box::pin(builder.handshake::<_, Bytes>(wire.clone()));
        let waker: Waker = Arc::new(Nobody).into();
        let Poll::Ready(Ok((client, connection))) = handshake.as_mut().poll(&mut Context::from_waker(&waker))
        else {
            panic!("the client's part of the handshake waits for nothing")
        };
        World {
            waker,
            clock: Clock::new(),
            state: State {
                known,
                level: Some(1.0),
                fit: true,
                leaving: false,
                draining: false,
                passing: false,
            },
            session: Session::new(&http2),
            wire,
            client,
            connection,
            open: Vec::new(),
            requests: BTreeSet::new(),
            answered: BTreeSet::new(),
            gone: BTreeSet::new(),
            next: Rc::new(Cell::new(0)),
            towards_server: Vec::new(),
            towards_client: Vec::new(),
            over: false,
        }
    }

    /// Moves at most so many bytes each way, and polls both ends.
    fn shuttle(&mut self, most: usize) {
        let waker = self.waker.clone();
        let cx = &mut Context::from_waker(&waker);
        let _ = Pin::new(&mut self.connection).poll(cx);
        self.towards_server.extend(self.wire.drain());
        let n = most.min(self.towards_server.len()).min(self.session.pipe().room());
        self.session.pipe().feed(&self.towards_server[..n]);
        self.towards_server.drain(..n);
        if !self.over {
            let next = self.next.clone();
            let next_ticket = move || {
                next.set(next.get() + 1);
                next.get()
            };
            let input = PollInput {
                clock: &self.clock,
                state: &self.state,
                max_streams: 4,
                next_ticket: &next_ticket,
            };
            let output = self.session.poll(&input);
            for request in output.requests {
                assert!(self.requests.insert(request.ticket.0), "a ticket came twice");
            }
            for ticket in output.disconnected {
                assert!(self.requests.contains(&ticket.0) && !self.answered.contains(&ticket.0));
                assert!(self.gone.insert(ticket.0), "a caller went twice");
            }
            self.over = output.ended;
        }
        self.towards_client.extend(self.session.pipe().drain());
        let n = most.min(self.towards_client.len()).min(self.wire.room());
        self.wire.feed(&self.towards_client[..n]);
        self.towards_client.drain(..n);
        let _ = Pin::new(&mut self.connection).poll(cx);
    }

    fn ask(&mut self, whole: bool) {
        let waker = self.waker.clone();
        if !matches!(self.client.poll_ready(&mut Context::from_waker(&waker)), Poll::Ready(Ok(()))) {
            return;
        }
        let number = self.open.len();
        let request = http::Request::builder()
            .method("POST")
            .uri("http://service.internal/do/port-submit")
            .header("x-correlation-id", format!("{number:016x}"))
            .header("x-org", "belwijs")
            .header("x-operation-key", format!("k{number}"))
            .body(())
            .unwrap();
        let Ok((answer, mut body)) = self.client.send_request(request, false) else { return };
        body.send_data(Bytes::from_static(b"hello"), whole).unwrap();
        let body = Some(body).filter(|_| !whole);
        let (answer, result, status) = (Some(answer), None, None);
        let (got, ended, was_reset) = (0, false, false);
        self.open.push(Open { body, answer, result, status, got, ended, was_reset });
    }

    /// Reads what is there of an answer; the window opens for what was read.
    fn read(&mut self, n: usize) {
        let waker = self.waker.clone();
        let cx = &mut Context::from_waker(&waker);
        let Some(open) = self.open.get_mut(n) else { return };
        if let Some(answer) = &mut open.answer {
            match Pin::new(answer).poll(cx) {
                Poll::Pending => return,
                Poll::Ready(Ok(head)) => {
                    assert!(open.status.replace(head.status().as_u16()).is_none(), "two answers");
                    open.result = Some(head.into_body());
                }
                Poll::Ready(Err(_)) => open.ended = true,
            }
            open.answer = None;
        }
        while let Some(result) = &mut open.result {
            match result.poll_data(cx) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(data))) => {
                    open.got += data.len();
                    let _ = result.flow_control().release_capacity(data.len());
                }
                Poll::Ready(Some(Err(_))) | Poll::Ready(None) => (open.result, open.ended) = (None, true),
            }
        }
    }

    fn reset(&mut self, n: usize) {
        let Some(open) = self.open.get_mut(n) else { return };
        if let Some(mut body) = open.body.take() {
            body.send_reset(Reason::CANCEL);
        }
        // Dropped before its end: the client's codec says so with a reset.
        (open.answer, open.result) = (None, None);
        (open.was_reset, open.ended) = (true, true);
    }

    fn answer(&mut self, n: usize, refuse: bool) {
        let owed: Vec<u64> = self
            .requests
            .iter()
            .filter(|t| !self.answered.contains(t) && !self.gone.contains(t))
            .copied()
            .collect();
        let Some(&ticket) = owed.get(n % owed.len().max(1)) else { return };
        self.answered.insert(ticket);
        let answer = if refuse {
            Response::Rejected { retry_after_s: 0.5, stop_retrying: true }
        } else {
            Response::Served(vec![7; 200].into())
        };
        self.session.respond(self.clock.now(), Ticket(ticket), answer, &self.state);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ask(bool),
    Finish(usize),
    Reset(usize),
    Response(usize, bool),
    Read(usize),
    Shuttle(usize),
    Drain,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => any::<bool>().prop_map(Step::Ask),
        2 => (0usize..12).prop_map(Step::Finish),
        2 => (0usize..12).prop_map(Step::Reset),
        4 => (0usize..12, any::<bool>()).prop_map(|(n, refuse)| Step::Response(n, refuse)),
        4 => (0usize..12).prop_map(Step::Read),
        8 => prop_oneof![1usize..40, 100usize..9000].prop_map(Step::Shuttle),
        1 => Just(Step::Drain),
    ];
    proptest::collection::vec(step, 1..120)
}

#[test]
fn each_stream_taken_has_one_end_and_nothing_is_left_over() {
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
            let mut w = World::new(window);
            for step in steps {
                match step {
                    Step::Ask(whole) => w.ask(whole),
                    Step::Finish(n) => {
                        if let Some(mut body) = w.open.get_mut(n).and_then(|o| o.body.take()) {
                            let _ = body.send_data(Bytes::new(), true);
                        }
                    }
                    Step::Reset(n) => w.reset(n),
                    Step::Response(n, refuse) => w.answer(n, refuse),
                    Step::Read(n) => w.read(n),
                    Step::Shuttle(most) => w.shuttle(most),
                    Step::Drain => w.state.leaving = true,
                }
            }
            // All that is open comes to its end.
            for _ in 0..8_000 {
                for n in 0..w.open.len() {
                    if let Some(mut body) = w.open[n].body.take() {
                        let _ = body.send_data(Bytes::new(), true);
                    }
                    w.read(n);
                }
                w.answer(0, false);
                w.shuttle(9000);
                if w.open.iter().all(|o| o.ended) && (w.over || !w.session.has_streams()) {
                    break;
                }
            }
            if w.over {
                // The frontend tells the dispatcher of those whom the end of the connection has cut off.
                let cut_off = w.session.awaiting_response();
                w.gone.extend(cut_off.iter().map(|t| t.0));
            }
            assert!(w.open.iter().all(|o| o.ended), "a stream without an end");
            assert!(w.over || !w.session.has_streams(), "something is left over");
            let ends = w.answered.union(&w.gone).count();
            assert_eq!((ends, w.answered.intersection(&w.gone).count()), (w.requests.len(), 0));
            for open in w.open.iter().filter(|o| !o.was_reset) {
                // Served whole, refused, or refused as a stream: nothing in between.
                let whole = open.status == Some(200) && open.got == 200;
                let said = matches!(open.status, Some(503)) && open.got == 0;
                assert!(whole || said || open.status.is_none(), "{:?} with {} bytes", open.status, open.got);
            }
            Ok(())
        })
        .unwrap();
}
