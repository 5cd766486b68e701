//! How a worker's admission control applies the fleet's overload decisions. The policy applies the latest directive until it
//! expires, and counts the worker's load for its reports. Without a valid directive, decisions are the same as for a worker
//! without a fleet, except that a loan stays in force.
//!
//! Guarantees to callers: the policy only adds rejections to those of admission control, and rejects no request that could
//! start immediately, except retries beyond the budget; the limit on downstream calls in flight never exceeds the base
//! allocation minus the loan plus the slice, or one call if that is less. Times are on the worker's clock (seconds).

use super::client::{LoadSample, OverloadDirective};
use super::random::random_unit;
use super::{FleetDigest, MAX_TIERS};
use crate::interface::Settings;
use std::cell::Cell;

/// Minimum interval between the half-open probes of a zone (seconds).
const PROBE_INTERVAL_S: f64 = 0.5;
/// Margin that a worker retains above its recent peak of calls in flight, as a share of its base allocation; at least one
/// call. The worker lends the rest.
const SPARE_MARGIN: f64 = 0.25;
/// Time constant of the exponential decay of the peak of calls in flight (seconds).
const PEAK_DECAY_S: f64 = 3.0;
/// Upper bound for the initial peak (calls in flight), which otherwise would be infinite without a downstream service.
const MAX_INITIAL_PEAK: f64 = 1e6;
/// Relative increase of the Retry-After period with each tier below the shedding level.
const SPREAD_PER_TIER: f64 = 0.25;
/// Minimum base allocation for lending (calls in flight). Less than one call in flight is possible only as a mean over time,
/// which admission control enforces.
const MIN_LENDABLE_CALLS: f64 = 1.0;
/// Lower bound for the duration over which a sample's rates are computed (seconds).
const MIN_SAMPLE_S: f64 = 0.05;

/// Event counts since the last sample.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// First attempts by tier.
    arrivals: [u64; MAX_TIERS],
    retries: u64,
    calls_succeeded: u64,
    calls_failed: u64,
    /// Sum of the durations of successful calls (seconds).
    call_time_s: f64,
}

/// Numbers of responses since the start.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseCounts {
    served: u64,
    rejected: u64,
}

/// Requests waiting for a downstream call.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingCalls {
    count: f64,
    /// Sum of the priority weights.
    weight: f64,
}

/// Fleet-wide overload control at one worker.
#[derive(Clone, Debug)]
pub struct OverloadPolicy {
    seed: u64,
    /// Number of random numbers generated so far.
    random_count: Cell<u64>,
    /// Requests rejected because of the fleet's decisions since the last sample.
    shed_count: Cell<u64>,
    now: f64,
    /// The worker's base allocation (mean calls in flight); infinite without a downstream service.
    base_calls: f64,
    directive: Option<OverloadDirective>,
    sampled_at: f64,
    /// The response counts at the time of the last sample.
    sampled_responses: ResponseCounts,
    counts: Counts,
    /// The estimated capacity of this worker (requests per second).
    capacity: f64,
    waiting: WaitingCalls,
    /// Decaying peak of the calls in flight.
    peak_calls: f64,
    /// When the last downstream call was made.
    last_call_at: f64,
}

impl OverloadPolicy {
    /// Creates the policy of a worker that starts now, without a directive.
    #[must_use]
    pub fn new(now: f64, settings: &Settings) -> OverloadPolicy {
        let base_calls = settings.dependency.as_ref().map_or(f64::INFINITY, |dependency| dependency.share);
        OverloadPolicy {
            seed: settings.seed,
            random_count: Cell::new(0),
            shed_count: Cell::new(0),
            now,
            base_calls,
            directive: None,
            sampled_at: now,
            sampled_responses: ResponseCounts::default(),
            counts: Counts::default(),
            capacity: 0.0,
            waiting: WaitingCalls::default(),
            peak_calls: base_calls.min(MAX_INITIAL_PEAK),
            last_call_at: f64::NEG_INFINITY,
        }
    }

    /// The next random number, uniform in [0, 1).
    fn random(&self) -> f64 {
        self.random_count.set(self.random_count.get() + 1);
        random_unit(self.seed, self.random_count.get())
    }

    fn count_shed(&self, is_shed: bool) {
        self.shed_count.set(self.shed_count.get() + u64::from(is_shed));
    }

