//! Frames on the wire: a four-byte big-endian length, followed by the body.

/// The size of the length before each frame's body (bytes).
pub const FRAME_HEADER_BYTES: usize = 4;
/// The maximum size of a frame between coordinators (bytes). Large enough for a snapshot of a state that reaches all its
/// limits.
pub const MAX_PEER_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A complete frame at the start of received data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The body.
    pub body: &'a [u8],
    /// The length including the header (bytes).
    pub length: usize,
}

/// A frame is longer than its link's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("frame of {length} bytes exceeds the limit of {limit} bytes")]
pub struct FrameTooLong {
    /// The body's length (bytes).
    pub length: usize,
    /// The maximum accepted length (bytes).
    pub limit: usize,
}

/// Returns the frame at the start of `data`; `None` if it is incomplete.
///
/// # Errors
/// The frame's body is longer than `limit`.
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

/// Encodes a frame with this body.
pub(super) fn encode_body(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}
