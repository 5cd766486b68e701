//! A worker's load report.

use super::{MAX_MEASUREMENT, MAX_TIERS};
use serde::{Deserialize, Serialize};

/// A worker's load since its last report. Rates are per second. Serialized keys are short to keep a report below 256 bytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LoadReport {
    /// Sequence number of the heartbeat that carries the report.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of the last digest that the worker received on this link; 0 for none.
    #[serde(rename = "h")]
    pub last_digest: u64,
    /// First attempts by tier, highest tier first.
    #[serde(rename = "a")]
    pub arrivals: Vec<f32>,
    /// Retries of all tiers.
    #[serde(rename = "f")]
    pub retries: f32,
    /// Requests that the worker rejected on its own, retries among them; without those that the fleet's level shed and
    /// retries beyond the fleet's budget.
    #[serde(rename = "r")]
    pub rejected: f32,
    /// Requests that the worker estimates it can complete.
    #[serde(rename = "c")]
    pub capacity: f32,
    /// Downstream calls that succeeded.
    #[serde(rename = "g")]
    pub calls_succeeded: f32,
    /// Downstream calls that failed or were rejected.
    #[serde(rename = "b")]
    pub calls_failed: f32,
    /// Mean duration of successful downstream calls (seconds).
    #[serde(rename = "l")]
    pub call_s: f32,
    /// Downstream calls that the worker would make beyond its capacity (calls in flight).
    #[serde(rename = "w")]
    pub wanted_calls: f32,
    /// Mean priority weight of those calls.
    #[serde(rename = "v")]
    pub weight: f32,
    /// Whether the circuit is open in the digest that the worker currently applies.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub circuit_open: bool,
    /// The part of its base allocation that the worker lends for [`super::capacity_leases::LOAN_S`] (calls in flight).
    #[serde(rename = "o")]
    pub lent_calls: f32,
}

impl LoadReport {
    fn measurements(&self) -> impl Iterator<Item = f32> + '_ {
        let scalars = [
            self.retries,
            self.rejected,
            self.capacity,
            self.calls_succeeded,
            self.calls_failed,
            self.call_s,
            self.wanted_calls,
            self.weight,
            self.lent_calls,
        ];
        self.arrivals.iter().copied().chain(scalars)
    }

    /// Whether all values are in range. Receivers ignore other reports.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_measurement = |value: f32| (0.0..=MAX_MEASUREMENT).contains(&value);
        self.arrivals.len() <= MAX_TIERS && self.measurements().all(is_measurement)
    }

    /// Whether all measurements are equal. Identical consecutive reports of a busy worker mean that its measurements are
    /// frozen.
    pub(super) fn has_same_measurements(&self, other: &LoadReport) -> bool {
        self.measurements().eq(other.measurements())
    }
}
