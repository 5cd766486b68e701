//! Rejections: which requests are rejected, and what their callers are told.

use super::records::RejectionReason;
use super::{Controller, MAX_SHARE_OF_MEMORY, SWEEP_S};
use crate::admission::request::{Request, RequestState, Tier};
use crate::admission::run_length::MEASUREMENT_MEMORY_S;
use crate::interface::{Action, RequestId};

/// A wait is planned for a run of so many mean lengths; what is late even with one of them is given up.
const RUN_ALLOWANCE: f64 = 1.3;
/// The queues of higher tiers may take this share of what the objective leaves.
const HIGHER_TIERS_SHARE: f64 = 0.6;
/// Tiers with less than this share of a request's weight are no queue that it waits behind.
const MIN_WEIGHT_SHARE_IN_TOTAL: f64 = 0.4;
/// Waits in a full pool's queue, which never empties, take this share of what the objective leaves.
const POOL_WAIT_SHARE: f64 = 0.4;
/// Higher tiers leave at least this share of the service rate.
const MIN_RATE_LEFT: f64 = 0.1;
/// Other workers are taken to reject as well from this share of retries among arrivals on, or when arrivals
/// ask for so many times what the cores can do at their baseline.
const FLEET_FULL_RETRY_SHARE: f64 = 0.15;
const FLOOD_FACTOR: f64 = 1.2;
/// A caller's next attempt is far off beyond so many times the longest Retry-After.
const MAX_NEXT_ATTEMPT_FACTOR: f64 = 2.0;

impl Controller {
    /// Why an arrival can't be admitted, if it can't.
    pub(super) fn rejection_reason(&self, id: RequestId) -> Option<RejectionReason> {
        let request = &self.requests[id];
        let starts_at_once = match &self.pools {
            Some(pools) => pools.open(request.class),
            None => self.running() < self.run_limit.runs && !self.requests.has_queued(),
        };
        // The fleet's policy counts what it is asked about, so it is asked whatever the other reasons.
        let fleet_sheds = self.overload.as_ref().is_some_and(|o| o.sheds(request.tier, starts_at_once));
        if self.lacks_downstream_call(request) {
            Some(RejectionReason::NoDownstreamCall)
        } else if self.pools.as_ref().is_some_and(|pools| pools.full(request.class)) {
            Some(RejectionReason::PoolQueueFull)
        } else if fleet_sheds {
            Some(RejectionReason::FleetSheds)
        } else if !starts_at_once && self.queue_too_long(request) {
            Some(RejectionReason::QueueTooLong)
        } else {
            None
        }
    }

    /// What the objective leaves for waiting (seconds).
    fn spare_s(&self, request: &Request) -> f64 {
        let run_s = self.expected_run_s(request);
        request.objective_at - self.now - run_s * RUN_ALLOWANCE
    }

    fn lacks_downstream_call(&self, request: &Request) -> bool {
        let class = self.class(request.class);
        if !class.calls || class.skipped_call_weight > 0.0 {
            return false;
        }
        let queued = self.requests.queued_in(request.tier + 1);
        let wait_s = self.call_wait_s(request.tier, queued.filter(|id| self.class_of(*id).calls).count());
        let within_s = if wait_s > 0.0 { self.spare_s(request) } else { request.objective_at - self.now };
        self.fleet_gives_up_call(request.class) || wait_s + self.downstream.lengths.expected_s() > within_s
    }

    /// Queue lengths stand for waiting time: they are held against what can be started in the time that the
    /// objective leaves, with the service rate that higher tiers leave over.
    fn queue_too_long(&self, request: &Request) -> bool {
        let spare_s = self.spare_s(request);
        let rate = self.service_rate(request.class);
        let rate_left = match &self.pools {
            Some(_) => POOL_WAIT_SHARE,
            None => (1.0 - self.arrivals.above(request.tier) / rate).max(MIN_RATE_LEFT),
        };
        // Excess over quota may wait for as little as it is worth.
        let quota_share = if request.over_quota { self.settings.over_quota_weight } else { 1.0 };
        let max_total = (spare_s * rate * rate_left * quota_share).max(1.0);
        let max_above = (spare_s * rate * HIGHER_TIERS_SHARE).max(1.0);
        self.queued_total(request) as f64 >= max_total
            || self.queued_ahead(request, request.tier) as f64 >= max_above
    }

    /// How many requests of the first `tiers` tiers compete with this one for run slots. While the dependency
    /// is the bottleneck, those that will wait for it are not in the way of those that will not.
    fn queued_ahead(&self, request: &Request, tiers: usize) -> usize {
        let all_count = !self.downstream_saturated(request.tier) || self.class(request.class).calls;
        let competes = |id: &RequestId| {
            (all_count || !self.class_of(*id).calls) && self.shares_slots(*id, request.class)
        };
        self.requests.queued_in(tiers).filter(competes).count()
    }

