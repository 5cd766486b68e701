//! Transfer of connections between processes in a hot restart.

use super::{Connection, ConnectionState, Connections};
use crate::net::io::buffer::Link;
use crate::net::io::source::Source;
use std::net::TcpStream;
use std::os::fd::OwnedFd;

/// A connection in transfer to another process, with its protocol-specific state.
pub struct DetachedConnection<P> {
    /// The socket.
    pub stream: OwnedFd,
    /// Input that was received but not processed.
    pub unread: Vec<u8>,
    /// The number of complete requests received.
    pub requests_read: u32,
    /// Whether to close after the current response.
    pub close_after_response: bool,
    /// The protocol-specific state.
    pub protocol_state: P,
}

impl<P: Default> Connections<P> {
    /// Resumes a detached connection. `request_in_flight` tells whether its request is still in flight.
    pub fn reattach(&mut self, now: f64, id: u64, request_in_flight: bool) {
        let detached = self.by_id.get_mut(&id).filter(|c| c.state == ConnectionState::HandedOff);
        let Some(connection) = detached else { return };
        // The state is set directly, since `set_state` would count a new request.
        connection.state = resumed_state(&connection.link, request_in_flight);
        connection.state_since = now;
        self.scheduled.push(id);
    }

    /// Adopts a connection from another process; its socket is in non-blocking mode. `request_in_flight` tells whether
    /// its request is still in flight. Returns `None` if the socket can't be polled.
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
        link.prepend_input(&detached.unread);
        let mut connection = Connection::new(link, now, detached.protocol_state);
        connection.state = resumed_state(&connection.link, request_in_flight);
        connection.requests_read = detached.requests_read;
        connection.close_after_response = detached.close_after_response;
        connection.has_pipelined_request = connection.requests_read > 0 && !connection.link.data().is_empty();
        connection.has_unseen_bytes = !connection.link.data().is_empty();
        self.by_id.insert(id, connection);
        self.scheduled.push(id);
        Some(id)
    }
}

impl<P: Default + Copy> Connections<P> {
    /// Detaches a connection for another process: this process neither reads nor writes it until it is reattached.
    /// Returns `None`, and leaves the connection unchanged, if it doesn't exist or its descriptor can't be duplicated.
    pub fn detach(&mut self, id: u64) -> Option<DetachedConnection<P>> {
        let connection = self.by_id.get_mut(&id)?;
        let unread = connection.link.data().to_vec();
        let stream = connection.link.duplicate().ok()?;
        connection.state = ConnectionState::HandedOff;
        Some(DetachedConnection {
            stream,
            unread,
            requests_read: connection.requests_read,
            close_after_response: connection.close_after_response,
            protocol_state: connection.protocol_state,
        })
    }
}

/// The state in which a reattached or adopted connection resumes.
fn resumed_state(link: &Link, request_in_flight: bool) -> ConnectionState {
    if request_in_flight {
        ConnectionState::AwaitingResponse
    } else if link.data().is_empty() {
        ConnectionState::Idle
    } else {
        ConnectionState::Reading
    }
}
