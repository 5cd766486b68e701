//! A worker's load report.

use super::{MAX_MEASUREMENT, MAX_TIERS};
use serde::{Deserialize, Serialize};

/// A worker's load since its last report. Rates are per second. The keys are short so that a report stays below 256 bytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LoadReport {
    /// Sequence number.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of the last digest that it received; 0 for none in this session.
    #[serde(rename = "h")]
    pub last_digest: u64,
    /// First attempts by tier, the highest first.
    #[serde(rename = "a")]
    pub arrivals: Vec<f32>,
    /// Retries of all tiers.
    #[serde(rename = "f")]
    pub retries: f32,
    /// First attempts that the worker rejected by itself, without those that the fleet's level shed.
    #[serde(rename = "r")]
    pub rejected: f32,
    /// Requests that the worker can complete, by its own estimate.
    #[serde(rename = "c")]
    pub capacity: f32,
    /// Downstream calls that succeeded.
    #[serde(rename = "g")]
    pub calls_succeeded: f32,
    /// Downstream calls that failed or were rejected.
    #[serde(rename = "b")]
    pub calls_failed: f32,
    /// Mean duration of downstream calls that succeeded (seconds).
    #[serde(rename = "l")]
    pub call_s: f32,
    /// Downstream calls that it would make beyond its capacity (calls in flight).
    #[serde(rename = "w")]
    pub wanted_calls: f32,
    /// Mean priority weight of those calls.
    #[serde(rename = "v")]
    pub weight: f32,
    /// The digest that it applies has the downstream circuit open.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub circuit_open: bool,
    /// The part of its base allocation that it lends for [`super::capacity_leases::LOAN_S`] (calls in flight).
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

    /// Whether all values are in range. Other reports are ignored.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let is_measurement = |value: f32| (0.0..=MAX_MEASUREMENT).contains(&value);
        self.arrivals.len() <= MAX_TIERS && self.measurements().all(is_measurement)
    }

    /// Whether all measurements are equal. A busy worker whose reports repeat has stopped measuring.
    pub(super) fn has_same_measurements(&self, other: &LoadReport) -> bool {
        self.measurements().eq(other.measurements())
    }
}