    /// The queue that a request joins, lower tiers of similar weight included. What waits for a call counts
    /// as queued: it comes back to the cores. For the top tier only its own queue counts: it is rejected when
    /// even it could not end in time, since an early rejection is better than a late failure.
    fn queued_total(&self, request: &Request) -> usize {
        if request.tier == 0 {
            return self.queued_ahead(request, 1);
        }
        let min_weight = self.tier_weights[request.tier] * MIN_WEIGHT_SHARE_IN_TOTAL;
        let tiers = self.tier_weights.iter().filter(|weight| **weight >= min_weight).count();
        let queued = self.queued_ahead(request, tiers);
        if self.downstream_saturated(request.tier) && !self.class(request.class).calls {
            return queued;
        }
        queued + self.requests.waiting_for_call().filter(|id| self.shares_slots(*id, request.class)).count()
    }

    /// Retry-After (seconds): half the time that what is queued takes to start; the longest while not well.
    /// In a full fleet half the time to a caller's next attempt, unless that is far off.
    pub(super) fn retry_after_s(&self, tier: Tier, class: usize) -> f64 {
        let max_s = self.settings.max_retry_after_s;
        let next_attempt_s = f64::from(self.settings.callers) / 2.0 / self.arrivals.total();
        let ahead = self.requests.queued_in(tier + 1).filter(|id| self.shares_slots(*id, class)).count();
        let half_wait_s = (ahead as f64 / self.service_rate(class) / 2.0).max(4.0 * SWEEP_S);
        let tells_next_attempt = self.fleet_full() && next_attempt_s < max_s * MAX_NEXT_ATTEMPT_FACTOR;
        let min_s = if tells_next_attempt { next_attempt_s } else { 0.0 };
        let alone_s = if self.well { half_wait_s.max(min_s) } else { max_s };
        self.overload.as_ref().map_or(alone_s, |overload| overload.retry_after_s(tier, alone_s)).min(max_s)
    }

    /// Whether other workers are taken to reject as well, so that another attempt would only cost reads.
    ///
    /// Many retries show it. Where they are not marked, arrivals beyond the baseline of the cores do: callers
    /// spread what they send, so a flood here is one everywhere, while a fault of this worker alone brings no
    /// more arrivals. A spare worker elsewhere is then not found.
    pub(super) fn fleet_full(&self) -> bool {
        let arrivals = self.arrivals.total();
        let cores = f64::from(self.settings.cores.max(1));
        let own_view = if self.settings.marks_retries {
            let enough = arrivals * MEASUREMENT_MEMORY_S > cores;
            enough && self.arrivals.retries > FLEET_FULL_RETRY_SHARE * arrivals
        } else {
            arrivals * self.baseline_run_s > FLOOD_FACTOR * cores
        };
        let fleet_view = self.overload.as_ref().and_then(|overload| overload.fleet_at_capacity());
        self.shutdown.is_none() && fleet_view.unwrap_or(own_view)
    }

    /// While sick: what is queued may be served elsewhere; one idempotent request at a time is kept as a
    /// probe. In a full fleet a small chance is better than none: all idempotent requests are kept.
    pub(super) fn drain_queues_while_sick(&mut self, out: &mut Vec<Action>) {
        if !self.health.sick {
            return;
        }
        let keeps_idempotent = self.fleet_full() && self.health.still_ends_runs();
        let queued: Vec<RequestId> = self.requests.queued().collect();
        for id in queued {
            let idempotent = self.class_of(id).is_idempotent();
            if idempotent && (keeps_idempotent || self.now >= self.health.next_probe) {
                self.health.probe_queued(self.now);
            } else {
                self.reject(id, out);
            }
        }
    }

    /// Keeps the memory limit: what has not started goes, the lowest tier and the newest first. Repeated
    /// attempts go too, as a flood of them would fill the memory.
    pub(super) fn evict_lower_tiers(&mut self, out: &mut Vec<Action>) {
        while self.memory_kb() > self.settings.memory_kb * MAX_SHARE_OF_MEMORY {
            let unstarted = self.requests.iter().filter(|(_, request)| request.state.is_unstarted());
            let lowest = unstarted.max_by_key(|(id, request)| (request.tier, *id));
            let Some((id, request)) = lowest else { return };
            match request.state {
                RequestState::SharingResponse => self.give_up(id, out),
                _ => self.reject(id, out),
            }
        }
    }

    /// Rejects a request that has not run, and those that wait for it.
    pub(super) fn reject(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).copied() else { return };
        let pending_key = self.pending_key_of(id);
        let retry_after_s = self.retry_after_s(request.tier, request.class);
        if let Some(pools) = &mut self.pools {
            pools.count_rejection(request.class);
        }
        let stop_retrying = !self.health.sick && self.fleet_full();
        out.push(Action::Reject { id, retry_after_s, stop_retrying });
        self.remove_request(id);
        let Some(entry_id) = pending_key else { return };
        for waiting in self.idempotency.waiting(entry_id).to_vec() {
            self.reject(waiting, out);
        }
        out.push(Action::ReleaseKey(id));
        self.remove_key(entry_id);
    }
}
