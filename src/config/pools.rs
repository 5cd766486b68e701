//! The block `[pools]` of an operator's file: class pools, checked against the platform's settings.

use super::{ConfigError, Options};
use crate::interface::{PoolItem, PoolPlan, PoolReserve};
use serde::Deserialize;

/// The pool of the classes that no other names.
pub const REST: &str = "rest";
/// Pools at most; each start looks at all of them.
pub const MAX_POOLS: usize = 16;
/// Slots at most.
pub const MAX_SLOTS: usize = 4096;
/// Where the file gives no `most_slots`, it is this many times the cores.
const DEFAULT_SLOTS_PER_CORE: usize = 2;
/// Guarantees are written as decimals: their sum may miss 1 by this much.
const ROUNDING: f64 = 1e-9;
/// The longest name of a pool (bytes).
const MAX_POOL_NAME_BYTES: usize = 64;

/// Class pools, as the operator's file has them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// The limit on runs does not fall below this (slots); the cores where left out.
    pub least_slots: Option<usize>,
    /// The limit on runs does not rise above this (slots); twice the cores where left out.
    pub most_slots: Option<usize>,
    /// How long a measured rate and a usual run length are believed (seconds).
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// How often the limit is adjusted (seconds).
    #[serde(default = "default_look_s")]
    pub look_s: f64,
    /// Ended runs that an adjustment needs at least.
    #[serde(default = "default_samples")]
    pub samples: usize,
    /// Runs this many times as long as the load explains mean that the executor has slowed down.
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
    /// The share of the common slots that it has whenever it wants them.
    #[serde(default)]
    pub guarantee: f64,
    /// The share of the common slots that it takes at most.
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    /// Its weight where pools compete for free slots.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Requests that it queues at most.
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
    /// Checks the block against the platform's settings and makes the plan of it.
    ///
    /// # Errors
    /// The first value that can't be used.
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

fn check_guarantees(pools: &[PoolItem]) -> Result<(), ConfigError> {
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

/// The pools so far, and which classes they have.
struct Assignment<'a> {
    settings: &'a Options,
    pools: Vec<PoolItem>,
    /// By class: the number of its pool.
    pool_of: Vec<Option<usize>>,
}

impl<'a> Assignment<'a> {
    fn new(settings: &'a Options) -> Self {
        Assignment { settings, pools: Vec::new(), pool_of: vec![None; settings.profiles.len()] }
    }

    fn add(&mut self, block: &PoolBlock) -> Result<(), ConfigError> {
        self.check_name(block)?;
        for class in &block.classes {
            self.assign(block, class)?;
        }
        block.check_shares()?;
        self.pools.push(PoolItem {
            name: block.name.clone(),
            guarantee: block.guarantee,
            ceiling: block.ceiling,
            weight: block.weight,
            queue: block.queue,
        });
        Ok(())
    }

    fn check_name(&self, block: &PoolBlock) -> Result<(), ConfigError> {
        let pool = block.name.clone();
        let unusable = |c: char| c.is_whitespace() || c == '=';
        if pool.is_empty() || pool.len() > MAX_POOL_NAME_BYTES || pool.contains(unusable) {
            return Err(ConfigError::PoolName { pool });
        }
        if self.pools.iter().any(|earlier| earlier.name == pool) {
            return Err(ConfigError::PoolNameTaken { pool });
        }
        if block.classes.is_empty() && pool != REST {
            return Err(ConfigError::PoolWithoutClasses { pool });
        }
        Ok(())
    }

    fn assign(&mut self, block: &PoolBlock, class: &str) -> Result<(), ConfigError> {
        let Some(number) = self.settings.profiles.iter().position(|profile| profile.name == class) else {
            let key = format!("pools.pool {:?}: classes", block.name);
            return Err(ConfigError::UnknownName { key, kind: "class", name: class.to_owned() });
        };
        if let Some(other) = self.pool_of[number] {
            // The pool itself is not in the list yet: it names the class twice.
            let other = self.pools.get(other).map_or(&block.name, |pool| &pool.name);
            return Err(ConfigError::ClassInTwoPools {
                pool: block.name.clone(),
                class: class.to_owned(),
                other: other.clone(),
            });
        }
        self.pool_of[number] = Some(self.pools.len());
        Ok(())
    }

    /// Gives the classes that no pool names to the pool [`REST`], which is made for them where the file has none.
    fn add_rest(&mut self, blocks: &[PoolBlock]) -> Result<(), ConfigError> {
        if self.pool_of.iter().all(Option::is_some) {
            return match blocks.iter().find(|block| block.classes.is_empty()) {
                Some(block) => Err(ConfigError::NoClassLeft { pool: block.name.clone() }),
                None => Ok(()),
            };
        }
        let rest = match self.pools.iter().position(|pool| pool.name == REST) {
            Some(rest) => rest,
            None => {
                self.pools.push(PoolItem {
                    name: REST.to_owned(),
                    guarantee: 0.0,
                    ceiling: default_ceiling(),
                    weight: default_weight(),
                    queue: default_queue(),
                });
                self.pools.len() - 1
            }
        };
        for pool in &mut self.pool_of {
            pool.get_or_insert(rest);
        }
        Ok(())
    }
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
    fn plan(&self, pools: &[PoolItem], least_slots: usize) -> Result<PoolReserve, ConfigError> {
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
