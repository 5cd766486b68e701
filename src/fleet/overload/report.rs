//! A worker's load report.

use super::{MAX_MEASUREMENT, MAX_TIERS};
use serde::{Deserialize, Serialize};

/// What a worker reports of its load, in under 256 bytes: hence the short keys. Rates are per second, over the time since
/// its last report.
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
    /// First attempts that its own admission control rejected, without those that the fleet's level shed.
    #[serde(rename = "r")]
    pub rejected: f32,
    /// Requests that it could complete, by its own estimate.
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
    /// Calls in flight that it would make beyond its capacity.
    #[serde(rename = "w")]
    pub wants: f32,
    /// Mean priority weight of those calls.
    #[serde(rename = "v")]
    pub weight: f32,
    /// It goes by a digest in which the downstream circuit is open.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub circuit_open: bool,
    /// Calls in flight that it lends of its own capacity, for [`super::capacity_leases::LOAN_S`].
    #[serde(rename = "o")]
    pub lends: f32,
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
            self.wants,
            self.weight,
            self.lends,
        ];
        self.arrivals.iter().copied().chain(scalars)
    }

    /// Whether it can have been measured; other reports are ignored.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let is_measurement = |value: f32| (0.0..=MAX_MEASUREMENT).contains(&value);
        self.arrivals.len() <= MAX_TIERS && self.measurements().all(is_measurement)
    }

    /// Whether all measurements are equal: a busy worker whose reports repeat has stopped measuring.
    pub(super) fn has_same_measurements(&self, other: &LoadReport) -> bool {
        self.measurements().eq(other.measurements())
    }
}
