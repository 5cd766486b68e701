//! The key of body fingerprints, shared by a process and its successor.

use serde::{Deserialize, Serialize};

/// The secret key of body fingerprints (SipHash-1-3), as two halves. A process and its successor use the same key. Callers
/// must not know it, since they could otherwise construct two bodies with the same fingerprint. On the wire it is an array
/// of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintKey(pub u64, pub u64);
