//! A token bucket.

/// Tokens that are refilled at a constant rate up to a capacity.
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(rate_per_s: f64, capacity: f64) -> Self {
        TokenBucket { rate_per_s, tokens: capacity, capacity }
    }

    /// Tokens added per second.
    pub(super) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Tokens left.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens of the elapsed time.
    pub(super) fn refill(&mut self, elapsed_s: f64) {
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
    }

    /// Takes one token, or the rest if there is less than one.
    pub(super) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Reduces the tokens to at most this many.
    pub(super) fn cap_at(&mut self, tokens: f64) {
        self.tokens = tokens.min(self.tokens);
    }

    /// Whether less than one whole token is left.
    pub(super) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}
