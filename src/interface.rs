//! What passes between a worker and its controller: settings, events, actions. Nothing here decides anything.

/// A request in this worker's hands. The worker hands out numbers as it reads; they are compared, never interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// May arrive again within a window and must run once.
    Keyed,
    /// Never comes again by itself once it may have run.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Worth of one answer within the aim.
    pub weight: f64,
    /// Share of the worth left for an answer after the aim.
    pub late_weight: f64,
    /// An answer within this time of the first try earns the full worth (seconds).
    pub objective_s: f64,
    /// How long a client waits in all (seconds).
    pub deadline_s: f64,
    /// Whether it may run again.
    pub effect: Idempotency,
    /// Keyed: how long after its arrival it may come again (seconds).
    pub window_s: f64,
    /// Its runs may call the dependency.
    pub calls: bool,
    /// Share of the worth kept when a call is left out; 0 forbids leaving it out.
    pub skipped_call_weight: f64,
}

impl Class {
    /// Whether its runs and calls may be repeated.
    pub fn is_idempotent(&self) -> bool {
        self.effect == Idempotency::Idempotent
    }
}

/// A tenant and what the whole fleet owes it.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second, over the whole fleet, that count in full.
    pub quota_per_s: f64,
}

/// A dependency that all workers share.
#[derive(Clone, Debug, Default)]
pub struct Dependency {
    /// Mean number of this worker's calls in its hands that is certain to be survived.
    pub share: f64,
    /// The time over which that mean is taken (seconds).
    pub window_s: f64,
    /// A call given up stays in its hands this long at most (seconds).
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

/// What the free value on answers means to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    /// There is none.
    #[default]
    None,
    /// Ranks under it are not sent.
    RankFloor,
    /// The chance that a caller does not pass this worker over.
    Weight,
}

/// One pool of work: a part of the run slots for some classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolItem {
    /// Its name in the operator's file and in the log.
    pub name: String,
    /// The part of the common slots that is its own whenever it wants them (0 to 1).
    pub guarantee: f64,
    /// The part of the common slots that it takes at most (above 0, up to 1).
    pub ceiling: f64,
    /// Its part of what is free, against the weights of the other pools that want some.
    pub weight: f64,
    /// Requests that it holds at most.
    pub queue: usize,
}

/// Pools of work by class, as an operator sets them up; checked, so that classes and pools fit each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPlan {
    /// Pools by number.
    pub pools: Vec<PoolItem>,
    /// By class: the number of its pool.
    pub pool_of: Vec<usize>,
    /// A pool and the slots of the limit that no other can take.
    pub reserve: Option<(usize, usize)>,
    /// Bounds of the limit on runs (slots).
    pub least_slots: usize,
    /// See above.
    pub most_slots: usize,
    /// How long a measured rate and a usual run length are believed (seconds).
    pub window_s: f64,
    /// How often the limit is looked at (seconds), and after how many ended runs at least.
    pub look_s: f64,
    /// See above.
    pub samples: usize,
    /// Runs this many times as long as the load explains mean that the executor has slowed.
    pub slow_ratio: f64,
}

/// All that a controller is told when its worker starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The source of all random draws.
    pub seed: u64,
    /// Cores of this worker.
    pub cores: u32,
    /// The worker has just been started and must warm up.
    pub cold: bool,
    /// A cold worker has at least this share of its speed.
    pub cold_speed: f64,
    /// And is warm no later than this, rising at least evenly (seconds).
    pub warm_up_s: f64,
    /// Runs on the cores at once, a core, that a warm worker survives.
    pub survivable_multiple: f64,
    /// The time over which that crowd is averaged (seconds).
    pub survivable_window_s: f64,
    /// Memory for held and running requests and remembered keys.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a held one.
    pub run_factor: f64,
    /// Memory of a remembered key.
    pub key_entry_kb: f64,
    /// How long after the notice to leave an arrival may still be run (seconds).
    pub shutdown_grace_s: f64,
    /// An answer this long after the due time still counts (seconds).
    pub answer_slack_s: f64,
    /// Events reach the controller at most this often (seconds).
    pub wake_ahead_s: f64,
    /// Longest advice to stay away that callers heed; 0 where none is relayed (seconds).
    pub max_retry_after_s: f64,
    /// Worth of a request beyond its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// Callers at this start.
    pub callers: u32,
    /// Workers in the fleet at this start.
    pub workers: u32,
    /// Further tries are marked.
    pub marks_retries: bool,
    /// Callers learn of bad health as of leaving.
    pub health_listed: bool,
    /// The longest a caller keeps an idle connection (seconds).
    pub idle_s: f64,
    /// What can be done to a run.
    pub preemption: Preemption,
    /// What the free value means.
    pub signal: Signal,
    /// The shared dependency, if there is one.
    pub dependency: Option<Dependency>,
    /// Classes by number.
    pub classes: Vec<Class>,
    /// Tenants by number.
    pub tenants: Vec<Tenant>,
    /// Pools of work, where an operator set some up.
    pub pools: Option<PoolPlan>,
    /// The fleet handles overload as one.
    pub overload: bool,
}

/// A request that has been read and is now held.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub tenant: Option<usize>,
    /// Which caller sent it.
    pub caller: u64,
    /// Its memory while held.
    pub kb: f64,
    /// How long it lay unread (seconds).
    pub read_delay_s: f64,
    /// How long from now the caller waits, if told (seconds).
    pub time_left_s: Option<f64>,
    /// What it is expected to take, where requests carry a hint (seconds on some standard core).
    pub estimate_s: Option<f64>,
    /// The remembered request that this one repeats.
    pub retry_of: Option<RequestId>,
    /// A further try, marked as such.
    pub retry: bool,
}

