//! The health of this worker, whatever the cause: runs that fail, runs that hang, and requests that are read too late.
//!
//! A worker whose runs fail quickly is idle, and would attract the traffic of the whole fleet. Hangs and failing disks
//! are detected too. Faulty requests can't be distinguished from a faulty worker: their failures make a healthy worker
//! unavailable.

mod signals;

use crate::admission::timing::SWEEP_INTERVAL_S;
use crate::interface::{HealthState, UnhealthyCause};
use signals::{HealthSignals, HEALTH_TIME_CONSTANT_S};

/// Runs count as failing if more than this share of the recent ones failed.
const FAILING_SHARE: f64 = 0.3;
/// Runs count as failing only if at least this many of the recent ones failed.
const MIN_FAILED_RUNS: f64 = 3.0;
/// Runs count as stalled if none has ended or reached a downstream call within the core time of this many mean runs.
const STALLED_RUNS: f64 = 20.0;
/// Runs do not count as stalled before this time: short runs end late if the process gets no core (seconds).
const MIN_STALLED_S: f64 = 0.3;
/// Read lag starts if requests stay unread for more than this part of their objective on average.
const READ_LAG_START: f64 = 0.8;
/// Read lag ends when requests stay unread for no more than this part of their objective on average.
const READ_LAG_END: f64 = READ_LAG_START / 4.0;
/// While runs are failing or stalled, a probe may start at this interval (seconds).
const PROBE_INTERVAL_S: f64 = 0.5;
/// Runs no longer count as failing or stalled after this many consecutive successes.
const RECOVERY_SUCCESSES: u32 = 3;

/// The answer to health checks.
enum Availability {
    /// Callers should use this worker.
    Available,
    /// Callers should not use this worker.
    Unavailable,
    /// The previous answer still applies.
    Unchanged,
}

/// Determines the health of this worker, and keeps the health that was last reported.
pub(super) struct HealthMonitor {
    signals: HealthSignals,
    /// Why runs are failing or stalled, while they are.
    run_fault: Option<UnhealthyCause>,
    /// Requests are read too late to be served, because of a slow host, an overload or a cold start.
    read_lagging: bool,
    /// Earliest start of the next probe.
    next_probe: f64,
    /// The health that was last reported.
    reported_healthy: bool,
    /// The answer to health checks.
    available: bool,
}

impl HealthMonitor {
    /// Starts as healthy and available.
    pub(super) fn new(now: f64) -> Self {
        HealthMonitor {
            signals: HealthSignals::new(now),
            run_fault: None,
            read_lagging: false,
            next_probe: 0.0,
            reported_healthy: true,
            available: true,
        }
    }

    /// Advances the clock, with this many runs on the cores in that time.
    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.signals.advance(elapsed_s, running);
        self.read_lagging &= self.signals.mean_read_delay_exceeds(READ_LAG_END);
    }

    /// Records how late a request was read. During read lag, callers are sent to other workers, whose load
    /// then rises.
    pub(super) fn record_read(&mut self, read_delay_s: f64, objective_s: f64) {
        self.signals.count_read(read_delay_s / objective_s.max(SWEEP_INTERVAL_S));
        self.read_lagging |= self.signals.mean_read_delay_exceeds(READ_LAG_START);
    }

    /// Records that a core is free, so that no request is unread: an unavailable worker without arrivals has no other
    /// evidence that the read lag has ended.
    pub(super) fn record_free_core(&mut self) {
        self.signals.reset_read_delay();
        self.read_lagging = false;
    }

    /// Records that a run has reached a downstream call, so that it does not hang.
    pub(super) fn run_progressed(&mut self, now: f64) {
        self.signals.progressed(now);
    }

    /// Records the end of a run.
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
            && signals.consecutive_successes() >= RECOVERY_SUCCESSES
            && signals.failed() < FAILING_SHARE / 2.0 * signals.ended()
    }

    fn are_runs_failing(&self) -> bool {
        let failed = self.signals.failed();
        failed >= MIN_FAILED_RUNS && failed > FAILING_SHARE * self.signals.ended()
    }

    /// Marks the runs as stalled if no run has ended or reached a call for more than [`MIN_STALLED_S`], and runs have
    /// since been on the cores for more than [`STALLED_RUNS`] mean lengths in total.
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

    /// Whether more than [`RECOVERY_SUCCESSES`] runs have ended recently, so that some requests may succeed even though
    /// others fail.
    pub(super) fn is_completing_runs(&self) -> bool {
        self.signals.ended() > f64::from(RECOVERY_SUCCESSES)
    }

    /// Whether a probe may start.
    pub(super) fn is_probe_due(&self, now: f64) -> bool {
        now >= self.next_probe
    }

    /// Records that a queued request is kept as a probe.
    pub(super) fn probe_admitted(&mut self, now: f64) {
        self.next_probe = now + PROBE_INTERVAL_S;
    }

    /// Whether no run is on the cores and none has ended or reached a call for more than [`HEALTH_TIME_CONSTANT_S`], so
    /// that only another probe can show a change.
    fn is_idle(&self, now: f64, running: usize) -> bool {
        running == 0 && self.signals.since_progress_s(now) > HEALTH_TIME_CONSTANT_S
    }

    /// The present health. A run fault takes precedence over read lag.
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

    /// The health to report if this worker has become healthy or unhealthy. A change of the cause alone is not
    /// reported.
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
    pub(super) fn update_availability(
        &mut self,
        now: f64,
        running: usize,
        fleet_is_full: bool,
    ) -> Option<bool> {
        let available = match self.availability(self.is_idle(now, running), fleet_is_full) {
            Availability::Available => true,
            Availability::Unavailable => false,
            Availability::Unchanged => return None,
        };
        if available == self.available {
            return None;
        }
        self.available = available;
        Some(available)
    }

    /// The answer that health checks should get. An unavailable worker gets no requests, so after an idle period a
    /// worker with a run fault becomes available again in order to be probed. While the whole fleet is full, making a
    /// worker with read lag unavailable would overload the remaining ones.
    fn availability(&self, idle: bool, fleet_is_full: bool) -> Availability {
        match self.state() {
            HealthState::Healthy => Availability::Available,
            HealthState::Unhealthy(UnhealthyCause::ReadLag) if fleet_is_full => Availability::Unchanged,
            HealthState::Unhealthy(UnhealthyCause::ReadLag) => Availability::Unavailable,
            HealthState::Unhealthy(UnhealthyCause::FailingRuns | UnhealthyCause::StalledRuns) => {
                let may_be_probed = idle && (fleet_is_full || !self.read_lagging);
                if may_be_probed {
                    Availability::Available
                } else {
                    Availability::Unavailable
                }
            }
        }
    }

    /// Recently failed runs (exponentially decaying).
    pub(super) fn failed_runs(&self) -> f64 {
        self.signals.failed()
    }

    /// All recently ended runs (exponentially decaying).
    pub(super) fn ended_runs(&self) -> f64 {
        self.signals.ended()
    }

    /// Adopts the counts of recent runs of a predecessor.
    pub(super) fn adopt(&mut self, failed_runs: f64, ended_runs: f64) {
        self.signals.adopt(failed_runs, ended_runs);
    }
}

#[cfg(test)]
mod tests;
