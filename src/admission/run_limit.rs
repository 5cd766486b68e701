//! The limit on runs on the cores where no pools are set up: it climbs while cores idle with work queued.

use crate::interface::Gauges;

/// How often the limit is adjusted (seconds).
const WINDOW_S: f64 = 0.5;
/// Cores count as busy from this share on.
const BUSY_SHARE: f64 = 0.95;

/// What wants run slots, and what has them.
#[derive(Clone, Copy)]
pub(super) struct SlotDemand {
    /// Runs on the cores, those of the other process included.
    pub(super) running: usize,
    /// Whether any request is queued.
    pub(super) has_queued: bool,
}

/// The limit, and the ended runs that it is adjusted by.
pub(super) struct RunLimit {
    runs: usize,
    /// No adjustment goes below this: one run for each core.
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

    /// Sets the limit to what pools or a predecessor have found.
    pub(super) fn set(&mut self, runs: usize) {
        self.runs = runs;
    }

    /// Counts a run that has ended by itself.
    pub(super) fn count_ended_run(&mut self) {
        self.ended_in_window += 1;
    }

    /// Whether the window is over.
    pub(super) fn is_review_due(&self, now: f64) -> bool {
        now >= self.window_ends
    }

    /// Adjusts the limit at the end of a window: up a step while cores idle with work queued, down a step only when
    /// they are busy and completions stop rising. Not up while unhealthy: hung runs leave the cores idle.
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

    /// Whether a core is free now; without such a gauge, whether the cores were not busy recently.
    fn cores_idle(&self, gauges: &Gauges) -> bool {
        match gauges.runnable {
            Some(runnable) => runnable < self.min_runs as f64,
            None => !cores_busy(gauges),
        }
    }

    /// Whether requests are queued for want of a slot. What is queued because of a downstream call wants none.
    fn is_exhausted(&self, demand: SlotDemand) -> bool {
        demand.has_queued && demand.running >= self.runs
    }

    fn completions_rise(&self) -> bool {
        self.ended_in_window > self.ended_in_last_window
    }
}

/// Whether the cores were busy recently; without such a gauge they are taken to be.
fn cores_busy(gauges: &Gauges) -> bool {
    gauges.cores_busy.unwrap_or(1.0) >= BUSY_SHARE
}

#[cfg(test)]
mod tests;
