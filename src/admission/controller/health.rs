//! Whether this worker is fit for requests.

use super::SWEEP_S;
use crate::admission::health_signals::{HealthSignals, HEALTH_MEMORY_S};
use crate::interface::UnhealthyCause;

/// A worker is sick when this share of its recent runs failed, and so many at least.
const SICK_SHARE: f64 = 0.3;
const MIN_SICK_FAILURES: f64 = 3.0;
/// It is sick too when no run ended in the core time of so many mean runs. Short runs stall for the second
/// time (seconds) when the process gets no core.
const STUCK_RUNS: f64 = 20.0;
const MIN_STUCK_S: f64 = 0.3;
/// Reads lag when requests lie unread for this part of their objective on average.
const READ_LAG: f64 = 0.8;
/// A sick worker probes with one run this often (seconds), and is well after so many successes in a row.
const PROBE_EVERY_S: f64 = 0.5;
const RECOVERY_SUCCESSES: u32 = 3;

/// Sickness of this worker, whatever its cause: runs that fail, or none that ends.
///
/// Quick failures leave a worker idle, so that it would attract the fleet's traffic. It also covers hangs and
/// failing disks. Faulty requests look the same, and take a good worker out of service.
#[derive(Default)]
pub(super) struct HealthMonitor {
    pub(super) sick: bool,
    /// What made it sick last.
    pub(super) sick_cause: UnhealthyCause,
    /// Requests are read too late to be served: a slow host, a flood or a cold start.
    pub(super) read_lagging: bool,
    pub(super) signals: HealthSignals,
    /// When the next probe is due.
    pub(super) next_probe: f64,
}

impl HealthMonitor {
    pub(super) fn new(now: f64) -> Self {
        let signals = HealthSignals { last_progress: now, ..HealthSignals::default() };
        HealthMonitor { signals, ..HealthMonitor::default() }
    }

    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.signals.advance(elapsed_s, running);
        self.read_lagging &= self.signals.unread > READ_LAG / 4.0 * (self.signals.reads + 1.0);
    }

    /// Notes a read. While reads lag callers are sent elsewhere, which loads others.
    pub(super) fn record_read(&mut self, unread_s: f64, objective_s: f64) {
        self.signals.count_read(unread_s / objective_s.max(SWEEP_S));
        self.read_lagging |= self.signals.unread > READ_LAG * (self.signals.reads + 1.0);
    }

    /// A core is free, so that nothing lies unread: a delisted worker without arrivals learns it no other
    /// way.
    pub(super) fn core_is_free(&mut self) {
        self.signals.unread = 0.0;
        self.read_lagging = false;
    }

    pub(super) fn run_ended(&mut self, now: f64, failed: bool) {
        self.signals.run_ended(now, failed);
        let HealthSignals { failed, ended, successes_in_row, .. } = self.signals;
        if self.sick && successes_in_row >= RECOVERY_SUCCESSES && failed < SICK_SHARE / 2.0 * ended {
            self.sick = false;
        } else if failed >= MIN_SICK_FAILURES && failed > SICK_SHARE * ended {
            self.sick = true;
            self.sick_cause = UnhealthyCause::FailingRuns;
        }
    }

    /// Runs that have been on the cores for far too long without an end make the worker sick.
    pub(super) fn check_stuck(&mut self, now: f64, mean_run_s: f64) {
        let stalled = now - self.signals.last_progress > MIN_STUCK_S;
        if stalled && self.signals.core_time_since_progress_s > STUCK_RUNS * mean_run_s {
            self.sick = true;
            self.sick_cause = UnhealthyCause::StalledRuns;
            self.signals.successes_in_row = 0;
        }
    }

    /// Whether no run has ended for so long that only another probe can tell more.
    pub(super) fn is_rested(&self, now: f64) -> bool {
        now - self.signals.last_progress > HEALTH_MEMORY_S
    }

    /// Whether runs still end, so that even a sick worker may serve some requests.
    pub(super) fn still_ends_runs(&self) -> bool {
        self.signals.ended > f64::from(RECOVERY_SUCCESSES)
    }

    pub(super) fn probe_queued(&mut self, now: f64) {
        self.next_probe = now + PROBE_EVERY_S;
    }
}
