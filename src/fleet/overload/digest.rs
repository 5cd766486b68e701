//! The digest by which the leader answers a load report.

use super::level::SheddingLevel;
use super::MAX_MEASUREMENT;
use serde::{Deserialize, Serialize};

/// Longest period over which retries may be spread (seconds).
const MAX_SPREAD_S: f32 = 60.0;

/// The fleet's state and decisions, for one worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct FleetDigest {
    /// Sequence number, counted for each session.
    pub number: u64,
    /// Number of workers whose reports it is based on.
    #[serde(rename = "of")]
    pub workers: usize,
    /// Age of the oldest of those reports (milliseconds).
    pub age_ms: u64,
    /// The fleet's shedding level.
    pub level: SheddingLevel,
    /// Period over which Retry-After spreads rejected requests while the fleet is at capacity (seconds).
    pub spread_s: f32,
    /// Share of retries that is admitted.
    #[serde(rename = "pass")]
    pub retry_share: f32,
    /// Share of its downstream capacity that a worker of this zone may use.
    #[serde(rename = "part")]
    pub call_share: f32,
    /// The downstream circuit is open in this worker's zone.
    #[serde(rename = "given_up")]
    pub circuit_open: bool,
    /// This worker makes the zone's half-open probes.
    #[serde(rename = "trial")]
    pub is_prober: bool,
    /// Calls in flight that this worker may have beyond its base allocation, for [`super::capacity_leases::SLICE_S`] from
    /// when it sent the report.
    pub slice: f32,
}

impl FleetDigest {
    /// Whether all values are in range. Other digests are ignored.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let shares = [self.retry_share, self.call_share, self.level.share];
        shares.iter().all(|share| (0.0..=1.0).contains(share))
            && (0.0..=MAX_MEASUREMENT).contains(&self.slice)
            && (0.0..=MAX_SPREAD_S).contains(&self.spread_s)
    }
}
