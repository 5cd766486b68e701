//! The time budget of downstream calls: a worker whose share of the dependency is less than one call makes one call at
//! a time, and keeps to its share on average.

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::Dependency;

/// If a worker's share of the dependency is less than one call, this part of the share may accumulate as balance, and
/// the rest of it bounds the limit on calls.
pub(super) const BURST_SHARE: f64 = 0.3;
/// A call starts once the balance covers this many mean call lengths.
const MIN_BALANCE_CALLS: f64 = 3.0;
/// No call requires more than this share of the maximum balance to start.
const MAX_REQUIRED_SHARE: f64 = 0.9;

/// The balance of time that downstream calls may use.
pub(super) struct CallBudget {
    dependency: Option<Dependency>,
    /// Available time; may be negative (seconds).
    balance_s: f64,
}

impl CallBudget {
    /// Starts with the full balance: otherwise all workers of a fleet would make their first calls at the same time.
    pub(super) fn new(dependency: Option<Dependency>) -> Self {
        let balance_s = dependency.as_ref().map_or(0.0, max_balance_s);
        CallBudget { dependency, balance_s }
    }

    /// Advances the clock, with this many calls in flight in that time.
    pub(super) fn advance(&mut self, limit: f64, in_flight: usize, elapsed_s: f64) {
        if let Some(dependency) = &self.dependency {
            let balance_s = self.balance_s + (limit - in_flight as f64) * elapsed_s;
            self.balance_s = balance_s.min(max_balance_s(dependency));
        }
    }

    /// The longest time for which an abandoned call stays in flight, if there is a dependency (seconds).
    pub(super) fn linger_s(&self) -> Option<f64> {
        self.dependency.as_ref().map(|dependency| dependency.linger_s)
    }

    /// How long a call that starts now may take.
    pub(super) fn allowance(&self, expected_call_s: f64) -> CallAllowance {
        let Some(dependency) = self.dependency.as_ref().filter(|dependency| dependency.share < 1.0) else {
            return CallAllowance::Unlimited;
        };
        let budget_s = self.balance_s - dependency.linger_s;
        let max_s = max_balance_s(dependency) - dependency.linger_s;
        let needed_s = (expected_call_s * MIN_BALANCE_CALLS).min(max_s * MAX_REQUIRED_SHARE);
        if budget_s >= needed_s && budget_s > SWEEP_INTERVAL_S {
            CallAllowance::Limited { budget_s }
        } else {
            CallAllowance::Exhausted
        }
    }

    /// The balance to hand to a successor (seconds).
    pub(super) fn learned_s(&self) -> f64 {
        self.balance_s
    }

    /// Adopts a predecessor's balance if it is lower.
    pub(super) fn adopt(&mut self, balance_s: Option<f64>) {
        if let Some(balance_s) = balance_s {
            self.balance_s = balance_s.min(self.balance_s);
        }
    }
}

/// The time that the budget allows a call.
pub(super) enum CallAllowance {
    /// The share is one call or more, so that only the limit applies.
    Unlimited,
    /// The call may take this long (seconds).
    Limited {
        /// The balance less the time for which the call may stay in flight once it is abandoned.
        budget_s: f64,
    },
    /// No call starts until the balance is higher.
    Exhausted,
}

/// The maximum balance (seconds).
fn max_balance_s(dependency: &Dependency) -> f64 {
    dependency.share * BURST_SHARE * dependency.window_s
}

#[cfg(test)]
mod tests;
