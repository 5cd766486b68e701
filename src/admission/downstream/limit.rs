//! The limit on downstream calls in flight: additive increase, multiplicative decrease (AIMD).

use super::budget::BURST_SHARE;
use super::call_length::CallLengthEstimate;
use super::SLOW_CALL_FACTOR;
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::Dependency;

/// The limit starts at this share of what the dependency survives.
const INITIAL_SHARE: f64 = 0.5;
/// The limit falls to this share when calls are slow.
const DECREASE_FACTOR: f64 = 0.75;
/// The limit rises by this share of its maximum while calls wait.
const INCREASE_SHARE: f64 = 0.1;
/// The limit never falls under this share of its maximum: slow calls then have another cause than this worker.
const MIN_SHARE: f64 = 0.25;
/// The limit is reviewed after so many ended calls, or the time on calls that so many slow ones take.
const WINDOW_CALLS: f64 = 16.0;

/// The limit on calls in flight.
///
/// The dependency's certain share is only its maximum: a dependency slows down long before it fails, and load kept at
/// the maximum keeps it slow. One that is slow for another reason gets too few calls.
pub(super) struct CallLimit {
    limit: f64,
    max_limit: f64,
    /// No calls are made until then.
    closed_until: f64,
}

impl CallLimit {
    pub(super) fn new(dependency: Option<&Dependency>) -> Self {
        let share = dependency.map_or(f64::MAX, |dependency| dependency.share);
        let max_limit = if share < 1.0 { share * (1.0 - BURST_SHARE) } else { share };
        let limit = (share * INITIAL_SHARE).max(max_limit.min(1.0));
        CallLimit { limit, max_limit, closed_until: 0.0 }
    }

    /// The limit; it may be under one call, in the mean.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more call may be made beside those in flight. Abandoned calls don't slow the others down, but count
    /// towards what the dependency survives.
    pub(super) fn has_free_slot(&self, now: f64, in_flight: usize, abandoned: usize) -> bool {
        let limit = self.limit.max(1.0) as usize;
        let max_limit = self.max_limit.max(1.0) as usize;
        now >= self.closed_until && in_flight < limit && in_flight + abandoned < max_limit
    }

    /// Applies the fleet's limit on this worker's calls.
    pub(super) fn apply_fleet_limit(&mut self, policy: &mut OverloadPolicy, now: f64, in_flight: usize) {
        policy.limit_calls(now, in_flight, &mut self.max_limit, &mut self.limit);
    }

    /// The dependency rejects calls: it is overloaded. The limit falls, and no call is made for the length of one; a
    /// quick rejection is not a short call. What rejects for another reason gets too few calls.
    pub(super) fn call_rejected(&mut self, now: f64, lengths: &CallLengthEstimate) {
        if now >= self.closed_until {
            self.closed_until = now + lengths.expected_s().max(SWEEP_INTERVAL_S);
            self.decrease();
        }
    }

    /// Adjusts the limit when the window has seen enough calls, and closes the window.
    pub(super) fn review(&mut self, lengths: &mut CallLengthEstimate, calls_wait: bool) {
        let slow_time_s = WINDOW_CALLS * SLOW_CALL_FACTOR * lengths.baseline_s();
        if lengths.window_ended() < WINDOW_CALLS && lengths.window_time_s() < slow_time_s {
            return;
        }
        if lengths.window_mean_s() > SLOW_CALL_FACTOR * lengths.baseline_s() {
            self.decrease();
        } else if calls_wait {
            self.limit = (self.limit + self.max_limit * INCREASE_SHARE).min(self.max_limit);
        }
        lengths.close_window();
    }

    fn decrease(&mut self) {
        let min_limit = (self.max_limit.min(1.0) * INITIAL_SHARE).max(self.max_limit * MIN_SHARE);
        self.limit = (self.limit * DECREASE_FACTOR).max(min_limit);
    }

    /// Takes over a predecessor's limit, within the maximum.
    pub(super) fn adopt(&mut self, limit: f64) {
        self.limit = limit.min(self.max_limit.max(1.0));
    }
}
