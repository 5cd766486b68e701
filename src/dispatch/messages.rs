//! Inputs and commands: the messages that frontends, backends and the event loop exchange with the
//! [`Dispatcher`](super::Dispatcher).

use super::idempotency::IdempotencyUpdate;
use super::ResourceUsage;
use crate::interface::{AdmissionEvent, Gauges, LearnedState, Outcome, PoolPlan};
use std::rc::Rc;

/// Identifies the destination of a response. Opaque to the dispatcher; issued by the frontend and returned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// The sender of a request, as authenticated by the web server that forwarded it. Unlike the tenant that a directory or
/// an operator's rule derives from it, it is the same in all attempts of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// The authenticated user, if the tenant may depend on it.
    pub remote_user: Option<Rc<str>>,
    /// The server name in lower case, if the tenant may depend on it.
    pub server_name: Option<Rc<str>>,
}

/// A complete, validated request from a frontend. It gets exactly one response.
#[derive(Clone, Debug)]
pub struct Request {
    /// Destination of the response.
    pub ticket: Ticket,
    /// Name of the request in messages to and from backends; unique.
    pub name: Rc<str>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; `None` if there are no tenants, or if it could not be determined.
    pub tenant: Option<usize>,
    /// Its sender, if the frontend derives the tenant from it.
    pub principal: Option<Principal>,
    /// Identifies the caller.
    pub caller: u64,
    /// Memory it takes while queued (KB).
    pub memory_kb: f64,
    /// When it was read (event loop's clock, seconds); `None` means now. `read_delay_s` and `time_left_s` are relative
    /// to this time.
    pub read_at: Option<f64>,
    /// Time between its arrival and `read_at` (seconds).
    pub read_delay_s: f64,
    /// How long its caller waits after `read_at` (seconds).
    pub time_left_s: f64,
    /// Expected run time, if the request carries a hint (seconds).
    pub estimate_s: Option<f64>,
    /// Its idempotency key, if it carries one.
    pub key: Option<Rc<str>>,
    /// Whether the caller marked it as a retry.
    pub retry: bool,
    /// Body that is passed to the backend.
    pub body: Rc<[u8]>,
}

/// The one response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The run succeeded with this result.
    Served(Rc<[u8]>),
    /// The request was shed: it has not run, or it is idempotent.
    Rejected {
        /// Value of Retry-After (seconds).
        retry_after_s: f64,
        /// Other workers would reject it too, so the caller should not retry.
        stop_retrying: bool,
    },
    /// The request failed, or its outcome is unknown.
    Failed,
    /// The deadline passed before the request completed.
    DeadlineExceeded,
    /// The name or idempotency key is in use by another request, which is not affected.
    Conflict,
    /// The request's tenant could not be determined, and no attempt of the request has run here.
    TenantUndetermined(TenantError),
}

/// Why a frontend could not determine the tenant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// The directory can't be reached, did not respond in time or reported an error.
    DirectoryUnavailable,
    /// The request's own time limit expired before the directory responded.
    TimedOut,
    /// The principal has no configured tenant.
    UnknownTenant,
}

