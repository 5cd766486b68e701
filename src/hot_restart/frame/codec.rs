//! Frames as bytes.

use super::Frame;

/// The longest JSON object that is accepted (bytes): far more than a half-read request or a retained result needs.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;
/// Length and descriptor mark before the object (bytes).
pub const HEADER_BYTES: usize = 5;

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The header announces an object that is too long.
    #[error("a frame of {length} bytes, {MAX_FRAME_BYTES} at most")]
    TooLong {
        /// The announced length (bytes).
        length: usize,
    },
    /// The object is not JSON, or no frame of this version.
    #[error("a frame can't be read: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The header says the opposite of what the object needs about a descriptor.
    #[error("a frame's mark does not fit it")]
    DescriptorMark,
}

/// Compares messages, since `serde_json::Error` has no equality.
impl PartialEq for FrameError {
    fn eq(&self, other: &FrameError) -> bool {
        self.to_string() == other.to_string()
    }
}

impl Frame {
    /// Whether a descriptor comes with it.
    #[must_use]
    pub fn carries_descriptor(&self) -> bool {
        matches!(self, Frame::Connection(_) | Frame::Listener { .. })
    }

    /// The frame as bytes on the link.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        // Writing to memory can't fail, nor can these types: numbers that are not finite are written as null.
        let _ = serde_json::to_writer(&mut bytes, self);
        let length = (bytes.len() - HEADER_BYTES) as u32;
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        bytes[4] = u8::from(self.carries_descriptor());
        bytes
    }

    /// Decodes the first frame in the buffer and returns it with its length (bytes); `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// The bytes are not a frame, however many more may come.
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
            return Err(FrameError::DescriptorMark);
        }
        Ok(Some((frame, end)))
    }
}
