//! The health of this worker, whatever the cause: runs that fail, runs that hang, and requests that are read too late.
//!
//! Quick failures leave a worker idle, so that it would attract the fleet's traffic. This also covers hangs and failing
//! disks. Faulty requests look the same, and take a good worker out of service.

mod signals;

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::{HealthState, UnhealthyCause};
use signals::{HealthSignals, HEALTH_MEMORY_S};

/// Runs are failing when this share of the recent ones failed.
const FAILING_SHARE: f64 = 0.3;
/// Runs are failing when so many of the recent ones failed at least.
const MIN_FAILED_RUNS: f64 = 3.0;
/// Runs are stalled when none ended in the core time of so many mean runs.
const STALLED_RUNS: f64 = 20.0;
/// Runs are not stalled before this time: short ones end late when the process gets no core (seconds).
const MIN_STALLED_S: f64 = 0.3;
/// Reads lag when requests lie unread for this part of their objective on average.
const READ_LAG: f64 = 0.8;
/// Reads have caught up when requests lie unread for this part of their objective on average.
const READ_LAG_OVER: f64 = READ_LAG / 4.0;
/// While runs are failing or stalled, one run is started as a probe this often (seconds).
const PROBE_INTERVAL_S: f64 = 0.5;
/// Runs are no longer failing or stalled after so many successes in a row.
const RECOVERY_SUCCESSES: u32 = 3;

/// What health checks should be answered.
enum Listing {
    /// Callers should choose this worker.
    Listed,
    /// Callers should not choose this worker.
    Delisted,
    /// The answer of before stands.
    Unchanged,
}

/// Judges the health of this worker, and remembers what was reported of it.
pub(super) struct HealthMonitor {
    signals: HealthSignals,
    /// Why runs can't be served, while they can't.
    run_fault: Option<UnhealthyCause>,
    /// Requests are read too late to be served: a slow host, a flood or a cold start.
    read_lagging: bool,
    /// When the next probe may start.
    next_probe: f64,
    /// The health reported last.
    reported_healthy: bool,
    /// The answer to health checks.
    listed: bool,
}

impl HealthMonitor {
    /// Healthy and listed.
    pub(super) fn new(now: f64) -> Self {
        HealthMonitor {
            signals: HealthSignals::new(now),
            run_fault: None,
            read_lagging: false,
            next_probe: 0.0,
            reported_healthy: true,
            listed: true,
        }
    }