/// An event reported to the dispatcher by a frontend, a backend or the other process of a hot restart. Inputs for
/// requests that are no longer in flight are ignored.
#[derive(Debug)]
pub enum Input {
    /// A frontend has read a request.
    Arrived(Request),
    /// A frontend has read a request whose tenant it could not determine. If the request is a retry of one whose run has
    /// started, it shares the response of that run; otherwise it does not run.
    ArrivedWithoutTenant {
        /// The request, without a tenant.
        request: Request,
        /// Why its tenant is missing.
        error: TenantError,
    },
    /// A run has ended at the backend.
    RunEnded {
        /// Name of the request.
        name: Rc<str>,
        /// Outcome of the run.
        outcome: Outcome,
        /// Result of the run; set if the outcome is [`Outcome::Ok`].
        result: Option<Rc<[u8]>>,
    },
    /// A run has reached a downstream call.
    AtCall {
        /// Name of the request.
        name: Rc<str>,
        /// Body of the call.
        body: Rc<[u8]>,
        /// Sequence number of the call within its run; [`Command::SkipCall`] refers to it.
        sequence: u64,
    },
    /// A downstream call has ended.
    CallEnded {
        /// Name of the request whose run made the call.
        name: Rc<str>,
        /// Outcome of the call.
        outcome: Outcome,
        /// Reply to the call; set if the outcome is [`Outcome::Ok`].
        reply: Option<Rc<[u8]>>,
    },
    /// The backend guarantees that a commanded run has not started and never will.
    NeverRan {
        /// Name of the request.
        name: Rc<str>,
    },
    /// The backend does not know the request that it was told to run: the request has not run and never will.
    UnknownRequest {
        /// Name of the request.
        name: Rc<str>,
    },
    /// The connection to a backend was lost and has been re-established. Commands issued in `from..to` may have been
    /// lost (event loop's clock, seconds). All messages received on the old connection have already been passed in.
    CommandsLost {
        /// Start of the interval, inclusive.
        from: f64,
        /// End of the interval, exclusive.
        to: f64,
    },
    /// The backend has lost all its runs and will not report their end.
    RunsLost,
    /// The client connection for this response has closed.
    ClientDisconnected(Ticket),
    /// The shutdown notice. Its fields are points in time rather than durations, because the process may stall before
    /// it handles the input (event loop's clock, seconds).
    Shutdown {
        /// When the notice was received.
        noticed_at: f64,
        /// When the process will be stopped.
        stop_at: f64,
    },
    /// The process is about to exit: send every pending response now.
    RespondAll,
    /// The wake-up timer set by [`Command::WakeIn`] has expired.
    Woken(Gauges),
    /// The operator has changed the class pools; `None` disables them.
    Pools(Option<PoolPlan>),
    /// The predecessor's state of an idempotency key whose request may have run.
    IdempotencyUpdate(IdempotencyUpdate),
    /// The predecessor has exited: its last reports about open keys are final, and it holds no shared resources.
    PredecessorExited,
    /// The predecessor's current use of the resources that both processes share.
    PredecessorUsage(ResourceUsage),
    /// The learned state of the predecessor's controller; the controller here starts from it.
    LearnedState(LearnedState),
}

/// An event that the dispatcher reports to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// An event of the admission controller.
    Admission(AdmissionEvent),
    /// The learned state of the predecessor's controller was out of range and has been ignored.
    LearnedStateRejected,
}

/// An operation for the event loop to execute. Commands are executed in the order in which they were issued.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a response.
    Respond(Ticket, Response),
    /// Start the run of a request at a backend.
    Run {
        /// Name of the request.
        name: Rc<str>,
        /// Index of its class.
        class: usize,
        /// Body of the request.
        body: Rc<[u8]>,
        /// When its caller stops waiting (event loop's clock, seconds).
        deadline: f64,
    },
    /// Make the downstream call that a run has reached.
    Call {
        /// Name of the request whose run makes the call.
        name: Rc<str>,
        /// Body of the call.
        body: Rc<[u8]>,
        /// Time limit for the call (seconds).
        timeout_s: f64,
        /// Whether the call may be repeated when its outcome is indeterminate.
        is_retryable: bool,
    },
    /// Cancel the downstream call of a run that has ended.
    CancelCall(Rc<str>),
    /// Resume a run with the reply to its downstream call.
    Resume {
        /// Name of the request.
        name: Rc<str>,
        /// Reply to the call.
        reply: Rc<[u8]>,
    },
    /// Resume a run without its downstream call.
    SkipCall {
        /// Name of the request.
        name: Rc<str>,
        /// Sequence number of the call, from [`Input::AtCall`].
        sequence: u64,
    },
    /// Set the result of health checks: healthy (`true`) or unhealthy.
    Health(bool),
    /// Set the load-balancing weight that is sent with responses and load reports.
    Publish(f64),
    /// Pass in [`Input::Woken`] after this time (seconds).
    WakeIn(f64),
    /// Report an event to operators.
    Log(DispatchEvent),
    /// Send the successor the new state of an idempotency key.
    IdempotencyUpdate(IdempotencyUpdate),
}
