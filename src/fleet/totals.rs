//! The fleet's totals: the sum of all workers' counters, computed by the worker that holds the lease on [`TOTALS_TASK`].

use super::frame::{AgedCounters, Counters, FleetTotals};

/// The task whose lease holder computes the fleet's totals.
pub const TOTALS_TASK: &str = "totals";

/// Totals received from the coordinators.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReceivedTotals {
    pub(super) totals: FleetTotals,
    /// When the totals were received, on the membership's clock (seconds).
    pub(super) received_at: f64,
}

/// Sums all workers' counters. The age of the totals is that of the oldest counters. Sums saturate at the largest `u64`, so
/// that no value sent by a worker makes them overflow.
pub(super) fn sum_counters(computed_by: &str, workers: &[AgedCounters]) -> FleetTotals {
    let mut counts = Counters::new();
    for worker in workers {
        for (name, value) in &worker.counters {
            let sum = counts.entry(name.clone()).or_default();
            *sum = sum.saturating_add(*value);
        }
    }
    let age_ms = workers.iter().map(|worker| worker.age_ms).max().unwrap_or(0);
    FleetTotals { counts, workers: workers.len(), computed_by: computed_by.to_owned(), age_ms }
}

#[cfg(test)]
mod tests;
