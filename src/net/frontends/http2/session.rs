//! One HTTP/2 connection: the codec on its pipe, and its streams from first header to last byte taken.
//!
//! Its futures are polled in the turn, without a runtime: whatever they wait for comes through the pipe, through the
//! core or through time, and each of these has the connection looked at again.

use super::transport::Pipe;
use crate::config::Http2Settings;
use crate::dispatch::{Request, Response, Ticket};
use crate::net::frontends::request_fields::{FieldError as Fault, RequestFields as Fields, MAX_BODY_BYTES};
use crate::net::frontends::status_mapping::{map_response, target, HttpError as Fail, StatusMapping, Target};
use crate::net::{Clock, State};
use bytes::Buf;
use h2::server::{Connection, Handshake, SendResponse};
use h2::{Ping, PingPong, Reason, RecvStream, SendStream};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

/// How long a request's body may take to come, and an answer to be taken by the client's windows (seconds).
const SLOW_REQUEST_S: f64 = 2.0;
const SLOW_ANSWER_S: f64 = 10.0;
/// How long a client may take to answer a ping, and to close after a goodbye (seconds).
const PONG_S: f64 = 5.0;
const GOODBYE_S: f64 = 2.0;
/// Rounds of polling in one look: what the codec has to say after one may wake the next.
const ROUNDS: usize = 4;

/// A result that is shared by all who are owed it; never copied for a stream.
pub struct Bytes {
    all: Rc<[u8]>,
    part: std::ops::Range<usize>,
}

impl Bytes {
    /// Takes so many of the first bytes off.
    fn split(&mut self, n: usize) -> Bytes {
        let at = (self.part.start + n).min(self.part.end);
        let first = Bytes { all: self.all.clone(), part: self.part.start..at };
        self.part.start = at;
        first
    }
}

impl Buf for Bytes {
    fn remaining(&self) -> usize {
        self.part.len()
    }
    fn chunk(&self) -> &[u8] {
        &self.all[self.part.clone()]
    }
    fn advance(&mut self, n: usize) {
        self.part.start = (self.part.start + n).min(self.part.end);
    }
}

struct Nobody;

impl Wake for Nobody {
    fn wake(self: Arc<Self>) {}
}

enum Codec {
    Greeting(Box<Handshake<Pipe, Bytes>>),
    Open(Box<Connection<Pipe, Bytes>>),
}

/// How far a stream is.
enum Stage {
    /// Its head is here, and its body is still to come.
    Body { fields: Box<Fields>, class: usize, body: Vec<u8>, recv: RecvStream },
    /// The core owes word.
    Asked,
    /// The answer waits for the client's windows.
    Sending { stream: SendStream<Bytes>, rest: Bytes },
    /// All is handed to the codec.
    Sent,
}

struct Stream {
    respond: SendResponse<Bytes>,
    stage: Stage,
    since: f64,
    /// Bytes of fields and body that its request has brought.
    brought: usize,
}

/// What a look at a connection has brought.
#[derive(Default)]
pub struct Seen {
    pub requests: Vec<Request>,
    /// Streams whose caller has gone while the core owed word.
    pub gone: Vec<Ticket>,
    /// Bytes of fields and bodies that requests have brought, and those of requests that were taken back.
    pub brought: usize,
    pub taken_back: usize,
    /// The connection is over: to be closed when all is written.
    pub over: bool,
    /// The codec has ended it for an error of the client.
    pub broke: bool,
}

/// A connection past its preface.
pub struct Session {
    pipe: Pipe,
    codec: Codec,
    waker: Waker,
    streams: BTreeMap<u64, Stream>,
    taken: u64,
    draining: bool,
    pings: Option<PingPong>,
    /// When the ping that is under way was sent, and when the last one was answered.
    pinged: Option<f64>,
    ponged: f64,
    /// When it was told to go for having been idle.
    goodbye: Option<f64>,
}

impl Session {
    pub fn new(set: &Http2Settings) -> Session {
        let pipe = Pipe::default();
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(set.streams)
            .initial_window_size(set.stream_window_kb * 1024)
            .initial_connection_window_size(set.connection_window_kb * 1024)
            .max_header_list_size(set.header_list_kb * 1024)
            .max_frame_size(16 * 1024)
            .max_send_buffer_size(set.send_buffer_kb as usize * 1024)
            // Rapid reset: streams that were reset before they were taken, and those that we reset and remember.
            .max_pending_accept_reset_streams(set.pending_resets)
            .max_concurrent_reset_streams(set.pending_resets)
            .max_local_error_reset_streams(Some(set.error_resets));
        Session {
            codec: Codec::Greeting(Box::new(builder.handshake(pipe.clone()))),
            pipe,
            waker: Arc::new(Nobody).into(),
            streams: BTreeMap::new(),
            taken: 0,
            draining: false,
            pings: None,
            pinged: None,
            ponged: 0.0,
            goodbye: None,
        }
    }

