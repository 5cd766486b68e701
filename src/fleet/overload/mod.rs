//! Fleet-wide overload control. No I/O; the clock and random seeds are passed in.
//!
//! Workers send load reports to the leading coordinator ([`LoadReport`]); it answers each with a digest of the fleet's state
//! ([`FleetDigest`]). All of this is soft state: it has an age, and a worker whose digest is too old decides as it does
//! without a fleet.
//!
//! | module | job |
//! | --- | --- |
//! | [`view`] | aggregates reports, robust against outliers |
//! | [`level`] | how deep the fleet sheds load |
//! | [`capacity_leases`] | lends unused capacity of a shared downstream service from worker to worker |
//! | [`service`] | the downstream service's state by zone: overloaded, circuit open, half-open probes |
//! | [`retries`] | the fleet's retry budget |
//! | [`leader`] | all of these as a coordinator uses them |
//! | [`client`] | a worker's side of the protocol, beside its session |
//! | [`policy`] | what a worker's admission control asks |
//!
//! Without `[fleet.overload]` in an operator's file and `[overload]` in the coordinators' nothing of it is constructed.

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

/// Number of priority tiers that are told apart; lower ones count as the last of them.
pub const MAX_TIERS: usize = 8;
/// Interval at which a worker sends load reports (seconds).
pub const REPORT_INTERVAL_S: f64 = 0.5;
/// Largest value that may have been measured (a second, seconds, or calls).
const MAX_MEASUREMENT: f32 = 1e6;

#[cfg(test)]
mod tests;
