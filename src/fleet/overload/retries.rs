//! The fleet's retry budget: while the fleet is short of capacity it admits retries up to a ratio of first attempts, and a
//! burst that has been saved up. Retries beyond it are rejected first and immediately, so that a retry storm ends with its
//! cause.

use super::view::LoadSums;

/// The largest balance, as the retries that the ratio admits within this time (seconds).
const MAX_BURST_S: f64 = 2.0;
/// The longest time between two evaluations that is counted (seconds).
const MAX_ELAPSED_S: f64 = 5.0;

/// A token bucket of retries, filled by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries per first attempt.
    ratio: f64,
    /// Saved retries.
    balance: f64,
    evaluated_at: f64,
    admitted_share: f64,
}

impl RetryBudget {
    /// An empty budget that admits every retry until the fleet is short.
    #[must_use]
    pub fn new(now: f64, ratio: f64) -> RetryBudget {
        RetryBudget { ratio: ratio.max(0.0), balance: 0.0, evaluated_at: now, admitted_share: 1.0 }
    }

    /// Evaluates new sums. A fleet that is not short of capacity admits every retry.
    pub fn evaluate(&mut self, now: f64, sums: &LoadSums, is_short: bool) {
        let elapsed_s = (now - self.evaluated_at).clamp(0.0, MAX_ELAPSED_S);
        self.evaluated_at = now;
        let earned = self.ratio * sums.arrivals.iter().sum::<f64>();
        let spent = sums.retries * self.admitted_share;
        self.balance = (self.balance + (earned - spent) * elapsed_s).clamp(0.0, earned * MAX_BURST_S);
        let available = earned + self.balance;
        let limits = is_short && sums.retries > available;
        self.admitted_share = if limits { available / sums.retries } else { 1.0 };
    }

    /// The share of retries that is admitted.
    #[must_use]
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// The retries that are saved up.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

#[cfg(test)]
mod tests;
