//! Rejection of arrivals: a request that can't be answered within its latency objective is rejected immediately, since
//! an early rejection is better for the caller than a late failure.

use crate::admission::arrival_rates::ArrivalRates;
use crate::admission::downstream::DownstreamCalls;
use crate::admission::fleet_overload::FleetOverload;
use crate::admission::request::{Request, Tier};
use crate::admission::request_table::RequestTable;
use crate::admission::run_length::RunLengths;
use crate::admission::run_limit::SlotDemand;
use crate::admission::run_slots::RunSlots;
use crate::admission::tiers::PriorityTiers;
use crate::interface::{Class, RequestId, Settings};

/// A request may wait for as long as its objective leaves time for a run of this many expected lengths.
const RUN_ALLOWANCE: f64 = 1.3;
/// Queues of the higher tiers may take up to this share of the time that the objective leaves.
const HIGHER_TIERS_SHARE: f64 = 0.6;
/// Tiers with less than this share of a request's weight are not counted as a queue that it waits behind.
const MIN_WEIGHT_SHARE_IN_TOTAL: f64 = 0.4;
/// With pools, waiting may take this share of the time that the objective leaves: the queue of a full pool never empties,
/// so every request in it waits for about as long as this bound allows.
const POOL_WAIT_SHARE: f64 = 0.4;
/// Higher tiers are assumed to leave at least this share of the service rate.
const MIN_RATE_SHARE_LEFT: f64 = 0.1;

/// Why an arrival is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// Its run needs a downstream call that can't be made in time.
    NoDownstreamCall,
    /// The queue of its class's pool is full.
    PoolQueueFull,
    /// Fleet-wide overload control sheds its tier.
    FleetSheds,
    /// It would wait too long behind queued requests.
    QueueTooLong,
}

/// The components that the decision on an arrival depends on, all read-only.
pub(super) struct ArrivalCheck<'a> {
    pub(super) now: f64,
    pub(super) settings: &'a Settings,
    pub(super) tiers: &'a PriorityTiers,
    pub(super) requests: &'a RequestTable,
    pub(super) run_slots: &'a RunSlots,
    pub(super) run_lengths: &'a RunLengths,
    pub(super) arrivals: &'a ArrivalRates,
    pub(super) downstream: &'a DownstreamCalls,
    pub(super) fleet: &'a FleetOverload,
    /// The demand for run slots, including that of the other process.
    pub(super) demand: SlotDemand,
}

impl ArrivalCheck<'_> {
    /// The reason for which a request that has just been read is rejected, if there is one.
    pub(super) fn rejection_reason(&self, request: &Request) -> Option<RejectionReason> {
        let starts_at_once = self.run_slots.starts_at_once(request.class, self.demand);
        // Checked even if there is another reason, since the fleet's policy counts every request that it checks.
        let fleet_sheds = self.fleet.sheds(request.tier, starts_at_once);
        if self.cannot_call_in_time(request) {
            Some(RejectionReason::NoDownstreamCall)
        } else if self.run_slots.is_queue_full(request.class) {
            Some(RejectionReason::PoolQueueFull)
        } else if fleet_sheds {
            Some(RejectionReason::FleetSheds)
        } else if !starts_at_once && self.is_queue_too_long(request) {
            Some(RejectionReason::QueueTooLong)
        } else {
            None
        }
    }

    fn class(&self, class: usize) -> &Class {
        &self.settings.classes[class]
    }

    fn makes_call(&self, id: RequestId) -> bool {
        self.class(self.requests[id].class).makes_calls
    }

    /// How long the request can wait and still meet its objective (seconds).
    fn wait_budget_s(&self, request: &Request) -> f64 {
        let run_s = self.run_lengths.predict(request.class, request.hint);
        request.objective_deadline - self.now - run_s * RUN_ALLOWANCE
    }

    /// Whether the run needs a downstream call that can't be made in time.
    fn cannot_call_in_time(&self, request: &Request) -> bool {
        let class = self.class(request.class);
        if !class.needs_call() {
            return false;
        }
        if self.fleet.skips_call(class.is_idempotent()) {
            return true;
        }
        let queued_calls =
            self.requests.queued_in(request.tier + 1).filter(|id| self.makes_call(*id)).count();
        let ahead = self.requests.waiting_for_call_in(request.tier + 1) + queued_calls;
        let wait_s = self.downstream.wait_s(ahead);
        let available_s =
            if wait_s > 0.0 { self.wait_budget_s(request) } else { request.objective_deadline - self.now };
        wait_s + self.downstream.expected_call_s() > available_s
    }

    /// Whether the queue that a request joins is longer than what can be started within its waiting time at the service
    /// rate that higher tiers leave, or the queues of the higher tiers are longer than what can be started within
    /// [`HIGHER_TIERS_SHARE`] of that time.
    fn is_queue_too_long(&self, request: &Request) -> bool {
        let wait_budget_s = self.wait_budget_s(request);
        let rate = self.run_slots.service_rate(request.class, self.run_lengths);
        let rate_share_left = self.rate_share_left(request.tier, rate);
        // Requests over quota may wait only in proportion to their reduced weight.
        let quota_share = if request.over_quota { self.settings.over_quota_weight } else { 1.0 };
        let max_total = (wait_budget_s * rate * rate_share_left * quota_share).max(1.0);
        let max_ahead = (wait_budget_s * rate * HIGHER_TIERS_SHARE).max(1.0);
        self.queued_total(request) as f64 >= max_total
            || self.queued_ahead(request, request.tier) as f64 >= max_ahead
    }

    /// The share of the service rate that higher tiers leave for this tier; with pools [`POOL_WAIT_SHARE`].
    fn rate_share_left(&self, tier: Tier, rate: f64) -> f64 {
        match self.run_slots.pools() {
            Some(_) => POOL_WAIT_SHARE,
            None => (1.0 - self.arrivals.total_above(tier) / rate).max(MIN_RATE_SHARE_LEFT),
        }
    }

    /// The number of queued requests of the first `tiers` tiers that compete with this one for run slots.
    fn queued_ahead(&self, request: &Request, tiers: usize) -> usize {
        let ignores_calling_requests = self.bypasses_calling_requests(request);
        let competes = |id: &RequestId| {
            let is_relevant = !(ignores_calling_requests && self.makes_call(*id));
            is_relevant && self.run_slots.share_run_slots(request.class, self.requests[*id].class)
        };
        self.requests.queued_in(tiers).filter(competes).count()
    }

    /// Whether the dependency is the bottleneck and this request makes no call, so that requests that will wait for the
    /// dependency do not delay it.
    fn bypasses_calling_requests(&self, request: &Request) -> bool {
        let waiting = self.requests.waiting_for_call_in(request.tier + 1);
        !self.class(request.class).makes_calls && self.downstream.is_saturated(waiting)
    }

    /// The length of the queue that a request joins, including lower tiers of similar weight. Runs that wait for a call
    /// count as queued, since they return to the cores. For the top tier only its own queue counts, so that a request
    /// is rejected only if that queue alone makes it too late.
    fn queued_total(&self, request: &Request) -> usize {
        if request.tier == 0 {
            return self.queued_ahead(request, 1);
        }
        let tiers = self.tiers.count_with_share_of(request.tier, MIN_WEIGHT_SHARE_IN_TOTAL);
        let queued = self.queued_ahead(request, tiers);
        if self.bypasses_calling_requests(request) {
            return queued;
        }
        let shares_slots =
            |id: &RequestId| self.run_slots.share_run_slots(request.class, self.requests[*id].class);
        queued + self.requests.waiting_for_call().filter(shares_slots).count()
    }
}
