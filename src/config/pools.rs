//! The block `[pools]` of an operator's file: class pools, checked against the platform's settings.

use super::Options;
use crate::interface::{PoolItem, PoolPlan};
use serde::Deserialize;

/// The pool of the classes that no other names.
pub const REST: &str = "rest";
/// Pools at most; each start looks at all of them.
pub const POOLS_MOST: usize = 16;
/// Slots at most.
pub const SLOTS_MOST: usize = 4096;
/// Where the file gives no `most_slots`, it is so many times the cores.
const MOST_OF_CORES: usize = 2;
/// Guarantees are written as decimals: their sum may miss 1 by this much.
const ROUNDING: f64 = 1e-9;

/// Class pools, as the operator's file has them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// The limit on runs stays within these bounds (slots); the cores, and twice the cores, where left out.
    pub least_slots: Option<usize>,
    pub most_slots: Option<usize>,
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    #[serde(default = "default_look_s")]
    pub look_s: f64,
    #[serde(default = "default_samples")]
    pub samples: usize,
    #[serde(default = "default_slow_ratio")]
    pub slow_ratio: f64,
    pub reserve: Option<ReserveSettings>,
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolBlock>,
}

/// Slots that one pool never lends.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReserveSettings {
    pub pool: String,
    pub slots: usize,
}

/// One pool.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PoolBlock {
    pub name: String,
    pub classes: Vec<String>,
    #[serde(default)]
    pub guarantee: f64,
    #[serde(default = "default_ceiling")]
    pub ceiling: f64,
    #[serde(default = "default_weight")]
    pub weight: f64,
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

fn within(what: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if value.is_finite() && value >= least && value <= most {
        return Ok(());
    }
    Err(format!("{what} is {value}; expected a number from {least} to {most}"))
}

impl PoolSettings {
    /// Checks the block against the platform's settings and makes the plan of it; an error is one line that names
    /// the key and what was expected.
    pub fn plan(&self, settings: &Options) -> Result<PoolPlan, String> {
        let cores = settings.domain.n_cores.max(1) as usize;
        let least_slots = self.least_slots.unwrap_or(cores);
        let most_slots = self.most_slots.unwrap_or(least_slots.max(cores * MOST_OF_CORES));
        if !(1..=SLOTS_MOST).contains(&least_slots) {
            return Err(format!("pools.least_slots is {least_slots}; expected 1 to {SLOTS_MOST}"));
        }
        if !(least_slots..=SLOTS_MOST).contains(&most_slots) {
            return Err(format!(
                "pools.most_slots is {most_slots}; expected {least_slots} (least_slots) to {SLOTS_MOST}"
            ));
        }
        within("pools.window_s", self.window_s, 1.0, 600.0)?;
        within("pools.look_s", self.look_s, 0.1, self.window_s)?;
        within("pools.slow_ratio", self.slow_ratio, 1.1, 10.0)?;
        within("pools.samples", self.samples as f64, 4.0, 10_000.0)?;
        if self.pools.is_empty() {
            return Err("pools: there is no [[pools.pool]]; expected at least one".to_owned());
        }
        let mut pools: Vec<PoolItem> = Vec::new();
        let mut pool_of: Vec<Option<usize>> = vec![None; settings.profiles.len()];
        for block in &self.pools {
            let name = &block.name;
            let at = |key: &str| format!("pools.pool {name:?}: {key}");
            if name.is_empty() || name.len() > 64 || name.contains(|c: char| c.is_whitespace() || c == '=') {
                return Err(at("name is not usable; expected one word of up to 64 bytes without \"=\""));
            }
            if pools.iter().any(|p| p.name == *name) {
                return Err(at("name is taken by a pool above; expected names that differ"));
            }
            if block.classes.is_empty() && name != REST {
                return Err(at("classes is empty; expected the name of a class"));
            }
            for class in &block.classes {
                let Some(number) = settings.profiles.iter().position(|p| p.name == *class) else {
                    return Err(at(&format!("classes: there is no class {class:?}")));
                };
                if let Some(other) = pool_of[number] {
                    let other = pools.get(other).map_or(name.as_str(), |p: &PoolItem| &p.name);
                    return Err(at(&format!("classes: {class:?} is in the pool {other:?} already")));
                }
                pool_of[number] = Some(pools.len());
            }
            within(&at("guarantee"), block.guarantee, 0.0, 1.0)?;
            within(&at("ceiling"), block.ceiling, 0.01, 1.0)?;
            within(&at("weight"), block.weight, 0.001, 1000.0)?;
            within(&at("queue"), block.queue as f64, 1.0, 100_000.0)?;
            if block.guarantee > block.ceiling + ROUNDING {
                return Err(at(&format!(
                    "guarantee {} is above the ceiling {}; expected at most that",
                    block.guarantee, block.ceiling
                )));
            }
            pools.push(PoolItem {
                name: name.clone(),
                guarantee: block.guarantee,
                ceiling: block.ceiling,
                weight: block.weight,
                queue: block.queue,
            });
        }
        let sum: f64 = pools.iter().map(|p| p.guarantee).sum();
        if sum > 1.0 + ROUNDING {
            return Err(format!("pools.pool: the guarantees add up to {sum:.3}; expected at most 1"));
        }
        if pool_of.iter().any(Option::is_none) {
            let rest = pools.iter().position(|p| p.name == REST).unwrap_or_else(|| {
                let (ceiling, weight, queue) = (default_ceiling(), default_weight(), default_queue());
                pools.push(PoolItem { name: REST.to_owned(), guarantee: 0.0, ceiling, weight, queue });
                pools.len() - 1
            });
            pool_of.iter_mut().for_each(|p| *p = Some(p.unwrap_or(rest)));
        } else if let Some(block) = self.pools.iter().find(|b| b.classes.is_empty()) {
            return Err(format!("pools.pool {:?}: no class is left over for it", block.name));
        }
        if pools.len() > POOLS_MOST {
            return Err(format!(
                "pools.pool: there are {} pools; expected at most {POOLS_MOST}",
                pools.len()
            ));
        }
        let reserve = match &self.reserve {
            None => None,
            Some(reserve) => {
                let Some(pool) = pools.iter().position(|p| p.name == reserve.pool) else {
                    return Err(format!("pools.reserve.pool: there is no pool {:?}", reserve.pool));
                };
                if reserve.slots == 0 || reserve.slots >= least_slots {
                    return Err(format!(
                        "pools.reserve.slots is {}; expected 1 to {}: the least limit, {least_slots}, must leave \
                         a slot for the others{}",
                        reserve.slots,
                        least_slots - 1,
                        if least_slots == 1 { " (set least_slots to 2 or more, or leave out the reserve)" } else { "" }
                    ));
                }
                Some((pool, reserve.slots))
            }
        };
        Ok(PoolPlan {
            pools,
            pool_of: pool_of.into_iter().flatten().collect(),
            reserve,
            least_slots,
            most_slots,
            window_s: self.window_s,
            look_s: self.look_s,
            samples: self.samples,
            slow_ratio: self.slow_ratio,
        })
    }
}

#[cfg(test)]
mod tests;