    pub fn pipe(&self) -> &Pipe {
        &self.pipe
    }

    /// Whether any stream is open.
    pub fn busy(&self) -> bool {
        !self.streams.is_empty()
    }

    /// Streams taken so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Tickets of which the core owes word.
    pub fn asked(&self) -> Vec<Ticket> {
        let asked = self.streams.iter().filter(|(_, s)| matches!(s.stage, Stage::Asked));
        asked.map(|(ticket, _)| Ticket(*ticket)).collect()
    }

    /// Polls the codec and its streams; takes at most so many new streams, so that one connection leaves time for the
    /// rest. `fresh` gives tickets.
    pub fn look(&mut self, clock: &Clock, state: &State, most: usize, fresh: &dyn Fn() -> u64) -> Seen {
        let mut seen = Seen::default();
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Codec::Greeting(handshake) = &mut self.codec {
            match Pin::new(&mut **handshake).poll(&mut cx) {
                Poll::Pending => return seen,
                Poll::Ready(Err(_)) => {
                    seen.over = true;
                    return seen;
                }
                Poll::Ready(Ok(mut connection)) => {
                    self.pings = connection.ping_pong();
                    self.codec = Codec::Open(Box::new(connection));
                }
            }
        }
        if state.ends_connections() && !self.draining {
            self.draining = true;
            if let Codec::Open(connection) = &mut self.codec {
                // GOAWAY with the highest id, a PING, and when that is seen GOAWAY with the last stream taken.
                connection.graceful_shutdown();
            }
        }
        for _ in 0..ROUNDS {
            let taken = self.accept(&mut cx, clock, state, most, fresh, &mut seen);
            let moved = self.settle(&mut cx, clock, state, &mut seen);
            if seen.over || !taken && !moved {
                break;
            }
        }
        seen
    }

    /// Tells a client that sends without end and asks for nothing to go.
    pub fn calm(&mut self) {
        if let Codec::Open(connection) = &mut self.codec {
            connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
            // Has the codec write it.
            let waker = self.waker.clone();
            let _ = connection.poll_closed(&mut Context::from_waker(&waker));
        }
    }

    /// Bytes of answers that wait for the client's windows.
    pub fn waiting(&self) -> usize {
        let rest = |s: &Stream| if let Stage::Sending { rest, .. } = &s.stage { rest.remaining() } else { 0 };
        self.streams.values().map(rest).sum()
    }

    /// What becomes of a client without a stream since `since`: it is asked for a sign of life, told to go when it has
    /// been idle for long or operators send clients away, and closed (`true`) where it answers neither.
    pub fn rest(&mut self, now: f64, since: f64, set: &Http2Settings, send_away: bool) -> bool {
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        if let Some(at) = self.goodbye {
            return now - at > GOODBYE_S;
        }
        if send_away || now - since >= set.idle_s {
            self.goodbye = Some(now);
            if let Codec::Open(connection) = &mut self.codec {
                if !std::mem::replace(&mut self.draining, true) {
                    connection.graceful_shutdown();
                }
            }
            return false;
        }
        let Some(pings) = self.pings.as_mut().filter(|_| set.ping_s > 0.0) else { return false };
        match self.pinged {
            Some(at) => match pings.poll_pong(&mut cx) {
                Poll::Ready(Ok(_)) => (self.pinged, self.ponged) = (None, now),
                Poll::Ready(Err(_)) => return true,
                Poll::Pending => return now - at > PONG_S,
            },
            None => {
                let due = now - since.max(self.ponged) >= set.ping_s;
                if due && pings.send_ping(Ping::opaque()).is_ok() {
                    self.pinged = Some(now);
                }
            }
        }
        false
    }

