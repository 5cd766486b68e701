//! The settings of a controller, fixed when its worker starts.

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run more than once.
    #[default]
    Idempotent,
    /// It carries an idempotency key: callers may repeat it within a window, and it must run at most once.
    Keyed,
    /// It is not sent again if it may have run.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Priority weight: the value of a response within the latency objective.
    pub weight: f64,
    /// Share of the weight that a response after the latency objective keeps.
    pub late_weight: f64,
    /// The latency objective: a response within this time of the first attempt has the full weight (seconds).
    pub objective_s: f64,
    /// How long a client waits in total (seconds).
    pub deadline_s: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::Keyed`]: how long after its arrival a request may be repeated (seconds).
    pub window_s: f64,
    /// Whether its runs may make downstream calls.
    pub makes_calls: bool,
    /// Share of the weight that is left if the downstream call is skipped; 0 means that it must not be skipped.
    pub skipped_call_weight: f64,
}

impl Class {
    /// Whether its runs and calls may be repeated.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Whether a response keeps part of its weight if the downstream call is skipped.
    #[must_use]
    pub fn may_skip_call(&self) -> bool {
        self.skipped_call_weight > 0.0
    }

    /// Whether a response without the downstream call has no weight.
    #[must_use]
    pub fn needs_call(&self) -> bool {
        self.makes_calls && !self.may_skip_call()
    }
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its quota in the whole fleet: requests per second that have their full weight.
    pub quota_per_s: f64,
}

/// A downstream service that all workers share.
#[derive(Clone, Debug, Default)]
pub struct Dependency {
    /// This worker's share of the mean number of calls in flight that the dependency survives for certain.
    pub share: f64,
    /// The time over which the number of calls in flight is averaged (seconds).
    pub window_s: f64,
    /// The longest time for which an abandoned call stays in flight (seconds).
    pub linger_s: f64,
}

/// How the worker can preempt a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It can't: the run continues to its end.
    #[default]
    Never,
    /// Stop the run; its work is lost.
    Discard,
    /// Pause the run; it keeps its work and its memory.
    Pause,
}

/// The meaning of the value that workers publish with their responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    /// Nothing is published.
    #[default]
    None,
    /// The lowest rank of requests that callers send to this worker.
    RankFloor,
    /// The probability with which callers consider this worker.
    Weight,
}

/// One class pool: a part of the run slots, shared by some classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSpec {
    /// Its name in the operator's file and in the log.
    pub name: String,
    /// The part of the shared slots that it gets whenever it needs them (0 to 1).
    pub guarantee: f64,
    /// The largest part of the shared slots that it may use (above 0, up to 1).
    pub ceiling: f64,
    /// Its weight when free slots are divided among the pools that need some.
    pub weight: f64,
    /// The capacity of its queue (requests).
    pub queue_capacity: usize,
}

/// Run slots that are reserved for one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolReserve {
    /// The index of the pool.
    pub pool: usize,
    /// The number of reserved slots.
    pub slots: usize,
}

/// Class pools as the operator configures them, validated: each class belongs to an existing pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPlan {
    /// The pools, by index.
    pub pools: Vec<PoolSpec>,
    /// The index of each class's pool, by class.
    pub pool_of: Vec<usize>,
    /// Slots that are reserved for one pool.
    pub reserve: Option<PoolReserve>,
    /// Lower bound of the limit on runs (slots).
    pub min_slots: usize,
    /// Upper bound of the limit on runs (slots).
    pub max_slots: usize,
    /// How long a measured rate and the baseline of run lengths remain valid (seconds).
    pub window_s: f64,
    /// How often the limit is reviewed (seconds).
    pub review_s: f64,
    /// The number of ended runs that a review requires.
    pub min_samples: usize,
    /// The executor counts as slow if runs take more than this multiple of the length that is expected for the number
    /// of concurrent runs.
    pub slow_ratio: f64,
}

/// The settings of a controller, fixed when its worker starts.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent settings of the platform, as its file has them"
)]
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The seed of all random draws.
    pub seed: u64,
    /// Cores of this worker.
    pub cores: u32,
    /// Whether the worker has just been started and must warm up.
    pub cold: bool,
    /// The least share of its full speed that a cold worker has.
    pub cold_speed: f64,
    /// The longest time until a cold worker reaches its full speed (seconds). Its speed rises at least linearly.
    pub warm_up_s: f64,
    /// The number of concurrent runs per core that a warm worker survives.
    pub survivable_multiple: f64,
    /// The time over which the number of concurrent runs is averaged (seconds).
    pub survivable_window_s: f64,
    /// Memory available to queued and running requests and to idempotency keys (KB).
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of an idempotency key (KB).
    pub key_entry_kb: f64,
    /// How long after a shutdown notice arrivals may still be run (seconds).
    pub shutdown_grace_s: f64,
    /// A response counts as in time up to this long after it was due (seconds).
    pub answer_slack_s: f64,
    /// The shortest interval at which events are delivered to the controller (seconds).
    pub min_event_interval_s: f64,
    /// The longest Retry-After that callers respect; 0 if none is forwarded to them (seconds).
    pub max_retry_after_s: f64,
    /// Weight of a request over its tenant's quota, as a share of its class's weight.
    pub over_quota_weight: f64,
    /// Number of callers when the worker started.
    pub callers: u32,
    /// Number of workers in the fleet when the worker started.
    pub workers: u32,
    /// Whether callers mark retries.
    pub marks_retries: bool,
    /// Whether callers see that a worker is unhealthy in the same way as they see a shutdown.
    pub callers_see_health: bool,
    /// The longest time for which a caller keeps an idle connection open (seconds).
    pub max_connection_idle_s: f64,
    /// How a run can be preempted.
    pub preemption: Preemption,
    /// The meaning of the published value.
    pub signal: Signal,
    /// The shared downstream service, if there is one.
    pub dependency: Option<Dependency>,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Class pools, if the operator configured any.
    pub pools: Option<PoolPlan>,
    /// Whether fleet-wide overload control is enabled.
    pub fleet_overload_control: bool,
}
