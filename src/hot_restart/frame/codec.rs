//! Encoding and decoding of frames.

use super::Frame;

/// The longest JSON object that is accepted (bytes). Enough for a partially read request (10 KiB) and a retained result
/// (64 KiB), which are sent as base64 and thus take a third more.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Size of the header (bytes): a length of four bytes and a descriptor flag of one byte.
pub const HEADER_BYTES: usize = 5;

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The header announces an object longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong {
        /// The announced length (bytes).
        length: usize,
    },
    /// The object is not JSON, or not a frame of this version.
    #[error("malformed frame: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The descriptor flag of the header does not match the type of the frame.
    #[error("the descriptor flag of the frame is {found}; expected {expected} for its type")]
    DescriptorMismatch {
        /// The flag in the header.
        found: u8,
        /// The flag that frames of this type have.
        expected: u8,
    },
}

/// Compares the messages, since `serde_json::Error` does not implement `PartialEq`.
impl PartialEq for FrameError {
    fn eq(&self, other: &FrameError) -> bool {
        self.to_string() == other.to_string()
    }
}

impl Frame {
    /// Whether a file descriptor accompanies the frame.
    #[must_use]
    pub fn carries_descriptor(&self) -> bool {
        matches!(self, Frame::Connection(_) | Frame::Listener { .. })
    }

    /// Encodes the frame as it is sent on the link.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        // Neither writing to memory nor serializing these types can fail: numbers that are not finite become null.
        let _ = serde_json::to_writer(&mut bytes, self);
        let length = (bytes.len() - HEADER_BYTES) as u32;
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        bytes[4] = u8::from(self.carries_descriptor());
        bytes
    }

    /// Decodes the first frame in the buffer and returns it with its total length (bytes), or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not the beginning of a frame, so no further bytes can complete them.
    pub fn decode(data: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(header) = data.get(..HEADER_BYTES) else { return Ok(None) };
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        let end = HEADER_BYTES + length;
        let Some(object) = data.get(HEADER_BYTES..end) else { return Ok(None) };
        let frame: Frame = serde_json::from_slice(object).map_err(FrameError::Malformed)?;
        if frame.carries_descriptor() != (header[4] == 1) {
            let expected = u8::from(frame.carries_descriptor());
            return Err(FrameError::DescriptorMismatch { found: header[4], expected });
        }
        Ok(Some((frame, end)))
    }
}
