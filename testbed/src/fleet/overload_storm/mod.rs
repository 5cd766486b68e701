//! Simulates fleet-wide overload control in virtual time, around the production dispatcher of the workers and the
//! leader's own decision code: routers that try another worker, clients that retry, a downstream service that slows down
//! when too many calls are in flight, and load reports and digests that arrive with the delay of the links. The same seed
//! gives the same requests in every mode.

mod comparison;
mod reports;
mod result;
mod scenario;
mod service;
#[cfg(test)]
mod tests;
mod worker;
mod world;

pub use comparison::compare;
pub use result::StormResult;
pub use scenario::{FleetMode, Scenario};

use crate::error::TestbedError;
use world::World;

/// Simulates one seed.
///
/// # Errors
/// The built-in workload is invalid.
pub fn simulate(scenario: &Scenario, seed: u64) -> Result<StormResult, TestbedError> {
    let mut world = World::new(scenario, seed)?;
    world.run();
    Ok(world.result)
}
