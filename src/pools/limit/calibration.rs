//! Calibration: a phase of few runs, in which the baseline of run lengths is measured (BBR's `PROBE_RTT`;
//! Cardwell et al. 2016).

use crate::interface::PoolLimitCause;

/// Each phase before the measurement lasts so many reviews at most.
const MAX_PHASE_REVIEWS: f64 = 4.0;
/// Runs settle for so many mean runs.
const SETTLE_RUNS: f64 = 2.0;

/// The phases of a calibration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Earlier runs leave the cores. The last of them are the longest: their ends would distort the mean.
    Draining,
    /// The first few runs end, and others begin at different times: of runs that all began together only the
    /// short ones would have ended.
    Settling,
    /// Lengths are measured.
    Measuring,
}

/// A calibration in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Calibration {
    /// The limit to come back to, and its cause.
    pub(super) resume_limit: usize,
    pub(super) resume_cause: PoolLimitCause,
    pub(super) phase: Phase,
    /// How long the phase has lasted (seconds).
    phase_s: f64,
}

impl Calibration {
    pub(super) fn new(resume_limit: usize, resume_cause: PoolLimitCause) -> Self {
        Calibration { resume_limit, resume_cause, phase: Phase::Draining, phase_s: 0.0 }
    }

    /// Time passes; `drained` means that no more runs are on the cores than the lower bound of the limit.
    pub(super) fn advance(&mut self, elapsed_s: f64, drained: bool, mean_run_s: f64, review_s: f64) {
        self.phase_s += elapsed_s;
        let overdue = self.phase_s >= MAX_PHASE_REVIEWS * review_s;
        let settled = self.phase_s >= SETTLE_RUNS * mean_run_s;
        let next = match self.phase {
            Phase::Draining if drained || overdue => Phase::Settling,
            Phase::Settling if settled || overdue => Phase::Measuring,
            phase => phase,
        };
        if next != self.phase {
            self.phase = next;
            self.phase_s = 0.0;
        }
    }
}
