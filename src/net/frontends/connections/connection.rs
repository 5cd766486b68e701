//! A single connection: its state, its next step, and its closing.

use crate::net::io::buffer::{Link, PeerState, ReadStatus};
use crate::net::io::source::Readiness;

/// Limit on the steps of one connection before the others are processed: a peer that sends continuously must not
/// monopolize the event loop.
pub const MAX_CONSECUTIVE_STEPS: usize = 32;

/// How long the next request on a connection waits after a response to a peer that has closed its sending side, so that a
/// reset in answer to the response arrives first (seconds).
const RESET_WAIT_S: f64 = 0.05;

/// Idle timeout of a lingering close, measured from the last byte received: a peer that continues to send after its
/// rejection must not lose the response to a reset (seconds).
const LINGER_IDLE_TIMEOUT_S: f64 = 1.0;

/// Upper bound on the duration of a lingering close (seconds).
const MAX_LINGER_S: f64 = 4.0;

/// Limit on the input discarded in one step (bytes).
const MAX_DISCARD_BYTES: usize = 1024 * 1024;

/// The state of a connection, which handles one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ConnectionState {
    /// No byte of the next request has been received.
    Idle,
    /// A request has been received in part.
    Reading,
    /// Waits for the dispatcher's response, or for a directory lookup that precedes it.
    AwaitingResponse,
    /// The response is being written.
    Responding,
    /// The writing side has been shut down; input is discarded until the peer closes.
    Closing,
    /// Handed off to another process, or about to be.
    HandedOff,
}

/// What a frontend has to do next with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Read its next request.
    Read,
    /// Wait for a poll event or for the dispatcher.
    Wait,
    /// Continue after the other connections have been processed.
    Yield,
    /// Continue later, without waiting for a poll event: see [`Connections::delay`](super::Connections::delay).
    Delay,
    /// Close the connection.
    Close,
}

/// A connection, with protocol-specific state that is kept between turns.
pub struct Connection<P> {
    /// The socket and its buffers.
    pub link: Link,
    /// The current state.
    pub state: ConnectionState,
    /// When the current state was entered (seconds).
    pub(super) state_since: f64,
    /// When it was accepted, or adopted from another process (seconds).
    pub(super) opened_at: f64,
    /// When input was last received and discarded (seconds).
    last_received_at: f64,
    /// The number of complete requests received.
    pub(super) requests_read: u32,
    /// Whether to close after the current response.
    pub close_after_response: bool,
    /// Whether input has been buffered since the frontend last processed the connection.
    pub(super) has_unseen_bytes: bool,
    /// Whether the next request was sent before the previous response was written, so that its client may have left.
    pub(super) has_pipelined_request: bool,
    /// The protocol-specific state.
    pub protocol_state: P,
}

impl<P> Connection<P> {
    /// A connection on which nothing has been received.
    pub(super) fn new(link: Link, now: f64, protocol_state: P) -> Connection<P> {
        Connection {
            link,
            state: ConnectionState::Idle,
            state_since: now,
            opened_at: now,
            last_received_at: now,
            requests_read: 0,
            close_after_response: false,
            has_unseen_bytes: false,
            has_pipelined_request: false,
            protocol_state,
        }
    }

    /// Flushes pending output and performs the state transitions common to all protocols.
    pub fn advance(&mut self, now: f64) -> NextStep {
        use ConnectionState::{AwaitingResponse, Closing, HandedOff, Idle, Reading, Responding};
        for _ in 0..MAX_CONSECUTIVE_STEPS {
            if self.link.flush().is_err() {
                return NextStep::Close;
            }
            match self.state {
                // A connection handles one request at a time: further input stays in the buffer, and in the kernel once
                // the buffer is full. The socket is read here because a read reveals a reset, after which the dispatcher
                // need not continue the request.
                AwaitingResponse if self.link.fill() == ReadStatus::Broken => return NextStep::Close,
                AwaitingResponse if self.link.peer_state_behind_full_input() == PeerState::Gone => {
                    return NextStep::Close;
                }
                AwaitingResponse | HandedOff => return NextStep::Wait,
                Responding if self.link.queued() > 0 => return NextStep::Wait,
                Responding if self.close_after_response => self.half_close(now),
                Responding => {
                    self.set_state(now, Idle);
                    self.has_pipelined_request = !self.link.data().is_empty() || self.link.has_unread();
                }
                Closing => return self.discard_input(now),
                Idle | Reading if self.has_pipelined_request => return self.check_pipelining_peer(now),
                Idle | Reading => return NextStep::Read,
            }
        }
        NextStep::Yield
    }

    /// Decides whether a pipelined request is read. A client that has closed its connection can't read the response, and its
    /// request must not run. One that has only closed its sending side still reads.
    fn check_pipelining_peer(&mut self, now: f64) -> NextStep {
        match self.link.peer_state() {
            PeerState::Gone => return NextStep::Close,
            PeerState::EndedSending if now < self.state_since + RESET_WAIT_S => return NextStep::Delay,
            PeerState::EndedSending | PeerState::Open => {}
        }
        self.has_pipelined_request = false;
        NextStep::Read
    }

    /// Reads no further request: writes the queued output, then closes the connection.
    pub fn finish(&mut self, now: f64) {
        self.close_after_response = true;
        self.set_state(now, ConnectionState::Responding);
    }

    /// Enters a state. Leaving `Reading` with a complete request counts that request.
    pub fn set_state(&mut self, now: f64, state: ConnectionState) {
        let request_complete =
            matches!(state, ConnectionState::AwaitingResponse | ConnectionState::Responding);
        if self.state == ConnectionState::Reading && request_complete {
            self.requests_read += 1;
        }
        self.state = state;
        self.state_since = now;
    }

    /// When the current state was entered (seconds).
    pub fn state_since(&self) -> f64 {
        self.state_since
    }

    /// Shuts down the writing side. Input received from now on is not parsed as a request.
    fn half_close(&mut self, now: f64) {
        self.link.end_writing();
        self.last_received_at = now;
        self.set_state(now, ConnectionState::Closing);
    }

    /// Reads and discards input received after the half-close.
    fn discard_input(&mut self, now: f64) -> NextStep {
        let (read_status, received) = self.link.discard(MAX_DISCARD_BYTES);
        if received {
            self.last_received_at = now;
        }
        match read_status {
            ReadStatus::Open if self.link.has_unread() => NextStep::Yield,
            ReadStatus::Open => NextStep::Wait,
            _ => NextStep::Close,
        }
    }

    /// Reads input received since the frontend last processed the connection. Returns `true` if there is any or the
    /// peer has closed. Guards against a decision to close that is based on out-of-date readiness.
    pub(super) fn check_for_input(&mut self) -> bool {
        let length_before = self.link.data().len();
        self.link.mark_ready(Readiness { readable: true, writable: false });
        let read_status = self.link.fill();
        self.has_unseen_bytes |= self.link.data().len() > length_before;
        self.has_unseen_bytes || read_status != ReadStatus::Open
    }

    /// Whether a lingering close continues. If it doesn't, discards the unread input.
    pub(super) fn keep_lingering(&mut self, now: f64) -> bool {
        let recently_received = now - self.last_received_at < LINGER_IDLE_TIMEOUT_S;
        let lingers = recently_received && now - self.state_since < MAX_LINGER_S;
        if !lingers {
            self.drop_unread();
        }
        lingers
    }

    /// Discards unread input, so that the close that follows doesn't send a reset.
    pub(super) fn drop_unread(&mut self) {
        self.link.mark_ready(Readiness { readable: true, writable: false });
        self.link.discard(MAX_DISCARD_BYTES);
    }
}
