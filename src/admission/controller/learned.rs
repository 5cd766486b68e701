//! What a controller has learned, copied out for the next process on the same machine. Nothing here decides.

use super::Controller;
use crate::interface::{LearnedState, Traffic};

impl Controller {
    /// What a successor on this machine should know.
    pub fn learned(&self) -> LearnedState {
        let lengths = &self.downstream.lengths;
        LearnedState {
            runs: self.run_limit.runs,
            usual_s: self.baseline_run_s,
            paces: self.run_lengths.learned(),
            call_room: self.downstream.limit,
            call_s: lengths.is_known().then_some(lengths.baseline_s),
            calls: (lengths.recent.time_s, lengths.recent.ended),
            call_budget_s: Some(self.downstream.budget_s),
            traffic: Traffic {
                quotas: self.tenants.learned(),
                arrivals: self.arrivals.by_tier.clone(),
                lately: (self.arrivals.retries, self.health.signals.failed, self.health.signals.ended),
            },
        }
    }
}
