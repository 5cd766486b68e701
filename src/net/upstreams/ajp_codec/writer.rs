//! Encodes AJP packets.

use super::codes::{
    ATTRIBUTES_DONE, ATTRIBUTE_REMOTE_USER, ATTRIBUTE_SECRET, CODED_NAME_PREFIX, CPING, CPONG, END_RESPONSE,
    FORWARD_REQUEST, GET_BODY_CHUNK, METHODS, REQUEST_HEADERS, RESPONSE_HEADERS, SEND_BODY_CHUNK,
    SEND_HEADERS,
};
use super::{Direction, Forward, HEADER_BYTES, MAX_PAYLOAD_BYTES, MAX_RESPONSE_CHUNK_BYTES};

/// Builds one packet; [`Writer::finish`] fills in its length.
struct Writer(Vec<u8>);

impl Writer {
    fn new(direction: Direction) -> Writer {
        let [first, second] = direction.magic();
        Writer(vec![first, second, 0, 0])
    }

    fn byte(mut self, value: u8) -> Writer {
        self.0.push(value);
        self
    }

    fn int(mut self, value: u16) -> Writer {
        self.0.extend_from_slice(&value.to_be_bytes());
        self
    }

    fn string(self, text: &[u8]) -> Writer {
        let text = &text[..text.len().min(MAX_PAYLOAD_BYTES)];
        let mut writer = self.int(text.len() as u16);
        writer.0.extend_from_slice(text);
        writer.byte(0)
    }

    /// Writes a header name as a code if it has one, otherwise as a string.
    fn header_name(self, name: &str, coded_names: &[&str]) -> Writer {
        match coded_names.iter().position(|known| known.eq_ignore_ascii_case(name)) {
            Some(index) => self.byte(CODED_NAME_PREFIX).byte(index as u8 + 1),
            None => self.string(name.as_bytes()),
        }
    }

    /// Sets the length field and returns the packet; `None` if it exceeds the maximum size.
    fn finish(mut self) -> Option<Vec<u8>> {
        let length = u16::try_from(self.0.len() - HEADER_BYTES).ok()?;
        if usize::from(length) > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.0[2..4].copy_from_slice(&length.to_be_bytes());
        Some(self.0)
    }
}

/// Encodes a Forward Request; `None` if it does not fit into a packet or its method has no code.
#[must_use]
pub fn write_forward(forward: &Forward) -> Option<Vec<u8>> {
    let method = METHODS.iter().position(|known| *known == forward.method)? as u8 + 1;
    let mut writer = Writer::new(Direction::ToContainer)
        .byte(FORWARD_REQUEST)
        .byte(method)
        .string(b"HTTP/1.1")
        .string(forward.uri.as_bytes())
        .string(b"127.0.0.1")
        .string(b"localhost")
        .string(forward.server_name.as_bytes())
        .int(80)
        .byte(0)
        .int(u16::try_from(forward.headers.len()).ok()?);
    for (name, value) in &forward.headers {
        writer = writer.header_name(name, &REQUEST_HEADERS).string(value);
    }
    if let Some(user) = forward.remote_user {
        writer = writer.byte(ATTRIBUTE_REMOTE_USER).string(user.as_bytes());
    }
    if let Some(secret) = forward.secret {
        writer = writer.byte(ATTRIBUTE_SECRET).string(secret);
    }
    writer.byte(ATTRIBUTES_DONE).finish()
}

/// Encodes a body packet; an empty one ends the body. `None` if the bytes do not fit into a packet.
#[must_use]
pub fn write_body(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut writer = Writer::new(Direction::ToContainer);
    if !bytes.is_empty() {
        writer = writer.int(u16::try_from(bytes.len()).ok()?);
        writer.0.extend_from_slice(bytes);
    }
    writer.finish()
}

/// Encodes a packet that consists only of a message type.
fn type_only(direction: Direction, message_type: u8) -> Vec<u8> {
    let [first, second] = direction.magic();
    vec![first, second, 0, 1, message_type]
}

/// Encodes a `CPing`, with which a web server checks whether the connection is alive.
#[must_use]
pub fn write_cping() -> Vec<u8> {
    type_only(Direction::ToContainer, CPING)
}

/// Encodes a `CPong`, the response to a `CPing`.
#[must_use]
pub fn write_cpong() -> Vec<u8> {
    type_only(Direction::ToWebServer, CPONG)
}

/// Encodes a Get Body Chunk, with which a container requests up to `length` further bytes of the body.
#[must_use]
pub fn write_get_body(length: u16) -> Vec<u8> {
    let [high, low] = length.to_be_bytes();
    vec![b'A', b'B', 0, 3, GET_BODY_CHUNK, high, low]
}

/// Encodes an End Response; `reuse` says whether the connection may be reused for another request.
#[must_use]
pub fn write_end(reuse: bool) -> Vec<u8> {
    vec![b'A', b'B', 0, 2, END_RESPONSE, u8::from(reuse)]
}

/// Encodes the head of a response; `None` if it does not fit into a packet.
#[must_use]
pub fn write_headers(status: u16, reason: &str, headers: &[(&str, String)]) -> Option<Vec<u8>> {
    let mut writer = Writer::new(Direction::ToWebServer)
        .byte(SEND_HEADERS)
        .int(status)
        .string(reason.as_bytes())
        .int(u16::try_from(headers.len()).ok()?);
    for (name, value) in headers {
        writer = writer.header_name(name, &RESPONSE_HEADERS).string(value.as_bytes());
    }
    writer.finish()
}

/// Encodes the header of a Send Body Chunk; the caller appends the `length` bytes and a terminating zero.
#[must_use]
pub fn write_chunk_head(length: usize) -> Vec<u8> {
    let length = length.min(MAX_RESPONSE_CHUNK_BYTES) as u16;
    let [payload_high, payload_low] = (length + 4).to_be_bytes();
    let [high, low] = length.to_be_bytes();
    vec![b'A', b'B', payload_high, payload_low, SEND_BODY_CHUNK, high, low]
}
