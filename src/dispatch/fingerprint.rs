//! Fingerprints of request bodies, which show whether two attempts with one idempotency key are the same request.

use super::Dispatcher;
use siphasher::sip::SipHasher13;

/// The secret key of body fingerprints (SipHash-1-3), as its two halves. The same in a process and its successor, and
/// unknown to callers, who could else find two bodies of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintKey(pub u64, pub u64);

impl FingerprintKey {
    /// The fingerprint of a body; the same in every version of the program.
    fn fingerprint(self, body: &[u8]) -> u64 {
        SipHasher13::new_with_keys(self.0, self.1).hash(body)
    }
}

impl Dispatcher {
    /// Sets the key of body fingerprints. To be called before any idempotency key is in the table.
    pub fn set_fingerprint_key(&mut self, key: FingerprintKey) {
        self.fingerprint_key = key;
    }

    /// The fingerprint of the body of a request with an idempotency key.
    pub(super) fn fingerprint(&self, body: &[u8]) -> u64 {
        self.fingerprint_key.fingerprint(body)
    }
}
