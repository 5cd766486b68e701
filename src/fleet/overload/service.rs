//! The service below as each zone sees it: crowded, given up, tried again, opened in steps.
//!
//! Owed to callers: a zone that sees it down gives it up alone; of a zone's workers at most one tries it again, however the
//! leader changes; what a trial's luck opens is the least part, and the rest comes in steps, each of which has to hold.

use super::view::Sums;
use std::collections::BTreeMap;

/// Calls have slowed when their mean is so many times the yardstick; the part falls by the second share a look then, no
/// lower than the third, and rises by the fourth: whole again within two seconds, since each worker's own bound opens by
/// smaller steps below it.
const SLOW: f64 = 2.2;
const BACK: f64 = 0.7;
const PART_LEAST: f64 = 0.25;
const STEP: f64 = 0.25;
/// A yardstick follows a shorter mean by the first share a look, a longer one by the second.
const SINK: f64 = 0.25;
const CREEP: f64 = 0.002;
/// A service is given up when this share of a zone's calls fail, of so many a second at least, for so long (seconds).
const DOWN_SHARE: f64 = 0.5;
const DOWN_LEAST: f64 = 1.0;
const DOWN_S: f64 = 0.4;
/// Looks in a row with good trials alone before it opens.
const TRIALS_GOOD: u32 = 3;
/// How long a worker may go by a digest (seconds), counted from when it asked for it.
pub const VIEW_S: f64 = 2.0;
/// After how long without a report another worker is named for trials, and a new leader names the first (seconds): when
/// whoever may have been named before goes by no digest any more.
const TRIAL_S: f64 = VIEW_S * 1.25;

/// One zone's view of the service.
#[derive(Clone, Debug)]
struct Zone {
    part: f64,
    yardstick: f64,
    bad_since: Option<f64>,
    given_up: bool,
    /// Who tries it, and when it was last heard.
    tries: Option<(u64, f64)>,
    /// Nobody else may be named before.
    names_from: f64,
    good_in_row: u32,
}

/// What a zone's workers go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceState {
    pub part: f64,
    pub given_up: bool,
    pub trial: bool,
}

#[derive(Clone, Debug)]
pub struct Service {
    names_from: f64,
    zones: BTreeMap<String, Zone>,
}

impl Service {
    /// For a leader that begins to lead now.
    pub fn lead(now: f64) -> Service {
        Service { names_from: now + TRIAL_S, zones: BTreeMap::new() }
    }

    fn zone(&mut self, zone: &str) -> &mut Zone {
        let names_from = self.names_from;
        self.zones.entry(zone.to_owned()).or_insert(Zone {
            part: 1.0,
            yardstick: f64::INFINITY,
            bad_since: None,
            given_up: false,
            tries: None,
            names_from,
            good_in_row: 0,
        })
    }

    /// A worker reports; `gives_up` says that it goes by a digest in which the service is given up. A leader that knows
    /// nothing yet takes that over: else all would call at once after a change of leader.
    pub fn heard(&mut self, now: f64, worker: u64, name: &str, gives_up: bool) {
        let learns = now < self.names_from;
        let zone = self.zone(name);
        if gives_up && learns && !zone.given_up {
            (zone.given_up, zone.part) = (true, PART_LEAST);
        }
        match &mut zone.tries {
            Some((tries, at)) if *tries == worker => *at = now,
            Some((_, at)) if now - *at < TRIAL_S => {}
            _ if now < zone.names_from => {}
            _ => zone.tries = Some((worker, now)),
        }
    }

    /// Looks at a zone's sums anew; what has changed, and why, for the log.
    pub fn look(&mut self, now: f64, name: &str, sums: &Sums) -> Option<String> {
        let zone = self.zone(name);
        let all = sums.calls_good + sums.calls_bad;
        if zone.given_up {
            return zone.tried(name, sums);
        }
        let bad = all >= DOWN_LEAST && sums.calls_bad >= DOWN_SHARE * all;
        zone.bad_since = bad.then(|| zone.bad_since.unwrap_or(now));
        if zone.bad_since.is_some_and(|at| now - at >= DOWN_S) {
            (zone.given_up, zone.part, zone.good_in_row, zone.bad_since) = (true, PART_LEAST, 0, None);
            return Some(format!(
                "zone {name}: the service is given up: {:.0} of {all:.0} calls a second fail",
                sums.calls_bad
            ));
        }
        let before = zone.part;
        if sums.calls_good > 0.0 && sums.call_s > 0.0 {
            if sums.call_s > SLOW * zone.yardstick {
                zone.part = (zone.part * BACK).max(PART_LEAST);
            } else {
                zone.part = (zone.part + STEP).min(1.0);
            }
            zone.learn(sums.call_s);
        } else if all == 0.0 {
            // Nobody calls: nothing says that it is crowded.
            zone.part = (zone.part + STEP).min(1.0);
        }
        let falls = zone.part < before && before >= 1.0;
        falls.then(|| {
            let (call, usual) = (sums.call_s * 1000.0, zone.yardstick * 1000.0);
            format!("zone {name}: calls take {call:.1} ms, {usual:.1} as a rule; fewer are made")
        })
    }

    pub fn standing(&self, worker: u64, zone: &str) -> ServiceState {
        let Some(zone) = self.zones.get(zone) else {
            return ServiceState { part: 1.0, given_up: false, trial: false };
        };
        let trial = zone.given_up && zone.tries.is_some_and(|(tries, _)| tries == worker);
        ServiceState { part: zone.part, given_up: zone.given_up, trial }
    }

    /// Whether any zone is short of the service.
    pub fn is_short(&self) -> bool {
        self.zones.values().any(|z| z.given_up || z.part < 1.0)
    }

    /// Each zone's standing, and who tries the service for it.
    pub fn zones(&self) -> impl Iterator<Item = (&str, f64, bool, Option<u64>)> {
        self.zones.iter().map(|(name, z)| {
            let tries = z.tries.filter(|_| z.given_up).map(|(worker, _)| worker);
            (name.as_str(), z.part, z.given_up, tries)
        })
    }

    /// Zones that nobody reports from are forgotten.
    pub fn keep(&mut self, names: &[String]) {
        self.zones.retain(|name, _| names.contains(name));
    }
}

impl Zone {
    fn learn(&mut self, call_s: f64) {
        let share = if call_s < self.yardstick { SINK } else { CREEP };
        self.yardstick = match self.yardstick.is_finite() {
            true => self.yardstick + (call_s - self.yardstick) * share,
            false => call_s,
        };
    }

    /// What the trials came to.
    fn tried(&mut self, name: &str, sums: &Sums) -> Option<String> {
        if sums.calls_bad > 0.0 {
            self.good_in_row = 0;
        } else if sums.calls_good > 0.0 {
            self.good_in_row += 1;
        }
        if self.good_in_row < TRIALS_GOOD {
            return None;
        }
        (self.given_up, self.part, self.good_in_row) = (false, PART_LEAST, 0);
        Some(format!(
            "zone {name}: the service answers again; {:.0}% of its calls are let in at first",
            PART_LEAST * 100.0
        ))
    }
}

#[cfg(test)]
mod tests;
