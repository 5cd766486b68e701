//! Limits of a coordinator's links.

use crate::coordinator::MAX_PEER_FRAME_BYTES;

/// The largest number of links: as many sessions as the limits allow, peers and operators among them (descriptors).
pub(super) const MAX_LINKS: usize = 4096 + 64;
/// The largest amount of data that waits to be written on one link (bytes); a link beyond that is closed.
pub(super) const MAX_QUEUED_BYTES: usize = 2 * MAX_PEER_FRAME_BYTES;
/// The largest number of frames that are taken from one link at once.
pub(super) const MAX_FRAMES_AT_ONCE: usize = 128;
