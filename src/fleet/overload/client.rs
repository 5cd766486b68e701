//! A worker's side of the protocol: its load reports, the digests that answer them, and how long those are valid.

use super::capacity_leases::{CapacityClient, SliceGrant, SLICE_S};
use super::service::DIGEST_VALID_S;
use super::{FleetDigest, LoadReport};

/// Most unanswered reports that are retained.
const MAX_OUTSTANDING: usize = 8;
/// Digits that are sent of each value beyond the first significant one: enough for every decision, in a short report.
const REPORT_DIGITS: i32 = 3;
/// Values below this are rounded to the digits of this one.
const MIN_ROUNDED: f64 = 1e-6;

/// A worker's load since the last sample, as its admission control has counted it. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// First attempts by tier.
    pub arrivals: Vec<f64>,
    /// Retries of all tiers.
    pub retries: f64,
    /// First attempts that this worker rejected by itself.
    pub rejected: f64,
    /// Requests that this worker can complete.
    pub capacity: f64,
    /// Downstream calls that succeeded.
    pub calls_succeeded: f64,
    /// Downstream calls that failed or were rejected.
    pub calls_failed: f64,
    /// Mean duration of downstream calls that succeeded (seconds).
    pub call_s: f64,
    /// Downstream calls that wait for capacity (calls in flight).
    pub wanted_calls: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
    /// The part of its base allocation that it does not need (calls in flight).
    pub spare_calls: f64,
}

/// What a worker's admission control applies of the fleet's decisions. Times are on the clock of the receiver (seconds).
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadDirective {
    /// The latest digest, with the slice that is valid now.
    pub digest: FleetDigest,
    /// When the digest expires.
    pub valid_until: f64,
    /// When its slice expires.
    pub slice_valid_until: f64,
    /// The part of the worker's base allocation that is lent, whether or not the digest is valid (calls in flight).
    pub lent_calls: f64,
}

/// A digest, and when it expires.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: FleetDigest,
    valid_until: f64,
}

/// A report whose answer may still arrive.
#[derive(Clone, Copy, Debug)]
struct OutstandingReport {
    number: u64,
    sent_at: f64,
}

/// One worker's reports and the digests that it has received.
#[derive(Clone, Debug)]
pub struct FleetOverloadClient {
    capacity: CapacityClient,
    drift: f64,
    latest: Option<ReceivedDigest>,
    /// In the order in which they were sent.
    outstanding: Vec<OutstandingReport>,
}

impl FleetOverloadClient {
    /// A client without a digest. `base_calls` is this worker's base allocation (calls in flight), `drift` the share by which
    /// clocks may drift apart.
    #[must_use]
    pub fn new(now: f64, base_calls: f64, drift: f64) -> FleetOverloadClient {
        FleetOverloadClient {
            capacity: CapacityClient::new(now, base_calls, drift),
            drift,
            latest: None,
            outstanding: Vec::new(),
        }
    }

    /// Makes the report that is sent now, with the heartbeat of this sequence number.
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

    /// Handles the digest that answers the report of this number. One that is out of range or answers no outstanding
    /// report is ignored.
    pub fn receive(&mut self, report: u64, digest: &FleetDigest) {
        if !digest.is_sound() {
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

    /// Handles that the session goes on over another link: messages on the old one are lost, the digest stays until it
    /// expires.
    pub fn reconnected(&mut self) {
        self.capacity.reconnected();
        self.outstanding.clear();
    }

    /// The directive at `now`, on the same clock.
    #[must_use]
    pub fn directive(&self, now: f64) -> OverloadDirective {
        let current = self.capacity.current(now);
        let (mut digest, valid_until) = match &self.latest {
            Some(latest) => (latest.digest.clone(), latest.valid_until),
            None => (FleetDigest::default(), f64::NEG_INFINITY),
        };
        digest.slice = current.slice as f32;
        let slice_valid_until = if current.slice > 0.0 {
            valid_until - (DIGEST_VALID_S - SLICE_S) * (1.0 - self.drift)
        } else {
            now
        };
        OverloadDirective { digest, valid_until, slice_valid_until, lent_calls: current.lent }
    }
}

/// Rounds to [`REPORT_DIGITS`] digits beyond the first significant one.
fn round(value: f64) -> f32 {
    let exponent = value.abs().max(MIN_ROUNDED).log10().floor() as i32 - REPORT_DIGITS;
    let unit = 10f64.powi(exponent.min(0));
    ((value / unit).round() * unit) as f32
}

#[cfg(test)]
mod tests;
