//! Identification of watched sockets, and their readiness.

/// The kinds of frontends, which accept connections from clients or operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FrontendKind {
    /// The operators' console.
    Console,
    /// HTTP/1.1.
    Http1,
    /// AJP.
    Ajp,
    /// HTTP/2.
    Http2,
}

impl FrontendKind {
    /// The name used in log lines, hand-off frames and the operator's configuration file.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            FrontendKind::Console => "console",
            FrontendKind::Http1 => "http",
            FrontendKind::Ajp => "ajp",
            FrontendKind::Http2 => "http2",
        }
    }
}

/// The owner of a watched socket; the ids come from [`Poll::next_id`](super::poll::Poll::next_id).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The listening socket of a frontend.
    Listener(FrontendKind),
    /// A connection accepted by a frontend.
    Client(FrontendKind, u64),
    /// The listening socket for a successor.
    SuccessorListener,
    /// The link to a predecessor or successor.
    HotRestartPeer(u64),
    /// The link to the executor.
    Executor(u64),
    /// A connection to the records service.
    Records(u64),
    /// A connection to an AJP server.
    AjpServer(u64),
    /// The link to the LDAP directory.
    Directory(u64),
    /// A coordinator's listening socket.
    CoordinatorListener,
    /// In a worker, its link to the coordinators or a scheduled call; in a coordinator, one of its links.
    Coordinator(u64),
}

/// The operations for which a socket is ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// It can be read or has failed.
    pub readable: bool,
    /// It can be written or has failed.
    pub writable: bool,
}

/// A ready socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadySource {
    /// The socket's owner.
    pub source: Source,
    /// The operations for which it is ready.
    pub readiness: Readiness,
}
