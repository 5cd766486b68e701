//! The key of body fingerprints, which a successor shares with its predecessor.

use serde::{Deserialize, Serialize};

/// The secret key of body fingerprints (SipHash-1-3), as its two halves. The same in a process and its successor, and
/// unknown to callers, who could else find two bodies of one fingerprint. On the wire it is an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintKey(pub u64, pub u64);
