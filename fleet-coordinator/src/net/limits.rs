//! Limits of a coordinator's links.

use crate::coordinator::MAX_PEER_FRAME_BYTES;

/// The maximum number of links: the session limit, plus 64 for peers and operators.
pub(super) const MAX_LINKS: usize = 4096 + 64;
/// The maximum amount of queued data per link (bytes). A link that exceeds it is closed.
pub(super) const MAX_QUEUED_BYTES: usize = 2 * MAX_PEER_FRAME_BYTES;
/// The maximum number of frames read from one link per turn of the event loop.
pub(super) const MAX_FRAMES_PER_TURN: usize = 128;
