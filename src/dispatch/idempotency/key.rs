//! Idempotency keys and the progress of their runs.

use super::matching::AttemptIdentity;
use std::rc::Rc;

/// An idempotency key, scoped to its class and to the tenant of the first attempt that carried it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// The key as the caller sent it.
    pub key: Rc<str>,
}

/// Progress of a key's run.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyProgress {
    /// The run has not ended.
    Open,
    /// The run succeeded; `None` if the result could not be retained.
    Served(Option<Rc<[u8]>>),
    /// The run failed, or its outcome is unknown.
    Failed,
}

impl KeyProgress {
    /// Returns the size of the retained result; 0 if there is none.
    pub(super) fn result_bytes(&self) -> usize {
        match self {
            KeyProgress::Served(Some(result)) => result.len(),
            _ => 0,
        }
    }
}

/// The state of a key whose request may have run, as one process reports it to the other.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyUpdate {
    /// The key.
    pub key: IdempotencyKey,
    /// What attempts with the key are compared with.
    pub identity: AttemptIdentity,
    /// When its window ends (event loop's clock, seconds).
    pub expires_at: f64,
    /// Progress of its run; `None` if the run certainly never started.
    pub progress: Option<KeyProgress>,
}
