//! What is believed of the fleet's sums. A worker that reports nonsense shifts nothing by more than a few workers' shares; one
//! that has fallen silent, or says the same over and over while it claims to be busy, is left out.

use super::{LoadReport, MAX_TIERS};
use std::collections::BTreeMap;

/// A report older than this is left out (seconds): five that should have come.
pub const STALE_S: f64 = 2.5;
/// Figures that have not moved by a hair for so long, under load, are frozen (seconds).
const FROZEN_S: f64 = 3.0;
/// A figure counts for at most so many times the mean of the others: workers of 2 and of 16 cores are that far apart.
const SPREAD_MOST: f64 = 8.0;
/// The highest reports are left out of that mean: so large a share of all, but one at least.
const TRIMMED: f64 = 0.05;
/// What comes to a worker counts for at most so many times what it can do.
const FLOOD_MOST: f64 = 3.0;
/// A worker that has said nothing for so long is forgotten (seconds).
const FORGET_S: f64 = 10.0;

#[derive(Clone, Debug)]
struct Seen {
    zone: String,
    load: LoadReport,
    at: f64,
    /// When its figures last changed.
    moved: f64,
}

/// What the fleet, or a zone of it, comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sums {
    /// Workers in them, and the age of the oldest report (seconds).
    pub of: usize,
    pub age_s: f64,
    /// First tries a second by tier, further ones, and what the cores could end.
    pub arrivals: [f64; MAX_TIERS],
    pub further: f64,
    /// What the workers' own modules turned away.
    pub refused: f64,
    pub capacity: f64,
    /// Calls a second, and the usual length of good ones (seconds).
    pub calls_good: f64,
    pub calls_bad: f64,
    pub call_s: f64,
}

/// The reports that the leader has.
#[derive(Clone, Debug, Default)]
pub struct FleetLoadView {
    seen: BTreeMap<u64, Seen>,
}

impl FleetLoadView {
    /// A worker's report; `false` if it says nothing that can have been measured, or comes again.
    pub fn heard(&mut self, now: f64, worker: u64, zone: &str, load: &LoadReport) -> bool {
        if !load.is_sound() {
            return false;
        }
        let moved = match self.seen.get(&worker) {
            Some(seen) if load.number <= seen.load.number => return false,
            Some(seen) if seen.load.same_as(load) => seen.moved,
            _ => now,
        };
        self.seen.insert(worker, Seen { zone: zone.to_owned(), load: load.clone(), at: now, moved });
        true
    }

    pub fn gone(&mut self, worker: u64) {
        self.seen.remove(&worker);
    }

    fn counts(&self, now: f64, seen: &Seen) -> bool {
        let busy = seen.load.further + seen.load.arrivals.iter().sum::<f32>() > 0.0;
        now - seen.at <= STALE_S && !(busy && now - seen.moved > FROZEN_S)
    }

    /// Zones from which anything is known.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.seen.values().map(|s| s.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The sums of a zone, or of all.
    pub fn sums(&mut self, now: f64, zone: Option<&str>) -> Sums {
        self.seen.retain(|_, s| now - s.at < FORGET_S);
        let live: Vec<&Seen> = self.seen.values().filter(|s| self.counts(now, s)).collect();
        // Bounds come from the whole fleet: one of a zone's two workers must not be half of the measure against itself.
        let bound =
            |figure: &dyn Fn(&LoadReport) -> f32| bound(live.iter().map(|s| f64::from(figure(&s.load))));
        let here: Vec<&&Seen> = live.iter().filter(|s| zone.map_or(true, |z| s.zone == z)).collect();
        let sum = |figure: &dyn Fn(&LoadReport) -> f32| -> f64 {
            let most = bound(figure);
            here.iter().map(|s| f64::from(figure(&s.load)).min(most)).sum()
        };
        let mut sums = Sums {
            of: here.len(),
            age_s: here.iter().map(|s| now - s.at).fold(0.0, f64::max),
            further: sum(&|l| l.further),
            refused: sum(&|l| l.refused),
            capacity: sum(&|l| l.capacity),
            calls_good: sum(&|l| l.calls_good),
            calls_bad: sum(&|l| l.calls_bad),
            ..Sums::default()
        };
        // What comes to a worker counts up to a few times what it can do: who claims a flood and no cores shifts nothing.
        let capacity_most = bound(&|l| l.capacity);
        for seen in &here {
            let asked: f64 = seen.load.arrivals.iter().map(|a| f64::from(*a)).sum();
            let most = f64::from(seen.load.capacity).min(capacity_most) * FLOOD_MOST;
            let part = if asked > most { most / asked } else { 1.0 };
            let own = sums.arrivals.iter_mut().zip(&seen.load.arrivals);
            own.for_each(|(sum, arrivals)| *sum += f64::from(*arrivals) * part);
        }
        // The middle of the workers' means: what is slow for all is slow, what is slow for one is its own trouble.
        let mut lengths: Vec<f32> =
            here.iter().filter(|s| s.load.calls_good > 0.0).map(|s| s.load.call_s).collect();
        lengths.sort_by(f32::total_cmp);
        sums.call_s = lengths.get(lengths.len().saturating_sub(1) / 2).map_or(0.0, |l| f64::from(*l));
        sums
    }
}

/// The most that one figure counts for.
fn bound(figures: impl Iterator<Item = f64>) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    let rest = figures.len().saturating_sub(((figures.len() as f64 * TRIMMED) as usize).max(1));
    if rest == 0 {
        // Nobody to compare it with.
        return f64::INFINITY;
    }
    SPREAD_MOST * figures[..rest].iter().sum::<f64>() / rest as f64
}

#[cfg(test)]
mod tests;
