//! `[pools]` of an operator's file: class pools.

mod assignment;

use super::{ConfigError, PlatformSettings};
use crate::interface::{PoolPlan, PoolReserve, PoolSpec};
use assignment::Assignment;
use serde::Deserialize;

/// The name of the pool for the classes that no other pool lists.
pub const REST_POOL: &str = "rest";
/// Largest number of pools. It is bounded since each start of a run examines all pools.
pub const MAX_POOLS: usize = 16;
/// Largest number of run slots that `least_slots` and `most_slots` may set.
pub const MAX_SLOTS: usize = 4096;
/// Default of `most_slots`, as a multiple of the number of cores.
const DEFAULT_SLOTS_PER_CORE: usize = 2;
/// Tolerance for rounding errors of guarantees, which are decimal fractions: the sum of all guarantees may exceed 1, and a
/// guarantee may exceed its ceiling, by this much.
const GUARANTEE_TOLERANCE: f64 = 1e-9;

/// Class pools.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// The lower bound of the limit on runs (slots); by default the number of cores.
    #[serde(rename = "least_slots")]
    pub min_slots: Option<usize>,
    /// The upper bound of the limit on runs (slots); by default twice the number of cores, or the lower bound if that is
    /// higher.
    #[serde(rename = "most_slots")]
    pub max_slots: Option<usize>,
    /// How long a measured rate and the baseline of run lengths remain valid (seconds).
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// The interval at which the limit is reviewed (seconds).
    #[serde(default = "default_review_s", rename = "look_s")]
    pub review_s: f64,
    /// The least number of ended runs for a review.
    #[serde(default = "default_min_samples", rename = "samples")]
    pub min_samples: usize,
    /// The ratio of measured to expected run length above which the executor counts as slowed down.
    #[serde(default = "default_slow_ratio")]
    pub slow_ratio: f64,
    /// The reserved slots, if any.
    pub reserve: Option<ReserveSettings>,
    /// The pools.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolBlock>,
}

/// Slots that are reserved for one pool and never lent to another.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReserveSettings {
    /// The name of the pool.
    pub pool: String,
    /// The number of reserved slots.
    pub slots: usize,
}

/// One pool.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolBlock {
    /// Its name.
    pub name: String,
    /// The names of its classes in the settings.
    pub classes: Vec<String>,
    /// The share of the slots outside of the reserve that it gets whenever its requests need them.
    #[serde(default)]
    pub guarantee: f64,
    /// The largest share of the slots outside of the reserve that it may use.
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    /// Its weight in the division of unclaimed slots.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Largest number of its requests that are queued.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_window_s() -> f64 {
    10.0
}

fn default_review_s() -> f64 {
    0.5
}

fn default_min_samples() -> usize {
    16
}

fn default_slow_ratio() -> f64 {
    1.6
}

fn default_ceiling() -> f64 {
    1.0
}

fn default_weight() -> f64 {
    1.0
}

fn default_queue() -> usize {
    256
}

impl PoolSettings {
    /// Checks the block against the platform's settings and creates the plan for the admission controller.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn plan(&self, settings: &PlatformSettings) -> Result<PoolPlan, ConfigError> {
        let cores = settings.domain.n_cores.max(1) as usize;
        let min_slots = self.min_slots.unwrap_or(cores);
        let max_slots = self.max_slots.unwrap_or(min_slots.max(cores * DEFAULT_SLOTS_PER_CORE));
        check_slots(min_slots, max_slots)?;
        self.check_measurement()?;
        if self.pools.is_empty() {
            return Err(ConfigError::NoPools);
        }
        let mut assignment = Assignment::new(settings);
        for block in &self.pools {
            assignment.add(block)?;
        }
        check_guarantees(&assignment.pools)?;
        assignment.add_rest(&self.pools)?;
        let Assignment { pools, pool_of, .. } = assignment;
        if pools.len() > MAX_POOLS {
            return Err(ConfigError::TooManyPools { found: pools.len(), max: MAX_POOLS });
        }
        let reserve = self.reserve.as_ref().map(|reserve| reserve.plan(&pools, min_slots)).transpose()?;
        Ok(PoolPlan {
            pools,
            pool_of: pool_of.into_iter().flatten().collect(),
            reserve,
            min_slots,
            max_slots,
            window_s: self.window_s,
            review_s: self.review_s,
            min_samples: self.min_samples,
            slow_ratio: self.slow_ratio,
        })
    }

    fn check_measurement(&self) -> Result<(), ConfigError> {
        check_range("pools.window_s".to_owned(), self.window_s, 1.0, 600.0)?;
        check_range("pools.look_s".to_owned(), self.review_s, 0.1, self.window_s)?;
        check_range("pools.slow_ratio".to_owned(), self.slow_ratio, 1.1, 10.0)?;
        check_range("pools.samples".to_owned(), self.min_samples as f64, 4.0, 10_000.0)
    }
}

fn check_slots(min_slots: usize, max_slots: usize) -> Result<(), ConfigError> {
    let out_of_range = |key: &str, found: usize, min: String| ConfigError::OutOfRange {
        key: key.to_owned(),
        found: found.to_string(),
        min,
        max: MAX_SLOTS.to_string(),
    };
    if !(1..=MAX_SLOTS).contains(&min_slots) {
        return Err(out_of_range("pools.least_slots", min_slots, "1".to_owned()));
    }
    if !(min_slots..=MAX_SLOTS).contains(&max_slots) {
        return Err(out_of_range("pools.most_slots", max_slots, format!("{min_slots} (least_slots)")));
    }
    Ok(())
}

fn check_guarantees(pools: &[PoolSpec]) -> Result<(), ConfigError> {
    let sum: f64 = pools.iter().map(|pool| pool.guarantee).sum();
    if sum > 1.0 + GUARANTEE_TOLERANCE {
        return Err(ConfigError::GuaranteesAboveOne { sum });
    }
    Ok(())
}

fn check_range(key: String, found: f64, min: f64, max: f64) -> Result<(), ConfigError> {
    if found.is_finite() && found >= min && found <= max {
        return Ok(());
    }
    Err(ConfigError::NumberOutOfRange { key, found, min, max })
}

impl PoolBlock {
    fn check_shares(&self) -> Result<(), ConfigError> {
        let key = |name: &str| format!("pools.pool {:?}: {name}", self.name);
        check_range(key("guarantee"), self.guarantee, 0.0, 1.0)?;
        check_range(key("ceiling"), self.ceiling, 0.01, 1.0)?;
        check_range(key("weight"), self.weight, 0.001, 1000.0)?;
        check_range(key("queue"), self.queue as f64, 1.0, 100_000.0)?;
        if self.guarantee > self.ceiling + GUARANTEE_TOLERANCE {
            return Err(ConfigError::GuaranteeAboveCeiling {
                pool: self.name.clone(),
                guarantee: self.guarantee,
                ceiling: self.ceiling,
            });
        }
        Ok(())
    }
}

impl ReserveSettings {
    /// Checks the reserve and resolves the name of its pool.
    fn plan(&self, pools: &[PoolSpec], min_slots: usize) -> Result<PoolReserve, ConfigError> {
        let Some(pool) = pools.iter().position(|pool| pool.name == self.pool) else {
            let key = "pools.reserve.pool".to_owned();
            return Err(ConfigError::UnknownName { key, kind: "pool", name: self.pool.clone() });
        };
        if self.slots == 0 || self.slots >= min_slots {
            return Err(ConfigError::ReserveSlots { slots: self.slots, min_slots });
        }
        Ok(PoolReserve { pool, slots: self.slots })
    }
}

#[cfg(test)]
mod tests;
