//! The frames on the link between a process and its successor.
//!
//! A frame is four bytes of length (big-endian), one byte that says whether a file descriptor comes with it, and one JSON
//! object of that length. Unknown fields are ignored, so that another version of the program may send more. The names on
//! the wire are older than those in the code and stay: `serde` attributes map them.

mod codec;
mod messages;
#[cfg(test)]
mod tests;

pub use codec::{FrameError, HEADER_BYTES, MAX_FRAME_BYTES};
pub use messages::{
    Bytes, Frame, HandedOffConnection, Key, KeyOutcome, KeyState, QueuedRequest, Usage, VERSION,
};
