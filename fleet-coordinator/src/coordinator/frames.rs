//! Frames on the wire: a length of four bytes, big-endian, and a body.

/// The length before each frame's body (bytes).
pub const FRAME_HEADER_BYTES: usize = 4;
/// The largest frame between coordinators (bytes): a snapshot of all that the limits allow.
pub const MAX_PEER_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A complete frame at the front of received data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The body.
    pub body: &'a [u8],
    /// The length with the header (bytes).
    pub length: usize,
}

/// A frame is longer than its link may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a frame of {length} bytes; at most {limit} are taken")]
pub struct FrameTooLong {
    /// The body's length (bytes).
    pub length: usize,
    /// The largest that is accepted (bytes).
    pub limit: usize,
}

/// The frame at the front of `data`; `None` while it is not complete.
///
/// # Errors
/// A frame whose body is longer than `limit`.
pub fn next_frame(data: &[u8], limit: usize) -> Result<Option<Frame<'_>>, FrameTooLong> {
    let Some(header) = data.get(..FRAME_HEADER_BYTES).and_then(|header| header.try_into().ok()) else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(header) as usize;
    if length > limit {
        return Err(FrameTooLong { length, limit });
    }
    let end = FRAME_HEADER_BYTES + length;
    Ok(data.get(FRAME_HEADER_BYTES..end).map(|body| Frame { body, length: end }))
}

/// A frame with this body.
pub(super) fn encode_body(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}
