//! One connection: its state, what it does next and how it is closed.

use crate::net::io::buffer::{Filled, Link};
use crate::net::io::source::Readiness;

/// The most steps that one connection takes in a turn: a peer that sends without end must not occupy the event loop.
pub const MAX_STEPS_PER_TURN: usize = 32;

/// A connection that is being closed is read so long after the last byte: a peer that goes on sending after its
/// rejection must not lose the response to a reset (seconds).
const LINGER_IDLE_TIMEOUT_S: f64 = 1.0;

/// A connection that is being closed is read for so long at most (seconds).
const MAX_LINGER_S: f64 = 4.0;

/// The most that is read and discarded in one step (bytes).
const MAX_DISCARD_BYTES: usize = 1024 * 1024;

/// Where a connection stands; it has one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ConnectionState {
    /// Nothing of the next request has come.
    Idle,
    /// A part of a request has come.
    Reading,
    /// A response is pending at the dispatcher, or a lookup at the directory before it.
    AwaitingResponse,
    /// The response is being written.
    Responding,
    /// The writing side has ended: what still comes is discarded until the peer closes.
    Closing,
    /// Another process has it, or is about to.
    HandedOff,
}

/// What a frontend is to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Read its next request.
    Read,
    /// Wait for an event, or for the dispatcher.
    Wait,
    /// Go on with it after the other connections.
    Later,
    /// Close it.
    Close,
}

/// A connection, with the protocol's own state between two turns.
pub struct Connection<P> {
    /// The socket and its buffers.
    pub link: Link,
    /// Where it stands.
    pub state: ConnectionState,
    /// When it entered its state (seconds).
    pub(super) state_since: f64,
    /// When it was accepted or taken over (seconds).
    pub(super) opened_at: f64,
    /// When the last of the discarded bytes came (seconds).
    last_received_at: f64,
    /// How many requests have come complete.
    pub(super) requests_read: u32,
    /// Whether it is closed after the current response.
    pub close: bool,
    /// Bytes have come that its frontend has not processed.
    pub(super) has_unseen_bytes: bool,
    /// The protocol's own state.
    pub protocol_state: P,
}

impl<P> Connection<P> {
    /// A connection that has received nothing.
    pub(super) fn new(link: Link, now: f64, protocol_state: P) -> Connection<P> {
        Connection {
            link,
            state: ConnectionState::Idle,
            state_since: now,
            opened_at: now,
            last_received_at: now,
            requests_read: 0,
            close: false,
            has_unseen_bytes: false,
            protocol_state,
        }
    }

    /// Writes what can be written, and takes the state transitions that every protocol shares.
    pub fn advance(&mut self, now: f64) -> NextStep {
        use ConnectionState::{AwaitingResponse, Closing, HandedOff, Idle, Reading, Responding};
        for _ in 0..MAX_STEPS_PER_TURN {
            if self.link.flush().is_err() {
                return NextStep::Close;
            }
            match self.state {
                // One request at a time: what comes meanwhile waits in the buffer, then with the system. Only reading
                // shows a reset, and the dispatcher need not go on for a client that is gone.
                AwaitingResponse if self.link.fill() == Filled::Broken => return NextStep::Close,
                AwaitingResponse | HandedOff => return NextStep::Wait,
                Responding if self.link.queued() > 0 => return NextStep::Wait,
                Responding if self.close => self.half_close(now),
                Responding => self.set_state(now, Idle),
                Closing => return self.discard_input(now),
                Idle | Reading => return NextStep::Read,
            }
        }
        NextStep::Later
    }

    /// Takes no further request: what is queued is written, then the connection is closed.
    pub fn finish(&mut self, now: f64) {
        self.close = true;
        self.set_state(now, ConnectionState::Responding);
    }

    /// Enters a state, and counts a request that has come complete.
    pub fn set_state(&mut self, now: f64, state: ConnectionState) {
        let request_complete =
            matches!(state, ConnectionState::AwaitingResponse | ConnectionState::Responding);
        if self.state == ConnectionState::Reading && request_complete {
            self.requests_read += 1;
        }
        self.state = state;
        self.state_since = now;
    }

    /// When it entered its state (seconds).
    pub fn since(&self) -> f64 {
        self.state_since
    }

    /// Ends the writing side. From here on nothing that comes is read as a request.
    fn half_close(&mut self, now: f64) {
        self.link.end_writing();
        self.last_received_at = now;
        self.set_state(now, ConnectionState::Closing);
    }

    /// Reads and discards what comes after the half-close.
    fn discard_input(&mut self, now: f64) -> NextStep {
        let (filled, received) = self.link.discard(MAX_DISCARD_BYTES);
        if received {
            self.last_received_at = now;
        }
        match filled {
            Filled::Open if self.link.unread() => NextStep::Later,
            Filled::Open => NextStep::Wait,
            _ => NextStep::Close,
        }
    }

    /// Reads what has come since its frontend last processed it; `true` if anything has, or the peer has ended.
    /// Guards against a decision to close that rests on readiness the event loop saw a moment ago.
    pub(super) fn check_for_input(&mut self) -> bool {
        let length_before = self.link.data().len();
        self.link.mark(Readiness { readable: true, writable: false });
        let filled = self.link.fill();
        self.has_unseen_bytes |= self.link.data().len() > length_before;
        self.has_unseen_bytes || filled != Filled::Open
    }

    /// Whether a connection that is being closed is still read; discards what has come where it is not.
    pub(super) fn keep_lingering(&mut self, now: f64) -> bool {
        let recently_received = now - self.last_received_at < LINGER_IDLE_TIMEOUT_S;
        let lingers = recently_received && now - self.state_since < MAX_LINGER_S;
        if !lingers {
            self.drop_unread();
        }
        lingers
    }

    /// Discards what has come, so that the close that follows is no reset.
    pub(super) fn drop_unread(&mut self) {
        self.link.mark(Readiness { readable: true, writable: false });
        self.link.discard(MAX_DISCARD_BYTES);
    }
}
