//! A scripted records service: the downstream service that the worker calls for its runs.

use crate::{accept_link, Client};
use std::net::{SocketAddr, TcpListener};

/// A records service whose replies are written by the test.
#[derive(Debug)]
pub struct RecordsPeer {
    listener: TcpListener,
}

impl RecordsPeer {
    /// Listens on a free loopback port.
    ///
    /// # Panics
    /// Panics if there is no free port.
    #[must_use]
    pub fn start() -> RecordsPeer {
        RecordsPeer { listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }

    /// The address that it listens on.
    ///
    /// # Panics
    /// Panics if the socket has no address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the worker's next connection, from which the test reads calls.
    ///
    /// # Panics
    /// Panics if the worker does not connect.
    #[must_use]
    pub fn accept(&self) -> Client {
        Client::from_stream(accept_link(&self.listener))
    }

    /// Whether a connection is waiting to be accepted; it is accepted and dropped.
    ///
    /// # Panics
    /// Panics if the socket can't be made non-blocking.
    #[must_use]
    pub fn has_waiting_connection(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().is_ok()
    }
}
