//! The fleet's shedding level: which tiers are admitted in full, and which share of the next tier. All workers apply the
//! same level, so that no worker serves a low tier while another rejects a higher one.
//!
//! Guarantees to callers: no lower tier is admitted while a higher one is shed; the level tightens within one second after a
//! lasting shortage begins; it relaxes step by step, so that load that oscillates around the capacity changes it at most
//! once per period of the oscillation; every change states its cause.

use super::view::LoadSums;
use super::MAX_TIERS;
use serde::{Deserialize, Serialize};

/// Demand that the level admits, as a multiple of the cores' capacity. Slightly above 1: each worker still rejects what it
/// cannot complete in time, whereas a request that the level sheds unnecessarily is lost.
const TARGET_UTILIZATION: f64 = 1.05;
/// How long a shortage has to last before the level tightens (seconds).
const SHORTAGE_DELAY_S: f64 = 0.4;
/// How long headroom has to last before the level relaxes (seconds).
const HEADROOM_DELAY_S: f64 = 4.0;
/// Number of steps per tier. Shares change in whole steps, so that the level does not change with every report.
const STEPS_PER_TIER: f64 = 4.0;
/// Time between two steps while the level relaxes (seconds).
const RELAX_INTERVAL_S: f64 = 0.5;
/// Minimum number of requests that the workers themselves must reject, as a share of first attempts, before a shortage
/// tightens an open level. If they reject fewer, the shortage may be an error of the reported capacity, which is only an
/// estimate after a start.
const MIN_REJECTED_SHARE: f64 = 0.01;
/// Retries count as demand up to this share of first attempts, which the retry budget admits by default. If all retries
/// counted, shed requests that return as retries would tighten the level further.
const MAX_RETRY_DEMAND: f64 = 0.1;
/// Minimum number of reporting workers. With fewer, the fleet's load counts as unknown.
const MIN_WORKERS: usize = 2;
/// Tolerance for rounding errors when comparing numbers of admitted tiers.
const TIER_TOLERANCE: f64 = 1e-9;

/// A shedding level: admits all tiers above `tier`, a share of `tier`, and no tier below it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct SheddingLevel {
    /// The first tier that is not admitted in full; [`MAX_TIERS`] if all tiers are.
    #[serde(rename = "t")]
    pub tier: usize,
    /// The share of that tier that is admitted.
    #[serde(rename = "s")]
    pub share: f32,
}

impl Default for SheddingLevel {
    fn default() -> SheddingLevel {
        SheddingLevel { tier: MAX_TIERS, share: 0.0 }
    }
}

impl SheddingLevel {
    /// Whether all tiers are admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.tier >= MAX_TIERS
    }

    /// Whether a request of this tier is admitted. `rank` is its rank within the tier, in [0, 1); 0 is the highest.
    #[must_use]
    pub fn admits(&self, tier: usize, rank: f64) -> bool {
        let tier = tier.min(MAX_TIERS - 1);
        tier < self.tier || tier == self.tier && rank < f64::from(self.share)
    }

    /// The level as a single number: the tiers admitted in full plus the admitted share of the next one.
    fn admitted_tiers(&self) -> f64 {
        self.tier as f64 + f64::from(self.share)
    }

    fn from_admitted_tiers(admitted_tiers: f64) -> SheddingLevel {
        let tier = admitted_tiers.max(0.0).floor();
        if tier >= MAX_TIERS as f64 {
            return SheddingLevel::default();
        }
        SheddingLevel { tier: tier as usize, share: (admitted_tiers.max(0.0) - tier) as f32 }
    }

    /// The level whose admitted demand is `TARGET_UTILIZATION` times the cores' capacity, rounded up to a whole step.
    fn for_load(sums: &LoadSums) -> SheddingLevel {
        let mut headroom = sums.capacity * TARGET_UTILIZATION;
        // Reports do not state the tiers of retries, so retries are assumed to be distributed as first attempts are.
        let first_attempts: f64 = sums.arrivals.iter().sum();
        let retry_factor = if first_attempts > 0.0 {
            1.0 + (sums.retries / first_attempts).min(MAX_RETRY_DEMAND)
        } else {
            1.0
        };
        for (tier, arrivals) in sums.arrivals.iter().enumerate() {
            let demand = arrivals * retry_factor;
            if demand > headroom {
                let steps = (headroom.max(0.0) / demand * STEPS_PER_TIER).ceil();
                return SheddingLevel { tier, share: (steps / STEPS_PER_TIER) as f32 };
            }
            headroom -= demand;
        }
        SheddingLevel::default()
    }
}

/// A change of the level.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// The new level.
    pub level: SheddingLevel,
    /// The cause of the change.
    pub cause: LevelChangeCause,
}

