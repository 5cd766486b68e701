//! Parameters of a simulation.

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of tasks that the workers compete for.
    pub tasks: usize,
    /// Length of the phase in which faults are injected (seconds).
    pub fault_phase_s: f64,
    /// Length of the phase without faults that follows (seconds).
    pub recovery_phase_s: f64,
    /// Mean time between faults (seconds).
    pub mean_fault_interval_s: f64,
    /// Time to live of a lease (milliseconds).
    pub ttl_ms: u64,
    /// Largest deviation of a clock's rate from true time, as a fraction.
    pub clock_drift: f64,
    /// The safety check that is switched off.
    pub disabled_check: DisabledCheck,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            coordinators: 3,
            workers: 6,
            tasks: 3,
            fault_phase_s: 40.0,
            recovery_phase_s: 30.0,
            mean_fault_interval_s: 1.0,
            ttl_ms: 3000,
            clock_drift: 0.05,
            disabled_check: DisabledCheck::None,
        }
    }
}

/// A safety check that a simulation can switch off, to verify that the review detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledCheck {
    /// All safety checks are on.
    None,
    /// Holders use the whole lease, without an allowance for clock drift.
    DriftBound,
    /// A new leader frees leases without waiting a full time to live for renewals that it has not seen.
    FullTtlWait,
    /// Renewals are answered without confirmation by a quorum.
    ReadIndex,
    /// The resource that tasks call accepts every fencing token.
    Fencing,
}