    /// Drives the codec and takes what it offers; `true` if it took a stream.
    fn accept(
        &mut self,
        cx: &mut Context,
        clock: &Clock,
        state: &State,
        most: usize,
        fresh: &dyn Fn() -> u64,
        seen: &mut Seen,
    ) -> bool {
        let Codec::Open(connection) = &mut self.codec else { return false };
        let mut any = false;
        for _ in 0..most {
            match connection.poll_accept(cx) {
                Poll::Pending => return any,
                Poll::Ready(end @ (None | Some(Err(_)))) => {
                    seen.over = true;
                    seen.broke = matches!(end, Some(Err(e)) if e.is_library());
                    return any;
                }
                Poll::Ready(Some(Ok((request, respond)))) => {
                    any = true;
                    self.taken += 1;
                    let (head, recv) = request.into_parts();
                    let (stage, since) = (Stage::Asked, clock.now());
                    let mut stream = Stream { respond, stage, since, brought: 0 };
                    // Guards the end of a body: even two equal lengths may be read differently by whoever stands in
                    // between, so the request is malformed (RFC 9113, section 8.1.1).
                    if head.headers.get_all(http::header::CONTENT_LENGTH).iter().nth(1).is_some() {
                        stream.respond.send_reset(Reason::PROTOCOL_ERROR);
                        stream.stage = Stage::Sent;
                        self.streams.insert(fresh(), stream);
                        continue;
                    }
                    let read = read_head(&head, state);
                    if read.is_ok() {
                        stream.brought = unpacked_size(&head);
                        seen.brought += stream.brought;
                    }
                    match read {
                        Ok((Target::Check, _)) => {
                            let good = state.good();
                            stream.say(
                                if good { 200 } else { 503 },
                                if good { "good\n" } else { "bad\n" },
                                state,
                            );
                        }
                        Ok((Target::Run(class), fields)) => {
                            let (fields, body) = (Box::new(fields), Vec::new());
                            stream.stage = Stage::Body { fields, class, body, recv };
                        }
                        Err(fail) => stream.fail(fail, state),
                    }
                    self.streams.insert(fresh(), stream);
                }
            }
        }
        any
    }

    /// Moves each stream on as far as it goes; `true` if one moved.
    fn settle(&mut self, cx: &mut Context, clock: &Clock, state: &State, seen: &mut Seen) -> bool {
        let now = clock.now();
        let (mut moved, mut over) = (false, Vec::new());
        for (ticket, stream) in &mut self.streams {
            // A reset by the client; what it asked for may run on, but nobody waits for this answer.
            let reset = match &mut stream.stage {
                Stage::Sending { stream, .. } => stream.poll_reset(cx),
                Stage::Sent => Poll::Pending,
                _ => stream.respond.poll_reset(cx),
            };
            if reset.is_ready() {
                if matches!(stream.stage, Stage::Asked) {
                    seen.gone.push(Ticket(*ticket));
                }
                seen.taken_back += stream.brought;
                over.push(*ticket);
                continue;
            }
            let before = stream.brought;
            if let Some(request) = stream.gather(cx, Ticket(*ticket), clock, state) {
                seen.requests.push(request);
                moved = true;
            }
            seen.brought += stream.brought - before;
            moved |= stream.send(cx);
            let lasts = now - stream.since;
            match &mut stream.stage {
                Stage::Body { .. } if lasts > SLOW_REQUEST_S => {
                    stream.respond.send_reset(Reason::CANCEL);
                    over.push(*ticket);
                }
                // Bounds what waits for windows that never open.
                Stage::Sending { stream, .. } if lasts > SLOW_ANSWER_S => {
                    stream.send_reset(Reason::CANCEL);
                    over.push(*ticket);
                }
                Stage::Sent => over.push(*ticket),
                _ => {}
            }
        }
        moved |= !over.is_empty();
        for ticket in over {
            self.streams.remove(&ticket);
        }
        moved
    }

    /// Gives the core's answer to a stream.
    pub fn answer(&mut self, now: f64, ticket: Ticket, answer: Response, state: &State) {
        let Some(stream) = self.streams.get_mut(&ticket.0) else { return };
        if matches!(stream.stage, Stage::Asked) {
            stream.since = now;
            stream.give(map_response(answer), "", state);
        }
    }
}

