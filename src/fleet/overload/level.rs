//! The fleet's shedding level: which tiers are admitted, and of the tier at the edge which share. It is the same for all
//! workers, so that no low request is served at one at the price of a high one at another.
//!
//! Guarantees to callers: the level admits no lower tier where it sheds a higher one; it deepens within a second of a
//! lasting shortage, and opens step by step, so that load that swings round the threshold changes it at most once a swing;
//! every change has a cause.

use super::view::LoadSums;
use super::MAX_TIERS;
use serde::{Deserialize, Serialize};

/// Demand that the level admits, against the capacity of the cores: a little more, since each worker's own admission
/// control rejects what it can't complete in time, and what the level sheds too much is lost.
const TARGET_UTILIZATION: f64 = 1.05;
/// How long a shortage has to last before the level deepens (seconds).
const SHORT_FOR_S: f64 = 0.4;
/// How long there has to be headroom before the level opens (seconds).
const HEADROOM_FOR_S: f64 = 4.0;
/// Steps in a tier: a share moves by one of these, or the level would change with each report.
const STEPS_PER_TIER: f64 = 4.0;
/// Time between two steps while the level opens (seconds).
const OPEN_STEP_S: f64 = 0.5;
/// A shortage counts only where the workers themselves reject so large a share of what arrives: until then their capacity
/// is a guess, as after a start.
const MIN_REJECTED_SHARE: f64 = 0.01;
/// Retries count as demand up to this share of first attempts: what the budget admits. All of them would make each rejection
/// a reason for the next.
const MAX_RETRY_DEMAND: f64 = 0.1;
/// Fewer workers in a view say nothing of a fleet.
const MIN_WORKERS: usize = 2;
/// Depths that differ by less are equal.
const DEPTH_TOLERANCE: f64 = 1e-9;

/// Tiers before `tier` are admitted, of `tier` a share, and none after it.
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

    /// Whether a request of this tier with this rank in it (0 the highest, below 1) is admitted.
    #[must_use]
    pub fn admits(&self, tier: usize, rank: f64) -> bool {
        let tier = tier.min(MAX_TIERS - 1);
        tier < self.tier || tier == self.tier && rank < f64::from(self.share)
    }

    /// How much it admits, as one number that grows with it.
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

    /// The deepest level that admits no more than the cores' capacity.
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
    /// Why it changed.
    pub cause: LevelChangeCause,
}

/// Why the level changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LevelChangeCause {
    /// More is asked than the cores can do.
    Shortage {
        /// First attempts and retries that arrive (requests a second).
        demand_per_s: f64,
        /// What the cores can do (requests a second).
        capacity_per_s: f64,
    },
    /// The cores could have done more for a while.
    Headroom {
        /// First attempts and retries that arrive (requests a second).
        demand_per_s: f64,
        /// What the cores can do (requests a second).
        capacity_per_s: f64,
    },
    /// Too few workers report for a level other than open.
    TooFewReports,
}

/// A level that an operator has set.
#[derive(Clone, Copy, Debug)]
struct PinnedLevel {
    level: SheddingLevel,
    until: f64,
}

/// Moves the level with the fleet's load.
#[derive(Clone, Debug)]
pub struct SheddingController {
    level: SheddingLevel,
    /// Since when the load asks for a deeper level.
    short_since: Option<f64>,
    /// Since when the load asks for a more open one.
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

    /// An operator sets the level until then.
    pub fn pin(&mut self, level: SheddingLevel, until: f64) {
        self.pinned = Some(PinnedLevel { level, until });
    }

    /// Evaluates new sums; what has changed, and why.
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
            // Nothing is known: the level opens as if there were headroom.
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
        // The first step may be far; before the next one the sums have to show its effect.
        self.short_since = None;
        let cause = LevelChangeCause::Shortage { demand_per_s: demand(sums), capacity_per_s: sums.capacity };
        self.change(now, SheddingLevel::for_load(sums), cause)
    }

    fn open_one_step(&mut self, now: f64, sums: &LoadSums) -> Option<LevelChange> {
        let next_depth = (self.level.depth() * STEPS_PER_TIER + 1.0).round() / STEPS_PER_TIER;
        let mut next = SheddingLevel::from_depth(next_depth);
        // Tiers in which nothing arrives are no steps.
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
