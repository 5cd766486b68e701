//! The settings of a controller, fixed when its worker starts.

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    #[default]
    Idempotent,
    /// It carries an idempotency key: it may be sent again within a window, and must run once.
    Keyed,
    /// It is not sent again once it may have run.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Priority weight: what one response within the latency objective is worth.
    pub weight: f64,
    /// Share of the weight that is left for a response after the latency objective.
    pub late_weight: f64,
    /// The latency objective: a response within this time of the first attempt has the full weight (seconds).
    pub objective_s: f64,
    /// How long a client waits in all (seconds).
    pub deadline_s: f64,
    /// Whether it may be run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::Keyed`]: how long after its arrival it may be sent again (seconds).
    pub window_s: f64,
    /// Whether its runs may call the dependency.
    pub makes_calls: bool,
    /// Share of the weight that is left when a downstream call is skipped; 0 forbids skipping it.
    pub skipped_call_weight: f64,
}

impl Class {
    /// Whether its runs and calls may be repeated.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Whether a response keeps a part of its weight when the downstream call is skipped.
    #[must_use]
    pub fn may_skip_call(&self) -> bool {
        self.skipped_call_weight > 0.0
    }

    /// Whether its runs are worth nothing without their downstream call.
    #[must_use]
    pub fn needs_call(&self) -> bool {
        self.makes_calls && !self.may_skip_call()
    }
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its quota over the whole fleet: requests a second that have their full weight.
    pub quota_per_s: f64,
}

/// A downstream dependency that all workers share.
#[derive(Clone, Debug, Default)]
pub struct Dependency {
    /// This worker's share of the calls in flight that the dependency is certain to survive, in the mean.
    pub share: f64,
    /// The time over which that mean is taken (seconds).
    pub window_s: f64,
    /// An abandoned call stays in flight for this long at most (seconds).
    pub linger_s: f64,
}

/// What the worker can do to a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Nothing: it runs to its end.
    #[default]
    Never,
    /// Stop it; its work is lost.
    Discard,
    /// Pause it; it keeps its work and its memory.
    Pause,
}

/// What the value that workers publish with their responses means to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    /// Nothing is published.
    #[default]
    None,
    /// Requests of lower ranks are not sent.
    RankFloor,
    /// The probability with which a caller considers this worker.
    Weight,
}

/// One class pool: a part of the run slots for some classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolSpec {
    /// Its name in the operator's file and in the log.
    pub name: String,
    /// The part of the common slots that it has whenever it wants them (0 to 1).
    pub guarantee: f64,
    /// The part of the common slots that it uses at most (above 0, up to 1).
    pub ceiling: f64,
    /// Its weight in the division of free slots among the pools that want some.
    pub weight: f64,
    /// The capacity of its queue (requests).
    pub queue: usize,
}

/// Slots of the limit on runs that only one pool uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolReserve {
    /// The number of the pool.
    pub pool: usize,
    /// Its reserved slots.
    pub slots: usize,
}

/// Class pools as an operator sets them up, checked: each class has a pool that exists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPlan {
    /// Pools by number.
    pub pools: Vec<PoolSpec>,
    /// By class: the number of its pool.
    pub pool_of: Vec<usize>,
    /// Slots that only one pool uses.
    pub reserve: Option<PoolReserve>,
    /// Lower bound of the limit on runs (slots).
    pub min_slots: usize,
    /// Upper bound of the limit on runs (slots).
    pub max_slots: usize,
    /// How long a measured rate and the baseline of run lengths are believed (seconds).
    pub window_s: f64,
    /// How often the limit is reviewed (seconds).
    pub review_s: f64,
    /// Ended runs that a review needs.
    pub min_samples: usize,
    /// Runs that take so many times what their number explains mean that the executor has slowed.
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
    /// The worker has just been started and must warm up.
    pub cold: bool,
    /// A cold worker has at least this share of its speed.
    pub cold_speed: f64,
    /// It has its full speed no later than this, and gains it at least evenly (seconds).
    pub warm_up_s: f64,
    /// Runs on the cores at once, for each core, that a warm worker survives.
    pub survivable_multiple: f64,
    /// The time over which that number is averaged (seconds).
    pub survivable_window_s: f64,
    /// Memory for queued and running requests and for idempotency keys (KB).
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of an idempotency key (KB).
    pub key_entry_kb: f64,
    /// How long after a shutdown notice an arrival may still be run (seconds).
    pub shutdown_grace_s: f64,
    /// A response this long after the due time still counts (seconds).
    pub answer_slack_s: f64,
    /// Events reach the controller at most this often (seconds).
    pub min_event_interval_s: f64,
    /// The longest Retry-After that callers heed; 0 where none is relayed (seconds).
    pub max_retry_after_s: f64,
    /// Weight of a request over its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// Callers at this start.
    pub callers: u32,
    /// Workers in the fleet at this start.
    pub workers: u32,
    /// Callers mark retries.
    pub marks_retries: bool,
    /// Callers learn of bad health as they learn of a shutdown.
    pub callers_see_health: bool,
    /// The longest a caller keeps an idle connection (seconds).
    pub max_connection_idle_s: f64,
    /// What can be done to a run.
    pub preemption: Preemption,
    /// What the published value means.
    pub signal: Signal,
    /// The shared dependency, if there is one.
    pub dependency: Option<Dependency>,
    /// Classes by number.
    pub classes: Vec<Class>,
    /// Tenants by number.
    pub tenants: Vec<Tenant>,
    /// Class pools, where an operator set some up.
    pub pools: Option<PoolPlan>,
    /// The fleet handles overload as one.
    pub fleet_overload_control: bool,
}
