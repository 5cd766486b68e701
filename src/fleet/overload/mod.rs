//! Fleet-wide overload control. Performs no I/O; the clock and random seeds are passed in.
//!
//! Workers send load reports ([`LoadReport`]) to the leading coordinator, which answers each with a digest of the fleet's
//! state ([`FleetDigest`]). All state is soft: a digest expires, and a worker without a valid digest behaves as if it had
//! no fleet.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`view`] | outlier-robust aggregation of load reports |
//! | [`level`] | the shedding level: which tiers the fleet admits |
//! | [`capacity_leases`] | lending of unused downstream capacity between workers |
//! | [`service`] | per-zone state of the downstream service: overload, circuit breaker, half-open probes |
//! | [`retries`] | the fleet's retry budget |
//! | [`leader`] | the leading coordinator's side, which combines all of these |
//! | [`client`] | a worker's side of the protocol |
//! | [`policy`] | how a worker's admission control applies the fleet's decisions |
//!
//! A worker takes part only with `[fleet.overload]` in the operator's file, coordinators only with `[overload]` in theirs.

pub mod capacity_leases;
pub mod client;
pub mod events;
pub mod leader;
pub mod level;
pub mod policy;
pub mod retries;
pub mod service;
pub mod view;

mod digest;
mod random;
mod report;

pub use digest::FleetDigest;
pub use report::LoadReport;

/// Number of priority tiers that are distinguished; lower tiers are treated as the last one.
pub const MAX_TIERS: usize = 8;
/// Interval at which a worker sends load reports (seconds).
pub const REPORT_INTERVAL_S: f64 = 0.5;
/// Largest value of a measurement in a valid report or digest, in any unit.
const MAX_MEASUREMENT: f32 = 1e6;

#[cfg(test)]
mod tests;
