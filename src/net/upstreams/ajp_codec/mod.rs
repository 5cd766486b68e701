//! AJP/1.3 messages, both ways, for the frontend and for the backend. Reads from byte slices and writes to byte
//! vectors; knows no connection.
//!
//! A packet is a magic, a length of two bytes and that many bytes, 8 KiB in all at most. What a web server sends is
//! marked `12 34`, what a container sends `AB`.

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

/// The magic and the length before each payload (bytes).
const HEAD_BYTES: usize = 4;

/// The largest packet (bytes).
pub const MAX_PACKET_BYTES: usize = 8 * 1024;

/// The most that a packet carries after its head (bytes).
pub const MAX_PAYLOAD_BYTES: usize = MAX_PACKET_BYTES - HEAD_BYTES;

/// Body bytes in one packet to a container: after the packet's head and their own length.
pub const MAX_BODY_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 2;

/// Body bytes in one message to a web server: type, length, and a zero behind them.
pub const MAX_RESPONSE_CHUNK_BYTES: usize = MAX_PAYLOAD_BYTES - 4;

/// The direction of a packet, given by its magic.
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

/// Why a packet can't be read. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet doesn't begin with the magic of its direction.
    #[error("the packet has a wrong magic")]
    Magic,
    /// The packet is longer than [`MAX_PACKET_BYTES`].
    #[error("the packet is longer than {MAX_PACKET_BYTES} bytes")]
    Length,
    /// The payload is no message, or ends within one.
    #[error("the payload is no AJP message")]
    Message,
}

/// A Forward Request. Its strings lie in the payload that it was read from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forward<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub uri: &'a str,
    /// The name of the server that the client addressed.
    pub server_name: &'a str,
    /// The headers, names and values.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The user that the web server has authenticated.
    pub remote_user: Option<&'a str>,
    /// The secret that the web server shares with the container.
    pub secret: Option<&'a [u8]>,
}

/// What a web server sends. A body comes in packets without a type, see [`parse_body`].
#[derive(Clone, Debug, PartialEq)]
pub enum ToContainer<'a> {
    /// A request.
    Forward(Box<Forward<'a>>),
    /// The container is to shut down.
    Shutdown,
    /// The older of the two pings; it has no response.
    Ping,
    /// Asks whether the connection is alive; the response is `CPong`.
    CPing,
}

/// What a container sends.
#[derive(Clone, Debug, PartialEq)]
pub enum ToWebServer<'a> {
    /// The head of a response.
    Headers {
        /// The status code.
        status: u16,
        /// The headers, names and values.
        headers: Vec<(&'a str, &'a [u8])>,
    },
    /// A part of a response's body.
    Chunk(&'a [u8]),
    /// The end of a response.
    End {
        /// Whether the connection may carry another request.
        reuse: bool,
    },
    /// Asks for at most so many bytes of the request's body.
    GetBody(u16),
    /// The response to a `CPing`.
    CPong,
}

/// Finds the first packet; its payload lies in the range. `None` while it is not complete.
///
/// # Errors
///
/// [`PacketError::Magic`] or [`PacketError::Length`]; after either there is no telling where a packet begins.
pub fn find_packet(data: &[u8], way: Direction) -> Result<Option<Range<usize>>, PacketError> {
    let magic = way.magic();
    if data.iter().zip(&magic).any(|(found, expected)| found != expected) {
        return Err(PacketError::Magic);
    }
    let Some(length) = data.get(2..HEAD_BYTES) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    if length > MAX_PAYLOAD_BYTES {
        return Err(PacketError::Length);
    }
    let end = HEAD_BYTES + length;
    Ok((data.len() >= end).then_some(HEAD_BYTES..end))
}

#[cfg(test)]
mod tests;
