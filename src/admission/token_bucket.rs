//! A token bucket. It counts tokens and decides nothing: what an empty bucket means is up to the controller.

/// Tokens that fill up at a constant rate to a capacity.
pub(super) struct TokenBucket {
    /// Tokens added a second.
    pub(super) rate_per_s: f64,
    /// Tokens held now.
    pub(super) tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(rate_per_s: f64, capacity: f64) -> Self {
        TokenBucket { rate_per_s, tokens: capacity, capacity }
    }

    /// Time passes.
    pub(super) fn refill(&mut self, elapsed_s: f64) {
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
    }

    /// Takes one token, or what is left of one.
    pub(super) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Whether less than a whole token is left.
    pub(super) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}
