//! Calibration: a period of low concurrency in which baseline run lengths are measured, like `PROBE_RTT` of BBR
//! (Cardwell et al. 2016).

use crate::interface::PoolLimitCause;

/// Longest duration of each phase before the measurement, in review intervals.
const MAX_PHASE_REVIEWS: f64 = 4.0;
/// Duration of the settling phase, in mean run lengths.
const SETTLE_RUNS: f64 = 2.0;

/// The phases of a calibration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The runs that started before the calibration are ending. The last of them are the longest and would distort the mean.
    Draining,
    /// The first runs of the calibration are ending, so that the next ones start at different times. Of runs that start
    /// together, only the short ones would end within the measurement.
    Settling,
    /// Run lengths are measured.
    Measuring,
}

/// A calibration in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Calibration {
    /// The limit to restore after the calibration, and its cause.
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

    /// Advances time. `drained` is whether the number of runs on the cores is at most the lower bound of the limit.
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
