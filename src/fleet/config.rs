//! Configuration of a worker's membership.

use super::tasks::Schedule;
use std::net::SocketAddr;

/// Distinguishes a process from other processes of the same worker: a random number generated when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation(pub u64);

/// A worker's own configuration of its membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this worker.
    pub name: String,
    /// Zone in which this worker runs.
    pub zone: String,
    /// Addresses of the coordinators.
    pub coordinators: Vec<SocketAddr>,
    /// Share of a lease's time to live that is left unused as a margin for clock drift between the holder and the
    /// coordinators.
    pub drift: f64,
    /// Whether this worker is a candidate for computing the fleet's totals.
    pub computes_totals: bool,
    /// Scheduled tasks for which this worker is a candidate.
    pub tasks: Vec<Schedule>,
    /// This worker's base allocation of the downstream service's capacity (mean number of calls in flight); `None` without
    /// fleet-wide overload control.
    pub overload: Option<f64>,
}
