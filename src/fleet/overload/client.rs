//! A worker's side of the protocol, beside its session: what it reports, and how long it may go by the answers.

use super::capacity_leases::{CapacityClient, SLICE_S};
use super::service::DIGEST_VALID_S;
use super::{FleetDigest, LoadReport};

/// Most unanswered reports that are remembered.
const MAX_OUTSTANDING: usize = 8;
/// Decimal places that are kept beyond the first significant one: enough for every decision, and a short report.
const REPORT_DIGITS: i32 = 3;
/// Smaller values are rounded as this one is.
const MIN_ROUNDED: f64 = 1e-6;

/// What the worker's decision module has counted since the last sample. Rates are as in [`LoadReport`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// First attempts by tier.
    pub arrivals: Vec<f64>,
    /// Retries of all tiers.
    pub retries: f64,
    /// First attempts that its own admission control rejected.
    pub rejected: f64,
    /// Requests that it could complete.
    pub capacity: f64,
    /// Downstream calls that succeeded.
    pub calls_succeeded: f64,
    /// Downstream calls that failed or were rejected.
    pub calls_failed: f64,
    /// Mean duration of downstream calls that succeeded (seconds).
    pub call_s: f64,
    /// Calls in flight that it would make beyond its capacity.
    pub wants: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
    /// Calls in flight of its base allocation that it does not need.
    pub spare: f64,
}

/// What the decision module goes by. Times are on the clock of whoever is told.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadDirective {
    /// The latest digest, with the slice that is valid now.
    pub digest: FleetDigest,
    /// Until when the digest is valid.
    pub until: f64,
    /// Until when its slice is valid.
    pub slice_until: f64,
    /// What is lent of the worker's base allocation, whether or not the digest is valid (calls in flight).
    pub lent: f64,
}

/// A digest and until when it is valid.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: FleetDigest,
    until: f64,
}

/// A report that may still be answered.
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
    /// `base_calls` is what this worker may have in flight by itself, `drift` the share by which clocks may differ.
    #[must_use]
    pub fn new(now: f64, base_calls: f64, drift: f64) -> FleetOverloadClient {
        FleetOverloadClient {
            capacity: CapacityClient::new(now, base_calls, drift),
            drift,
            latest: None,
            outstanding: Vec::new(),
        }
    }

    /// The report that goes out now, with the heartbeat of this number.
    pub fn report(&mut self, now: f64, number: u64, sample: &LoadSample) -> LoadReport {
        let offer = self.capacity.report(now, number, sample.spare);
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
            wants: round(sample.wants),
            weight: round(sample.weight),
            circuit_open: self.goes_by_open_circuit(now),
            lends: offer.lends as f32,
        }
    }

    fn goes_by_open_circuit(&self, now: f64) -> bool {
        self.latest.as_ref().is_some_and(|latest| latest.digest.circuit_open && now < latest.until)
    }

    /// The answer to a heartbeat.
    pub fn receive(&mut self, report: u64, digest: &FleetDigest) {
        if !digest.is_sound() {
            return;
        }
        let Some(index) = self.outstanding.iter().position(|sent| sent.number == report) else { return };
        let sent_at = self.outstanding[index].sent_at;
        self.outstanding.drain(..=index);
        self.capacity.receive(report, digest.number, f64::from(digest.slice));
        let until = sent_at + DIGEST_VALID_S * (1.0 - self.drift);
        self.latest = Some(ReceivedDigest { digest: digest.clone(), until });
    }

    /// The session goes on over another link: messages on the old one are lost, the digest stays until it expires.
    pub fn reconnected(&mut self) {
        self.capacity.reconnected();
        self.outstanding.clear();
    }

    /// What the worker may go by now, on the same clock.
    #[must_use]
    pub fn directive(&self, now: f64) -> OverloadDirective {
        let current = self.capacity.current(now);
        let (mut digest, until) = match &self.latest {
            Some(latest) => (latest.digest.clone(), latest.until),
            None => (FleetDigest::default(), f64::NEG_INFINITY),
        };
        digest.slice = current.slice as f32;
        let slice_until =
            if current.slice > 0.0 { until - (DIGEST_VALID_S - SLICE_S) * (1.0 - self.drift) } else { now };
        OverloadDirective { digest, until, slice_until, lent: current.lent }
    }
}

/// Rounds to a few significant digits.
fn round(value: f64) -> f32 {
    let exponent = value.abs().max(MIN_ROUNDED).log10().floor() as i32 - REPORT_DIGITS;
    let unit = 10f64.powi(exponent.min(0));
    ((value / unit).round() * unit) as f32
}

#[cfg(test)]
mod tests;
