//! The directives of fleet-wide overload control; without it, the behavior of a standalone worker.

use crate::admission::request::Tier;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::interface::Settings;

/// This worker's policy in fleet-wide overload control, if that is enabled.
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

    /// Counts an arrival and returns whether it is a retry over the fleet's retry budget.
    pub(super) fn exceeds_retry_budget(&mut self, tier: Tier, is_retry: bool) -> bool {
        self.policy.as_mut().is_some_and(|policy| policy.exceeds_retry_budget(tier, is_retry))
    }

    /// Whether the fleet sheds a request of this tier. The policy counts every request that it checks, and may draw a
    /// random number.
    pub(super) fn sheds(&self, tier: Tier, can_start: bool) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.sheds(tier, can_start))
    }

    /// Whether the other workers are at capacity, if the fleet has that information.
    pub(super) fn is_at_capacity(&self) -> Option<bool> {
        self.policy.as_ref().and_then(OverloadPolicy::fleet_at_capacity)
    }

    /// The Retry-After of a rejection for which a standalone worker would send `standalone_s` (seconds).
    pub(super) fn retry_after_s(&self, tier: Tier, standalone_s: f64) -> f64 {
        match &self.policy {
            Some(policy) => policy.retry_after_s(tier, standalone_s),
            None => standalone_s,
        }
    }

    /// Whether runs skip their downstream call because the fleet's circuit breaker is open.
    pub(super) fn skips_call(&self, is_idempotent: bool) -> bool {
        self.policy.as_ref().is_some_and(|policy| policy.skips_call(is_idempotent))
    }

    /// Whether the fleet's circuit breaker allows a downstream call now, possibly only as a probe.
    pub(super) fn may_call(&self, is_idempotent: bool) -> bool {
        self.policy.as_ref().is_none_or(|policy| policy.may_call(is_idempotent))
    }

    /// Records that a downstream call has started.
    pub(super) fn call_started(&mut self) {
        if let Some(policy) = &mut self.policy {
            policy.call_started();
        }
    }

    /// Records that a downstream call has ended after `duration_s`.
    pub(super) fn call_ended(&mut self, succeeded: bool, duration_s: f64) {
        if let Some(policy) = &mut self.policy {
            policy.call_ended(succeeded, duration_s);
        }
    }

    /// Records this worker's capacity (runs per second) and, by tier, the number of requests that wait for a call and
    /// their weight.
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
