//! The limit on concurrent runs without class pools: it rises while cores are idle and requests are queued.

use crate::interface::Gauges;

/// How often the limit is adjusted (seconds).
const WINDOW_S: f64 = 0.5;
/// The cores count as busy from this utilization on.
const BUSY_SHARE: f64 = 0.95;

/// The demand for run slots, and their use.
#[derive(Clone, Copy)]
pub(super) struct SlotDemand {
    /// Runs on the cores, including those of the other process.
    pub(super) running: usize,
    /// Whether any request is queued.
    pub(super) has_queued: bool,
}

/// The limit, and the counts of ended runs by which it is adjusted.
pub(super) struct RunLimit {
    runs: usize,
    /// Lower bound of the adjustment: one run for each core.
    min_runs: usize,
    window_ends: f64,
    ended_in_window: u32,
    ended_in_last_window: u32,
}

impl RunLimit {
    /// Starts with one run for each core.
    pub(super) fn new(cores: usize, now: f64) -> Self {
        RunLimit {
            runs: cores,
            min_runs: cores,
            window_ends: now + WINDOW_S,
            ended_in_window: 0,
            ended_in_last_window: 0,
        }
    }

    /// The limit (slots).
    pub(super) fn runs(&self) -> usize {
        self.runs
    }

    /// Sets the limit to that of the pools or of a predecessor.
    pub(super) fn set(&mut self, runs: usize) {
        self.runs = runs;
    }

    /// Counts a run that has ended without being cancelled.
    pub(super) fn count_ended_run(&mut self) {
        self.ended_in_window += 1;
    }

    /// Whether the present window has ended.
    pub(super) fn is_review_due(&self, now: f64) -> bool {
        now >= self.window_ends
    }

    /// Adjusts the limit at the end of a window: up by one while cores are idle and requests are queued, down by one
    /// only if the cores are busy and completions no longer rise. It does not rise while the worker is unhealthy, since
    /// hung runs leave the cores idle.
    pub(super) fn review(
        &mut self,
        now: f64,
        gauges: &Gauges,
        demand: SlotDemand,
        healthy: bool,
        survivable_runs: usize,
    ) {
        let runs = if healthy && self.cores_idle(gauges) && self.is_exhausted(demand) {
            self.runs + 1
        } else if cores_busy(gauges) && !self.completions_rise() && self.runs > self.min_runs {
            self.runs - 1
        } else {
            self.runs
        };
        self.runs = runs.min(survivable_runs).max(self.min_runs);
        self.ended_in_last_window = self.ended_in_window;
        self.ended_in_window = 0;
        self.window_ends = now + WINDOW_S;
    }

    /// Whether a core is free now, by the gauge of runnable tasks; without that gauge, whether the cores were not busy
    /// recently.
    fn cores_idle(&self, gauges: &Gauges) -> bool {
        match gauges.runnable {
            Some(runnable) => runnable < self.min_runs as f64,
            None => !cores_busy(gauges),
        }
    }

    /// Whether requests are queued because all slots are in use. Requests that are queued because of a downstream call
    /// need no slot yet.
    fn is_exhausted(&self, demand: SlotDemand) -> bool {
        demand.has_queued && demand.running >= self.runs
    }

    fn completions_rise(&self) -> bool {
        self.ended_in_window > self.ended_in_last_window
    }
}

/// Whether the cores were busy recently; true if there is no gauge of their utilization.
fn cores_busy(gauges: &Gauges) -> bool {
    gauges.cores_busy.unwrap_or(1.0) >= BUSY_SHARE
}

#[cfg(test)]
mod tests;
