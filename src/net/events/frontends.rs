//! Events of the frontends and of the console's listener.

use crate::log::{LogEvent, FOLDED};
use crate::net::upstreams::ajp_codec::PacketError;
use std::error::Error;
use std::net::SocketAddr;
use tracing::{error, info, warn};

/// An event of a frontend or the console's listener.
#[derive(Debug)]
pub enum FrontendEvent<'a> {
    /// A frontend started to listen.
    ListenerOpened {
        /// The worker's name.
        worker: &'a str,
        /// The frontend's name.
        frontend: &'static str,
        /// The address that it listens on.
        address: SocketAddr,
        /// The listening socket was inherited from the platform.
        inherited: bool,
    },
    /// A frontend failed to listen.
    ListenerFailed {
        /// The frontend's name.
        frontend: &'static str,
        /// The cause.
        error: &'a dyn Error,
    },
    /// The environment sets a console address that takes precedence over the configured one.
    ConsoleAddressOverridden {
        /// The configured address, which is not used.
        configured: SocketAddr,
    },
    /// An AJP connection was closed because of a malformed packet, after which the start of the next packet can't be
    /// determined.
    AjpPacketMalformed(&'a PacketError),
    /// An AJP connection was closed because of a malformed body packet.
    AjpBodyMalformed,
    /// An AJP connection was closed because of a malformed message.
    AjpMessageMalformed,
    /// An HTTP/2 client sends many frames that carry no request, so its session is read more slowly.
    Http2SessionThrottled,
    /// An HTTP/2 session was terminated.
    Http2SessionTerminated(SessionEndCause),
}

/// Why an HTTP/2 session was terminated.
#[derive(Clone, Copy, Debug)]
pub enum SessionEndCause {
    /// The client keeps sending frames that carry no request.
    IdleFrames,
    /// The memory of all open streams exceeds the configured total, and this client's streams use the most of it.
    OpenStreams,
    /// The responses that clients have not read exceed the configured total, and this client has the most of them.
    ResponseBacklog,
}

impl LogEvent for FrontendEvent<'_> {
    fn emit(&self) {
        match self {
            FrontendEvent::ListenerOpened { worker, frontend, address, inherited } => {
                info!(name: "listener_opened", worker, frontend, address = %address, inherited);
            }
            FrontendEvent::ListenerFailed { frontend, error } => {
                error!(name: "listener_failed", frontend, cause = %error);
            }
            FrontendEvent::ConsoleAddressOverridden { configured } => {
                info!(name: "console_address_overridden", configured = %configured, by = "ROUTER_CONSOLE");
            }
            FrontendEvent::AjpPacketMalformed(error) => {
                warn!(name: "ajp_connection_rejected", cause = "packet", error = ?error);
            }
            FrontendEvent::AjpBodyMalformed => warn!(name: "ajp_connection_rejected", cause = "body_packet"),
            FrontendEvent::AjpMessageMalformed => warn!(name: "ajp_connection_rejected", cause = "message"),
            FrontendEvent::Http2SessionThrottled => {
                warn!(name: "http2_session_throttled", target: FOLDED, cause = "idle_frames");
            }
            FrontendEvent::Http2SessionTerminated(SessionEndCause::IdleFrames) => {
                warn!(name: "http2_session_terminated", target: FOLDED, cause = "idle_frames");
            }
            FrontendEvent::Http2SessionTerminated(SessionEndCause::OpenStreams) => {
                warn!(name: "http2_session_terminated", target: FOLDED, cause = "open_streams");
            }
            FrontendEvent::Http2SessionTerminated(SessionEndCause::ResponseBacklog) => {
                warn!(name: "http2_session_terminated", target: FOLDED, cause = "response_backlog");
            }
        }
    }
}
