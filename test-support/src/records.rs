//! The records service, which the classes' runs call.

use crate::{accept_link, Client};
use std::net::{SocketAddr, TcpListener};

/// A records service whose replies the test writes.
#[derive(Debug)]
pub struct RecordsPeer {
    listener: TcpListener,
}

impl RecordsPeer {
    /// Listens on a free port of loopback.
    ///
    /// # Panics
    /// There is none.
    #[must_use]
    pub fn start() -> RecordsPeer {
        RecordsPeer { listener: TcpListener::bind("127.0.0.1:0").unwrap() }
    }

    /// Where it listens.
    ///
    /// # Panics
    /// The socket has no address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits for the worker's next connection, from which calls can be read.
    ///
    /// # Panics
    /// The worker does not connect.
    #[must_use]
    pub fn accept(&self) -> Client {
        Client::from_stream(accept_link(&self.listener))
    }

    /// Whether a connection waits to be accepted.
    ///
    /// # Panics
    /// The socket is unusable.
    #[must_use]
    pub fn has_waiting_connection(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().is_ok()
    }
}
