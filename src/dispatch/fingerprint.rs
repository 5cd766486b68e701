//! Fingerprints of requests, used to check whether attempts with the same idempotency key are the same request.

use super::idempotency::RequestFingerprints;
use super::{Dispatcher, Principal, Request};
use crate::hot_restart::FingerprintKey;
use siphasher::sip::SipHasher13;

impl Dispatcher {
    /// Sets the hash key of fingerprints. Must be called while the table of idempotency keys is empty.
    pub fn set_fingerprint_key(&mut self, key: FingerprintKey) {
        self.fingerprint_key = key;
    }

    /// Returns a request's fingerprints. They must be the same in every version of the program.
    pub(super) fn fingerprints(&self, request: &Request) -> RequestFingerprints {
        let principal = request.principal.as_ref();
        RequestFingerprints {
            body: self.fingerprint(&request.body),
            principal: principal.map(|principal| self.fingerprint(&encode_principal(principal))),
        }
    }

    fn fingerprint(&self, body: &[u8]) -> u64 {
        let FingerprintKey(low, high) = self.fingerprint_key;
        SipHasher13::new_with_keys(low, high).hash(body)
    }
}

/// Encodes a principal so that different principals have different encodings: each part is preceded by its presence and
/// its length.
fn encode_principal(principal: &Principal) -> Vec<u8> {
    let mut encoded = Vec::new();
    for part in [&principal.remote_user, &principal.server_name] {
        encoded.push(u8::from(part.is_some()));
        let text = part.as_deref().unwrap_or_default();
        encoded.extend((text.len() as u64).to_be_bytes());
        encoded.extend(text.as_bytes());
    }
    encoded
}
