//! The frames on the link between a process and its successor.
//!
//! A frame consists of a length of four bytes (big-endian), one byte that tells whether a file descriptor accompanies the
//! frame, and a JSON object of that length. Unknown fields are ignored, so that another version of the program may send
//! additional ones. Names on the wire are fixed; `serde` attributes map them where the names in the code differ.

mod codec;
mod messages;
#[cfg(test)]
mod tests;

pub use codec::{FrameError, HEADER_BYTES, MAX_FRAME_BYTES};
pub use messages::{
    Bytes, Frame, HandedOffConnection, IndeterminateKeysReport, Key, KeyOutcome, KeyState, QueuedRequest,
    Usage, VERSION,
};
