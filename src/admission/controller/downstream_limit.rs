//! The limit on downstream calls in flight: additive increase, multiplicative decrease (AIMD).

use super::SWEEP_S;
use crate::admission::call_length::CallLengthEstimate;
use crate::interface::Dependency;

/// The limit starts at this share of what the dependency survives.
const INITIAL_SHARE: f64 = 0.5;
/// It falls to this share when calls take so many times the baseline, and rises by this part of its maximum
/// while calls wait.
const DECREASE_FACTOR: f64 = 0.75;
pub(super) const SLOW_CALL_FACTOR: f64 = 2.2;
const INCREASE_SHARE: f64 = 0.1;
/// It never falls under this share of its maximum: slow calls then have another cause than this worker.
const MIN_SHARE: f64 = 0.25;
/// It is reviewed after so many ended calls, or the time on calls that so many slow ones take.
const WINDOW_CALLS: f64 = 16.0;
/// Of a share under one call: the part that may be saved up.
const BURST_SHARE: f64 = 0.3;

/// The limit on calls in flight. The dependency's certain share is only its maximum: a dependency slows down
/// long before it fails, and load held at the maximum keeps it slow. One that is slow for another reason gets
/// too few calls.
#[derive(Default)]
pub(super) struct DownstreamLimit {
    pub(super) limit: f64,
    pub(super) max_limit: f64,
    pub(super) lengths: CallLengthEstimate,
    /// Time on calls that may still be spent, where the share is under one call (seconds).
    pub(super) budget_s: f64,
    /// No calls are made until then.
    pub(super) closed_until: f64,
}

impl DownstreamLimit {
    /// The whole budget is there at the start: else a fleet would make its first calls together.
    pub(super) fn new(dependency: Option<&Dependency>) -> Self {
        let share = dependency.map_or(f64::MAX, |d| d.share);
        let max_limit = if share < 1.0 { share * (1.0 - BURST_SHARE) } else { share };
        DownstreamLimit {
            limit: (share * INITIAL_SHARE).max(max_limit.min(1.0)),
            max_limit,
            budget_s: dependency.map_or(0.0, max_budget_s),
            ..DownstreamLimit::default()
        }
    }

    pub(super) fn accrue_budget(&mut self, dependency: &Dependency, in_hand: usize, elapsed_s: f64) {
        let saved_s = self.budget_s + (self.limit - in_hand as f64) * elapsed_s;
        self.budget_s = saved_s.min(max_budget_s(dependency));
    }

    /// The dependency rejects calls: it is overloaded. The limit falls, and no call is made for the length of
    /// one; a quick rejection is not a short call. What rejects for another reason gets too few calls.
    pub(super) fn call_rejected(&mut self, now: f64) {
        if now >= self.closed_until {
            self.closed_until = now + self.lengths.expected_s().max(SWEEP_S);
            self.decrease();
        }
    }

    /// Adjusts the limit when the window has seen enough calls.
    pub(super) fn review(&mut self, calls_wait: bool) {
        let lengths = &self.lengths;
        let slow_time_s = WINDOW_CALLS * SLOW_CALL_FACTOR * lengths.baseline_s;
        if lengths.window.ended < WINDOW_CALLS && lengths.window.time_s < slow_time_s {
            return;
        }
        if lengths.window_mean_s() > SLOW_CALL_FACTOR * lengths.baseline_s {
            self.decrease();
        } else if calls_wait {
            self.limit = (self.limit + self.max_limit * INCREASE_SHARE).min(self.max_limit);
        }
        self.lengths.close_window();
    }

    fn decrease(&mut self) {
        let min_limit = (self.max_limit.min(1.0) * INITIAL_SHARE).max(self.max_limit * MIN_SHARE);
        self.limit = (self.limit * DECREASE_FACTOR).max(min_limit);
    }
}

/// The time on calls that may be saved up (seconds).
pub(super) fn max_budget_s(dependency: &Dependency) -> f64 {
    dependency.share * BURST_SHARE * dependency.window_s
}
