//! The events that a worker reports to its controller.

use super::{LearnedState, PoolPlan, RequestId};

/// A request that the worker has read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its ID.
    pub id: RequestId,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant, if it has one.
    pub tenant: Option<usize>,
    /// Identifies the caller that sent it.
    pub caller: u64,
    /// Its memory while it is queued (KB).
    pub memory_kb: f64,
    /// How long it waited to be read (seconds).
    pub read_delay_s: f64,
    /// How long the caller still waits for the response, if known (seconds).
    pub time_left_s: Option<f64>,
    /// The expected run length, if the request carries a hint (seconds on a reference core).
    pub estimate_s: Option<f64>,
    /// The earlier attempt with the same idempotency key, if there was one.
    pub retry_of: Option<RequestId>,
    /// Whether its caller marked it as a retry.
    pub retry: bool,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed and may have had an effect.
    Error,
    /// It was rejected and had no effect.
    Rejected,
    /// It was abandoned and may have had an effect.
    TimedOut,
    /// The dependency could not be reached.
    Unreachable,
    /// It was interrupted and may have had an effect.
    Interrupted,
    /// It was stopped, or ended because no caller was waiting.
    Cancelled,
    /// It was not started, since the request had already ended.
    NotStarted,
}

/// Gauge readings at a wake-up; `None` if the worker has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores (0 to 1).
    pub cores_busy: Option<f64>,
    /// Number of tasks that run or wait for a core now.
    pub runnable: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}

/// An event on the worker.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// The caller has disconnected or given up: no response is pending any more.
    CallerDisconnected(RequestId),
    /// A run, or a shared response, has ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A run has requested its downstream call and waits for it.
    CallRequested(RequestId),
    /// A downstream call has ended.
    CallEnded {
        /// The request whose run made it.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A shutdown notice was received: the worker will be stopped.
    Shutdown {
        /// Time since the notice was received (seconds).
        notice_age_s: f64,
        /// Time until the worker is stopped (seconds).
        stop_in_s: f64,
    },
    /// The time set by [`Action::WakeIn`](super::Action::WakeIn) has passed.
    Woken(Gauges),
    /// The operator's class pools have changed, or were removed (`None`).
    Pools(Option<PoolPlan>),
    /// Resources that another process on this machine uses from now on, and that count towards this worker's limits.
    OtherProcess {
        /// Its runs on the cores.
        on_cores: usize,
        /// Its downstream calls in flight.
        calling: usize,
        /// The memory of its queued and running requests (KB).
        memory_kb: f64,
    },
    /// The state that another controller has learned on this machine.
    LearnedState(LearnedState),
}
