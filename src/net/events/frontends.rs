//! Events of the frontends and of the console's listener.

use crate::log::{LogEvent, FOLDED};
use crate::net::upstreams::ajp_codec::PacketError;
use std::error::Error;
use std::net::SocketAddr;
use tracing::{error, info, warn};

/// What a frontend reports.
#[derive(Debug)]
pub enum FrontendEvent<'a> {
    /// A frontend listens.
    ListenerOpened {
        /// Name of the worker.
        worker: &'a str,
        /// The frontend.
        frontend: &'static str,
        /// The address.
        address: SocketAddr,
        /// The listening socket was inherited from the platform.
        inherited: bool,
    },
    /// A frontend can't listen.
    ListenerFailed {
        /// The frontend.
        frontend: &'static str,
        /// Why.
        error: &'a dyn Error,
    },
    /// The environment names another address for the console than the configuration, and goes before it.
    ConsoleAddressOverridden {
        /// The configuration's address.
        configured: SocketAddr,
    },
    /// An AJP connection is closed: after a packet like this nobody can tell where the next begins.
    AjpPacketMalformed(&'a PacketError),
    /// An AJP connection is closed for a body packet that can't be read.
    AjpBodyMalformed,
    /// An AJP connection is closed for a message that can't be read.
    AjpMessageMalformed,
    /// An HTTP/2 client sends many frames that carry no request, and is read slowly.
    Http2SessionThrottled,
    /// An HTTP/2 session is ended.
    Http2SessionTerminated(SessionEndCause),
}

/// Why an HTTP/2 session is ended.
#[derive(Clone, Copy, Debug)]
pub enum SessionEndCause {
    /// Its client goes on sending frames that carry no request.
    IdleFrames,
    /// Too many bytes of responses wait in all, and most of them for this client.
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
            FrontendEvent::Http2SessionTerminated(SessionEndCause::ResponseBacklog) => {
                warn!(name: "http2_session_terminated", target: FOLDED, cause = "response_backlog");
            }
        }
    }
}
