//! Per-zone state of the shared downstream service: overload detection, a circuit breaker with half-open probes, and the
//! gradual recovery after it.
//!
//! Guarantees to callers: each zone's circuit opens independently; at most one worker per zone makes probes, even across a
//! change of leader; successful probes restore only the minimum share of calls, which then grows in steps while latency
//! stays low.

use super::events::ServiceEvent;
use super::view::LoadSums;
use std::collections::BTreeMap;

/// The service counts as overloaded while its latency exceeds this multiple of the baseline.
const OVERLOADED_LATENCY_FACTOR: f64 = 2.2;
/// Factor by which the share of calls is multiplied at each evaluation while the service is overloaded.
const SHRINK_FACTOR: f64 = 0.7;
/// Lower bound for the share of calls to an overloaded service.
const MIN_CALL_SHARE: f64 = 0.25;
/// Amount by which the share of calls grows at each evaluation. At this rate the whole share is restored within two seconds;
/// each worker's own limit below it grows in smaller steps.
const RECOVERY_STEP: f64 = 0.25;
/// Smoothing factor of the baseline, per evaluation, for a latency below it.
const BASELINE_FALL_RATE: f64 = 0.25;
/// Smoothing factor of the baseline, per evaluation, for a latency above it.
const BASELINE_RISE_RATE: f64 = 0.002;
/// Minimum share of failed calls in a zone at which its circuit opens.
const FAILING_CALL_SHARE: f64 = 0.5;
/// Minimum rate of calls for their failures to be evaluated (calls per second).
const MIN_CALLS_PER_S: f64 = 1.0;
/// How long failures have to last before the circuit opens (seconds).
const FAILING_DELAY_S: f64 = 0.4;
/// Number of evaluations with successful probes, and no failed one since the first of them, after which the circuit closes.
const PROBES_TO_CLOSE: u32 = 3;
/// How long a digest is valid after the worker sent its report (seconds).
pub const DIGEST_VALID_S: f64 = 2.0;
/// Time without a report after which another worker replaces the prober, and time for which a new leader waits before it
/// appoints its first prober (seconds). By then the digest of any previous prober has expired.
const PROBER_TIMEOUT_S: f64 = DIGEST_VALID_S * 1.25;

/// The worker that makes a zone's probes while the circuit is open.
#[derive(Clone, Copy, Debug)]
struct Prober {
    worker: u64,
    last_report_at: f64,
}

/// One zone's circuit breaker.
#[derive(Clone, Debug)]
struct ZoneCircuit {
    /// Share of their downstream capacity that the zone's workers may use.
    call_share: f64,
    /// Baseline latency of successful calls (seconds); infinite until a call has succeeded.
    baseline_s: f64,
    failing_since: Option<f64>,
    is_open: bool,
    prober: Option<Prober>,
    /// No prober is appointed before this time.
    prober_allowed_from: f64,
    /// Number of evaluations with successful probes since the last failed one.
    consecutive_successes: u32,
}

/// The state of the service as it applies to one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceState {
    /// Share of its downstream capacity that the worker may use.
    pub call_share: f64,
    /// Whether the circuit is open.
    pub circuit_open: bool,
    /// Whether this worker makes the half-open probes.
    pub is_prober: bool,
}

/// The state of one zone, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneState<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Share of their downstream capacity that the zone's workers may use.
    pub call_share: f64,
    /// Whether the circuit is open.
    pub circuit_open: bool,
    /// Session number of the worker that makes the half-open probes.
    pub prober: Option<u64>,
}

/// State of the downstream service, by zone.
#[derive(Clone, Debug)]
pub struct DownstreamService {
    prober_allowed_from: f64,
    zones: BTreeMap<String, ZoneCircuit>,
}

impl DownstreamService {
    /// Creates the state of a leader whose term begins now.
    #[must_use]
    pub fn new(now: f64) -> DownstreamService {
        DownstreamService { prober_allowed_from: now + PROBER_TIMEOUT_S, zones: BTreeMap::new() }
    }

    fn circuit(&mut self, zone: &str) -> &mut ZoneCircuit {
        let prober_allowed_from = self.prober_allowed_from;
        self.zones.entry(zone.to_owned()).or_insert_with(|| ZoneCircuit::closed(prober_allowed_from))
    }

    /// Processes a worker's report. `circuit_open` tells whether the circuit is open in the digest that the worker applies. A
    /// new leader adopts an open circuit; otherwise all workers would resume their calls at once after a change of leader.
    pub fn receive_report(&mut self, now: f64, worker: u64, zone: &str, circuit_open: bool) {
        let is_new_leader = now < self.prober_allowed_from;
        let circuit = self.circuit(zone);
        if circuit_open && is_new_leader && !circuit.is_open {
            circuit.is_open = true;
            circuit.call_share = MIN_CALL_SHARE;
        }
        circuit.update_prober(now, worker);
    }

    /// Evaluates a zone's new sums, and returns the resulting state change, if any.
    pub fn evaluate(&mut self, now: f64, zone: &str, sums: &LoadSums) -> Option<ServiceEvent> {
        let circuit = self.circuit(zone);
        if circuit.is_open {
            return circuit.evaluate_probes(zone, sums);
        }
        if circuit.is_failing(now, sums) {
            circuit.open();
            let calls = sums.calls_succeeded + sums.calls_failed;
            return Some(ServiceEvent::CircuitOpened {
                zone: zone.to_owned(),
                calls_per_s: calls,
                failed_per_s: sums.calls_failed,
            });
        }
        circuit.evaluate_latency(zone, sums)
    }

