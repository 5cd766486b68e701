//! Totals of ended runs.

/// Number of ended runs and their total time on the cores.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunTotals {
    pub(super) length_s: f64,
    pub(super) runs: f64,
}

impl RunTotals {
    /// Adds a run of this length (seconds).
    pub(super) fn add(&mut self, length_s: f64) {
        self.length_s += length_s;
        self.runs += 1.0;
    }
}
