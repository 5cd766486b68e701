//! Rejection of arrivals: those that could not be answered within their latency objective are rejected at once, as an
//! early rejection is better than a late failure.

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

/// A wait is planned for a run of so many mean lengths.
const RUN_ALLOWANCE: f64 = 1.3;
/// The queues of higher tiers may take this share of what the objective leaves.
const HIGHER_TIERS_SHARE: f64 = 0.6;
/// Tiers with less than this share of a request's weight are no queue that it waits behind.
const MIN_WEIGHT_SHARE_IN_TOTAL: f64 = 0.4;
/// Waits in a full pool's queue, which never empties, take this share of what the objective leaves.
const POOL_WAIT_SHARE: f64 = 0.4;
/// Higher tiers leave at least this share of the service rate.
const MIN_RATE_LEFT: f64 = 0.1;

/// Why an arrival is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// Its run needs a downstream call that can't be made in time.
    NoDownstreamCall,
    /// The queue of its class's pool is at capacity.
    PoolQueueFull,
    /// The fleet sheds its tier.
    FleetSheds,
    /// It would wait too long behind what is queued.
    QueueTooLong,
}

/// The concerns that an arrival is held against. Nothing here changes them.
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
    /// Demand for run slots, the other process's included.
    pub(super) demand: SlotDemand,
}

impl ArrivalCheck<'_> {
    /// Why a request that has just been read can't be admitted, if it can't.
    pub(super) fn rejection_reason(&self, request: &Request) -> Option<RejectionReason> {
        let starts_at_once = self.run_slots.starts_at_once(request.class, self.demand);
        // The fleet's policy counts each call, so it is called whatever the other reasons.
        let fleet_sheds = self.fleet.sheds(request.tier, starts_at_once);
        if self.lacks_downstream_call(request) {
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

    fn calls(&self, id: RequestId) -> bool {
        self.class(self.requests[id].class).makes_calls
    }

    /// What the objective leaves for waiting (seconds).
    fn spare_s(&self, request: &Request) -> f64 {
        let run_s = self.run_lengths.predict(request.class, request.hint);
        request.objective_at - self.now - run_s * RUN_ALLOWANCE
    }

    /// Whether the run needs a downstream call that can't be made in time.
    fn lacks_downstream_call(&self, request: &Request) -> bool {
        let class = self.class(request.class);
        if !class.needs_call() {
            return false;
        }
        if self.fleet.skips_call(class.is_idempotent()) {
            return true;
        }
        let coming = self.requests.queued_in(request.tier + 1).filter(|id| self.calls(*id)).count();
        let ahead = self.requests.waiting_for_call_in(request.tier + 1) + coming;
        let wait_s = self.downstream.wait_s(ahead);
        let within_s = if wait_s > 0.0 { self.spare_s(request) } else { request.objective_at - self.now };
        wait_s + self.downstream.expected_call_s() > within_s
    }

    /// Queue lengths stand for waiting time: they are held against what can be started in the time that the objective
    /// leaves, with the service rate that higher tiers leave over.
    fn is_queue_too_long(&self, request: &Request) -> bool {
        let spare_s = self.spare_s(request);
        let rate = self.run_slots.service_rate(request.class, self.run_lengths);
        let rate_left = self.rate_left(request.tier, rate);
        // Excess over quota may wait for as little as it is worth.
        let quota_share = if request.over_quota { self.settings.over_quota_weight } else { 1.0 };
        let max_total = (spare_s * rate * rate_left * quota_share).max(1.0);
        let max_ahead = (spare_s * rate * HIGHER_TIERS_SHARE).max(1.0);
        self.queued_total(request) as f64 >= max_total
            || self.queued_ahead(request, request.tier) as f64 >= max_ahead
    }

    /// The share of the service rate that higher tiers leave to this one.
    fn rate_left(&self, tier: Tier, rate: f64) -> f64 {
        match self.run_slots.pools() {
            Some(_) => POOL_WAIT_SHARE,
            None => (1.0 - self.arrivals.above(tier) / rate).max(MIN_RATE_LEFT),
        }
    }

    /// How many requests of the first `tiers` tiers compete with this one for run slots.
    fn queued_ahead(&self, request: &Request, tiers: usize) -> usize {
        let ignores_callers = self.waits_beside_callers(request);
        let competes = |id: &RequestId| {
            let is_in_the_way = !(ignores_callers && self.calls(*id));
            is_in_the_way && self.run_slots.are_shared(request.class, self.requests[*id].class)
        };
        self.requests.queued_in(tiers).filter(competes).count()
    }

    /// Whether the dependency is the bottleneck and this request makes no call: those that will wait for the dependency
    /// are then not in its way.
    fn waits_beside_callers(&self, request: &Request) -> bool {
        let waiting = self.requests.waiting_for_call_in(request.tier + 1);
        !self.class(request.class).makes_calls && self.downstream.is_saturated(waiting)
    }

    /// The queue that a request joins, lower tiers of similar weight included. What waits for a call counts as queued:
    /// it comes back to the cores. For the top tier only its own queue counts: it is rejected when even it could not
    /// end in time.
    fn queued_total(&self, request: &Request) -> usize {
        if request.tier == 0 {
            return self.queued_ahead(request, 1);
        }
        let tiers = self.tiers.count_with_share_of(request.tier, MIN_WEIGHT_SHARE_IN_TOTAL);
        let queued = self.queued_ahead(request, tiers);
        if self.waits_beside_callers(request) {
            return queued;
        }
        let shares_slots =
            |id: &RequestId| self.run_slots.are_shared(request.class, self.requests[*id].class);
        queued + self.requests.waiting_for_call().filter(shares_slots).count()
    }
}
