//! Fingerprints of request bodies, used to check that attempts with the same idempotency key are the same request.

use super::Dispatcher;
use crate::hot_restart::FingerprintKey;
use siphasher::sip::SipHasher13;

impl Dispatcher {
    /// Sets the hash key of body fingerprints. Must be called while the table of idempotency keys is empty.
    pub fn set_fingerprint_key(&mut self, key: FingerprintKey) {
        self.fingerprint_key = key;
    }

    /// Returns the fingerprint of a request body. It must be the same in every version of the program.
    pub(super) fn fingerprint(&self, body: &[u8]) -> u64 {
        let FingerprintKey(low, high) = self.fingerprint_key;
        SipHasher13::new_with_keys(low, high).hash(body)
    }
}
