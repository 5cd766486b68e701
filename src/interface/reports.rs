//! What the controller reports to operators: values without text, which the shell renders.

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// This worker's health has changed.
    HealthChanged(HealthState),
    /// The limit on runs has changed, where pools are set up.
    PoolLimitChanged(PoolLimitChange),
    /// A pool has rejected requests, since its queue was at capacity.
    PoolRequestsRejected {
        /// Name of the pool.
        pool: String,
        /// Rejected requests since the last report.
        rejected: u64,
        /// Queued requests.
        queued: usize,
        /// Capacity of the queue (requests).
        queue_capacity: usize,
    },
}

/// Whether this worker can be given requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Runs end, and requests are read in time.
    Healthy,
    /// It can't serve.
    Unhealthy(UnhealthyCause),
}

/// Why a worker is unhealthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnhealthyCause {
    /// Too many of the recent runs failed.
    #[default]
    FailingRuns,
    /// No run has ended for too long.
    StalledRuns,
    /// Requests are read too late to be served.
    ReadLag,
}

/// A change of the limit on runs, and what was measured in the last review window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimitChange {
    /// The new limit (slots).
    pub limit: usize,
    /// The limit before (slots).
    pub previous: usize,
    /// What set it.
    pub cause: PoolLimitCause,
    /// Slots at full speed that the executor is worth.
    pub capacity: f64,
    /// Ended runs a second.
    pub rate_per_s: f64,
    /// Mean length of those runs (seconds).
    pub run_s: f64,
    /// The length that they have without contention (seconds).
    pub baseline_run_s: f64,
    /// Mean number of runs on the cores.
    pub on_cores: f64,
}

/// The reason for the present limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolLimitCause {
    /// Nothing is known yet.
    Start,
    /// The measured rate.
    Rate,
    /// The lower bound of the operator's file.
    MinSlots,
    /// The upper bound of the operator's file.
    MaxSlots,
    /// The runs that the executor survives for certain.
    SurvivableRuns,
    /// Runs take longer than their number explains.
    Slow,
    /// Runs are as long as their baseline again; the limit doubles its way back.
    Recovery,
    /// Few runs for a window, to measure the baseline of their lengths.
    Calibration,
    /// New bounds.
    Reload,
}

impl PoolLimitCause {
    /// The word in the log and in the status. Two are older than the code's names, and operators' scripts read them.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            PoolLimitCause::Start => "start",
            PoolLimitCause::Rate => "rate",
            PoolLimitCause::MinSlots => "least_slots",
            PoolLimitCause::MaxSlots => "most_slots",
            PoolLimitCause::SurvivableRuns => "crowd",
            PoolLimitCause::Slow => "slow",
            PoolLimitCause::Recovery => "recovery",
            PoolLimitCause::Calibration => "rest",
            PoolLimitCause::Reload => "reload",
        }
    }
}
