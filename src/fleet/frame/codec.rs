//! Framing: a big-endian length of four bytes, then that many bytes of JSON.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Size of the length in front of each frame (bytes).
const LENGTH_BYTES: usize = 4;

/// Why a frame can't be read. The connection is of no further use: where the next frame begins is not known.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The announced length is more than the reader accepts.
    #[error("a frame of {length} bytes; at most {limit} are taken")]
    TooLarge {
        /// The announced length of the body (bytes).
        length: usize,
        /// The longest body that the reader accepts (bytes).
        limit: usize,
    },
    /// The body is not a JSON message of the expected type.
    #[error("a frame that can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Serializes a message into one frame.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    // Strings, numbers and lists of them: every value of a message can be written.
    let _ = serde_json::to_writer(&mut frame, message);
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Reads the frame at the front of `data`: the message and the frame's length, or `None` while it is incomplete.
///
/// # Errors
/// [`FrameError`] if the body is longer than `limit` bytes or can't be read.
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
