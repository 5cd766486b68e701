//! What a leading coordinator makes of the workers' reports. It begins anew with each leader, from what the workers say.

use super::capacity_leases::{CapacityLeaseServer, CapacityReport};
use super::level::{SheddingController, SheddingLevel};
use super::retries::Retries;
use super::service::Service;
use super::view::{FleetLoadView, Sums};
use super::{FleetDigest, LoadReport};

/// How often it looks at the sums anew (seconds).
pub const LOOK_S: f64 = 0.5;
/// Returns are spread over so long at least and at most where the fleet has no room (seconds).
const SPREAD_LEAST_S: f64 = 1.0;
const SPREAD_MOST_S: f64 = 10.0;

/// The fleet counts as short for so long after it last was (seconds), and while its workers turn away more than this share.
const SHORT_FOR_S: f64 = 3.0;
const TURNED_AWAY: f64 = 0.01;

/// `[overload]` of the coordinators' file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What each worker may have in hand at the service below by itself (mean number of calls).
    pub part: f64,
    /// Further tries that the fleet takes for each first one while it is short.
    pub retry_share: f64,
}

#[derive(Clone, Debug)]
pub struct Leader {
    view: FleetLoadView,
    levels: SheddingController,
    service: Service,
    retries: Retries,
    dealer: CapacityLeaseServer,
    looked: f64,
    short_until: f64,
    sums: Sums,
}

impl Leader {
    /// A coordinator that begins to lead now.
    pub fn lead(now: f64, settings: Settings) -> Leader {
        Leader {
            view: FleetLoadView::default(),
            levels: SheddingController::new(now),
            service: Service::lead(now),
            retries: Retries::new(now, settings.retry_share),
            dealer: CapacityLeaseServer::lead(now, settings.part),
            looked: now,
            short_until: f64::NEG_INFINITY,
            sums: Sums::default(),
        }
    }

    /// A worker's report came.
    pub fn heard(&mut self, now: f64, worker: u64, zone: &str, load: &LoadReport) {
        if !self.view.heard(now, worker, zone, load) {
            return;
        }
        self.service.heard(now, worker, zone, load.gives_up);
        let claim = CapacityReport {
            heard: load.heard,
            lends: f64::from(load.lends),
            wants: f64::from(load.wants),
            weight: f64::from(load.weight),
        };
        self.dealer.came(now, worker, claim);
    }

    /// A worker has left.
    pub fn gone(&mut self, worker: u64) {
        self.view.gone(worker);
    }

    /// Time passes; what has changed, for the log.
    pub fn look(&mut self, now: f64) -> Vec<String> {
        if now - self.looked < LOOK_S {
            return Vec::new();
        }
        self.looked = now;
        let mut lines = Vec::new();
        self.sums = self.view.sums(now, None);
        if let Some(change) = self.levels.look(now, &self.sums) {
            let level = change.level;
            let at = if level.is_open() {
                "open".to_owned()
            } else {
                format!("tier {} and {:.0}% of it", level.tier, level.share * 100.0)
            };
            lines.push(format!("overload: level {at}: {}", change.cause));
        }
        let zones = self.view.zones();
        self.service.keep(&zones);
        for zone in &zones {
            let sums = self.view.sums(now, Some(zone));
            lines.extend(self.service.look(now, zone, &sums).map(|line| format!("overload: {line}")));
        }
        // What workers turn away by themselves counts as well: a storm of further tries goes on where all looks well again.
        let turned_away = self.sums.refused > TURNED_AWAY * self.sums.arrivals.iter().sum::<f64>();
        if !self.levels.level(now).is_open() || self.service.is_short() || turned_away {
            self.short_until = now + SHORT_FOR_S;
        }
        self.retries.look(now, &self.sums, now < self.short_until);
        lines
    }

    /// What goes out now to a worker whose report came at `came`.
    pub fn digest(&mut self, now: f64, came: f64, worker: u64, zone: &str) -> FleetDigest {
        let (number, slice) = self.dealer.deal(now, came, worker);
        let standing = self.service.standing(worker, zone);
        FleetDigest {
            number,
            of: self.sums.of,
            age_ms: ((now - self.looked + self.sums.age_s) * 1000.0) as u64,
            level: self.levels.level(now),
            spread_s: self.spread_s() as f32,
            pass: self.retries.pass() as f32,
            part: standing.part as f32,
            given_up: standing.given_up,
            trial: standing.trial,
            slice: slice as f32,
        }
    }

    /// Over how long those that are sent away fit in again: what is asked, over what can be done.
    fn spread_s(&self) -> f64 {
        let asked = self.sums.arrivals.iter().sum::<f64>() + self.sums.further;
        (asked / self.sums.capacity.max(1e-3)).clamp(SPREAD_LEAST_S, SPREAD_MOST_S)
    }

    /// An operator sets the level for so long.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.levels.pin(level, until);
    }

    pub fn level(&self, now: f64) -> SheddingLevel {
        self.levels.level(now)
    }

    pub fn sums(&self) -> &Sums {
        &self.sums
    }

    pub fn service(&self) -> &Service {
        &self.service
    }

    pub fn retries(&self) -> &Retries {
        &self.retries
    }

    /// Calls that are lent and that are out in slices.
    pub fn calls(&self, now: f64) -> (f64, f64) {
        self.dealer.sums(now)
    }
}
