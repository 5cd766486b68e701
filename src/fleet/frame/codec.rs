//! Framing: a four-byte big-endian length, followed by that many bytes of JSON.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Size of the length prefix (bytes).
const LENGTH_BYTES: usize = 4;

/// Why a frame cannot be decoded. The connection has to be closed, since the start of the next frame is unknown.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The announced length exceeds the receiver's limit.
    #[error("frame of {length} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// The announced length of the body (bytes).
        length: usize,
        /// The longest body that the receiver accepts (bytes).
        limit: usize,
    },
    /// The body is not a JSON message of the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Encodes a message as one frame.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    // Writing to memory cannot fail, and neither can serializing the message types, since the keys of their maps are strings.
    let _ = serde_json::to_writer(&mut frame, message);
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Decodes the first frame in `data`. Returns the message and the length of the frame (bytes), or `None` if the frame is
/// incomplete.
///
/// # Errors
/// [`FrameError`] if the body is longer than `limit` bytes or malformed.
pub fn decode<T: DeserializeOwned>(data: &[u8], limit: usize) -> Result<Option<(T, usize)>, FrameError> {
    let Some(head) = data.get(..LENGTH_BYTES).and_then(|head| head.try_into().ok()) else { return Ok(None) };
    let length = u32::from_be_bytes(head) as usize;
    if length > limit {
        return Err(FrameError::TooLarge { length, limit });
    }
    let frame_length = LENGTH_BYTES + length;
    let Some(body) = data.get(LENGTH_BYTES..frame_length) else { return Ok(None) };
    let message = serde_json::from_slice(body)?;
    Ok(Some((message, frame_length)))
}
