//! The limit on downstream calls in flight: additive increase, multiplicative decrease (AIMD).

use super::budget::BURST_SHARE;
use super::call_length::CallLengthEstimate;
use super::SLOW_CALL_FACTOR;
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::Dependency;

/// The limit starts at this part of the worker's share of the dependency, but at no less than one call or its maximum,
/// whichever is lower. The limit never falls below this part of one call, or of its maximum if that is lower.
const INITIAL_SHARE: f64 = 0.5;
/// The limit is multiplied by this factor when calls are slow.
const DECREASE_FACTOR: f64 = 0.75;
/// The limit rises by this share of its maximum while requests wait for a call.
const INCREASE_SHARE: f64 = 0.1;
/// The limit never falls below this share of its maximum: if calls are still slow there, this worker is not the cause.
const MIN_SHARE: f64 = 0.25;
/// The limit is reviewed once this many calls have ended, or once calls have taken as much time in total as this many
/// slow calls take.
const WINDOW_CALLS: f64 = 16.0;

/// The limit on calls in flight.
///
/// This worker's share of the dependency is only the maximum: a dependency slows down long before it fails, and load at
/// the maximum keeps it slow. The drawback is that a dependency that is slow for another reason gets too few calls.
pub(super) struct CallLimit {
    limit: f64,
    max_limit: f64,
    /// No call starts before this time.
    backoff_until: f64,
}

impl CallLimit {
    pub(super) fn new(dependency: Option<&Dependency>) -> Self {
        let share = dependency.map_or(f64::MAX, |dependency| dependency.share);
        let max_limit = if share < 1.0 { share * (1.0 - BURST_SHARE) } else { share };
        let limit = (share * INITIAL_SHARE).max(max_limit.min(1.0));
        CallLimit { limit, max_limit, backoff_until: 0.0 }
    }

    /// The limit; it may be less than one call on average.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether another call may start. Abandoned calls don't slow the others down, but they count towards the calls
    /// that the dependency survives.
    pub(super) fn has_free_slot(&self, now: f64, in_flight: usize, abandoned: usize) -> bool {
        let limit = self.limit.max(1.0) as usize;
        let max_limit = self.max_limit.max(1.0) as usize;
        now >= self.backoff_until && in_flight < limit && in_flight + abandoned < max_limit
    }

    /// Applies the fleet's limit on this worker's calls.
    pub(super) fn apply_fleet_limit(&mut self, policy: &mut OverloadPolicy, now: f64, in_flight: usize) {
        policy.limit_calls(now, in_flight, &mut self.max_limit, &mut self.limit);
    }

    /// Records a rejected call, which is taken as a sign of overload: the limit falls, and no call starts for the
    /// expected length of one. A quick rejection does not count as a short call. The drawback is that a dependency that
    /// rejects for another reason gets too few calls.
    pub(super) fn call_rejected(&mut self, now: f64, lengths: &CallLengthEstimate) {
        if now >= self.backoff_until {
            self.backoff_until = now + lengths.expected_s().max(SWEEP_INTERVAL_S);
            self.decrease();
        }
    }

    /// Adjusts the limit and closes the window, if [`WINDOW_CALLS`] calls have ended in it, or calls have taken as much
    /// time in it as that many slow calls take.
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

    /// Adopts a predecessor's limit, bounded by the maximum.
    pub(super) fn adopt(&mut self, limit: f64) {
        self.limit = limit.min(self.max_limit.max(1.0));
    }
}
