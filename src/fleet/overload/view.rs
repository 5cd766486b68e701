//! Outlier-robust aggregation of load reports. Each worker's values are bounded by `MAX_OUTLIER_FACTOR` and
//! `MAX_ARRIVALS_FACTOR`, which limits how far wrong values from one worker shift a sum. Workers that have stopped
//! reporting, or that repeat the same measurements under load, are excluded.

use super::{LoadReport, MAX_TIERS};
use std::collections::BTreeMap;

/// Age beyond which a report is excluded (seconds): five reporting intervals.
pub const STALE_AFTER_S: f64 = 2.5;
/// Time after which a worker under load is excluded if its measurements have not changed (seconds).
const FROZEN_AFTER_S: f64 = 3.0;
/// Time without a report after which a worker is removed (seconds).
const REMOVE_AFTER_S: f64 = 10.0;
/// A value is bounded to this multiple of the trimmed mean of all workers' values: the ratio of a worker with 16 cores to one
/// with 2.
const MAX_OUTLIER_FACTOR: f64 = 8.0;
/// Share of the values, from the highest down, that is excluded from the trimmed mean; always at least one value.
const TRIMMED_SHARE: f64 = 0.05;
/// A worker's arrivals are bounded to this multiple of its capacity.
const MAX_ARRIVALS_FACTOR: f64 = 3.0;

/// The latest report of a worker.
#[derive(Clone, Debug)]
struct LatestReport {
    zone: String,
    load: LoadReport,
    received_at: f64,
    /// When the worker's measurements last changed.
    changed_at: f64,
}

impl LatestReport {
    fn is_live(&self, now: f64) -> bool {
        let is_busy = self.load.retries + self.load.arrivals.iter().sum::<f32>() > 0.0;
        let is_frozen = is_busy && now - self.changed_at > FROZEN_AFTER_S;
        now - self.received_at <= STALE_AFTER_S && !is_frozen
    }
}

/// Aggregate load of the fleet or of one zone. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSums {
    /// Number of workers included.
    pub workers: usize,
    /// Age of the oldest report (seconds).
    pub age_s: f64,
    /// First attempts by tier.
    pub arrivals: [f64; MAX_TIERS],
    /// Retries of all tiers.
    pub retries: f64,
    /// Requests that the workers' own admission control rejected, retries among them.
    pub rejected: f64,
    /// Requests that the workers' cores can complete.
    pub capacity: f64,
    /// Downstream calls that succeeded.
    pub calls_succeeded: f64,
    /// Downstream calls that failed or were rejected.
    pub calls_failed: f64,
    /// Median of the workers' mean durations of successful calls (seconds).
    pub call_s: f64,
}

/// The latest report of each worker, by session number.
#[derive(Clone, Debug, Default)]
pub struct FleetLoadView {
    reports: BTreeMap<u64, LatestReport>,
}

impl FleetLoadView {
    /// Stores a worker's report. Returns `false` if it is ignored, because its values are out of range or its number does not
    /// exceed that of the last report.
    pub fn receive(&mut self, now: f64, worker: u64, zone: &str, load: &LoadReport) -> bool {
        if !load.is_valid() {
            return false;
        }
        let changed_at = match self.reports.get(&worker) {
            Some(known) if load.number <= known.load.number => return false,
            Some(known) if known.load.has_same_measurements(load) => known.changed_at,
            _ => now,
        };
        let latest = LatestReport { zone: zone.to_owned(), load: load.clone(), received_at: now, changed_at };
        self.reports.insert(worker, latest);
        true
    }

    /// Removes a worker that has left the fleet.
    pub fn remove(&mut self, worker: u64) {
        self.reports.remove(&worker);
    }

    /// The zones of all known workers, sorted.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.reports.values().map(|report| report.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The sums over one zone, or over the whole fleet if `zone` is `None`.
    pub fn sums(&mut self, now: f64, zone: Option<&str>) -> LoadSums {
        self.reports.retain(|_, report| now - report.received_at < REMOVE_AFTER_S);
        let live: Vec<&LatestReport> = self.reports.values().filter(|report| report.is_live(now)).collect();
        let is_included = |report: &&&LatestReport| zone.is_none_or(|zone| report.zone == zone);
        let included: Vec<&LatestReport> = live.iter().filter(is_included).copied().collect();
        let sum = |value: fn(&LoadReport) -> f32| bounded_sum(&live, &included, value);
        LoadSums {
            workers: included.len(),
            age_s: included.iter().map(|report| now - report.received_at).fold(0.0, f64::max),
            arrivals: bounded_arrivals(&live, &included),
            retries: sum(|load| load.retries),
            rejected: sum(|load| load.rejected),
            capacity: sum(|load| load.capacity),
            calls_succeeded: sum(|load| load.calls_succeeded),
            calls_failed: sum(|load| load.calls_failed),
            call_s: median_call_s(&included),
        }
    }
}

/// Upper bound for one worker's value: `MAX_OUTLIER_FACTOR` times the trimmed mean of the whole fleet. The mean of a zone
/// would be less robust: in a zone of two workers, it would be the lower of their values.
fn outlier_bound(live: &[&LatestReport], value: fn(&LoadReport) -> f32) -> f64 {
    let mut values: Vec<f64> = live.iter().map(|report| f64::from(value(&report.load))).collect();
    values.sort_by(f64::total_cmp);
    let trimmed = ((values.len() as f64 * TRIMMED_SHARE) as usize).max(1);
    let kept = values.len().saturating_sub(trimmed);
    if kept == 0 {
        // There is no other worker to compare with.
        return f64::INFINITY;
    }
    MAX_OUTLIER_FACTOR * values[..kept].iter().sum::<f64>() / kept as f64
}

/// The sum of a value over the included workers, with each worker's value bounded.
fn bounded_sum(live: &[&LatestReport], included: &[&LatestReport], value: fn(&LoadReport) -> f32) -> f64 {
    let bound = outlier_bound(live, value);
    included.iter().map(|report| f64::from(value(&report.load)).min(bound)).sum()
}

/// First attempts by tier. A worker's arrivals are bounded to `MAX_ARRIVALS_FACTOR` times its capacity, so that a worker that
/// reports many arrivals and no capacity has no effect.
fn bounded_arrivals(live: &[&LatestReport], included: &[&LatestReport]) -> [f64; MAX_TIERS] {
    let capacity_bound = outlier_bound(live, |load| load.capacity);
    let mut sums = [0.0; MAX_TIERS];
    for report in included {
        let load = &report.load;
        let total: f64 = load.arrivals.iter().map(|rate| f64::from(*rate)).sum();
        let bound = f64::from(load.capacity).min(capacity_bound) * MAX_ARRIVALS_FACTOR;
        let counted_share = if total > bound { bound / total } else { 1.0 };
        for (sum, rate) in sums.iter_mut().zip(&load.arrivals) {
            *sum += f64::from(*rate) * counted_share;
        }
    }
    sums
}

/// The median of the workers' means, so that one worker with slow calls does not make the service appear slow.
fn median_call_s(included: &[&LatestReport]) -> f64 {
    let with_calls = included.iter().filter(|report| report.load.calls_succeeded > 0.0);
    let mut durations: Vec<f32> = with_calls.map(|report| report.load.call_s).collect();
    durations.sort_by(f32::total_cmp);
    let middle = durations.len().saturating_sub(1) / 2;
    durations.get(middle).map_or(0.0, |duration| f64::from(*duration))
}

#[cfg(test)]
mod tests;