    /// Sets the latest directive, whose times are on admission control's clock.
    pub fn set_directive(&mut self, directive: OverloadDirective) {
        self.directive = Some(directive);
    }

    /// The latest digest, while it is valid.
    fn digest(&self) -> Option<&FleetDigest> {
        let directive = self.directive.as_ref()?;
        (self.now < directive.valid_until).then_some(&directive.digest)
    }

    fn is_circuit_open(&self) -> bool {
        self.digest().is_some_and(|digest| digest.circuit_open)
    }

    /// Advances the clock, and applies the fleet's limit on calls in flight: sets `max_limit` to it and lowers `limit` to it.
    /// Only admission control raises `limit`, in its own steps.
    pub fn limit_calls(&mut self, now: f64, in_flight: usize, max_limit: &mut f64, limit: &mut f64) {
        let decay = (-(now - self.now).max(0.0) / PEAK_DECAY_S).exp();
        self.peak_calls = (self.peak_calls * decay).max(in_flight as f64);
        self.now = self.now.max(now);
        if self.base_calls < MIN_LENDABLE_CALLS || !self.base_calls.is_finite() {
            return;
        }
        let Some(directive) = &self.directive else { return };
        let slice = if now < directive.slice_valid_until { f64::from(directive.digest.slice) } else { 0.0 };
        let call_share = self.digest().map_or(1.0, |digest| f64::from(digest.call_share));
        let fleet_limit = (self.base_calls - directive.lent_calls + slice) * call_share;
        let fleet_limit = fleet_limit.max(self.base_calls.min(MIN_LENDABLE_CALLS));
        *limit = limit.min(fleet_limit);
        *max_limit = fleet_limit;
    }

    /// Counts an arriving first attempt or retry. Returns `true` if it exceeds the retry budget; the caller then rejects it
    /// immediately and does not count it as load.
    pub fn exceeds_retry_budget(&mut self, tier: usize, is_retry: bool) -> bool {
        if !is_retry {
            self.counts.arrivals[tier.min(MAX_TIERS - 1)] += 1;
            return false;
        }
        self.counts.retries += 1;
        let is_over_budget =
            self.digest().is_some_and(|digest| self.random() >= f64::from(digest.retry_share));
        self.count_shed(is_over_budget);
        is_over_budget
    }

    /// Whether the fleet's level sheds a request, and counts it if so. A request that `can_start` immediately is never shed.
    pub fn sheds(&self, tier: usize, can_start: bool) -> bool {
        let Some(digest) = self.digest() else { return false };
        let is_shed = !can_start && !digest.level.admits(tier, self.random());
        self.count_shed(is_shed);
        is_shed
    }

    /// Whether the whole fleet is at capacity, so that other workers have no headroom either; `None` if unknown.
    #[must_use]
    pub fn fleet_at_capacity(&self) -> Option<bool> {
        self.digest().filter(|digest| digest.workers > 1).map(is_at_capacity)
    }

    /// The Retry-After of a rejected request of this tier (seconds). `local_s` is the value of a worker without a fleet,
    /// which applies while other workers have headroom. Otherwise retries are spread over the period in the digest, or a
    /// longer one for tiers below the shedding level.
    #[must_use]
    pub fn retry_after_s(&self, tier: usize, local_s: f64) -> f64 {
        let Some(digest) = self.digest() else { return local_s };
        if !is_at_capacity(digest) {
            return local_s;
        }
        let tiers_below_level = tier.saturating_sub(digest.level.tier.min(tier)) as f64;
        let spread_s = f64::from(digest.spread_s) * (1.0 + SPREAD_PER_TIER * tiers_below_level);
        local_s.max(spread_s * (0.5 + self.random()))
    }

    /// Whether a call is skipped because the circuit is open. Requests do not wait for a skipped call.
    #[must_use]
    pub fn skips_call(&self, is_idempotent: bool) -> bool {
        self.digest().is_some_and(|digest| digest.circuit_open && !(digest.is_prober && is_idempotent))
    }

    /// Whether a call may be made now: with an open circuit, only the prober's idempotent calls, one per `PROBE_INTERVAL_S`.
    #[must_use]
    pub fn may_call(&self, is_idempotent: bool) -> bool {
        let probe_due = self.now - self.last_call_at >= PROBE_INTERVAL_S;
        !self.skips_call(is_idempotent) && (probe_due || !self.is_circuit_open())
    }

