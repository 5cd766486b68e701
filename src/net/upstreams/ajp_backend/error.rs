//! Why connections to AJP servers end.

use crate::net::upstreams::ajp_codec::PacketError;
use std::io;

/// Why a connection to an AJP server is closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The server did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection could not be established.
    #[error("{0}")]
    Connect(#[source] io::Error),
    /// Writing failed.
    #[error("broken")]
    Write,
    /// The server has closed it.
    #[error("closed")]
    Closed,
    /// A packet can't be read.
    #[error("a bad packet: {0:?}")]
    Packet(#[source] PacketError),
    /// A message came while no request was open.
    #[error("a message without a request")]
    MessageWithoutRequest,
    /// A message came that does not fit the request's state.
    #[error("an unfit message")]
    UnexpectedMessage,
}
