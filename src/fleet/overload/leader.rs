//! The leading coordinator's side: evaluates load reports and answers them with digests. A new leader starts without state
//! and rebuilds it from the reports. Workers are identified by their session numbers. Times are on the leader's clock
//! (seconds).

use super::capacity_leases::{CapacityLeaseServer, CapacityReport, CapacityTotals};
use super::events::OverloadEvent;
use super::level::{SheddingController, SheddingLevel};
use super::retries::RetryBudget;
use super::service::DownstreamService;
use super::view::{FleetLoadView, LoadSums};
use super::{FleetDigest, LoadReport};

/// Interval between evaluations of the sums (seconds).
pub const EVALUATION_INTERVAL_S: f64 = 0.5;
/// Lower bound for the period over which retries are spread while the fleet is at capacity (seconds).
const MIN_SPREAD_S: f64 = 1.0;
/// Upper bound for the period over which retries are spread while the fleet is at capacity (seconds).
const MAX_SPREAD_S: f64 = 10.0;
/// How long the fleet still counts as short of capacity after the last sign of a shortage (seconds).
const SHORTAGE_HOLD_S: f64 = 3.0;
/// The fleet counts as short of capacity while its workers themselves reject more requests than this share of first
/// attempts.
const MAX_REJECTED_SHARE: f64 = 0.01;
/// Lower bound for the capacity by which demand is divided, which may be reported as 0 (requests per second).
const MIN_CAPACITY: f64 = 1e-3;

/// `[overload]` of the coordinators' file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadLeaderSettings {
    /// Each worker's base allocation of the downstream service's capacity (mean calls in flight).
    pub base_calls: f64,
    /// Retries that the fleet admits per first attempt while it is short of capacity.
    pub retry_share: f64,
}

/// Fleet-wide overload control during one term of a leader.
#[derive(Clone, Debug)]
pub struct OverloadLeader {
    view: FleetLoadView,
    levels: SheddingController,
    service: DownstreamService,
    retry_budget: RetryBudget,
    capacity: CapacityLeaseServer,
    evaluated_at: f64,
    /// Until when the fleet counts as short of capacity.
    shortage_until: f64,
    /// The fleet's sums as of the last evaluation.
    sums: LoadSums,
}

impl OverloadLeader {
    /// Creates the state of a leader whose term begins now.
    #[must_use]
    pub fn new(now: f64, settings: OverloadLeaderSettings) -> OverloadLeader {
        OverloadLeader {
            view: FleetLoadView::default(),
            levels: SheddingController::new(now),
            service: DownstreamService::new(now),
            retry_budget: RetryBudget::new(now, settings.retry_share),
            capacity: CapacityLeaseServer::new(now, settings.base_calls),
            evaluated_at: now,
            shortage_until: f64::NEG_INFINITY,
            sums: LoadSums::default(),
        }
    }

    /// Processes a worker's report. An invalid or outdated report is ignored.
    pub fn receive(&mut self, now: f64, worker: u64, zone: &str, load: &LoadReport) {
        if !self.view.receive(now, worker, zone, load) {
            return;
        }
        self.service.receive_report(now, worker, zone, load.circuit_open);
        let report = CapacityReport {
            last_digest: load.last_digest,
            lent_calls: f64::from(load.lent_calls),
            wanted_calls: f64::from(load.wanted_calls),
            weight: f64::from(load.weight),
        };
        self.capacity.receive_report(now, worker, report);
    }

    /// Removes a worker that has left the fleet.
    pub fn remove(&mut self, worker: u64) {
        self.view.remove(worker);
    }

    /// Evaluates the sums if an evaluation is due, and returns the resulting state changes.
    pub fn evaluate(&mut self, now: f64) -> Vec<OverloadEvent> {
        if now - self.evaluated_at < EVALUATION_INTERVAL_S {
            return Vec::new();
        }
        self.evaluated_at = now;
        self.sums = self.view.sums(now, None);
        let mut events = Vec::new();
        events.extend(self.levels.evaluate(now, &self.sums).map(OverloadEvent::LevelChanged));
        self.evaluate_zones(now, &mut events);
        self.update_shortage(now);
        self.retry_budget.evaluate(now, &self.sums, now < self.shortage_until);
        events
    }

    fn evaluate_zones(&mut self, now: f64, events: &mut Vec<OverloadEvent>) {
        let zones = self.view.zones();
        self.service.retain_zones(&zones);
        for zone in &zones {
            let sums = self.view.sums(now, Some(zone));
            events.extend(self.service.evaluate(now, zone, &sums).map(OverloadEvent::Service));
        }
    }

    fn update_shortage(&mut self, now: f64) {
        // Rejections by individual workers count too: in a retry storm they may be the only sign of a shortage, since the
        // level counts only a part of the retries as demand.
        let first_attempts = self.sums.arrivals.iter().sum::<f64>();
        let workers_reject = self.sums.rejected > MAX_REJECTED_SHARE * first_attempts;
        if !self.levels.level(now).is_open() || self.service.limits_calls() || workers_reject {
            self.shortage_until = now + SHORTAGE_HOLD_S;
        }
    }

    /// Creates the digest to send now to a worker whose report arrived at `report_received_at`.
    pub fn digest(&mut self, now: f64, report_received_at: f64, worker: u64, zone: &str) -> FleetDigest {
        let grant = self.capacity.grant(now, report_received_at, worker);
        let service = self.service.state_for(worker, zone);
        FleetDigest {
            number: grant.digest,
            workers: self.sums.workers,
            age_ms: ((now - self.evaluated_at + self.sums.age_s) * 1000.0) as u64,
            level: self.levels.level(now),
            spread_s: self.spread_s() as f32,
            retry_share: self.retry_budget.admitted_share() as f32,
            call_share: service.call_share as f32,
            circuit_open: service.circuit_open,
            is_prober: service.is_prober,
            slice: grant.slice as f32,
        }
    }

    /// The time in which the fleet's capacity completes one second's demand (seconds), bounded by `MIN_SPREAD_S` and
    /// `MAX_SPREAD_S`.
    fn spread_s(&self) -> f64 {
        let demand = self.sums.arrivals.iter().sum::<f64>() + self.sums.retries;
        (demand / self.sums.capacity.max(MIN_CAPACITY)).clamp(MIN_SPREAD_S, MAX_SPREAD_S)
    }

    /// Overrides the shedding level, on an operator's command, until the given time.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.levels.pin(level, until);
    }

    /// The shedding level in force now.
    #[must_use]
    pub fn level(&self, now: f64) -> SheddingLevel {
        self.levels.level(now)
    }

    /// The fleet's sums as of the last evaluation.
    #[must_use]
    pub fn sums(&self) -> &LoadSums {
        &self.sums
    }

    /// State of the downstream service.
    #[must_use]
    pub fn service(&self) -> &DownstreamService {
        &self.service
    }

    /// State of the retry budget.
    #[must_use]
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Downstream calls that are lent, and those granted in slices.
    #[must_use]
    pub fn capacity_totals(&self, now: f64) -> CapacityTotals {
        self.capacity.totals(now)
    }
}
