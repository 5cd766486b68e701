//! What is played.

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How many coordinators the fleet has.
    pub coordinators: usize,
    /// How many workers the fleet has.
    pub workers: usize,
    /// How many tasks the workers compete for.
    pub tasks: usize,
    /// How long faults come (seconds).
    pub faults_s: f64,
    /// How long the fleet has after the faults (seconds).
    pub quiet_s: f64,
    /// Mean time between two faults (seconds).
    pub fault_every_s: f64,
    /// How long a lease lasts (milliseconds).
    pub ttl_ms: u64,
    /// How far each clock may run from true time, as a share.
    pub clock_drift: f64,
    /// The guard that is taken away.
    pub weak: Weakness,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            coordinators: 3,
            workers: 6,
            tasks: 3,
            faults_s: 40.0,
            quiet_s: 30.0,
            fault_every_s: 1.0,
            ttl_ms: 3000,
            clock_drift: 0.05,
            weak: Weakness::None,
        }
    }
}

/// The guard that is taken away, to see that the review finds it missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// All guards stand.
    None,
    /// Holders use the whole of a lease, as if clocks never ran apart.
    NoDriftBound,
    /// A new leader frees leases that it has not seen renewed.
    NoWholeTtl,
    /// Renewals are answered without asking a quorum.
    NoConfirm,
    /// The resource that is called takes every token.
    NoFencing,
}
