//! The leader's answer to a load report.

use super::level::SheddingLevel;
use super::MAX_MEASUREMENT;
use serde::{Deserialize, Serialize};

/// Upper bound for [`FleetDigest::spread_s`] in a valid digest (seconds).
const MAX_SPREAD_S: f32 = 60.0;

/// The fleet's state and decisions, as sent to one worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetDigest {
    /// Sequence number among the digests that one leader sends in the session, from 1.
    pub number: u64,
    /// Number of workers whose reports the digest is based on.
    #[serde(rename = "of")]
    pub workers: usize,
    /// Age of the oldest report among them (milliseconds).
    pub age_ms: u64,
    /// The fleet's shedding level.
    pub level: SheddingLevel,
    /// Period over which Retry-After spreads the retries of rejected requests while the fleet is at capacity (seconds).
    pub spread_s: f32,
    /// Share of retries to admit.
    #[serde(rename = "pass")]
    pub retry_share: f32,
    /// Share of its downstream capacity that a worker in this zone may use.
    #[serde(rename = "part")]
    pub call_share: f32,
    /// Whether the downstream circuit is open in this worker's zone.
    #[serde(rename = "given_up")]
    pub circuit_open: bool,
    /// Whether this worker makes the zone's half-open probes.
    #[serde(rename = "trial")]
    pub is_prober: bool,
    /// Calls in flight that this worker may have beyond its base allocation. Valid for [`super::capacity_leases::SLICE_S`]
    /// after the worker sent the report.
    pub slice: f32,
}

impl FleetDigest {
    /// Whether all values are in range. Receivers ignore other digests.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let shares = [self.retry_share, self.call_share, self.level.share];
        shares.iter().all(|share| (0.0..=1.0).contains(share))
            && (0.0..=MAX_MEASUREMENT).contains(&self.slice)
            && (0.0..=MAX_SPREAD_S).contains(&self.spread_s)
    }
}
