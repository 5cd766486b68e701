//! The connections of a frontend, for all protocols: accepting them, their states, and closing them.
//!
//! Closing a socket with unread bytes sends a reset, and a reset discards responses that the peer has not read yet.
//! Every close that this side starts is therefore the lingering close of RFC 9112, section 9.6: the socket is read
//! until it is empty, and the frontend processes and answers whatever came. If nothing came, the writing side is shut
//! down (half-close), further input is discarded, and the socket is closed once the peer has closed too, has sent
//! nothing for `LINGER_IDLE_TIMEOUT_S`, or `MAX_LINGER_S` has passed since the half-close. Discarded input never
//! reaches the dispatcher: the client could not read the response, and it sees that the connection had ended.

#![warn(missing_docs)]

mod accepting;
mod connection;
mod eviction;
mod handoff;
mod set;
mod sweeping;

pub use connection::{Connection, ConnectionState, NextStep};
pub use handoff::DetachedConnection;
pub use set::ConnectionSet;

use crate::dispatch::{Input, Ticket};
use crate::net::io::poll::{Acceptor, Poll};
use crate::net::io::source::{FrontendKind, Readiness};
use connection::MAX_CONSECUTIVE_STEPS;
use std::collections::HashMap;
use std::net::TcpStream;

/// Limit on the steps of all connections of a frontend in one round. Guards against clients that together send so much that
/// others wait for long: each step may answer a request.
const MAX_STEPS_PER_ROUND: usize = 512;

/// The limit on the steps of one connection in a round in which `scheduled` connections are processed.
#[must_use]
pub fn max_steps_per_connection(scheduled: usize) -> usize {
    (MAX_STEPS_PER_ROUND / scheduled.max(1)).clamp(1, MAX_CONSECUTIVE_STEPS)
}

/// A listener and its connections, each with protocol-specific state `P`.
pub struct Connections<P> {
    /// `None` while no connections are accepted.
    acceptor: Option<Acceptor>,
    poll: Poll,
    /// The frontend that they belong to.
    kind: FrontendKind,
    /// Size limit of a connection's input buffer (bytes).
    max_unread_bytes: usize,
    by_id: HashMap<u64, Connection<P>>,
    /// Ids of the connections that the frontend has to process.
    scheduled: Vec<u64>,
    /// Ids of the connections to process when the frontend is called next, at the latest after the pause of accepting.
    delayed: Vec<u64>,
    /// A connection that has sent no complete request for this long may be evicted.
    silence_limit_s: f64,
    /// Limit on the number of connections.
    max_open: usize,
    /// A connection accepted over the limit `max_open`. It waits for an eviction until the frontend has processed the
    /// input that other connections have just received.
    pending_stream: Option<TcpStream>,
}

impl<P: Default> Connections<P> {
    /// An empty set without a listener.
    #[must_use]
    pub fn new(poll: &Poll, kind: FrontendKind, max_unread_bytes: usize) -> Connections<P> {
        Connections {
            acceptor: None,
            poll: poll.clone(),
            kind,
            max_unread_bytes,
            by_id: HashMap::new(),
            scheduled: Vec::new(),
            delayed: Vec::new(),
            silence_limit_s: eviction::SILENCE_LIMIT_S,
            max_open: usize::MAX,
            pending_stream: None,
        }
    }

    /// Limits the number of connections. Above the limit a new connection replaces an idle one; if there is none, the
    /// new one is closed.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_open = max_connections;
    }

    /// Lets a new connection replace the oldest one that has sent no complete request, regardless of its age.
    pub fn prefer_newest(&mut self) {
        self.silence_limit_s = 0.0;
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether all requests have been answered, all responses written, and no request is partly read.
    #[must_use]
    pub fn all_idle(&self) -> bool {
        use ConnectionState::{Closing, HandedOff, Idle};
        let is_idle = |connection: &Connection<P>| match connection.state {
            Idle => !connection.has_pipelined_request,
            state => matches!(state, Closing | HandedOff),
        };
        self.by_id.values().all(is_idle)
    }

    /// Whether all remaining connections are held by another process.
    #[must_use]
    pub fn all_closed_or_handed_off(&self) -> bool {
        self.by_id.values().all(|connection| connection.state == ConnectionState::HandedOff)
    }

    /// Whether a connection has to be processed without waiting for a poll event.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.scheduled.is_empty()
    }

    /// Whether there is a connection with this id.
    #[must_use]
    pub fn owns(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// The connection with this id.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Connection<P>> {
        self.by_id.get_mut(&id)
    }

    /// The ids of the connections that satisfy a condition, in the order in which they were accepted.
    pub fn ids_where(&self, condition: impl Fn(&Connection<P>) -> bool) -> Vec<u64> {
        let matching = self.by_id.iter().filter(|(_, connection)| condition(connection));
        let mut ids: Vec<u64> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Records a connection's readiness and schedules the connection for processing.
    pub fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.link.mark_ready(readiness);
            self.scheduled.push(id);
        }
    }

    /// Schedules all connections for processing.
    pub fn schedule_all(&mut self) {
        self.scheduled.extend(self.by_id.keys());
    }

    /// Schedules a connection for processing in the next round of the same turn.
    pub fn schedule(&mut self, id: u64) {
        self.scheduled.push(id);
    }

    /// Schedules a connection for processing after a short time. Until then [`Connections::has_delayed`] is `true`.
    pub fn delay(&mut self, id: u64) {
        self.delayed.push(id);
    }

    /// Whether a connection has to be processed after a short time, without a poll event.
    #[must_use]
    pub fn has_delayed(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Takes the ids of the connections to process, without duplicates, in the order in which they were accepted.
    pub fn take_scheduled(&mut self) -> Vec<u64> {
        let mut scheduled = std::mem::take(&mut self.scheduled);
        scheduled.append(&mut self.delayed);
        scheduled.sort_unstable();
        scheduled.dedup();
        for id in &scheduled {
            if let Some(connection) = self.by_id.get_mut(id) {
                connection.has_unseen_bytes = false;
            }
        }
        scheduled
    }

    /// Closes a connection that has no request in flight.
    pub fn close(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Closes a connection that is broken or has ended; if it has a request in flight, notifies the dispatcher.
    pub fn close_and_notify(&mut self, id: u64, inputs: &mut Vec<Input>) {
        if self
            .by_id
            .remove(&id)
            .is_some_and(|connection| connection.state == ConnectionState::AwaitingResponse)
        {
            inputs.push(Input::ClientDisconnected(Ticket(id)));
        }
    }
}

#[cfg(test)]
mod tests;