impl Stream {
    /// Takes what has come of the body; the request once it is whole. A body beyond the bound is refused without
    /// reading on: its window stays shut.
    fn gather(&mut self, cx: &mut Context, ticket: Ticket, clock: &Clock, state: &State) -> Option<Request> {
        let Stage::Body { fields, class, body, recv } = &mut self.stage else { return None };
        loop {
            match recv.poll_data(cx) {
                Poll::Pending => return None,
                Poll::Ready(Some(Ok(data))) => {
                    if body.len() + data.len() > MAX_BODY_BYTES {
                        self.fail(Fail::new(413, "the body is too long"), state);
                        return None;
                    }
                    body.extend_from_slice(&data);
                    self.brought += data.len();
                    // Only what was taken opens the window again.
                    let _ = recv.flow_control().release_capacity(data.len());
                }
                Poll::Ready(Some(Err(_))) => {
                    // Reset in the middle of its body: it never reached the core.
                    self.respond.send_reset(Reason::CANCEL);
                    self.stage = Stage::Sent;
                    return None;
                }
                Poll::Ready(None) => break,
            }
        }
        let (fields, class, body) = (std::mem::take(fields), *class, std::mem::take(body));
        match fields.request(ticket, class, None, &body, &state.known, clock) {
            Ok(request) => {
                self.stage = Stage::Asked;
                Some(request)
            }
            Err(Fault::UnknownTenant) => {
                self.fail(Fail::new(403, "unknown tenant"), state);
                None
            }
            Err(Fault::Field(name)) => {
                self.fail(Fail::new(400, name), state);
                None
            }
        }
    }

    fn fail(&mut self, fail: Fail, state: &State) {
        let plain = StatusMapping { code: fail.code, body: None, pushback_ms: None, stop_trying: false };
        let body = format!("{}\n", fail.why).into_bytes();
        self.give(StatusMapping { body: Some(body.into()), ..plain }, fail.allow, state);
    }

    fn say(&mut self, code: u16, text: &str, state: &State) {
        let body = Some(Rc::from(text.as_bytes()));
        self.give(StatusMapping { code, body, pushback_ms: None, stop_trying: false }, "", state);
    }

    fn give(&mut self, meaning: StatusMapping, allow: &str, state: &State) {
        let length = meaning.body.as_ref().map_or(0, |b| b.len());
        let mut head = http::Response::builder().status(meaning.code).header("content-length", length);
        if let Some(ms) = meaning.pushback_ms {
            head = head.header("x-pushback-ms", ms);
        }
        if meaning.stop_trying {
            head = head.header("x-stop-trying", "1");
        }
        if let Some(level) = state.level {
            head = head.header("x-backend-says", level.to_string());
        }
        if !allow.is_empty() {
            head = head.header("allow", allow);
        }
        let body = meaning.body.filter(|b| !b.is_empty());
        let Ok(head) = head.body(()) else { return };
        self.stage = match (self.respond.send_response(head, body.is_none()), body) {
            (Ok(stream), Some(all)) => {
                let part = 0..all.len();
                Stage::Sending { stream, rest: Bytes { all, part } }
            }
            // One that has been reset meanwhile is over as well.
            _ => Stage::Sent,
        };
    }

    /// Hands the answer to the codec as far as the client's windows let it; `true` if something went.
    fn send(&mut self, cx: &mut Context) -> bool {
        let Stage::Sending { stream, rest } = &mut self.stage else { return false };
        stream.reserve_capacity(rest.remaining());
        let mut moved = false;
        loop {
            let n = stream.capacity().min(rest.remaining());
            if n > 0 {
                let last = n == rest.remaining();
                // One that has been reset meanwhile is over as well.
                if stream.send_data(rest.split(n), last).is_err() || last {
                    self.stage = Stage::Sent;
                    return true;
                }
                moved = true;
            } else if !matches!(stream.poll_capacity(cx), Poll::Ready(Some(Ok(_)))) {
                return moved;
            }
        }
    }
}

/// What a request's fields take unpacked (bytes; RFC 7541, section 4.1): no less than they took on the wire.
fn unpacked_size(head: &http::request::Parts) -> usize {
    const A_FIELD: usize = 32;
    let target = head.method.as_str().len() + head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + A_FIELD);
    target + 4 * A_FIELD + fields.sum::<usize>()
}

/// Checks the pseudo-headers and collects the platform's fields.
fn read_head(head: &http::request::Parts, state: &State) -> Result<(Target, Fields), Fail> {
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let target = target(head.method.as_str(), path, &state.known)?;
    let mut fields = Fields::default();
    for (name, value) in &head.headers {
        if name == http::header::CONTENT_LENGTH {
            // The codec holds it against the data; here it spares a body that is too long anyway.
            let length = value.to_str().ok().and_then(|v| v.parse::<usize>().ok());
            if length.map_or(true, |n| n > MAX_BODY_BYTES) {
                return Err(Fail::new(413, "the body is too long"));
            }
        } else if let Err(Fault::Field(name)) = fields.note(name.as_str(), value.as_bytes()) {
            return Err(Fail::new(400, name));
        }
    }
    Ok((target, fields))
}
