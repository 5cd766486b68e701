//! A worker's side of the overload protocol: creates load reports, receives digests, and tracks their validity.

use super::capacity_leases::{CapacityClient, SliceGrant, SLICE_S};
use super::service::DIGEST_VALID_S;
use super::{FleetDigest, LoadReport};

/// Maximum number of unanswered reports that are tracked.
const MAX_OUTSTANDING: usize = 8;
/// Digits sent of each value beyond the first significant one: precise enough for every decision, and short on the wire.
const REPORT_DIGITS: i32 = 3;
/// Values below this one are rounded to the same unit as this one.
const MIN_ROUNDED: f64 = 1e-6;

/// A worker's load since the last sample, as measured by its admission control. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// First attempts by tier.
    pub arrivals: Vec<f64>,
    /// Retries of all tiers.
    pub retries: f64,
    /// Requests that this worker rejected on its own, retries among them; without those that the fleet's decisions rejected.
    pub rejected: f64,
    /// Requests that this worker can complete.
    pub capacity: f64,
    /// Downstream calls that succeeded.
    pub calls_succeeded: f64,
    /// Downstream calls that failed or were rejected.
    pub calls_failed: f64,
    /// Mean duration of successful downstream calls (seconds).
    pub call_s: f64,
    /// Downstream calls waiting for capacity (calls in flight).
    pub wanted_calls: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
    /// The part of the base allocation that this worker does not need (calls in flight).
    pub spare_calls: f64,
}

/// The fleet's decisions in the form that a worker's admission control applies. Times are on the receiver's clock (seconds).
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadDirective {
    /// The latest digest, with its slice set to the one that is currently valid.
    pub digest: FleetDigest,
    /// When the digest expires.
    pub valid_until: f64,
    /// When its slice expires.
    pub slice_valid_until: f64,
    /// The part of the worker's base allocation that is lent; in force whether or not the digest is valid (calls in flight).
    pub lent_calls: f64,
}

/// A digest and its expiry.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: FleetDigest,
    valid_until: f64,
}

/// A report that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingReport {
    number: u64,
    sent_at: f64,
}

/// Protocol state of one worker: outstanding reports and the latest digest.
#[derive(Clone, Debug)]
pub struct FleetOverloadClient {
    capacity: CapacityClient,
    /// The share by which clocks may drift apart.
    drift: f64,
    latest: Option<ReceivedDigest>,
    /// In sending order.
    outstanding: Vec<OutstandingReport>,
}

impl FleetOverloadClient {
    /// Creates a client without a digest. `base_calls` is this worker's base allocation (calls in flight), `drift` the share
    /// by which clocks may drift apart.
    #[must_use]
    pub fn new(now: f64, base_calls: f64, drift: f64) -> FleetOverloadClient {
        FleetOverloadClient {
            capacity: CapacityClient::new(now, base_calls, drift),
            drift,
            latest: None,
            outstanding: Vec::new(),
        }
    }

    /// Creates the report to send now with the heartbeat numbered `number`.
    pub fn report(&mut self, now: f64, number: u64, sample: &LoadSample) -> LoadReport {
        let offer = self.capacity.report(now, number, sample.spare_calls);
        self.outstanding.push(OutstandingReport { number, sent_at: now });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.remove(0);
        }
        LoadReport {
            number,
            last_digest: offer.last_digest,
            arrivals: sample.arrivals.iter().map(|rate| round(*rate)).collect(),
            retries: round(sample.retries),
            rejected: round(sample.rejected),
            capacity: round(sample.capacity),
            calls_succeeded: round(sample.calls_succeeded),
            calls_failed: round(sample.calls_failed),
            call_s: round(sample.call_s),
            wanted_calls: round(sample.wanted_calls),
            weight: round(sample.weight),
            circuit_open: self.applies_open_circuit(now),
            lent_calls: offer.lent_calls as f32,
        }
    }

    fn applies_open_circuit(&self, now: f64) -> bool {
        self.latest.as_ref().is_some_and(|latest| latest.digest.circuit_open && now < latest.valid_until)
    }

    /// Processes the digest that answers the report numbered `report`. Digests with values out of range, and those that
    /// answer no outstanding report, are ignored.
    pub fn receive(&mut self, report: u64, digest: &FleetDigest) {
        if !digest.is_valid() {
            return;
        }
        let Some(index) = self.outstanding.iter().position(|sent| sent.number == report) else { return };
        let sent_at = self.outstanding[index].sent_at;
        self.outstanding.drain(..=index);
        let grant = SliceGrant { digest: digest.number, slice: f64::from(digest.slice) };
        self.capacity.receive(report, grant);
        let valid_until = sent_at + DIGEST_VALID_S * (1.0 - self.drift);
        self.latest = Some(ReceivedDigest { digest: digest.clone(), valid_until });
    }

    /// Called when the session continues over a new link. Messages on the old link are lost; the digest stays valid until it
    /// expires.
    pub fn reconnected(&mut self) {
        self.capacity.reconnected();
        self.outstanding.clear();
    }

    /// The directive in force at `now`, with times on the same clock.
    #[must_use]
    pub fn directive(&self, now: f64) -> OverloadDirective {
        let current = self.capacity.current(now);
        let (mut digest, valid_until) = match &self.latest {
            Some(latest) => (latest.digest.clone(), latest.valid_until),
            None => (FleetDigest::default(), f64::NEG_INFINITY),
        };
        digest.slice = current.slice as f32;
        // A digest and its slice are valid for different times from the same moment, when the report was sent.
        let slice_valid_until = if current.slice > 0.0 {
            valid_until - (DIGEST_VALID_S - SLICE_S) * (1.0 - self.drift)
        } else {
            now
        };
        OverloadDirective { digest, valid_until, slice_valid_until, lent_calls: current.lent }
    }
}

/// Rounds to [`REPORT_DIGITS`] digits beyond the first significant one, but never more coarsely than to a whole number.
fn round(value: f64) -> f32 {
    let exponent = value.abs().max(MIN_ROUNDED).log10().floor() as i32 - REPORT_DIGITS;
    let unit = 10f64.powi(exponent.min(0));
    ((value / unit).round() * unit) as f32
}

#[cfg(test)]
mod tests;
