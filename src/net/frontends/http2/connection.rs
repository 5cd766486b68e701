//! Processes one connection in a turn: reads its preface, feeds and polls its session, and acts on the output.

use super::abuse_detection::{AbuseDetector, PressureMonitor, ReadDecision};
use super::session::{PollInput, PollOutput, Session};
use super::{overhead_budget, Http2Frontend};
use crate::dispatch::Input;
use crate::log::LogEvent;
use crate::net::events::{FrontendEvent, SessionEndCause};
use crate::net::frontends::connections::{Connection, ConnectionState, NextStep};
use crate::net::io::buffer::{Link, PeerState, ReadStatus};
use crate::net::io::poll::Poll;
use crate::net::{Clock, FrontendContext};
use std::io;

/// The client connection preface (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Limit on the new streams that a session accepts in one round of polling.
const MAX_STREAMS_PER_ROUND: usize = 16;
/// Limit on the bytes read from one connection per poll; the rounds of a turn limit the number of polls.
const MAX_BYTES_PER_POLL: usize = 8 * 1024;
/// Limit on the bytes read from all connections in one round of the event loop, as far as each may send
/// [`MIN_BYTES_PER_POLL`].
const MAX_BYTES_PER_ROUND: usize = 256 * 1024;
/// Bytes that may be read from each connection per poll, however many there are.
const MIN_BYTES_PER_POLL: usize = 1024;
/// Amount of output queued for a client's socket above which no more is taken from the codec (bytes).
const MAX_QUEUED_OUTPUT_BYTES: usize = 64 * 1024;
/// The response to a client that doesn't speak HTTP/2.
const PREFACE_EXPECTED: &str = "this port speaks HTTP/2 by prior knowledge\n";

/// The limit on the bytes read from one connection in a round in which `scheduled` connections are processed. Guards against
/// clients that together send so much that others wait for long: 8 KiB may be more than a thousand header fields.
pub(super) fn max_bytes_per_poll(scheduled: usize) -> usize {
    (MAX_BYTES_PER_ROUND / scheduled.max(1)).clamp(MIN_BYTES_PER_POLL, MAX_BYTES_PER_POLL)
}

/// The parts of the worker that a connection uses in one turn of the event loop.
pub(super) struct Turn<'a> {
    /// When processing of the connection began (seconds).
    pub(super) now: f64,
    /// Limit on the bytes read from the connection.
    pub(super) max_bytes: usize,
    /// The worker's clock.
    pub(super) clock: &'a Clock,
    /// The worker's state as far as frontends need it.
    pub(super) context: &'a FrontendContext,
    /// Collects inputs for the dispatcher.
    pub(super) inputs: &'a mut Vec<Input>,
}

/// A session, with the budget for what its client sends that belongs to no request.
pub(super) struct ActiveSession {
    /// The codec and its streams.
    pub(super) session: Session,
    /// Charges the client for traffic that belongs to no request.
    pub(super) abuse_detector: AbuseDetector,
}

impl ActiveSession {
    /// Polls the session and credits its requests to the client's budget.
    fn poll(&mut self, poll: &Poll, turn: &Turn) -> PollOutput {
        let output = self.session.poll(&PollInput {
            clock: turn.clock,
            context: turn.context,
            max_streams: MAX_STREAMS_PER_ROUND,
            next_ticket: &|| poll.next_id(),
        });
        self.abuse_detector.credit(output.request_bytes);
        self.abuse_detector.revoke_credit(output.reset_bytes);
        output
    }
}

/// The HTTP/2 state of a connection.
#[derive(Default)]
pub struct SessionEntry {
    /// Present from the admission of the connection until its session is ended.
    pub(super) active: Option<Box<ActiveSession>>,
    /// The total sent when the socket last accepted output (bytes since the connection was accepted).
    sent_bytes: u64,
    /// When the socket last accepted output, or no output was queued (seconds).
    send_progress_at: f64,
}

impl SessionEntry {
    /// How long the client has accepted none of its queued output (seconds).
    pub(super) fn send_stalled_s(&self, now: f64) -> f64 {
        now - self.send_progress_at
    }
}

/// The state of a connection's preface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Preface {
    Complete,
    /// Incomplete so far.
    Partial,
    /// Not an HTTP/2 preface.
    Mismatch,
}

