//! What a controller has learned, copied out for the next process on the same machine. Nothing here decides.

use super::Controller;
use crate::interface::{LearnedState, RecentCalls, RecentOutcomes, Traffic};

impl Controller {
    /// What a successor on this machine should know.
    pub fn learned(&self) -> LearnedState {
        let lengths = &self.downstream.lengths;
        LearnedState {
            runs: self.run_limit.runs,
            usual_s: self.baseline_run_s,
            paces: self.run_lengths.learned(),
            call_limit: self.downstream.limit,
            call_baseline_s: lengths.is_known().then_some(lengths.baseline_s),
            recent_calls: RecentCalls { time_s: lengths.recent.time_s, ended: lengths.recent.ended },
            call_budget_s: Some(self.downstream.budget_s),
            traffic: Traffic {
                quotas: self.tenants.learned(),
                arrivals: self.arrivals.by_tier.clone(),
                lately: RecentOutcomes {
                    retries_per_s: self.arrivals.retries,
                    failed_runs: self.health.signals.failed,
                    ended_runs: self.health.signals.ended,
                },
            },
        }
    }
}
