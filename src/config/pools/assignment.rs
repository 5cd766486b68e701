//! Assignment of classes to pools.

use super::{default_ceiling, default_queue, default_weight, PoolBlock, REST_POOL};
use crate::config::{ConfigError, PlatformSettings};
use crate::interface::PoolSpec;

/// Longest name of a pool (bytes).
const MAX_POOL_NAME_BYTES: usize = 64;

/// The pools added so far, and the assignment of classes to them.
pub(super) struct Assignment<'a> {
    settings: &'a PlatformSettings,
    pub(super) pools: Vec<PoolSpec>,
    /// The index of the pool of each class, by class.
    pub(super) pool_of: Vec<Option<usize>>,
}

impl<'a> Assignment<'a> {
    /// Creates an assignment without pools, for the classes of these settings.
    pub(super) fn new(settings: &'a PlatformSettings) -> Self {
        Assignment { settings, pools: Vec::new(), pool_of: vec![None; settings.profiles.len()] }
    }

    /// Checks a pool and adds it.
    pub(super) fn add(&mut self, block: &PoolBlock) -> Result<(), ConfigError> {
        self.check_name(block)?;
        for class in &block.classes {
            self.assign(block, class)?;
        }
        block.check_shares()?;
        self.pools.push(PoolSpec {
            name: block.name.clone(),
            guarantee: block.guarantee,
            ceiling: block.ceiling,
            weight: block.weight,
            queue_capacity: block.queue,
        });
        Ok(())
    }

    fn check_name(&self, block: &PoolBlock) -> Result<(), ConfigError> {
        let pool = block.name.clone();
        let is_invalid = |c: char| c.is_whitespace() || c == '=';
        if pool.is_empty() || pool.len() > MAX_POOL_NAME_BYTES || pool.contains(is_invalid) {
            return Err(ConfigError::PoolName { pool });
        }
        if self.pools.iter().any(|earlier| earlier.name == pool) {
            return Err(ConfigError::DuplicatePoolName { pool });
        }
        if block.classes.is_empty() && pool != REST_POOL {
            return Err(ConfigError::PoolWithoutClasses { pool });
        }
        Ok(())
    }

    fn assign(&mut self, block: &PoolBlock, class: &str) -> Result<(), ConfigError> {
        let Some(index) = self.settings.profiles.iter().position(|profile| profile.name == class) else {
            let key = format!("pools.pool {:?}: classes", block.name);
            return Err(ConfigError::UnknownName { key, kind: "class", name: class.to_owned() });
        };
        if let Some(earlier) = self.pool_of[index] {
            // If the index is beyond the list, it is that of this pool, which lists the class twice.
            let earlier_pool = self.pools.get(earlier).map_or(&block.name, |pool| &pool.name);
            return Err(ConfigError::ClassInTwoPools {
                pool: block.name.clone(),
                class: class.to_owned(),
                earlier_pool: earlier_pool.clone(),
            });
        }
        self.pool_of[index] = Some(self.pools.len());
        Ok(())
    }

    /// Assigns the classes that no pool lists to the pool [`REST_POOL`].
    pub(super) fn add_rest(&mut self, blocks: &[PoolBlock]) -> Result<(), ConfigError> {
        if self.pool_of.iter().all(Option::is_some) {
            return match blocks.iter().find(|block| block.classes.is_empty()) {
                Some(block) => Err(ConfigError::NoRemainingClass { pool: block.name.clone() }),
                None => Ok(()),
            };
        }
        let rest = self.rest_pool();
        for pool in &mut self.pool_of {
            pool.get_or_insert(rest);
        }
        Ok(())
    }

    /// The index of the pool [`REST_POOL`], which is added if the file does not have it.
    fn rest_pool(&mut self) -> usize {
        if let Some(rest) = self.pools.iter().position(|pool| pool.name == REST_POOL) {
            return rest;
        }
        self.pools.push(PoolSpec {
            name: REST_POOL.to_owned(),
            guarantee: 0.0,
            ceiling: default_ceiling(),
            weight: default_weight(),
            queue_capacity: default_queue(),
        });
        self.pools.len() - 1
    }
}