impl Preface {
    fn read(received: &[u8]) -> Preface {
        if received.starts_with(PREFACE) {
            Preface::Complete
        } else if PREFACE.starts_with(received) {
            Preface::Partial
        } else {
            Preface::Mismatch
        }
    }
}

/// The result of one exchange between socket and session.
struct Exchange {
    output: PollOutput,
    /// Whether the session accepted a new stream.
    accepted: bool,
    /// Whether any stream is open.
    has_streams: bool,
    /// Whether more input may be available than one poll processes.
    poll_again: bool,
    /// The result of writing to the socket.
    flush_result: io::Result<()>,
}

impl Http2Frontend {
    /// Reads from a connection, polls its session, writes the output, and passes its requests to the dispatcher.
    pub(super) fn process_connection(&mut self, id: u64, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.state == ConnectionState::Closing || connection.state == ConnectionState::Responding {
            return self.process_ending(id, turn);
        }
        if connection.link.flush().is_err() {
            return self.close(id, turn.inputs);
        }
        let read_status = connection.link.fill();
        // A client that is throttled, or waits for a session, may leave more unread than fits.
        let has_left = connection.link.peer_state_behind_full_input() != PeerState::Open;
        if read_status == ReadStatus::Broken || has_left {
            return self.close(id, turn.inputs);
        }
        let has_session = connection.protocol_state.active.is_some();
        if has_session || self.start_session(id, read_status, turn) {
            self.process_session(id, read_status, turn);
        }
    }

    /// Continues to close a connection.
    fn process_ending(&mut self, id: u64, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        // The sweep has begun to close this connection: the codec's remaining output is sent first.
        if connection.protocol_state.active.is_some() {
            return self.finish(id, turn.now, turn.inputs);
        }
        match connection.advance(turn.now) {
            NextStep::Close => self.close(id, turn.inputs),
            NextStep::Yield | NextStep::Delay => self.connections.schedule(id),
            NextStep::Read | NextStep::Wait => {}
        }
    }

    /// Starts a session once the preface is complete and the connection is admitted. Returns `true` if it was started.
    fn start_session(&mut self, id: u64, read_status: ReadStatus, turn: &mut Turn) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        match Preface::read(connection.link.data()) {
            Preface::Complete => {}
            Preface::Partial => {
                self.await_preface(id, read_status, turn);
                return false;
            }
            Preface::Mismatch => {
                reject_protocol(connection, turn.now);
                self.connections.schedule(id);
                return false;
            }
        }
        if !self.admission.admit(turn.now, id) {
            connection.link.shrink_input();
            return false;
        }
        let session = Session::new(&self.settings);
        let budget = overhead_budget(&self.settings);
        let abuse_detector = AbuseDetector::new(turn.now, budget, self.pressure.is_elevated(turn.now));
        connection.protocol_state.active = Some(Box::new(ActiveSession { session, abuse_detector }));
        true
    }

    fn await_preface(&mut self, id: u64, read_status: ReadStatus, turn: &mut Turn) {
        if read_status == ReadStatus::Ended {
            return self.close(id, turn.inputs);
        }
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.link.data().is_empty() {
            connection.link.shrink();
        } else if connection.state == ConnectionState::Idle {
            connection.set_state(turn.now, ConnectionState::Reading);
        }
    }

    fn process_session(&mut self, id: u64, read_status: ReadStatus, turn: &mut Turn) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(exchange) = exchange(connection, read_status, &self.poll, &mut self.pressure, turn) else {
            return;
        };
        record_progress(connection, &exchange, turn.now);
        if exchange.accepted {
            self.admission.release(id);
        }
        let output = exchange.output;
        for ticket in output.disconnected {
            self.owners.remove(&ticket.0);
            turn.inputs.push(Input::ClientDisconnected(ticket));
        }
        // A client that has closed its side can't get a response: the codec ends the connection as soon as it reads that.
        // Its requests must not run.
        let has_requests = !output.requests.is_empty();
        if has_requests && (output.ended || connection.link.peer_state() != PeerState::Open) {
            return self.finish(id, turn.now, turn.inputs);
        }
        for request in output.requests {
            self.owners.insert(request.ticket.0, id);
            turn.inputs.push(Input::Arrived(request));
        }
        if exchange.flush_result.is_err() {
            return self.close(id, turn.inputs);
        }
        if output.protocol_error {
            self.pressure.record_abuse(turn.now);
        }
        if output.ended {
            return self.finish(id, turn.now, turn.inputs);
        }
        if exchange.poll_again {
            self.connections.schedule(id);
        }
    }
}

