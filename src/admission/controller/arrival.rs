//! Arrivals: a request is queued, joins an earlier attempt with its idempotency key, or is rejected.

use super::Controller;
use crate::admission::rejection::{ArrivalCheck, RejectionReason};
use crate::admission::request::{Request, RequestState, Tier};
use crate::admission::tenant_quotas::QuotaStatus;
use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::{Action, Arrival, Idempotency, RequestId};

impl Controller {
    /// Handles a request that has been read.
    pub(super) fn arrived(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if arrival.class >= self.settings.classes.len() || self.requests.contains(id) {
            return;
        }
        let request = self.new_request(arrival);
        let too_late = self.shutdown.is_too_late_to_start(request.arrived_at, self.now);
        let is_keyed = self.class(arrival.class).idempotency == Idempotency::Keyed;
        self.requests.insert(id, request);
        self.health.record_read(arrival.read_delay_s, self.settings.classes[arrival.class].objective_s);
        let over_retry_budget = self.count_arrival(request.tier, arrival.retry);
        // No run starts after the grace period of a shutdown, and a shared response might come after the worker is
        // stopped. The earlier attempt may have run, so the response can't be a rejection.
        if too_late && arrival.retry_of.is_some() {
            self.abandon(id, out);
            return;
        }
        if is_keyed && self.join_earlier_attempt(arrival, out) {
            self.enforce_memory_limit(out);
            return;
        }
        if too_late || over_retry_budget || self.rejection_reason(&request).is_some() {
            self.reject(id, out);
            return;
        }
        if is_keyed {
            self.retain_key(id, id, out);
        }
        self.quotas.take_token(arrival.tenant);
        self.transition(id, Some(RequestState::Queued));
        self.enforce_memory_limit(out);
    }

    fn new_request(&mut self, arrival: &Arrival) -> Request {
        let quota = self.quotas.count_arrival(arrival.tenant);
        let class = self.class(arrival.class);
        let arrived_at = self.now - arrival.read_delay_s.max(0.0);
        let deadline = match arrival.time_left_s {
            Some(time_left_s) => self.now + time_left_s,
            None => arrived_at + class.deadline_s,
        };
        let deadline = deadline.max(self.now);
        let objective_deadline = (arrived_at + class.objective_s).min(deadline);
        let late_response_counts = class.late_weight > 0.0 || !class.is_idempotent();
        Request {
            class: arrival.class,
            tier: self.tiers.tier_of(class.weight, quota.is_exhausted()),
            memory_kb: arrival.memory_kb.max(0.0),
            arrived_at,
            deadline,
            objective_deadline,
            useful_until: if late_response_counts { deadline } else { objective_deadline },
            over_quota: quota == QuotaStatus::Excessive,
            hint: arrival.estimate_s.filter(|hint| *hint > 0.0 && hint.is_finite()),
            state_entered_at: self.now,
            ..Request::default()
        }
    }

    /// Counts an arrival and returns whether it is a retry over the fleet's retry budget. Such a retry is rejected and
    /// delays no other request, so it does not count towards the arrival rates of the tiers.
    fn count_arrival(&mut self, tier: Tier, is_retry: bool) -> bool {
        if is_retry {
            self.arrivals.count_retry();
        }
        let over_retry_budget = self.fleet.exceeds_retry_budget(tier, is_retry);
        if !over_retry_budget {
            self.arrivals.count_arrival(tier);
        }
        over_retry_budget
    }

    fn rejection_reason(&self, request: &Request) -> Option<RejectionReason> {
        let check = ArrivalCheck {
            now: self.now,
            settings: &self.settings,
            tiers: &self.tiers,
            requests: &self.requests,
            run_slots: &self.run_slots,
            run_lengths: &self.run_lengths,
            arrivals: &self.arrivals,
            downstream: &self.downstream,
            fleet: &self.fleet,
            demand: self.slot_demand(),
        };
        check.rejection_reason(request)
    }

    /// Joins an attempt to an earlier one with the same key, whose response it shares whatever the outcome. Returns
    /// false if there is no earlier attempt.
    fn join_earlier_attempt(&mut self, arrival: &Arrival, out: &mut Vec<Action>) -> bool {
        let Some(earlier) = arrival.retry_of else { return false };
        let Some(entry_id) = self.idempotency.pending_entry_of(earlier) else {
            out.push(Action::ShareResponse(arrival.id));
            self.transition(arrival.id, Some(RequestState::SharingResponse));
            return true;
        };
        self.idempotency.add_waiting(entry_id, arrival.id);
        if let Some(request) = self.requests.get_mut(arrival.id) {
            request.entry_id = Some(entry_id);
        }
        self.transition(arrival.id, Some(RequestState::QueuedBehindHolder));
        true
    }

    /// Makes a request the holder of a key, which is retained for as long as callers may repeat it and for two sweep
    /// intervals more.
    pub(super) fn retain_key(&mut self, id: RequestId, entry_id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let window_s = self.settings.classes[request.class].window_s;
        let for_s = (request.arrived_at + window_s - self.now).max(0.0) + 2.0 * SWEEP_INTERVAL_S;
        request.entry_id = Some(entry_id);
        self.idempotency.set_holder(entry_id, id, self.now + for_s);
        out.push(Action::RetainKey { id, for_s });
    }
}
