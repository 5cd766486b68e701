//! Events that the controller reports to operators, as typed values. Other modules turn them into text.

/// A log event.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// This worker's health has changed.
    HealthChanged(HealthState),
    /// The limit on runs has changed; reported only with class pools.
    PoolLimitChanged(PoolLimitChange),
    /// A pool has rejected requests because its queue was full.
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

/// Whether this worker can serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Runs end, and requests are read in time.
    Healthy,
    /// It can't serve requests.
    Unhealthy(UnhealthyCause),
}

/// Why a worker is unhealthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnhealthyCause {
    /// At least `MIN_FAILED_RUNS`, and more than `FAILING_SHARE`, of the recent runs failed.
    #[default]
    FailingRuns,
    /// No run has ended or reached a downstream call while runs used the cores for `STALLED_RUNS` mean run lengths in
    /// total.
    StalledRuns,
    /// Requests are read too late to be served.
    ReadLag,
}

/// A change of the limit on runs, and the measurements of the last review window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimitChange {
    /// The new limit (slots).
    pub limit: usize,
    /// The limit before (slots).
    pub previous: usize,
    /// The reason for the new limit.
    pub cause: PoolLimitCause,
    /// Capacity of the executor, in slots at full speed.
    pub capacity: f64,
    /// Ended runs per second.
    pub rate_per_s: f64,
    /// Mean length of those runs (seconds).
    pub run_s: f64,
    /// The length of such runs without contention (seconds).
    pub baseline_run_s: f64,
    /// Mean number of runs on the cores.
    pub on_cores: f64,
}

/// The reason for the present limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolLimitCause {
    /// The initial limit, before anything was measured.
    Start,
    /// The measured rate.
    Rate,
    /// The lower bound of the operator's file.
    MinSlots,
    /// The upper bound of the operator's file.
    MaxSlots,
    /// The number of runs that the executor survives for certain.
    SurvivableRuns,
    /// Runs take longer than expected for the number of concurrent runs; see
    /// [`PoolPlan::slow_ratio`](super::PoolPlan::slow_ratio).
    Slow,
    /// Runs are no longer slow, and the limit doubles in each review until it is restored.
    Recovery,
    /// A window with few runs, in which the baseline of their lengths is measured.
    Calibration,
    /// The operator has changed the bounds.
    Reload,
}

impl PoolLimitCause {
    /// The value in the log and in the status. Some values differ from the names of the variants, since operators'
    /// scripts read the old ones.
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
