//! Results of a simulated run.

/// Results of a simulated run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// Violated guarantees, one line each, with the time.
    pub violations: Vec<String>,
    /// Calls that the resource carried out.
    pub accepted: u64,
    /// Calls that the resource rejected or aborted.
    pub rejected: u64,
    /// Number of times that a coordinator became the leader.
    pub elections: u64,
    /// Number of leases granted.
    pub grants: u64,
    /// Lengths of the intervals in which no worker held a task (seconds).
    pub unheld_s: Vec<f64>,
    /// Number of disks that lost all their data.
    pub lost_disks: u64,
    /// Injected faults, one line each, with the time.
    pub faults: Vec<String>,
    /// Hash of the times and order of all events; equal for runs of the same seed.
    pub digest: u64,
}
