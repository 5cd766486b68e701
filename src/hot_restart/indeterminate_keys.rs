//! Idempotency keys that may have run in another process, where that process can't report them.

/// Which of the keys that are not known here may have run elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndeterminateKeys {
    /// None: all keys that ran are known.
    None,
    /// Any: another process is alive and does not report its keys.
    All,
    /// Those of retries that arrive up to this time (loop's clock, seconds): a process that has ended may have run them.
    RetriesUntil(f64),
}

impl IndeterminateKeys {
    /// Whether a key that is not known here may have run elsewhere. `may_be_retry` is `false` only where callers mark their
    /// retries and this request is not marked.
    #[must_use]
    pub fn covers(self, arrived: f64, may_be_retry: bool) -> bool {
        match self {
            IndeterminateKeys::None => false,
            IndeterminateKeys::All => true,
            IndeterminateKeys::RetriesUntil(end) => may_be_retry && arrived <= end,
        }
    }
}
