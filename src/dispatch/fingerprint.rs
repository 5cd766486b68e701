//! Fingerprints of request bodies, which show whether two attempts with one idempotency key are the same request.

use super::Dispatcher;
use crate::hot_restart::FingerprintKey;
use siphasher::sip::SipHasher13;

impl Dispatcher {
    /// Sets the key of body fingerprints. To be called before any idempotency key is in the table.
    pub fn set_fingerprint_key(&mut self, key: FingerprintKey) {
        self.fingerprint_key = key;
    }

    /// The fingerprint of the body of a request with an idempotency key; the same in every version of the program.
    pub(super) fn fingerprint(&self, body: &[u8]) -> u64 {
        let FingerprintKey(low, high) = self.fingerprint_key;
        SipHasher13::new_with_keys(low, high).hash(body)
    }
}
