//! Codec for AJP/1.3 messages in both directions, for the frontend and the backend. It works on byte slices and
//! vectors, independently of connections.
//!
//! A packet consists of a two-byte magic number, a two-byte length and the payload, 8 KiB in total at most. The magic
//! is `12 34` in packets from a web server and `AB` in packets from a container.

#![warn(missing_docs)]

mod codes;
mod reader;
mod writer;

pub use reader::{parse_body, parse_to_container, parse_to_web_server};
pub use writer::{
    write_body, write_chunk_head, write_cping, write_cpong, write_end, write_forward, write_get_body,
    write_headers,
};

use std::ops::Range;

/// Size of a packet header: magic and length (bytes).
const HEADER_BYTES: usize = 4;

/// Maximum size of a packet (bytes).
pub const MAX_PACKET_BYTES: usize = 8 * 1024;

/// Maximum size of a packet's payload (bytes).
pub const MAX_PAYLOAD_BYTES: usize = MAX_PACKET_BYTES - HEADER_BYTES;

/// Maximum number of body bytes in one packet to a container: the payload without the two-byte length field.
pub const MAX_BODY_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 2;

/// Maximum number of body bytes in one message to a web server: the payload without type, length field and the
/// terminating zero.
pub const MAX_RESPONSE_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 4;

/// The direction of a packet, indicated by its magic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a web server to a container.
    ToContainer,
    /// From a container to a web server.
    ToWebServer,
}

impl Direction {
    fn magic(self) -> [u8; 2] {
        match self {
            Direction::ToContainer => [0x12, 0x34],
            Direction::ToWebServer => *b"AB",
        }
    }
}

/// Why a packet is invalid. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet doesn't start with the magic of its direction.
    #[error("wrong magic number in packet")]
    Magic,
    /// The packet is longer than [`MAX_PACKET_BYTES`].
    #[error("packet exceeds {MAX_PACKET_BYTES} bytes")]
    Length,
    /// The payload is not a valid message, or is truncated.
    #[error("packet payload is not a valid AJP message")]
    Message,
}

/// A Forward Request. Its strings borrow from the payload that it was parsed from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forward<'a> {
    /// The method.
    pub method: &'a str,
    /// The URI: path and query.
    pub uri: &'a str,
    /// The name of the server that the client addressed.
    pub server_name: &'a str,
    /// The headers as pairs of name and value.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The user authenticated by the web server.
    pub remote_user: Option<&'a str>,
    /// The secret that the web server shares with the container.
    pub secret: Option<&'a [u8]>,
}

/// A message from a web server to a container. Body packets have no message type; see [`parse_body`].
#[derive(Clone, Debug, PartialEq)]
pub enum ToContainer<'a> {
    /// A request.
    Forward(Box<Forward<'a>>),
    /// Requests that the container shut down.
    Shutdown,
    /// The older kind of ping, which has no response.
    Ping,
    /// Checks whether the connection is alive; the response is `CPong`.
    CPing,
}

/// A message from a container to a web server.
#[derive(Clone, Debug, PartialEq)]
pub enum ToWebServer<'a> {
    /// The head of a response.
    Headers {
        /// The status code.
        status: u16,
        /// The headers as pairs of name and value.
        headers: Vec<(&'a str, &'a [u8])>,
    },
    /// Part of a response's body.
    Chunk(&'a [u8]),
    /// The end of a response.
    End {
        /// Whether the connection may be reused for another request.
        reuse: bool,
    },
    /// Requests the next part of the request's body, up to this many bytes.
    GetBody(u16),
    /// The response to a `CPing`.
    CPong,
}

/// Returns the range of the first packet's payload, or `None` while the packet is incomplete.
///
/// # Errors
///
/// [`PacketError::Magic`] or [`PacketError::Length`]; after either of them the start of the next packet is unknown.
pub fn find_packet(data: &[u8], direction: Direction) -> Result<Option<Range<usize>>, PacketError> {
    let magic = direction.magic();
    if data.iter().zip(&magic).any(|(found, expected)| found != expected) {
        return Err(PacketError::Magic);
    }
    let Some(length) = data.get(2..HEADER_BYTES) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    if length > MAX_PAYLOAD_BYTES {
        return Err(PacketError::Length);
    }
    let end = HEADER_BYTES + length;
    Ok((data.len() >= end).then_some(HEADER_BYTES..end))
}

#[cfg(test)]
mod tests;
