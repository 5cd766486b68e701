//! What a watched socket belongs to, and what is ready at it.

/// What accepts connections of clients or operators.
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
    /// The name in the log, in hand-off frames and in the operator's file.
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

/// The owner of a watched socket; numbers come from [`Poll::next_id`](super::poll::Poll::next_id).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The listening socket of a frontend.
    Listener(FrontendKind),
    /// A connection to a frontend.
    Client(FrontendKind, u64),
    /// The socket on which a successor connects.
    SuccessorListener,
    /// The link to a predecessor or successor.
    HotRestartPeer(u64),
    /// The link to the executor.
    Executor(u64),
    /// A connection to the records service.
    Records(u64),
    /// A connection to an AJP server.
    AjpServer(u64),
    /// The connection to the LDAP directory.
    Directory(u64),
    /// A coordinator's listening socket.
    CoordinatorListener,
    /// A worker's link to the coordinators or a scheduled call; at a coordinator, one of its links.
    Coordinator(u64),
}

/// What a socket is ready for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// It can be read, or has failed.
    pub readable: bool,
    /// It can be written, or has failed.
    pub writable: bool,
}

/// A socket that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadySource {
    /// The socket's owner.
    pub source: Source,
    /// What it is ready for.
    pub readiness: Readiness,
}