    /// Records that a call has started.
    pub fn call_started(&mut self) {
        self.last_call_at = self.now;
    }

    /// Records that a call has ended after `duration_s` seconds.
    pub fn call_ended(&mut self, succeeded: bool, duration_s: f64) {
        if succeeded {
            self.counts.calls_succeeded += 1;
            self.counts.call_time_s += duration_s.max(0.0);
        } else {
            self.counts.calls_failed += 1;
        }
    }

    /// Records the state of admission control: its estimated capacity (requests per second), and the number and priority
    /// weight, by tier, of the requests that wait for a downstream call.
    pub fn record_state<'a>(&mut self, capacity: f64, waiting: impl Iterator<Item = (usize, &'a f64)>) {
        let mut sum = WaitingCalls::default();
        for (count, weight) in waiting {
            sum.count += count as f64;
            sum.weight += count as f64 * weight;
        }
        self.capacity = capacity;
        self.waiting = sum;
    }

    /// Takes the sample for a load report, and resets the counts. `served` and `rejected` count responses since the start.
    pub fn take_sample(&mut self, now: f64, served: u64, rejected: u64) -> LoadSample {
        let counts = std::mem::take(&mut self.counts);
        let completed = served.saturating_sub(self.sampled_responses.served);
        let all_rejected = rejected.saturating_sub(self.sampled_responses.rejected);
        let own_rejected = all_rejected.saturating_sub(self.shed_count.take());
        self.sampled_responses = ResponseCounts { served, rejected };
        let per_s = 1.0 / (now - self.sampled_at).max(MIN_SAMPLE_S);
        self.sampled_at = now;
        let tiers = counts.arrivals.iter().rposition(|count| *count > 0).map_or(0, |last| last + 1);
        LoadSample {
            arrivals: counts.arrivals[..tiers].iter().map(|count| *count as f64 * per_s).collect(),
            retries: counts.retries as f64 * per_s,
            rejected: own_rejected as f64 * per_s,
            // The capacity is at least the rate at which requests were completed since the last sample.
            capacity: self.capacity.max(completed as f64 * per_s),
            calls_succeeded: counts.calls_succeeded as f64 * per_s,
            calls_failed: counts.calls_failed as f64 * per_s,
            call_s: counts.call_time_s / (counts.calls_succeeded.max(1)) as f64,
            wanted_calls: if self.base_calls.is_finite() { self.waiting.count } else { 0.0 },
            weight: self.waiting.weight / self.waiting.count.max(1.0),
            spare_calls: self.spare_calls(),
        }
    }

    /// The part of the base allocation that the worker does not need (calls in flight).
    fn spare_calls(&self) -> f64 {
        let spare = self.base_calls - self.peak_calls - (self.base_calls * SPARE_MARGIN).max(1.0);
        let can_lend =
            spare.is_finite() && self.base_calls >= MIN_LENDABLE_CALLS && self.waiting.count == 0.0;
        if can_lend {
            spare.max(0.0)
        } else {
            0.0
        }
    }

    /// Metrics of the current directive for the console, by name.
    #[must_use]
    pub fn metrics(&self) -> Vec<(&'static str, String)> {
        let Some(OverloadDirective { digest, lent_calls, .. }) = &self.directive else { return Vec::new() };
        let level = digest.level;
        let level =
            if level.is_open() { "open".to_owned() } else { format!("{}+{:.2}", level.tier, level.share) };
        vec![
            ("fresh", u64::from(self.digest().is_some()).to_string()),
            ("level", level),
            ("of_workers", digest.workers.to_string()),
            ("view_age_ms", digest.age_ms.to_string()),
            ("retries_pass", format!("{:.2}", digest.retry_share)),
            ("calls_part", format!("{:.2}", digest.call_share)),
            ("given_up", u64::from(digest.circuit_open).to_string()),
            ("trial", u64::from(digest.is_prober).to_string()),
            ("calls_lent", format!("{lent_calls:.2}")),
            ("calls_slice", format!("{:.2}", digest.slice)),
        ]
    }
}

/// Whether the digest sheds load, opens the downstream circuit, or limits retries.
fn is_at_capacity(digest: &FleetDigest) -> bool {
    !digest.level.is_open() || digest.circuit_open || digest.retry_share < 1.0
}

#[cfg(test)]
mod tests;
