//! Fleet-wide overload control. No I/O; the clock and random seeds are passed in.
//!
//! Workers send load reports ([`LoadReport`]) to the leading coordinator, which answers each with a digest of the fleet's
//! state ([`FleetDigest`]). All of this is soft state: a digest expires, and a worker without a valid one decides as it does
//! without a fleet.
//!
//! | module | job |
//! | --- | --- |
//! | [`view`] | aggregates reports, robust against outliers |
//! | [`level`] | the shedding level: which tiers the fleet admits |
//! | [`capacity_leases`] | lends unused capacity of a shared downstream service from worker to worker |
//! | [`service`] | the downstream service's state by zone: overloaded, circuit open, half-open probes |
//! | [`retries`] | the fleet's retry budget |
//! | [`leader`] | the leading coordinator's side, which joins all of these |
//! | [`client`] | a worker's side of the protocol |
//! | [`policy`] | the decisions that a worker's admission control takes from it |
//!
//! Without `[fleet.overload]` in the operator's file and `[overload]` in the coordinators' file none of it is constructed.

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

/// Number of priority tiers that are distinguished; lower ones count as the last of them.
pub const MAX_TIERS: usize = 8;
/// Interval at which a worker sends load reports (seconds).
pub const REPORT_INTERVAL_S: f64 = 0.5;
/// Largest value that is accepted as a measurement, in any unit.
const MAX_MEASUREMENT: f32 = 1e6;

#[cfg(test)]
mod tests;
