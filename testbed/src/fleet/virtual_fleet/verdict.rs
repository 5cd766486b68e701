//! What came of a run.

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// A line for each guarantee that was broken, with its time.
    pub violations: Vec<String>,
    /// Calls that the resource accepted.
    pub accepted: u64,
    /// Calls that the resource rejected.
    pub refused: u64,
    /// How often a coordinator became the leader.
    pub leaders: u64,
    /// How often a lease was granted.
    pub grants: u64,
    /// How long a task was held by nobody, each time (seconds).
    pub gaps_s: Vec<f64>,
    /// Disks that were lost for good.
    pub lost_disks: u64,
    /// A line for each fault.
    pub faults: Vec<String>,
    /// A digest of all that happened: the same seed gives the same.
    pub digest: u64,
}
