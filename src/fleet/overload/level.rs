//! The fleet's shedding level: which tiers are admitted, and which share of the first tier that is not admitted in full. It
//! is the same for all workers, so that none serves a low tier while another rejects a higher one.
//!
//! Guarantees to callers: the level admits no lower tier where it sheds a higher one; it deepens within a second of a
//! lasting shortage, and opens step by step, so that load that oscillates round the threshold changes it at most once a
//! period; every change has a cause.

use super::view::LoadSums;
use super::MAX_TIERS;
use serde::{Deserialize, Serialize};

/// Demand that the level admits, as a multiple of the cores' capacity. A little above 1, since each worker still rejects what
/// it can't complete in time, whereas a request that the level sheds without need is lost.
const TARGET_UTILIZATION: f64 = 1.05;
/// How long a shortage has to last before the level deepens (seconds).
const SHORT_FOR_S: f64 = 0.4;
/// How long there has to be headroom before the level opens (seconds).
const HEADROOM_FOR_S: f64 = 4.0;
/// Steps in a tier. A share changes by whole steps, so that the level does not change with each report.
const STEPS_PER_TIER: f64 = 4.0;
/// Time between two steps while the level opens (seconds).
const OPEN_STEP_S: f64 = 0.5;
/// The least share of first attempts that workers reject by themselves before a shortage counts. Until then their capacity is
/// an estimate, as after a start.
const MIN_REJECTED_SHARE: f64 = 0.01;
/// Retries count as demand up to this share of first attempts, which the budget admits. If all counted, each rejection would
/// cause the next one.
const MAX_RETRY_DEMAND: f64 = 0.1;
/// Number of reporting workers below which the fleet's load is unknown.
const MIN_WORKERS: usize = 2;
/// Difference below which two depths are equal.
const DEPTH_TOLERANCE: f64 = 1e-9;

/// A shedding level: admits all tiers above `tier`, a share of `tier`, and none below it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct SheddingLevel {
    /// The first tier that is not admitted in full; [`MAX_TIERS`] if all are.
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

    /// Whether a request of this tier is admitted. `rank` is its rank within the tier, from 0 for the highest to below 1.
    #[must_use]
    pub fn admits(&self, tier: usize, rank: f64) -> bool {
        let tier = tier.min(MAX_TIERS - 1);
        tier < self.tier || tier == self.tier && rank < f64::from(self.share)
    }

    /// The level as one number, which grows with what is admitted.
    fn depth(&self) -> f64 {
        self.tier as f64 + f64::from(self.share)
    }

    fn from_depth(depth: f64) -> SheddingLevel {
        let tier = depth.max(0.0).floor();
        if tier >= MAX_TIERS as f64 {
            return SheddingLevel::default();
        }
        SheddingLevel { tier: tier as usize, share: (depth.max(0.0) - tier) as f32 }
    }

    /// The level that admits as much as the cores' capacity allows.
    fn for_load(sums: &LoadSums) -> SheddingLevel {
        let mut headroom = sums.capacity * TARGET_UTILIZATION;
        // Retries arrive in the proportions in which first attempts do.
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
        /// First attempts and retries that arrive (requests a second).
        demand_per_s: f64,
        /// The capacity of the cores (requests a second).
        capacity_per_s: f64,
    },
    /// Capacity has exceeded demand for a while.
    Headroom {
        /// First attempts and retries that arrive (requests a second).
        demand_per_s: f64,
        /// The capacity of the cores (requests a second).
        capacity_per_s: f64,
    },
    /// Too few workers report to shed anything.
    TooFewReports,
}

/// A level that an operator has set.
#[derive(Clone, Copy, Debug)]
struct PinnedLevel {
    level: SheddingLevel,
    until: f64,
}

/// Adjusts the level to the fleet's load.
#[derive(Clone, Debug)]
pub struct SheddingController {
    level: SheddingLevel,
    /// Since when the load requires a deeper level.
    short_since: Option<f64>,
    /// Since when the load allows a more open one.
    headroom_since: Option<f64>,
    changed_at: f64,
    pinned: Option<PinnedLevel>,
}

impl SheddingController {
    /// An open level.
    #[must_use]
    pub fn new(now: f64) -> SheddingController {
        SheddingController {
            level: SheddingLevel::default(),
            short_since: None,
            headroom_since: None,
            changed_at: now,
            pinned: None,
        }
    }

    /// The level that is in force now.
    #[must_use]
    pub fn level(&self, now: f64) -> SheddingLevel {
        self.pinned.filter(|pinned| now < pinned.until).map_or(self.level, |pinned| pinned.level)
    }

    /// Pins the level that an operator has set until that time.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.pinned = Some(PinnedLevel { level, until });
    }

    /// Evaluates new sums, and returns the change of the level, if there is one.
    pub fn evaluate(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        self.update_trends(now, sums);
        if self.short_since.is_some_and(|since| now - since >= SHORT_FOR_S) {
            return self.deepen(now, sums);
        }
        let has_headroom = self.headroom_since.is_some_and(|since| now - since >= HEADROOM_FOR_S);
        if has_headroom && now - self.changed_at >= OPEN_STEP_S && !self.level.is_open() {
            return self.open_one_step(now, sums);
        }
        None
    }

    fn update_trends(&mut self, now: f64, sums: &LoadSums) {
        if sums.workers < MIN_WORKERS {
            // The load is unknown: the level opens as if there were headroom.
            self.short_since = None;
            self.headroom_since = Some(self.headroom_since.unwrap_or(now));
            return;
        }
        let depth = self.level.depth();
        let wanted_depth = SheddingLevel::for_load(sums).depth();
        let workers_reject = sums.rejected >= MIN_REJECTED_SHARE * sums.arrivals.iter().sum::<f64>();
        let is_short = wanted_depth < depth - DEPTH_TOLERANCE && (workers_reject || !self.level.is_open());
        let has_headroom = wanted_depth > depth + DEPTH_TOLERANCE;
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
        self.headroom_since = has_headroom.then(|| self.headroom_since.unwrap_or(now));
    }

    fn deepen(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        // The first step may be a large one; the next one waits until the sums show its effect.
        self.short_since = None;
        let cause = LevelChangeCause::Shortage { demand_per_s: demand(sums), capacity_per_s: sums.capacity };
        self.change(now, SheddingLevel::for_load(sums), cause)
    }

    fn open_one_step(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        let next_depth = (self.level.depth() * STEPS_PER_TIER + 1.0).round() / STEPS_PER_TIER;
        let mut next = SheddingLevel::from_depth(next_depth);
        // Tiers without arrivals are skipped.
        while !next.is_open() && next.share == 0.0 && sums.arrivals[next.tier] == 0.0 {
            next = SheddingLevel::from_depth((next.tier + 1) as f64);
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
