//! One HTTP/2 connection after its preface: the codec on its pipe, and its streams, each from the request's first
//! header to the last byte of the response.
//!
//! The codec's futures are polled in the event loop's turn, without a runtime. They wait for input through the pipe,
//! for the dispatcher or for time to pass, and each of these schedules the connection for processing, so the waker
//! does nothing.

mod idle;
mod request;
mod response;
mod stream;

pub use idle::IdleOutcome;

use super::transport::Pipe;
use crate::config::Http2Settings;
use crate::dispatch::{Request, Response, Ticket};
use crate::net::{Clock, FrontendContext};
use h2::server::{Connection, Handshake};
use h2::Reason;
use idle::KeepAlive;
use response::SharedBytes;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use stream::{Progress, Stream};

/// Limit on the rounds of polling in one [`Session::poll`]. There are several, since the codec's progress in one round
/// may let streams advance in the next.
const MAX_POLL_ROUNDS: usize = 4;
/// The maximum length of a frame from a client (bytes).
const MAX_FRAME_BYTES: u32 = 16 * 1024;

struct NoopWaker;

impl Wake for NoopWaker {
    fn wake(self: Arc<Self>) {}
}

enum Codec {
    Handshake(Box<Handshake<Pipe, SharedBytes>>),
    Open(Box<Connection<Pipe, SharedBytes>>),
}

/// The input of one poll of a session.
pub struct PollInput<'a> {
    /// The worker's clock.
    pub clock: &'a Clock,
    /// The worker's state as far as frontends need it.
    pub context: &'a FrontendContext,
    /// Limit on the new streams accepted per round of polling, so that one connection leaves time for the others.
    pub max_streams: usize,
    /// Returns the next unused ticket.
    pub next_ticket: &'a dyn Fn() -> u64,
}

/// The output of one poll of a session.
#[derive(Default)]
pub struct PollOutput {
    /// Requests that have become complete.
    pub requests: Vec<Request>,
    /// Requests whose client disconnected while the response was pending.
    pub disconnected: Vec<Ticket>,
    /// Size of the request fields and bodies received (bytes).
    pub request_bytes: usize,
    /// Size of the fields and bodies of requests that the client has reset (bytes).
    pub reset_bytes: usize,
    /// Whether the connection has ended: it is to be closed when all output is written.
    pub ended: bool,
    /// Whether the codec has ended it because of a protocol error of the client.
    pub protocol_error: bool,
}

/// A connection after its preface.
pub struct Session {
    pipe: Pipe,
    codec: Codec,
    waker: Waker,
    /// The open streams, by ticket.
    streams: BTreeMap<u64, Stream>,
    /// The number of streams accepted so far.
    accepted_streams: u64,
    /// Whether a graceful shutdown of the connection has begun.
    shutting_down: bool,
    keep_alive: KeepAlive,
}

impl Session {
    /// A session that waits for the client's settings.
    pub fn new(settings: &Http2Settings) -> Session {
        let pipe = Pipe::default();
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(settings.streams)
            .initial_window_size(settings.stream_window_kb * 1024)
            .initial_connection_window_size(settings.connection_window_kb * 1024)
            .max_header_list_size(settings.header_list_kb * 1024)
            .max_frame_size(MAX_FRAME_BYTES)
            .max_send_buffer_size(settings.send_buffer_kb as usize * 1024)
            // These limits guard against rapid reset: they bound the streams that the client reset before they were
            // accepted, and the streams that this side has reset and still tracks.
            .max_pending_accept_reset_streams(settings.pending_resets)
            .max_concurrent_reset_streams(settings.pending_resets)
            .max_local_error_reset_streams(Some(settings.error_resets));
        Session {
            codec: Codec::Handshake(Box::new(builder.handshake(pipe.clone()))),
            pipe,
            waker: Arc::new(NoopWaker).into(),
            streams: BTreeMap::new(),
            accepted_streams: 0,
            shutting_down: false,
            keep_alive: KeepAlive::default(),
        }
    }

    /// The worker's end of the codec's transport.
    pub fn pipe(&self) -> &Pipe {
        &self.pipe
    }

    /// Whether any stream is open.
    pub fn has_streams(&self) -> bool {
        !self.streams.is_empty()
    }

    /// The number of streams accepted so far.
    pub fn accepted_streams(&self) -> u64 {
        self.accepted_streams
    }

    /// Tickets of the requests whose responses are pending.
    pub fn awaiting_response(&self) -> Vec<Ticket> {
        let awaiting = self.streams.iter().filter(|(_, stream)| stream.awaits_response());
        awaiting.map(|(ticket, _)| Ticket(*ticket)).collect()
    }

