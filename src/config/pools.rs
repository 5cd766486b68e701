//! `[pools]` of an operator's file: class pools, checked against the platform's settings.

mod assignment;

use super::{ConfigError, Options};
use crate::interface::{PoolPlan, PoolReserve, PoolSpec};
use assignment::Assignment;
use serde::Deserialize;

/// The name of the pool of the classes that no other pool names.
pub const REST: &str = "rest";
/// Most pools. Each start of a run examines all of them.
pub const MAX_POOLS: usize = 16;
/// Most slots.
pub const MAX_SLOTS: usize = 4096;
/// The default of `most_slots`, as a multiple of the cores.
const DEFAULT_SLOTS_PER_CORE: usize = 2;
/// Error by which the sum of guarantees, which are decimal fractions, may exceed 1.
const ROUNDING: f64 = 1e-9;

/// Class pools.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// The least limit on runs (slots); by default the number of cores.
    pub least_slots: Option<usize>,
    /// The largest limit on runs (slots); by default twice the number of cores.
    pub most_slots: Option<usize>,
    /// How long measured rates and run lengths are used (seconds).
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// Interval at which the limit is adjusted (seconds).
    #[serde(default = "default_look_s")]
    pub look_s: f64,
    /// The least number of ended runs for an adjustment.
    #[serde(default = "default_samples")]
    pub samples: usize,
    /// Ratio of the measured run length to the one expected at this load from which the executor counts as slowed down.
    #[serde(default = "default_slow_ratio")]
    pub slow_ratio: f64,
    /// Slots that one pool never lends.
    pub reserve: Option<ReserveSettings>,
    /// The pools.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolBlock>,
}

/// Slots that one pool never lends.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReserveSettings {
    /// The pool.
    pub pool: String,
    /// Its slots.
    pub slots: usize,
}

/// One pool.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolBlock {
    /// Its name.
    pub name: String,
    /// Its classes, by their names in the settings.
    pub classes: Vec<String>,
    /// The share of the common slots that it gets whenever it has requests for them.
    #[serde(default)]
    pub guarantee: f64,
    /// The largest share of the common slots that it may use.
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    /// Its weight where pools compete for free slots.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Most queued requests.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_window_s() -> f64 {
    10.0
}

fn default_look_s() -> f64 {
    0.5
}

fn default_samples() -> usize {
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
    /// Checks the block against the platform's settings and makes the plan for the controller.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn plan(&self, settings: &Options) -> Result<PoolPlan, ConfigError> {
        let cores = settings.domain.n_cores.max(1) as usize;
        let least_slots = self.least_slots.unwrap_or(cores);
        let most_slots = self.most_slots.unwrap_or(least_slots.max(cores * DEFAULT_SLOTS_PER_CORE));
        check_slots(least_slots, most_slots)?;
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
        let reserve = self.reserve.as_ref().map(|reserve| reserve.plan(&pools, least_slots)).transpose()?;
        Ok(PoolPlan {
            pools,
            pool_of: pool_of.into_iter().flatten().collect(),
            reserve,
            min_slots: least_slots,
            max_slots: most_slots,
            window_s: self.window_s,
            review_s: self.look_s,
            min_samples: self.samples,
            slow_ratio: self.slow_ratio,
        })
    }

    fn check_measurement(&self) -> Result<(), ConfigError> {
        within("pools.window_s".to_owned(), self.window_s, 1.0, 600.0)?;
        within("pools.look_s".to_owned(), self.look_s, 0.1, self.window_s)?;
        within("pools.slow_ratio".to_owned(), self.slow_ratio, 1.1, 10.0)?;
        within("pools.samples".to_owned(), self.samples as f64, 4.0, 10_000.0)
    }
}

fn check_slots(least_slots: usize, most_slots: usize) -> Result<(), ConfigError> {
    let out_of_range = |key: &str, found: usize, min: String| ConfigError::OutOfRange {
        key: key.to_owned(),
        found: found.to_string(),
        min,
        max: MAX_SLOTS.to_string(),
    };
    if !(1..=MAX_SLOTS).contains(&least_slots) {
        return Err(out_of_range("pools.least_slots", least_slots, "1".to_owned()));
    }
    if !(least_slots..=MAX_SLOTS).contains(&most_slots) {
        return Err(out_of_range("pools.most_slots", most_slots, format!("{least_slots} (least_slots)")));
    }
    Ok(())
}

fn check_guarantees(pools: &[PoolSpec]) -> Result<(), ConfigError> {
    let sum: f64 = pools.iter().map(|pool| pool.guarantee).sum();
    if sum > 1.0 + ROUNDING {
        return Err(ConfigError::GuaranteesAboveOne { sum });
    }
    Ok(())
}

fn within(key: String, found: f64, min: f64, max: f64) -> Result<(), ConfigError> {
    if found.is_finite() && found >= min && found <= max {
        return Ok(());
    }
    Err(ConfigError::NumberOutOfRange { key, found, min, max })
}

impl PoolBlock {
    fn check_shares(&self) -> Result<(), ConfigError> {
        let key = |name: &str| format!("pools.pool {:?}: {name}", self.name);
        within(key("guarantee"), self.guarantee, 0.0, 1.0)?;
        within(key("ceiling"), self.ceiling, 0.01, 1.0)?;
        within(key("weight"), self.weight, 0.001, 1000.0)?;
        within(key("queue"), self.queue as f64, 1.0, 100_000.0)?;
        if self.guarantee > self.ceiling + ROUNDING {
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
    /// The reserve, with the number of its pool.
    fn plan(&self, pools: &[PoolSpec], least_slots: usize) -> Result<PoolReserve, ConfigError> {
        let Some(pool) = pools.iter().position(|pool| pool.name == self.pool) else {
            let key = "pools.reserve.pool".to_owned();
            return Err(ConfigError::UnknownName { key, kind: "pool", name: self.pool.clone() });
        };
        if self.slots == 0 || self.slots >= least_slots {
            return Err(ConfigError::ReserveSlots { slots: self.slots, least_slots });
        }
        Ok(PoolReserve { pool, slots: self.slots })
    }
}

#[cfg(test)]
mod tests;