    /// The state of the service for a worker in a zone.
    #[must_use]
    pub fn state_for(&self, worker: u64, zone: &str) -> ServiceState {
        let Some(circuit) = self.zones.get(zone) else {
            return ServiceState { call_share: 1.0, circuit_open: false, is_prober: false };
        };
        ServiceState {
            call_share: circuit.call_share,
            circuit_open: circuit.is_open,
            is_prober: circuit.active_prober() == Some(worker),
        }
    }

    /// Whether calls are limited in any zone.
    #[must_use]
    pub fn limits_calls(&self) -> bool {
        self.zones.values().any(|circuit| circuit.is_open || circuit.call_share < 1.0)
    }

    /// The state of all zones, sorted by name.
    pub fn zones(&self) -> impl Iterator<Item = ZoneState<'_>> {
        self.zones.iter().map(|(zone, circuit)| ZoneState {
            zone,
            call_share: circuit.call_share,
            circuit_open: circuit.is_open,
            prober: circuit.active_prober(),
        })
    }

    /// Removes all zones that are not listed.
    pub fn retain_zones(&mut self, zones: &[String]) {
        self.zones.retain(|zone, _| zones.contains(zone));
    }
}

impl ZoneCircuit {
    fn closed(prober_allowed_from: f64) -> ZoneCircuit {
        ZoneCircuit {
            call_share: 1.0,
            baseline_s: f64::INFINITY,
            failing_since: None,
            is_open: false,
            prober: None,
            prober_allowed_from,
            consecutive_successes: 0,
        }
    }

    /// The worker that currently makes probes; `None` while the circuit is closed.
    fn active_prober(&self) -> Option<u64> {
        self.prober.filter(|_| self.is_open).map(|prober| prober.worker)
    }

    /// Records a worker's report, and appoints the worker as prober if there is none or the current one stopped reporting.
    fn update_prober(&mut self, now: f64, worker: u64) {
        match &mut self.prober {
            Some(prober) if prober.worker == worker => prober.last_report_at = now,
            Some(prober) if now - prober.last_report_at < PROBER_TIMEOUT_S => {}
            _ if now < self.prober_allowed_from => {}
            _ => self.prober = Some(Prober { worker, last_report_at: now }),
        }
    }

    /// Whether calls have been failing for long enough to open the circuit.
    fn is_failing(&mut self, now: f64, sums: &LoadSums) -> bool {
        let calls = sums.calls_succeeded + sums.calls_failed;
        let is_failing_now = calls >= MIN_CALLS_PER_S && sums.calls_failed >= FAILING_CALL_SHARE * calls;
        self.failing_since = is_failing_now.then(|| self.failing_since.unwrap_or(now));
        self.failing_since.is_some_and(|since| now - since >= FAILING_DELAY_S)
    }

    fn open(&mut self) {
        self.is_open = true;
        self.call_share = MIN_CALL_SHARE;
        self.consecutive_successes = 0;
        self.failing_since = None;
    }

    fn close(&mut self) {
        self.is_open = false;
        self.call_share = MIN_CALL_SHARE;
        self.consecutive_successes = 0;
    }

    /// Adjusts the share of calls to the latency.
    fn evaluate_latency(&mut self, zone: &str, sums: &LoadSums) -> Option<ServiceEvent> {
        let share_before = self.call_share;
        if sums.calls_succeeded > 0.0 && sums.call_s > 0.0 {
            if sums.call_s > OVERLOADED_LATENCY_FACTOR * self.baseline_s {
                self.call_share = (self.call_share * SHRINK_FACTOR).max(MIN_CALL_SHARE);
            } else {
                self.grow_call_share();
            }
            self.update_baseline(sums.call_s);
        } else if sums.calls_succeeded + sums.calls_failed == 0.0 {
            // Without calls, nothing shows that the service is still overloaded.
            self.grow_call_share();
        }
        let starts_to_shrink = self.call_share < share_before && share_before >= 1.0;
        starts_to_shrink.then(|| ServiceEvent::CallsReduced {
            zone: zone.to_owned(),
            call_s: sums.call_s,
            baseline_s: self.baseline_s,
        })
    }

    fn grow_call_share(&mut self) {
        self.call_share = (self.call_share + RECOVERY_STEP).min(1.0);
    }

    fn update_baseline(&mut self, call_s: f64) {
        let rate = if call_s < self.baseline_s { BASELINE_FALL_RATE } else { BASELINE_RISE_RATE };
        self.baseline_s = if self.baseline_s.is_finite() {
            self.baseline_s + (call_s - self.baseline_s) * rate
        } else {
            call_s
        };
    }

    /// Closes the circuit after [`PROBES_TO_CLOSE`] evaluations with successful probes. A failed probe restarts the count;
    /// evaluations without a probe leave it unchanged.
    fn evaluate_probes(&mut self, zone: &str, sums: &LoadSums) -> Option<ServiceEvent> {
        if sums.calls_failed > 0.0 {
            self.consecutive_successes = 0;
        } else if sums.calls_succeeded > 0.0 {
            self.consecutive_successes += 1;
        }
        if self.consecutive_successes < PROBES_TO_CLOSE {
            return None;
        }
        self.close();
        Some(ServiceEvent::CircuitClosed { zone: zone.to_owned(), call_share: MIN_CALL_SHARE })
    }
}

#[cfg(test)]
mod tests;
