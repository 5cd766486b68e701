//! The budget of time on downstream calls: where this worker's share of the dependency is under one call, it makes one
//! call at a time and keeps to its share in the mean.

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::Dependency;

/// The part of the share that may be saved up.
pub(super) const BURST_SHARE: f64 = 0.3;
/// A call is made once so many mean lengths are saved up.
const MIN_SAVED_CALLS: f64 = 3.0;
/// A call is made at the latest once this share of the largest budget is saved up.
const MAX_WAIT_SHARE: f64 = 0.9;

/// The time on calls that may still be spent.
pub(super) struct CallBudget {
    dependency: Option<Dependency>,
    /// May be overdrawn (seconds).
    saved_s: f64,
}

impl CallBudget {
    /// The whole budget is there at the start: else a fleet would make its first calls together.
    pub(super) fn new(dependency: Option<Dependency>) -> Self {
        let saved_s = dependency.as_ref().map_or(0.0, max_saved_s);
        CallBudget { dependency, saved_s }
    }

    /// Time passes with so many calls in flight.
    pub(super) fn advance(&mut self, limit: f64, in_flight: usize, elapsed_s: f64) {
        if let Some(dependency) = &self.dependency {
            let saved_s = self.saved_s + (limit - in_flight as f64) * elapsed_s;
            self.saved_s = saved_s.min(max_saved_s(dependency));
        }
    }

    /// How long an abandoned call stays in flight at most (seconds), if there is a dependency.
    pub(super) fn linger_s(&self) -> Option<f64> {
        self.dependency.as_ref().map(|dependency| dependency.linger_s)
    }

    /// How long a call may take that is made now.
    pub(super) fn allowance(&self, expected_call_s: f64) -> CallAllowance {
        let Some(dependency) = self.dependency.as_ref().filter(|dependency| dependency.share < 1.0) else {
            return CallAllowance::Unlimited;
        };
        let budget_s = self.saved_s - dependency.linger_s;
        let max_s = max_saved_s(dependency) - dependency.linger_s;
        let needed_s = (expected_call_s * MIN_SAVED_CALLS).min(max_s * MAX_WAIT_SHARE);
        if budget_s >= needed_s && budget_s > SWEEP_INTERVAL_S {
            CallAllowance::Limited { budget_s }
        } else {
            CallAllowance::Exhausted
        }
    }

    /// What is saved up, as it is handed to a successor (seconds).
    pub(super) fn learned_s(&self) -> f64 {
        self.saved_s
    }

    /// Takes over what a predecessor left, if that is less.
    pub(super) fn adopt(&mut self, saved_s: Option<f64>) {
        if let Some(saved_s) = saved_s {
            self.saved_s = saved_s.min(self.saved_s);
        }
    }
}

/// What the budget allows to a call.
pub(super) enum CallAllowance {
    /// The share is one call or more: the limit alone counts.
    Unlimited,
    /// The call may take this long (seconds).
    Limited {
        /// The budget without the time that the call may linger once it is abandoned.
        budget_s: f64,
    },
    /// No call is made until more is saved up.
    Exhausted,
}

/// The time on calls that may be saved up (seconds).
fn max_saved_s(dependency: &Dependency) -> f64 {
    dependency.share * BURST_SHARE * dependency.window_s
}

#[cfg(test)]
mod tests;