    /// Memory of the open streams, with their requests (bytes).
    pub fn stream_bytes(&self) -> usize {
        self.streams.values().map(Stream::memory_bytes).sum()
    }

    /// Size of the responses that wait for the client's flow-control windows (bytes).
    pub fn pending_response_bytes(&self) -> usize {
        self.streams.values().map(Stream::pending_response_bytes).sum()
    }

    /// Polls the codec and its streams.
    pub fn poll(&mut self, input: &PollInput) -> PollOutput {
        let mut output = PollOutput::default();
        let waker = self.waker.clone();
        let mut cx = Context::from_waker(&waker);
        match self.poll_handshake(&mut cx) {
            Poll::Pending => return output,
            Poll::Ready(Err(_)) => {
                output.ended = true;
                return output;
            }
            Poll::Ready(Ok(())) => {}
        }
        if input.context.availability.closes_connections() {
            self.shut_down_gracefully();
        }
        for _ in 0..MAX_POLL_ROUNDS {
            let accepted = self.accept_streams(&mut cx, input, &mut output);
            let advanced = self.advance_streams(&mut cx, input, &mut output);
            if output.ended || !accepted && !advanced {
                break;
            }
        }
        output
    }

    /// Passes a response from the dispatcher to its stream.
    pub fn respond(&mut self, now: f64, ticket: Ticket, response: Response, context: &FrontendContext) {
        if let Some(stream) = self.streams.get_mut(&ticket.0) {
            stream.respond(now, response, context);
        }
    }

    /// Ends the connection with GOAWAY and `ENHANCE_YOUR_CALM`, for a client that abuses the protocol.
    pub fn abort_for_abuse(&mut self) {
        if let Codec::Open(connection) = &mut self.codec {
            connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
            // This poll makes the codec write the frame.
            let waker = self.waker.clone();
            let _ = connection.poll_closed(&mut Context::from_waker(&waker));
        }
    }

    /// Sends a GOAWAY with the highest possible stream id and a PING; once the PING is answered, a GOAWAY with the last
    /// accepted stream.
    fn shut_down_gracefully(&mut self) {
        if std::mem::replace(&mut self.shutting_down, true) {
            return;
        }
        if let Codec::Open(connection) = &mut self.codec {
            connection.graceful_shutdown();
        }
    }

    fn poll_handshake(&mut self, cx: &mut Context) -> Poll<Result<(), h2::Error>> {
        let Codec::Handshake(handshake) = &mut self.codec else { return Poll::Ready(Ok(())) };
        match Pin::new(&mut **handshake).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(mut connection)) => {
                self.keep_alive.start(connection.ping_pong());
                self.codec = Codec::Open(Box::new(connection));
                Poll::Ready(Ok(()))
            }
        }
    }

    /// Drives the codec and accepts new streams. Returns `true` if there was one.
    fn accept_streams(&mut self, cx: &mut Context, input: &PollInput, output: &mut PollOutput) -> bool {
        let Codec::Open(connection) = &mut self.codec else { return false };
        let mut any_accepted = false;
        for _ in 0..input.max_streams {
            let (request, respond) = match connection.poll_accept(cx) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok(accepted))) => accepted,
                Poll::Ready(Some(Err(error))) => {
                    output.ended = true;
                    output.protocol_error = error.is_library();
                    break;
                }
                Poll::Ready(None) => {
                    output.ended = true;
                    break;
                }
            };
            any_accepted = true;
            self.accepted_streams += 1;
            let stream = Stream::open(request, respond, input.clock.now(), input.context);
            output.request_bytes += stream.request_bytes();
            self.streams.insert((input.next_ticket)(), stream);
        }
        any_accepted
    }

    /// Advances each stream as far as possible. Returns `true` if one advanced or ended.
    fn advance_streams(&mut self, cx: &mut Context, input: &PollInput, output: &mut PollOutput) -> bool {
        let now = input.clock.now();
        let mut any_advanced = false;
        let mut ended = Vec::new();
        for (ticket, stream) in &mut self.streams {
            match stream.advance(cx, now, Ticket(*ticket), input, output) {
                Progress::None => {}
                Progress::Advanced => any_advanced = true,
                Progress::Ended => ended.push(*ticket),
            }
        }
        any_advanced |= !ended.is_empty();
        for ticket in ended {
            self.streams.remove(&ticket);
        }
        any_advanced
    }
}

#[cfg(test)]
mod tests;
