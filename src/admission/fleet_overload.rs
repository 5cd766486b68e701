//! The directives of the fleet's overload control; without one, those of a worker alone.

use crate::admission::request::Tier;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::Settings;

/// The worker's part in fleet-wide overload control, where the fleet has one.
pub(super) struct FleetOverload {
    policy: Option<OverloadPolicy>,
}

impl FleetOverload {
    pub(super) fn new(now: f64, settings: &Settings) -> Self {
        FleetOverload { policy: settings.fleet_overload_control.then(|| OverloadPolicy::new(now, settings)) }
    }

    pub(super) fn policy(&self) -> Option<&OverloadPolicy> {
        self.policy.as_ref()
    }

    pub(super) fn policy_mut(&mut self) -> Option<&mut OverloadPolicy> {
        self.policy.as_mut()
    }

    /// Counts an arrival. Whether it is a retry beyond the fleet's retry budget.
    pub(super) fn exceeds_retry_budget(&mut self, tier: Tier, is_retry: bool) -> bool {
        self.policy.as_mut().is_some_and(|policy| policy.exceeds_retry_budget(tier, is_retry))
    }

    /// Whether the fleet sheds a request of this tier. Each call counts, and may draw a random number.
    pub(super) fn sheds(&self, tier: Tier, can_start: bool) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.sheds(tier, can_start))
    }

    /// Whether the other workers are at capacity, if the fleet knows.
    pub(super) fn is_at_capacity(&self) -> Option<bool> {
        self.policy.as_ref().and_then(OverloadPolicy::fleet_at_capacity)
    }

    /// The Retry-After of a rejection, where a worker alone would send `alone_s` (seconds).
    pub(super) fn retry_after_s(&self, tier: Tier, alone_s: f64) -> f64 {
        match &self.policy {
            Some(policy) => policy.retry_after_s(tier, alone_s),
            None => alone_s,
        }
    }

    /// Whether runs go on without their downstream call, since the fleet's circuit breaker is open.
    pub(super) fn skips_call(&self, is_idempotent: bool) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.skips_call(is_idempotent))
    }

    /// Whether a downstream call may be made now.
    pub(super) fn may_call(&self, is_idempotent: bool) -> bool {
        self.policy.as_ref().is_none_or(|policy| policy.may_call(is_idempotent))
    }

    /// A downstream call has been made.
    pub(super) fn call_started(&mut self) {
        if let Some(policy) = &mut self.policy {
            policy.call_started();
        }
    }

    /// A downstream call has ended after so long.
    pub(super) fn call_ended(&mut self, succeeded: bool, duration_s: f64) {
        if let Some(policy) = &mut self.policy {
            policy.call_ended(succeeded, duration_s);
        }
    }

    /// Records what this worker is capable of (runs a second), and the requests that wait for a call: a number of
    /// them and their weight, by tier.
    pub(super) fn record_state<'a>(
        &mut self,
        capacity: f64,
        waiting: impl Iterator<Item = (usize, &'a f64)>,
    ) {
        if let Some(policy) = &mut self.policy {
            policy.record_state(capacity, waiting);
        }
    }
}