    /// Time passes with this many runs on the cores.
    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.signals.advance(elapsed_s, running);
        self.read_lagging &= self.signals.unread_exceeds(READ_LAG_OVER);
    }

    /// Notes a read. While reads lag callers are sent elsewhere, which loads others.
    pub(super) fn record_read(&mut self, unread_s: f64, objective_s: f64) {
        self.signals.count_read(unread_s / objective_s.max(SWEEP_INTERVAL_S));
        self.read_lagging |= self.signals.unread_exceeds(READ_LAG);
    }

    /// A core is free, so that nothing lies unread: a delisted worker without arrivals learns it no other way.
    pub(super) fn core_is_free(&mut self) {
        self.signals.forget_unread();
        self.read_lagging = false;
    }

    /// A run has reached a downstream call: it has not hung.
    pub(super) fn run_progressed(&mut self, now: f64) {
        self.signals.progressed(now);
    }

    /// A run has ended.
    pub(super) fn run_ended(&mut self, now: f64, failed: bool) {
        self.signals.run_ended(now, failed);
        if self.has_recovered() {
            self.run_fault = None;
        } else if self.are_runs_failing() {
            self.run_fault = Some(UnhealthyCause::FailingRuns);
        }
    }

    fn has_recovered(&self) -> bool {
        let signals = &self.signals;
        self.run_fault.is_some()
            && signals.successes_in_row() >= RECOVERY_SUCCESSES
            && signals.failed() < FAILING_SHARE / 2.0 * signals.ended()
    }

    fn are_runs_failing(&self) -> bool {
        let failed = self.signals.failed();
        failed >= MIN_FAILED_RUNS && failed > FAILING_SHARE * self.signals.ended()
    }

    /// Runs that have been on the cores for far too long without an end are stalled.
    pub(super) fn check_stalled(&mut self, now: f64, mean_run_s: f64) {
        let overdue = self.signals.since_progress_s(now) > MIN_STALLED_S;
        if overdue && self.signals.core_time_since_progress_s() > STALLED_RUNS * mean_run_s {
            self.run_fault = Some(UnhealthyCause::StalledRuns);
            self.signals.reset_successes();
        }
    }

    /// Whether runs are failing or stalled.
    pub(super) fn has_run_fault(&self) -> bool {
        self.run_fault.is_some()
    }

    /// Whether runs still end, so that even with failing ones some requests may be served.
    pub(super) fn still_ends_runs(&self) -> bool {
        self.signals.ended() > f64::from(RECOVERY_SUCCESSES)
    }

    /// Whether a probe may start.
    pub(super) fn is_probe_due(&self, now: f64) -> bool {
        now >= self.next_probe
    }

    /// A request is kept as a probe.
    pub(super) fn probe_kept(&mut self, now: f64) {
        self.next_probe = now + PROBE_INTERVAL_S;
    }

    /// Whether no run is on the cores, and none has ended for so long that only another probe brings new evidence.
    fn is_at_rest(&self, now: f64, running: usize) -> bool {
        running == 0 && self.signals.since_progress_s(now) > HEALTH_MEMORY_S
    }

    /// The present health. A fault of the runs is the graver cause.
    fn state(&self) -> HealthState {
        match self.run_fault {
            Some(cause) => HealthState::Unhealthy(cause),
            None if self.read_lagging => HealthState::Unhealthy(UnhealthyCause::ReadLag),
            None => HealthState::Healthy,
        }
    }

    /// Whether this worker was healthy when its health was last reported.
    pub(super) fn is_reported_healthy(&self) -> bool {
        self.reported_healthy
    }

    /// The health to report, if this worker has become healthy or unhealthy. Another cause alone is not reported.
    pub(super) fn take_change(&mut self) -> Option<HealthState> {
        let state = self.state();
        let healthy = state == HealthState::Healthy;
        if healthy == self.reported_healthy {
            return None;
        }
        self.reported_healthy = healthy;
        Some(state)
    }

    /// The answer to health checks, if it has changed.
    pub(super) fn update_listing(&mut self, now: f64, running: usize, fleet_is_full: bool) -> Option<bool> {
        let listed = match self.listing(self.is_at_rest(now, running), fleet_is_full) {
            Listing::Listed => true,
            Listing::Delisted => false,
            Listing::Unchanged => return None,
        };
        if listed == self.listed {
            return None;
        }
        self.listed = listed;
        Some(listed)
    }

    /// A delisted worker gets no requests: after a rest one whose runs were at fault is listed again, to be probed.
    /// While the whole fleet is full, delisting a worker whose reads lag would overload those that are left.
    fn listing(&self, at_rest: bool, fleet_is_full: bool) -> Listing {
        match self.state() {
            HealthState::Healthy => Listing::Listed,
            HealthState::Unhealthy(UnhealthyCause::ReadLag) if fleet_is_full => Listing::Unchanged,
            HealthState::Unhealthy(UnhealthyCause::ReadLag) => Listing::Delisted,
            HealthState::Unhealthy(UnhealthyCause::FailingRuns | UnhealthyCause::StalledRuns) => {
                let may_be_probed = at_rest && (fleet_is_full || !self.read_lagging);
                if may_be_probed {
                    Listing::Listed
                } else {
                    Listing::Delisted
                }
            }
        }
    }

    /// Failed runs of late, fading.
    pub(super) fn failed_runs(&self) -> f64 {
        self.signals.failed()
    }

    /// All runs that ended of late, fading.
    pub(super) fn ended_runs(&self) -> f64 {
        self.signals.ended()
    }

    /// Takes over the recent runs of a predecessor.
    pub(super) fn adopt(&mut self, failed_runs: f64, ended_runs: f64) {
        self.signals.adopt(failed_runs, ended_runs);
    }
}

#[cfg(test)]
mod tests;
