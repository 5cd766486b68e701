//! Arrivals: each is queued, joins an earlier attempt of its idempotency key, or is rejected.

use super::{Controller, SHUTDOWN_MARGIN_S, SWEEP_S};
use crate::admission::request::{Request, RequestState, Tier};
use crate::admission::tenant_usage::{TenantShare, TenantUsages};
use crate::interface::{Action, Arrival, Idempotency, RequestId, Settings};

/// A tenant may save up its even part of the quota for so many seconds, but so many requests at least.
const QUOTA_BURST_S: f64 = 2.0;
const MIN_QUOTA_BURST: f64 = 4.0;
/// A tenant's part of the arrivals is excessive at so many times its part of the quota.
const EXCESSIVE_ARRIVALS: f64 = 1.3;
/// What looks over quota here keeps this share of its weight at least: the quota is counted over the fleet.
pub(super) const MIN_OVER_QUOTA_WEIGHT: f64 = 0.5;

/// Full buckets with this worker's even part of each tenant's quota.
pub(super) fn tenant_usages(settings: &Settings) -> TenantUsages {
    let mut usages = TenantUsages::default();
    for tenant in &settings.tenants {
        let rate_per_s = tenant.quota_per_s / f64::from(settings.workers.max(1));
        usages.add(rate_per_s, (rate_per_s * QUOTA_BURST_S).max(MIN_QUOTA_BURST));
    }
    usages
}

/// Whether a tenant's part of what arrives is far over its part of the quota. An empty bucket alone may come
/// from a fleet that shrank, a lost zone or retries: then all tenants look over quota.
fn sends_excessively(share: &TenantShare) -> bool {
    let fair = EXCESSIVE_ARRIVALS * share.rate_per_s * (share.all_arrivals + 1.0);
    share.arrivals > MIN_QUOTA_BURST && share.arrivals * share.all_rates_per_s > fair
}

impl Controller {
    pub(super) fn arrived(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        if arrival.class >= self.settings.classes.len() || self.requests.contains(id) {
            return;
        }
        let request = self.new_request(&arrival);
        let too_late = self.starts_too_late(request.arrived);
        let keyed = self.class(arrival.class).effect == Idempotency::Keyed;
        self.requests.insert(id, request);
        self.health.record_read(arrival.read_delay_s, self.settings.classes[arrival.class].objective_s);
        let retry_rejected = self.count_arrival(request.tier, arrival.retry);
        // Nothing starts after the grace, and a shared response might not come in time; the earlier attempt
        // may have run, so that this is no rejection.
        if too_late && arrival.retry_of.is_some() {
            return self.give_up(id, out);
        }
        if keyed && self.join_earlier_attempt(&arrival, out) {
            return self.evict_lower_tiers(out);
        }
        if too_late || retry_rejected || self.rejection_reason(id).is_some() {
            return self.reject(id, out);
        }
        if keyed {
            self.retain_key(id, id, out);
        }
        self.tenants.take_token(arrival.tenant);
        self.transition(id, Some(RequestState::Queued));
        self.evict_lower_tiers(out);
    }

    fn new_request(&mut self, arrival: &Arrival) -> Request {
        let share = self.tenants.count_arrival(arrival.tenant);
        let class = self.class(arrival.class);
        let arrived = self.now - arrival.read_delay_s.max(0.0);
        let due =
            arrival.time_left_s.map_or(arrived + class.deadline_s, |left| self.now + left).max(self.now);
        let objective_at = (arrived + class.objective_s).min(due);
        let late_counts = class.late_weight > 0.0 || !class.is_idempotent();
        Request {
            class: arrival.class,
            tier: self.tier_of(class.weight, share.exhausted),
            kb: arrival.kb.max(0.0),
            arrived,
            due,
            objective_at,
            worthless_from: if late_counts { due } else { objective_at },
            over_quota: share.exhausted && sends_excessively(&share),
            hint: arrival.estimate_s.filter(|hint| *hint > 0.0 && hint.is_finite()),
            state_since: self.now,
            ..Request::default()
        }
    }

    /// Uneven load balancing puts honest traffic over quota too, hence the bound on what is lost by it.
    fn tier_of(&self, class_weight: f64, exhausted: bool) -> Tier {
        let over_quota_weight = self.settings.over_quota_weight.max(MIN_OVER_QUOTA_WEIGHT);
        let weight = class_weight * if exhausted { over_quota_weight } else { 1.0 };
        let tier = self.tier_weights.iter().position(|tier_weight| *tier_weight <= weight);
        tier.unwrap_or(self.tier_weights.len() - 1)
    }

    /// Whether a request that reached the worker at this time may no longer start, because of a shutdown.
    fn starts_too_late(&self, arrived: f64) -> bool {
        let Some(notice) = self.shutdown else { return false };
        let grace_ends = notice.received + self.settings.shutdown_grace_s - SWEEP_S;
        arrived > grace_ends || self.now >= notice.stop - SHUTDOWN_MARGIN_S
    }

    /// Counts an arrival. A retry beyond the fleet's retry budget is rejected, and no load to wait behind.
    fn count_arrival(&mut self, tier: Tier, retry: bool) -> bool {
        if retry {
            self.arrivals.count_retry();
        }
        let rejected =
            self.overload.as_mut().is_some_and(|overload| overload.exceeds_retry_budget(tier, retry));
        if !rejected {
            self.arrivals.count_arrival(tier);
        }
        rejected
    }

    /// An attempt of a key that is known here shares the response of the run, whatever became of it.
    fn join_earlier_attempt(&mut self, arrival: &Arrival, out: &mut Vec<Action>) -> bool {
        let Some(earlier) = arrival.retry_of else { return false };
        let Some(entry_id) = self.idempotency.pending_entry_of(earlier) else {
            out.push(Action::ShareResponse(arrival.id));
            self.transition(arrival.id, Some(RequestState::SharingResponse));
            return true;
        };
        self.idempotency.add_waiting(entry_id, arrival.id);
        if let Some(request) = self.requests.get_mut(arrival.id) {
            request.entry = Some(entry_id);
        }
        self.transition(arrival.id, Some(RequestState::QueuedBehindHolder));
        true
    }

    /// Makes a request the holder of a key, for as long as the key may be repeated.
    pub(super) fn retain_key(&mut self, id: RequestId, entry_id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let window_s = self.settings.classes[request.class].window_s;
        let for_s = (request.arrived + window_s - self.now).max(0.0) + 2.0 * SWEEP_S;
        request.entry = Some(entry_id);
        self.idempotency.set_holder(entry_id, id, self.now + for_s);
        out.push(Action::RetainKey { id, for_s });
    }
}
