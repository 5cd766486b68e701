//! Errors of connections to AJP servers.

use crate::net::upstreams::ajp_codec::PacketError;
use std::io;

/// Why a connection to an AJP server is closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The server did not accept the connection or respond in time.
    #[error("AJP server did not accept the connection or respond before the timeout")]
    Timeout,
    /// The connection could not be established.
    #[error("{0}")]
    Connect(#[source] io::Error),
    /// Writing failed.
    #[error("broken")]
    Write,
    /// The server has closed the connection.
    #[error("closed")]
    Closed,
    /// A packet is invalid.
    #[error("invalid AJP packet: {0:?}")]
    Packet(#[source] PacketError),
    /// The server has sent a message while no request was in flight.
    #[error("AJP message received without a request in flight")]
    MessageWithoutRequest,
    /// The server has sent a message that is invalid or not allowed in the request's state.
    #[error("unexpected AJP message")]
    UnexpectedMessage,
}
