//! A token bucket.

/// Tokens that fill up at a constant rate to a capacity.
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

    /// Tokens added a second.
    pub(super) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Tokens left.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Time passes.
    pub(super) fn refill(&mut self, elapsed_s: f64) {
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(self.capacity);
    }

    /// Takes one token, or what is left of one.
    pub(super) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Leaves this many tokens at most.
    pub(super) fn reduce_to(&mut self, tokens: f64) {
        self.tokens = tokens.min(self.tokens);
    }

    /// Whether less than a whole token is left.
    pub(super) fn is_empty(&self) -> bool {
        self.tokens < 1.0
    }
}
