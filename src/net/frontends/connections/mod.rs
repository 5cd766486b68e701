//! What all frontends share: accepting, the states of a connection, and the one way to close.
//!
//! A close over unread bytes is a reset, and a reset takes responses with it that the peer has not read. So every
//! close that this side begins goes one way, the lingering close of RFC 9112, section 9.6: read until nothing is
//! there; what came is processed by the frontend, and answered; else the writing side is ended (half-close), what
//! still comes is discarded, and the socket is closed when the peer has ended too or a short time limit is over. What
//! is discarded never reaches the dispatcher: its response could not be read, and the client sees that the connection
//! had ended.

#![warn(missing_docs)]

mod accepting;
mod connection;
mod eviction;
mod handoff;
mod set;
mod sweeping;

pub use connection::{Connection, ConnectionState, NextStep, MAX_STEPS_PER_TURN};
pub use handoff::DetachedConnection;
pub use set::ConnectionSet;

use crate::dispatch::{Input, Ticket};
use crate::net::io::poll::{Acceptor, Poll};
use crate::net::io::source::{FrontendKind, Readiness};
use std::collections::HashMap;
use std::net::TcpStream;

/// A listener and its connections, each with the protocol's own state `P`.
pub struct Connections<P> {
    /// `None` while nothing is accepted.
    acceptor: Option<Acceptor>,
    poll: Poll,
    /// The frontend that they belong to.
    kind: FrontendKind,
    /// The most that a connection keeps unread.
    max_unread_bytes: usize,
    by_id: HashMap<u64, Connection<P>>,
    /// Connections that their frontend is to process.
    touched: Vec<u64>,
    /// After so long without a complete request a connection may be evicted.
    silence_limit_s: f64,
    limit: usize,
    /// Accepted, and waits for an eviction until the frontend has processed what has just come.
    pending_stream: Option<TcpStream>,
}

impl<P: Default> Connections<P> {
    /// No connections, and nothing is accepted yet.
    #[must_use]
    pub fn closed(poll: &Poll, kind: FrontendKind, max_unread_bytes: usize) -> Connections<P> {
        Connections {
            acceptor: None,
            poll: poll.clone(),
            kind,
            max_unread_bytes,
            by_id: HashMap::new(),
            touched: Vec::new(),
            silence_limit_s: eviction::SILENCE_LIMIT_S,
            limit: usize::MAX,
            pending_stream: None,
        }
    }

    /// Limits the number of connections: beyond, a new one replaces an idle one, or is closed.
    pub fn at_most(&mut self, max_connections: usize) {
        self.limit = max_connections;
    }

    /// Lets a new connection take the place of the oldest that has sent no complete request, however young that is.
    pub fn prefer_newest(&mut self) {
        self.silence_limit_s = 0.0;
    }

    /// Whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether all requests have been answered and the responses written out, and nothing is on its way in.
    #[must_use]
    pub fn all_idle(&self) -> bool {
        use ConnectionState::{Closing, HandedOff, Idle};
        self.by_id.values().all(|connection| matches!(connection.state, Idle | Closing | HandedOff))
    }

    /// Whether no connection is left but those that another process holds.
    #[must_use]
    pub fn all_ended(&self) -> bool {
        self.by_id.values().all(|connection| connection.state == ConnectionState::HandedOff)
    }

    /// Whether a connection is to be processed without an event of the poll.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.touched.is_empty()
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

    /// The ids of those that fulfil a condition, in the order in which they were accepted.
    pub fn ids_where(&self, condition: impl Fn(&Connection<P>) -> bool) -> Vec<u64> {
        let matching = self.by_id.iter().filter(|(_, connection)| condition(connection));
        let mut ids: Vec<u64> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Records a connection's readiness, and has it processed.
    pub fn mark(&mut self, id: u64, readiness: Readiness) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.link.mark(readiness);
            self.touched.push(id);
        }
    }

    /// Has all connections processed.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.by_id.keys());
    }

    /// Has this connection processed again in the same turn.
    pub fn touch(&mut self, id: u64) {
        self.touched.push(id);
    }

    /// Takes the ids of connections to be processed, each once, in the order in which they were accepted.
    pub fn take_touched(&mut self) -> Vec<u64> {
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        for id in &touched {
            if let Some(connection) = self.by_id.get_mut(id) {
                connection.has_unseen_bytes = false;
            }
        }
        touched
    }

    /// Closes a connection whose request is not in flight.
    pub fn close(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Closes a broken connection, and notifies the dispatcher where its request is in flight.
    pub fn disconnected(&mut self, id: u64, inputs: &mut Vec<Input>) {
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
