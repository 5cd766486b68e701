//! Idempotency keys, and how far the run of each has come.

use std::rc::Rc;

/// An idempotency key. It is unique within its class and tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The number of the class.
    pub class: usize,
    /// The number of the tenant.
    pub tenant: Option<usize>,
    /// The key as the caller sent it.
    pub key: Rc<str>,
}

/// How far the run of a key has come.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProgress {
    /// It has not ended.
    Open,
    /// It succeeded; the result is absent where it could not be retained.
    Served(Option<Rc<[u8]>>),
    /// It failed, or its outcome is unknown.
    Failed,
}

impl KeyProgress {
    /// The size of the retained result; 0 without one.
    pub(super) fn result_bytes(&self) -> usize {
        match self {
            KeyProgress::Served(Some(result)) => result.len(),
            _ => 0,
        }
    }
}

/// The state of a key that may have run, as one process reports it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyUpdate {
    /// Which key.
    pub key: IdempotencyKey,
    /// Fingerprint of the body that came with it.
    pub body_fingerprint: u64,
    /// When its window ends (loop's clock, seconds).
    pub expires_at: f64,
    /// How far its run has come; `None` if the run provably never began.
    pub progress: Option<KeyProgress>,
}
