//! The fleet's retry budget. While the fleet is short of capacity, it admits retries up to a ratio of first attempts plus an
//! accumulated burst. Retries beyond the budget are rejected immediately and before any first attempt, so that a retry
//! storm does not outlast its cause.

use super::view::LoadSums;

/// Upper bound for the balance, as the time in which first attempts earn it (seconds).
const MAX_BURST_S: f64 = 2.0;
/// Upper bound for the time that one evaluation accounts for (seconds).
const MAX_ELAPSED_S: f64 = 5.0;

/// A token bucket of retries, filled by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that each first attempt earns.
    ratio: f64,
    /// Number of retries that were earned and not spent.
    balance: f64,
    evaluated_at: f64,
    admitted_share: f64,
}

impl RetryBudget {
    /// Creates an empty budget, which admits every retry until the fleet is short of capacity.
    #[must_use]
    pub fn new(now: f64, ratio: f64) -> RetryBudget {
        RetryBudget { ratio: ratio.max(0.0), balance: 0.0, evaluated_at: now, admitted_share: 1.0 }
    }

    /// Updates the budget with new sums. Without a shortage of capacity every retry is admitted.
    pub fn evaluate(&mut self, now: f64, sums: &LoadSums, has_shortage: bool) {
        let elapsed_s = (now - self.evaluated_at).clamp(0.0, MAX_ELAPSED_S);
        self.evaluated_at = now;
        let earned = self.ratio * sums.arrivals.iter().sum::<f64>();
        let spent = sums.retries * self.admitted_share;
        self.balance = (self.balance + (earned - spent) * elapsed_s).clamp(0.0, earned * MAX_BURST_S);
        // The retries per second that the budget admits: those that are earned now, and the balance at the rate that spends
        // it within one second.
        let available = earned + self.balance;
        let is_limited = has_shortage && sums.retries > available;
        self.admitted_share = if is_limited { available / sums.retries } else { 1.0 };
    }

    /// The share of retries to admit.
    #[must_use]
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// The number of accumulated retries.
    #[must_use]
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

#[cfg(test)]
mod tests;