/// The cause of a change of the level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LevelChangeCause {
    /// Demand exceeds the capacity of the cores.
    Shortage {
        /// First attempts and retries that arrive (requests per second).
        demand_per_s: f64,
        /// The capacity of the cores (requests per second).
        capacity_per_s: f64,
    },
    /// The load has allowed a more open level for `HEADROOM_DELAY_S`.
    Headroom {
        /// First attempts and retries that arrive (requests per second).
        demand_per_s: f64,
        /// The capacity of the cores (requests per second).
        capacity_per_s: f64,
    },
    /// Fewer than `MIN_WORKERS` workers report, so the load is unknown.
    TooFewReports,
}

/// A level that an operator has set temporarily.
#[derive(Clone, Copy, Debug)]
struct PinnedLevel {
    level: SheddingLevel,
    until: f64,
}

/// Adjusts the level to the fleet's load.
#[derive(Clone, Debug)]
pub struct SheddingController {
    level: SheddingLevel,
    /// Since when the load has required a tighter level.
    shortage_since: Option<f64>,
    /// Since when the load has allowed a more open level.
    headroom_since: Option<f64>,
    changed_at: f64,
    pinned: Option<PinnedLevel>,
}

impl SheddingController {
    /// Creates a controller whose level is open.
    #[must_use]
    pub fn new(now: f64) -> SheddingController {
        SheddingController {
            level: SheddingLevel::default(),
            shortage_since: None,
            headroom_since: None,
            changed_at: now,
            pinned: None,
        }
    }

    /// The level in force now.
    #[must_use]
    pub fn level(&self, now: f64) -> SheddingLevel {
        self.pinned.filter(|pinned| now < pinned.until).map_or(self.level, |pinned| pinned.level)
    }

    /// Overrides the level, on an operator's command, until the given time.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.pinned = Some(PinnedLevel { level, until });
    }

    /// Evaluates new sums, and returns the resulting change of the level, if any.
    pub fn evaluate(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        self.update_trends(now, sums);
        if self.shortage_since.is_some_and(|since| now - since >= SHORTAGE_DELAY_S) {
            return self.tighten(now, sums);
        }
        let has_lasting_headroom = self.headroom_since.is_some_and(|since| now - since >= HEADROOM_DELAY_S);
        if has_lasting_headroom && now - self.changed_at >= RELAX_INTERVAL_S && !self.level.is_open() {
            return self.relax_one_step(now, sums);
        }
        None
    }

    fn update_trends(&mut self, now: f64, sums: &LoadSums) {
        if sums.workers < MIN_WORKERS {
            // The load is unknown: the level relaxes as it does with headroom.
            self.shortage_since = None;
            self.headroom_since = Some(self.headroom_since.unwrap_or(now));
            return;
        }
        let admitted_tiers = self.level.admitted_tiers();
        let target_tiers = SheddingLevel::for_load(sums).admitted_tiers();
        let workers_reject = sums.rejected >= MIN_REJECTED_SHARE * sums.arrivals.iter().sum::<f64>();
        let has_shortage =
            target_tiers < admitted_tiers - TIER_TOLERANCE && (workers_reject || !self.level.is_open());
        let has_headroom = target_tiers > admitted_tiers + TIER_TOLERANCE;
        self.shortage_since = has_shortage.then(|| self.shortage_since.unwrap_or(now));
        self.headroom_since = has_headroom.then(|| self.headroom_since.unwrap_or(now));
    }

    fn tighten(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        // This step may be large, so the next one waits until the sums show its effect.
        self.shortage_since = None;
        let cause = LevelChangeCause::Shortage { demand_per_s: demand(sums), capacity_per_s: sums.capacity };
        self.change(now, SheddingLevel::for_load(sums), cause)
    }

    fn relax_one_step(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        let next_tiers = (self.level.admitted_tiers() * STEPS_PER_TIER + 1.0).round() / STEPS_PER_TIER;
        let mut next = SheddingLevel::from_admitted_tiers(next_tiers);
        // Tiers without arrivals are skipped.
        while !next.is_open() && next.share == 0.0 && sums.arrivals[next.tier] == 0.0 {
            next = SheddingLevel::from_admitted_tiers((next.tier + 1) as f64);
        }
        let cause = if sums.workers < MIN_WORKERS {
            LevelChangeCause::TooFewReports
        } else {
            LevelChangeCause::Headroom { demand_per_s: demand(sums), capacity_per_s: sums.capacity }
        };
        self.change(now, next, cause)
    }

    fn change(&mut self, now: f64, level: SheddingLevel, cause: LevelChangeCause) -> Option<LevelChange> {
        if level == self.level {
            return None;
        }
        self.level = level;
        self.changed_at = now;
        Some(LevelChange { level, cause })
    }
}

/// First attempts and retries of all tiers.
fn demand(sums: &LoadSums) -> f64 {
    sums.arrivals.iter().sum::<f64>() + sums.retries
}

#[cfg(test)]
mod tests;