/// How a run or a call went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Well.
    Ok,
    /// It failed and may have had its effect.
    Error,
    /// Turned away unseen.
    Rejected,
    /// Given up; it may have had its effect.
    TimedOut,
    /// What lies below could not be reached.
    Unreachable,
    /// Interrupted; it may have had its effect.
    Interrupted,
    /// Stopped, or ended because nobody waited.
    Cancelled,
    /// Nothing was started: the request had already ended.
    NotStarted,
}

/// Readings that come with a wake-up; absent where the worker has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy of late.
    pub cores_busy: Option<f64>,
    /// All work that wants a core just now.
    pub runnable: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What a controller has learned of its machine: of use to its successor there.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct LearnedState {
    /// The limit on runs (slots).
    pub runs: usize,
    /// What a run takes when the worker is well (seconds).
    pub usual_s: f64,
    /// By class: time on the cores and ended runs, both fading; sums over hints and lengths of runs.
    pub paces: Vec<(f64, f64, [f64; 5])>,
    /// The room for calls (mean number in hand).
    pub call_room: f64,
    /// The yardstick for the length of a call, once one has ended, and time on calls and ended calls, both fading
    /// (seconds).
    pub call_s: Option<f64>,
    /// See above.
    pub calls: (f64, f64),
    /// Time on calls that may still be spent, where the share is under one call (seconds); it may be overdrawn.
    pub call_budget_s: Option<f64>,
    /// What came and how it went.
    pub traffic: Traffic,
}

/// What came to a controller of late, and what it may still take: all but the tokens fade.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// By tenant: requests left of its even part of the quota, and its arrivals.
    pub quotas: Vec<(f64, f64)>,
    /// Arrivals by tier (a second).
    pub arrivals: Vec<f64>,
    /// Further tries among them (a second); runs that failed, and all that ended.
    pub lately: (f64, f64, f64),
}

impl Traffic {
    fn numbers(&self) -> impl Iterator<Item = f64> + '_ {
        let quotas = self.quotas.iter().flat_map(|q| [q.0, q.1]);
        quotas.chain(self.arrivals.iter().copied()).chain([self.lately.0, self.lately.1, self.lately.2])
    }
}

impl LearnedState {
    /// Whether it can have been measured: anything else would spoil every later decision.
    pub fn is_sound(&self) -> bool {
        let paces = self.paces.iter().flat_map(|p| [p.0, p.1].into_iter().chain(p.2));
        let others = [self.usual_s, self.call_room, self.call_s.unwrap_or(1.0), self.calls.0, self.calls.1];
        paces.chain(others).chain(self.traffic.numbers()).all(|n| n.is_finite() && n >= 0.0)
            && self.call_budget_s.map_or(true, f64::is_finite)
            && self.paces.iter().all(|p| p.1 > 0.0)
            && self.usual_s > 0.0
            && self.call_room > 0.0
    }
}

/// What happens to a worker.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// The caller has gone: nothing is owed.
    CallerGone(RequestId),
    /// A run, or a shared answer, has ended.
    RunEnded {
        /// Which.
        id: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// A run stands at a call below.
    AtCall(RequestId),
    /// A call below has ended.
    CallEnded {
        /// Whose.
        id: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// Notice to leave: the worker will be stopped after this time (seconds).
    Shutdown {
        /// How long ago it came.
        ago_s: f64,
        /// Time to the stop.
        in_s: f64,
    },
    /// A time asked for has come.
    Woken(Gauges),
    /// The operator's pools are others from now on, or none.
    Pools(Option<PoolPlan>),
    /// What another process uses, from now on, of what this one counts as its own.
    OtherProcess {
        /// Its runs on the cores.
        on_cores: usize,
        /// Its calls in the dependency's hands.
        calling: usize,
        /// The memory of its held and running requests.
        kb: f64,
    },
    /// What another controller has learned of this machine.
    LearnedState(LearnedState),
}

/// What the worker is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request.
    Start(RequestId),
    /// Answer: not served, nothing was done.
    Reject {
        /// Which.
        id: RequestId,
        /// Advice to stay away (seconds); 0 for none.
        retry_after_s: f64,
        /// No other worker will help.
        stop_retrying: bool,
    },
    /// Answer: an error, with no promise.
    Fail(RequestId),
    /// Keep the request in the table of keys.
    RetainKey {
        /// Which.
        id: RequestId,
        /// For how long (seconds).
        for_s: f64,
    },
    /// Take it from the table.
    ReleaseKey(RequestId),
    /// Answer with the result of the request that this one repeats.
    ShareResponse(RequestId),
    /// Make the call at which a run stands, giving it up at this time.
    Call {
        /// Whose.
        id: RequestId,
        /// When it is given up (clock, seconds).
        until_s: f64,
    },
    /// Go on without the call.
    SkipCall(RequestId),
    /// Stop or pause a run, as the settings say.
    Preempt(RequestId),
    /// Answer health checks from this state.
    Health(bool),
    /// Set the free value.
    Publish(f64),
    /// Wake the controller after this time (seconds).
    WakeIn(f64),
    /// A line for on-call staff.
    Log(String),
}