/// Responds to a client that doesn't speak HTTP/2, with an HTTP/1.1 response, which it most likely understands.
fn reject_protocol(connection: &mut Connection<SessionEntry>, now: f64) {
    let response = format!(
        "HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{PREFACE_EXPECTED}",
        PREFACE_EXPECTED.len()
    );
    connection.link.push(response.into_bytes());
    connection.finish(now);
}

/// Feeds the session as much input as its budget allows, polls it, and writes its output.
fn exchange(
    connection: &mut Connection<SessionEntry>,
    read_status: ReadStatus,
    poll: &Poll,
    pressure: &mut PressureMonitor,
    turn: &mut Turn,
) -> Option<Exchange> {
    let link = &mut connection.link;
    let active = connection.protocol_state.active.as_deref_mut()?;
    let available = link.data().len().min(active.session.pipe().free_bytes()).min(turn.max_bytes);
    let decision = decide_read(active, available, pressure, turn);
    let read_bytes = decision.read_bytes();
    feed(&active.session, link, read_bytes, read_status);
    let accepted_before = active.session.accepted_streams();
    let output = active.poll(poll, turn);
    let session = &active.session;
    if link.queued() < MAX_QUEUED_OUTPUT_BYTES {
        queue_output(session, link);
    }
    // Input that could not be fed stays in the link. A client over its budget is read again at the next sweep.
    let has_more =
        read_bytes == turn.max_bytes || session.pipe().unread() > 0 && read_bytes > 0 || link.has_unread();
    Some(Exchange {
        output,
        accepted: session.accepted_streams() > accepted_before,
        has_streams: session.has_streams(),
        poll_again: has_more && matches!(decision, ReadDecision::Read(_)),
        flush_result: link.flush(),
    })
}

/// Moves `length` bytes from the socket's buffer to the codec, and signals the end of the client's input.
fn feed(session: &Session, link: &mut Link, length: usize, read_status: ReadStatus) {
    session.pipe().feed(&link.data()[..length]);
    link.consume(length);
    if read_status == ReadStatus::Ended && link.data().is_empty() {
        session.pipe().end();
    }
}

/// Queues the codec's output for the socket.
pub(super) fn queue_output(session: &Session, link: &mut Link) {
    let output = session.pipe().drain();
    if !output.is_empty() {
        link.push(output);
    }
}

/// Charges the client for its input, and terminates one that stays over its budget.
fn decide_read(
    active: &mut ActiveSession,
    available: usize,
    pressure: &mut PressureMonitor,
    turn: &mut Turn,
) -> ReadDecision {
    let decision = active.abuse_detector.charge(turn.now, available);
    match decision {
        ReadDecision::Read(_) | ReadDecision::Throttle { newly_throttled: false } => {}
        ReadDecision::Throttle { newly_throttled: true } => {
            pressure.record_abuse(turn.now);
            FrontendEvent::Http2SessionThrottled.emit();
        }
        ReadDecision::Terminate => {
            FrontendEvent::Http2SessionTerminated(SessionEndCause::IdleFrames).emit();
            active.session.abort_for_abuse();
        }
    }
    decision
}

/// Records the progress of the socket's output, and updates the connection's state from its streams.
fn record_progress(connection: &mut Connection<SessionEntry>, exchange: &Exchange, now: f64) {
    if connection.link.sent != connection.protocol_state.sent_bytes || connection.link.queued() == 0 {
        connection.protocol_state.sent_bytes = connection.link.sent;
        connection.protocol_state.send_progress_at = now;
    }
    if exchange.accepted && connection.state != ConnectionState::AwaitingResponse {
        // The state passes through `Reading`, so that a request is counted: connections without one are evicted first
        // when descriptors run out.
        connection.set_state(now, ConnectionState::Reading);
        connection.set_state(now, ConnectionState::AwaitingResponse);
    }
    if !exchange.has_streams
        && connection.link.queued() == 0
        && connection.state == ConnectionState::AwaitingResponse
    {
        connection.set_state(now, ConnectionState::Idle);
    }
}

#[cfg(test)]
mod tests;
