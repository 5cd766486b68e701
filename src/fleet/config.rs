//! Configuration of a worker's membership.

use super::tasks::Schedule;
use std::net::SocketAddr;

/// Distinguishes a process from the others of its worker: a random number that is drawn when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation(pub u64);

/// A worker's own configuration of its membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this worker.
    pub name: String,
    /// Zone that this worker runs in.
    pub zone: String,
    /// Addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// The share of a lease's time to live that is left unused, for the drift of the holder's and the coordinators' clocks
    /// together.
    pub drift: f64,
    /// Whether this worker is a candidate for computing the fleet's totals.
    pub computes_totals: bool,
    /// Tasks for which this worker is a candidate.
    pub tasks: Vec<Schedule>,
    /// With fleet-wide overload control: this worker's base allocation of the downstream service's capacity (mean number of
    /// calls in flight).
    pub overload: Option<f64>,
}
