//! Connections that move between two processes in a hot restart.

use super::{Connection, ConnectionState, Connections};
use crate::net::io::buffer::Link;
use crate::net::io::source::Source;
use std::net::TcpStream;
use std::os::fd::OwnedFd;

/// A connection on its way to another process, with the protocol's own state.
pub struct DetachedConnection<P> {
    /// The socket.
    pub stream: OwnedFd,
    /// Bytes that have come and were not processed.
    pub unread: Vec<u8>,
    /// How many requests have come complete.
    pub requests_read: u32,
    /// Whether it is closed after the current response.
    pub close: bool,
    /// The protocol's own state.
    pub protocol_state: P,
}

impl<P: Default> Connections<P> {
    /// Goes on with a connection that was detached; with `request_in_flight` its request is in flight.
    pub fn reattach(&mut self, now: f64, id: u64, request_in_flight: bool) {
        let detached = self.by_id.get_mut(&id).filter(|c| c.state == ConnectionState::HandedOff);
        let Some(connection) = detached else { return };
        // Not a new request: `set_state` is for those alone.
        connection.state = resumed_state(&connection.link, request_in_flight);
        connection.state_since = now;
        self.touched.push(id);
    }

    /// Takes over a connection from another process, in non-blocking mode; with `request_in_flight` its request is in flight.
    /// `None` where its socket can't be polled.
    pub fn adopt(
        &mut self,
        now: f64,
        detached: DetachedConnection<P>,
        request_in_flight: bool,
    ) -> Option<u64> {
        let id = self.poll.next_id();
        let stream = TcpStream::from(detached.stream);
        let mut link =
            Link::new(&self.poll, stream, Source::Client(self.kind, id), self.max_unread_bytes).ok()?;
        link.put_back(&detached.unread);
        let mut connection = Connection::new(link, now, detached.protocol_state);
        connection.state = resumed_state(&connection.link, request_in_flight);
        connection.requests_read = detached.requests_read;
        connection.close = detached.close;
        connection.has_unseen_bytes = !connection.link.data().is_empty();
        self.by_id.insert(id, connection);
        self.touched.push(id);
        Some(id)
    }
}

impl<P: Default + Copy> Connections<P> {
    /// Detaches a connection for another process: nothing is read or written here until it is reattached. `None` where
    /// there is no such connection, or the system gives no descriptor for it; then it stays as it is.
    pub fn detach(&mut self, id: u64) -> Option<DetachedConnection<P>> {
        let connection = self.by_id.get_mut(&id)?;
        let unread = connection.link.data().to_vec();
        let stream = connection.link.duplicate().ok()?;
        connection.state = ConnectionState::HandedOff;
        Some(DetachedConnection {
            stream,
            unread,
            requests_read: connection.requests_read,
            close: connection.close,
            protocol_state: connection.protocol_state,
        })
    }
}

/// The state in which a connection from another process goes on.
fn resumed_state(link: &Link, request_in_flight: bool) -> ConnectionState {
    if request_in_flight {
        ConnectionState::AwaitingResponse
    } else if link.data().is_empty() {
        ConnectionState::Idle
    } else {
        ConnectionState::Reading
    }
}
