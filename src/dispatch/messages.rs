//! What the frontends, the backends and the event loop exchange with the [`Dispatcher`](super::Dispatcher).

use super::idempotency::IdempotencyUpdate;
use super::ResourceUsage;
use crate::interface::{AdmissionEvent, Gauges, LearnedState, Outcome, PoolPlan};
use std::rc::Rc;

/// Where a response is to be delivered. The frontend that made it gets it back unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// A request as a frontend hands it over: complete, validated, and entitled to exactly one response.
#[derive(Clone, Debug)]
pub struct Request {
    /// Where the response goes.
    pub ticket: Ticket,
    /// Its name towards backends; never used twice.
    pub name: Rc<str>,
    /// The number of its class.
    pub class: usize,
    /// The number of its tenant.
    pub tenant: Option<usize>,
    /// Which caller sent it.
    pub caller: u64,
    /// Its memory while queued (KB).
    pub memory_kb: f64,
    /// When it was read (loop's clock, seconds), from which the next two fields count; absent if that is now.
    pub read_at: Option<f64>,
    /// How long it had lain unread then (seconds).
    pub read_delay_s: f64,
    /// How long its caller waits from then on (seconds).
    pub time_left_s: f64,
    /// What it is expected to take, where it carries a hint (seconds).
    pub estimate_s: Option<f64>,
    /// Its idempotency key.
    pub key: Option<Rc<str>>,
    /// Whether it is marked as a retry.
    pub retry: bool,
    /// Its body, as the backend gets it.
    pub body: Rc<[u8]>,
}

/// The one response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// It ran to its end, with this result.
    Served(Rc<[u8]>),
    /// It was shed and did not run.
    Rejected {
        /// Retry-After (seconds).
        retry_after_s: f64,
        /// Other workers would reject it too: the caller should not retry at all.
        stop_retrying: bool,
    },
    /// It failed, or its outcome is unknown.
    Failed,
    /// Its deadline passed before it completed.
    DeadlineExceeded,
    /// Its name or its idempotency key belongs to another request, which stays as it is.
    Conflict,
}

/// What the frontends, the backends and the other process report to the dispatcher. An input that names a request which is no longer in flight is ignored.
#[derive(Debug)]
pub enum Input {
    /// A frontend has read a request.
    Arrived(Request),
    /// A backend has ended a run.
    RunEnded {
        /// Whose run.
        name: Rc<str>,
        /// How it ended.
        outcome: Outcome,
        /// Comes with [`Outcome::Ok`].
        result: Option<Rc<[u8]>>,
    },
    /// A run has reached a downstream call.
    AtCall {
        /// Whose run.
        name: Rc<str>,
        /// The body of the call.
        body: Rc<[u8]>,
        /// Sequence number of the call within its run; it goes back with [`Command::SkipCall`].
        sequence: u64,
    },
    /// A downstream call has ended.
    CallEnded {
        /// Whose call.
        name: Rc<str>,
        /// How it ended.
        outcome: Outcome,
        /// Comes with [`Outcome::Ok`].
        reply: Option<Rc<[u8]>>,
    },
    /// A backend proves that a run which it was given never began and never will.
    NeverRan {
        /// Whose run.
        name: Rc<str>,
    },
    /// A backend does not know the request that it was to run: it never ran, and never will.
    UnknownRequest {
        /// The request's name.
        name: Rc<str>,
    },
    /// A link to a backend broke and stands again. Commands given in `from..to` may have been lost with it (loop's
    /// clock, seconds); all notices received before the break have been handed over.
    CommandsLost {
        /// The first instant in question.
        from: f64,
        /// The instant after the last one.
        to: f64,
    },
    /// The backend has lost all runs: none of them will end by itself.
    RunsLost,
    /// The connection that this response was to go to has closed.
    ClientDisconnected(Ticket),
    /// The shutdown notice. Its fields are points in time and not durations, because the process may stall before it
    /// handles them (loop's clock, seconds).
    Shutdown {
        /// When the notice came.
        noticed_at: f64,
        /// When the process is stopped.
        stop_at: f64,
    },
    /// The process is about to end: every pending response is given now.
    RespondAll,
    /// A wake-up that the controller asked for.
    Woken(Gauges),
    /// The operator's class pools have changed; `None` turns them off.
    Pools(Option<PoolPlan>),
    /// The predecessor's state of a key that may have run.
    IdempotencyUpdate(IdempotencyUpdate),
    /// The predecessor has ended: what it reported about open keys is final, and it uses nothing any more.
    PredecessorExited,
    /// What the predecessor uses now of the resources that both processes count as their own.
    PredecessorUsage(ResourceUsage),
    /// The learned state of the predecessor's controller, to be adopted.
    LearnedState(LearnedState),
}

/// What the dispatcher reports to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// An event of the admission controller.
    Admission(AdmissionEvent),
    /// The learned state of the predecessor's controller is out of range and was not adopted.
    LearnedStateRejected,
}

/// What the event loop is to do. Commands are carried out in the order in which they are given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Deliver a response.
    Respond(Ticket, Response),
    /// Have a backend run a request.
    Run {
        /// The request's name.
        name: Rc<str>,
        /// The number of its class.
        class: usize,
        /// Its body.
        body: Rc<[u8]>,
        /// When its caller stops waiting (loop's clock, seconds).
        deadline: f64,
    },
    /// Make the downstream call that a run has reached.
    Call {
        /// Whose call.
        name: Rc<str>,
        /// Its body.
        body: Rc<[u8]>,
        /// How long the call may take (seconds).
        timeout_s: f64,
        /// The call may be repeated when its outcome is indeterminate.
        is_retryable: bool,
    },
    /// Cancel a downstream call, since its run has ended.
    CancelCall(Rc<str>),
    /// Let a run go on with the reply to its call.
    Resume {
        /// Whose run.
        name: Rc<str>,
        /// The reply.
        reply: Rc<[u8]>,
    },
    /// Let a run go on without its call.
    SkipCall {
        /// Whose run.
        name: Rc<str>,
        /// The sequence number that came with [`Input::AtCall`].
        sequence: u64,
    },
    /// Answer health checks as healthy (`true`) or unhealthy from now on.
    Health(bool),
    /// Set the weight that is published with responses and load reports.
    Publish(f64),
    /// Send [`Input::Woken`] after this time (seconds).
    WakeIn(f64),
    /// Report an event to operators.
    Log(DispatchEvent),
    /// Send the successor an update about a key.
    IdempotencyUpdate(IdempotencyUpdate),
}
