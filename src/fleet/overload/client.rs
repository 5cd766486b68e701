//! A worker's side beside its session: what it reports, and what it may go by of the answers, and for how long.

use super::capacity_leases::{CapacityClient, SLICE_S};
use super::service::VIEW_S;
use super::{FleetDigest, LoadReport};

/// What the worker's decision module has counted since it was asked last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Rates as in [`LoadReport`].
    pub arrivals: Vec<f64>,
    pub further: f64,
    pub refused: f64,
    pub capacity: f64,
    pub calls_good: f64,
    pub calls_bad: f64,
    pub call_s: f64,
    /// Calls in hand that it would make beyond what it may, what one is worth, and calls of its part that it can spare.
    pub wants: f64,
    pub weight: f64,
    pub spare: f64,
}

/// What the decision module goes by. Times are on the clock of whoever is told.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadDirective {
    pub digest: FleetDigest,
    /// Until when the view counts, and the slice.
    pub until: f64,
    pub slice_until: f64,
    /// What is lent of the worker's part, whatever the view.
    pub lent: f64,
}

#[derive(Clone, Debug)]
pub struct FleetOverloadClient {
    part: CapacityClient,
    drift: f64,
    digest: Option<(FleetDigest, f64)>,
    /// When reports went out whose digest may come: number and time. The newest is the last.
    sent: Vec<(u64, f64)>,
}

/// Reports without an answer that are remembered.
const SENT_MOST: usize = 8;

impl FleetOverloadClient {
    /// `part` is what this worker may have in hand by itself.
    pub fn new(now: f64, part: f64, drift: f64) -> FleetOverloadClient {
        FleetOverloadClient {
            part: CapacityClient::new(now, part, drift),
            drift,
            digest: None,
            sent: Vec::new(),
        }
    }

    /// The report that goes out now with the sign of life of this number.
    pub fn report(&mut self, now: f64, number: u64, n: &LoadSample) -> LoadReport {
        let (lends, heard) = self.part.report(now, number, n.spare);
        self.sent.push((number, now));
        if self.sent.len() > SENT_MOST {
            self.sent.remove(0);
        }
        // Three digits tell all that matters, and keep the report short.
        let short = |x: f64| {
            let unit = 10f64.powi((x.abs().max(1e-6).log10().floor() as i32 - 3).min(0));
            ((x / unit).round() * unit) as f32
        };
        LoadReport {
            number,
            heard,
            arrivals: n.arrivals.iter().map(|a| short(*a)).collect(),
            further: short(n.further),
            refused: short(n.refused),
            capacity: short(n.capacity),
            calls_good: short(n.calls_good),
            calls_bad: short(n.calls_bad),
            call_s: short(n.call_s),
            wants: short(n.wants),
            weight: short(n.weight),
            gives_up: self.digest.as_ref().is_some_and(|(d, until)| d.given_up && now < *until),
            lends: lends as f32,
        }
    }

    /// The answer to a sign of life.
    pub fn receive(&mut self, number: u64, digest: &FleetDigest) {
        if !digest.is_sound() {
            return;
        }
        let Some(at) = self.sent.iter().position(|(sent, _)| *sent == number) else { return };
        let (_, sent) = self.sent[at];
        self.sent.drain(..=at);
        self.part.heard(number, digest.number, f64::from(digest.slice));
        self.digest = Some((digest.clone(), sent + VIEW_S * (1.0 - self.drift)));
    }

    /// Another link: what was on the old one is lost, and the view goes on until it is too old.
    pub fn reconnected(&mut self) {
        self.part.relinked();
        self.sent.clear();
    }

    /// What the worker may go by now, on the same clock.
    pub fn directive(&self, now: f64) -> OverloadDirective {
        let (lent, slice) = self.part.now(now);
        let (mut digest, until) = self.digest.clone().unwrap_or((FleetDigest::default(), f64::NEG_INFINITY));
        digest.slice = slice as f32;
        let slice_until = if slice > 0.0 { until - (VIEW_S - SLICE_S) * (1.0 - self.drift) } else { now };
        OverloadDirective { digest, until, slice_until, lent }
    }
}

#[cfg(test)]
mod tests;
