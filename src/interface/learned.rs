//! The state that a controller has learned on its machine, for its successor there.
//!
//! The serialized form is exchanged between processes of different versions. The small structs are serialized as arrays
//! of numbers, in the order of their fields.

use serde::{Deserialize, Serialize};

/// The state that a controller has learned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    /// The limit on runs (slots).
    #[serde(rename = "runs")]
    pub run_limit: usize,
    /// The baseline of the mean run length, without contention (seconds).
    #[serde(rename = "usual_s")]
    pub baseline_run_s: f64,
    /// The measured run lengths, by class.
    #[serde(rename = "paces")]
    pub run_lengths: Vec<LearnedRunLength>,
    /// The limit on downstream calls in flight.
    #[serde(rename = "call_room")]
    pub call_limit: f64,
    /// The baseline of the length of downstream calls, once it is known (seconds).
    #[serde(rename = "call_s")]
    pub call_baseline_s: Option<f64>,
    /// Recent downstream calls.
    #[serde(rename = "calls")]
    pub recent_calls: RecentCalls,
    /// The balance of time that calls may use, if the share of the dependency is less than one call (seconds). It may
    /// be negative.
    pub call_budget_s: Option<f64>,
    /// Recent requests.
    pub traffic: Traffic,
}

/// Recent requests and their outcomes, and what is left of tenants' quotas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// Quota and arrivals, by tenant.
    #[serde(rename = "quotas")]
    pub tenants: Vec<TenantTraffic>,
    /// Arrivals per second, by tier (exponentially decaying).
    #[serde(rename = "arrivals")]
    pub arrivals_per_s: Vec<f64>,
    /// Retries and outcomes.
    #[serde(rename = "lately")]
    pub recent: RecentOutcomes,
}

/// Measured run lengths of a class, as exponentially decaying sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, [f64; 5])", into = "(f64, f64, [f64; 5])")]
pub struct LearnedRunLength {
    /// Time on the cores (seconds).
    pub core_time_s: f64,
    /// Number of ended runs.
    pub ended: f64,
    /// Sums for the regression of run lengths on hints: runs, hints, lengths, squared hints, hints times lengths.
    pub hint_sums: [f64; 5],
}

/// Recent downstream calls, as exponentially decaying sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct RecentCalls {
    /// Time on calls (seconds).
    pub time_s: f64,
    /// Number of ended calls.
    pub ended: f64,
}

/// Quota and recent requests of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct TenantTraffic {
    /// Requests left of this worker's even share of the tenant's quota.
    pub tokens: f64,
    /// Its recent arrivals (exponentially decaying).
    pub arrivals: f64,
}

/// Retries and outcomes of runs, all exponentially decaying.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct RecentOutcomes {
    /// Arrivals that are marked as retries (per second).
    pub retries_per_s: f64,
    /// Runs that failed.
    pub failed_runs: f64,
    /// All runs that ended.
    pub ended_runs: f64,
}

impl From<(f64, f64, [f64; 5])> for LearnedRunLength {
    fn from((core_time_s, ended, hint_sums): (f64, f64, [f64; 5])) -> Self {
        LearnedRunLength { core_time_s, ended, hint_sums }
    }
}

impl From<LearnedRunLength> for (f64, f64, [f64; 5]) {
    fn from(learned: LearnedRunLength) -> Self {
        (learned.core_time_s, learned.ended, learned.hint_sums)
    }
}

impl From<(f64, f64)> for RecentCalls {
    fn from((time_s, ended): (f64, f64)) -> Self {
        RecentCalls { time_s, ended }
    }
}

impl From<RecentCalls> for (f64, f64) {
    fn from(calls: RecentCalls) -> Self {
        (calls.time_s, calls.ended)
    }
}

impl From<(f64, f64)> for TenantTraffic {
    fn from((tokens, arrivals): (f64, f64)) -> Self {
        TenantTraffic { tokens, arrivals }
    }
}

impl From<TenantTraffic> for (f64, f64) {
    fn from(tenant: TenantTraffic) -> Self {
        (tenant.tokens, tenant.arrivals)
    }
}

impl From<(f64, f64, f64)> for RecentOutcomes {
    fn from((retries_per_s, failed_runs, ended_runs): (f64, f64, f64)) -> Self {
        RecentOutcomes { retries_per_s, failed_runs, ended_runs }
    }
}

impl From<RecentOutcomes> for (f64, f64, f64) {
    fn from(recent: RecentOutcomes) -> Self {
        (recent.retries_per_s, recent.failed_runs, recent.ended_runs)
    }
}

impl Traffic {
    fn non_negative_numbers(&self) -> impl Iterator<Item = f64> + '_ {
        let tenants = self.tenants.iter().flat_map(|tenant| [tenant.tokens, tenant.arrivals]);
        let recent = [self.recent.retries_per_s, self.recent.failed_runs, self.recent.ended_runs];
        tenants.chain(self.arrivals_per_s.iter().copied()).chain(recent)
    }
}

impl LearnedState {
    /// Whether the values could be measurements: all are finite, only the call budget may be negative, and the limit on
    /// calls, the baseline of the run length and the counts of ended runs by class are above 0. Adopting other values
    /// would corrupt all later decisions.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.non_negative_numbers().all(|number| number.is_finite() && number >= 0.0)
            && self.call_budget_s.is_none_or(f64::is_finite)
            && self.run_lengths.iter().all(|run_length| run_length.ended > 0.0)
            && self.baseline_run_s > 0.0
            && self.call_limit > 0.0
    }

    /// All numbers that must not be negative.
    fn non_negative_numbers(&self) -> impl Iterator<Item = f64> + '_ {
        let run_lengths = self.run_lengths.iter().flat_map(|run_length| {
            [run_length.core_time_s, run_length.ended].into_iter().chain(run_length.hint_sums)
        });
        let calls = [self.call_limit, self.recent_calls.time_s, self.recent_calls.ended];
        let lengths = [self.baseline_run_s, self.call_baseline_s.unwrap_or(1.0)];
        run_lengths.chain(calls).chain(lengths).chain(self.traffic.non_negative_numbers())
    }
}
