//! Many workers under one load in virtual time, round the worker's own dispatcher and the fleet's own decisions: routers
//! that try another worker and clients that retry, a downstream service that slows when it has too many calls in flight,
//! and a leader whose view is as old as the links make it. The same seed gives the same storm in every mode of the fleet.

mod comparison;
mod reports;
mod result;
mod service;
mod shape;
#[cfg(test)]
mod tests;
mod worker;
mod world;

pub use comparison::compare;
pub use result::StormResult;
pub use shape::{FleetMode, Scenario};

use crate::error::TestbedError;
use world::World;

/// Plays one seed.
///
/// # Errors
/// The workload can't be read.
pub fn play(shape: &Scenario, seed: u64) -> Result<StormResult, TestbedError> {
    let mut world = World::new(shape, seed)?;
    world.run();
    Ok(world.result)
}
