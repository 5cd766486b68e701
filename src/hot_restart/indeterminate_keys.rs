//! Idempotency keys whose requests may have run in another process that does not report them.

/// For which of the keys that are unknown to this process a request may have run in another process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndeterminateKeys {
    /// For none: the keys of all requests that have run are known.
    None,
    /// For all: another process is alive and does not report its keys.
    All,
    /// For those of retries that arrive until this time (event loop's clock, seconds): a process that has ended may have run
    /// an earlier attempt.
    RetriesUntil(f64),
}

impl IndeterminateKeys {
    /// The keys that `self` or `other` covers.
    #[must_use]
    pub fn union(self, other: IndeterminateKeys) -> IndeterminateKeys {
        match (self, other) {
            (IndeterminateKeys::All, _) | (_, IndeterminateKeys::All) => IndeterminateKeys::All,
            (IndeterminateKeys::None, keys) | (keys, IndeterminateKeys::None) => keys,
            (IndeterminateKeys::RetriesUntil(end), IndeterminateKeys::RetriesUntil(other_end)) => {
                IndeterminateKeys::RetriesUntil(end.max(other_end))
            }
        }
    }

    /// Whether another process may have run an earlier attempt of a request that arrived at `arrived` with an unknown key.
    /// `may_be_retry` is `false` only if callers mark their retries and this request is not marked.
    #[must_use]
    pub fn covers(self, arrived: f64, may_be_retry: bool) -> bool {
        match self {
            IndeterminateKeys::None => false,
            IndeterminateKeys::All => true,
            IndeterminateKeys::RetriesUntil(end) => may_be_retry && arrived <= end,
        }
    }
}
