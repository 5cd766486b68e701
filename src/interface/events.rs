//! What happens to a worker.

use super::{LearnedState, PoolPlan, RequestId};

/// A request that has been read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its number.
    pub id: RequestId,
    /// The number of its class.
    pub class: usize,
    /// The number of its tenant, if it has one.
    pub tenant: Option<usize>,
    /// The caller that sent it.
    pub caller: u64,
    /// Its memory while it is queued (KB).
    pub memory_kb: f64,
    /// How long it lay unread (seconds).
    pub read_delay_s: f64,
    /// How long from now the caller waits, if that is known (seconds).
    pub time_left_s: Option<f64>,
    /// How long it is expected to run, where requests carry a hint (seconds on some standard core).
    pub estimate_s: Option<f64>,
    /// The earlier attempt with the same idempotency key.
    pub retry_of: Option<RequestId>,
    /// It is marked as a retry.
    pub retry: bool,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed and may have had its effect.
    Error,
    /// It was rejected and had no effect.
    Rejected,
    /// It was abandoned; it may have had its effect.
    TimedOut,
    /// The dependency could not be reached.
    Unreachable,
    /// It was interrupted; it may have had its effect.
    Interrupted,
    /// It was stopped, or ended because nobody waited.
    Cancelled,
    /// Nothing was started: the request had already ended.
    NotStarted,
}

/// Readings that come with a wake-up; absent where the worker has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that was busy recently.
    pub cores_busy: Option<f64>,
    /// All work that wants a core now.
    pub runnable: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What happens to a worker.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// The caller has gone: no response is pending.
    CallerDisconnected(RequestId),
    /// A run, or a shared response, has ended.
    RunEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A run waits to make a downstream call.
    CallRequested(RequestId),
    /// A downstream call has ended.
    CallEnded {
        /// The request whose run made it.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A shutdown notice: the worker will be stopped.
    Shutdown {
        /// How long ago the notice came (seconds).
        notice_age_s: f64,
        /// Time to the stop (seconds).
        stop_in_s: f64,
    },
    /// The time of an [`Action::WakeIn`](super::Action::WakeIn) has come.
    Woken(Gauges),
    /// The operator's class pools are others from now on, or none.
    Pools(Option<PoolPlan>),
    /// What another process on this machine uses, from now on, of the resources that this one counts as its
    /// own.
    OtherProcess {
        /// Its runs on the cores.
        on_cores: usize,
        /// Its downstream calls in flight.
        calling: usize,
        /// The memory of its queued and running requests (KB).
        memory_kb: f64,
    },
    /// What another controller has learned of this machine.
    LearnedState(LearnedState),
}
