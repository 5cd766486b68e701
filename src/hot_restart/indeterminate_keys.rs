//! Which idempotency keys may have run in a process that can't be asked.

/// What may be assumed of keys that are not known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndeterminateKeys {
    /// All keys that ran are known.
    None,
    /// Another process lives and may be running any key just now.
    All,
    /// A process that is dead may have run them: retries that arrived up to this time (loop's clock, seconds).
    RetriesUntil(f64),
}

impl IndeterminateKeys {
    /// Whether a key that is not known here may have run elsewhere. `may_be_retry` says that the request is marked as a
    /// retry, or that retries are not marked.
    #[must_use]
    pub fn covers(self, arrived: f64, may_be_retry: bool) -> bool {
        match self {
            IndeterminateKeys::None => false,
            IndeterminateKeys::All => true,
            IndeterminateKeys::RetriesUntil(end) => may_be_retry && arrived <= end,
        }
    }
}
