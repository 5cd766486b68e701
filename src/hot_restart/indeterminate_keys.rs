//! Idempotency keys that may have run in another process which can't report them.

/// Which of the keys that are unknown to this process may have run in another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndeterminateKeys {
    /// None: all keys that have run are known.
    None,
    /// All: another process is alive and does not report its keys.
    All,
    /// Those of retries that arrive until this time (event loop's clock, seconds): a process that has ended may have run
    /// them.
    RetriesUntil(f64),
}

impl IndeterminateKeys {
    /// Whether an unknown key of a request that arrived at `arrived` may have run elsewhere. `may_be_retry` is `false` only
    /// if callers mark their retries and this request is not marked.
    #[must_use]
    pub fn covers(self, arrived: f64, may_be_retry: bool) -> bool {
        match self {
            IndeterminateKeys::None => false,
            IndeterminateKeys::All => true,
            IndeterminateKeys::RetriesUntil(end) => may_be_retry && arrived <= end,
        }
    }
}
