//! What a worker is to do.

use super::{AdmissionEvent, RequestId};

/// What the worker is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Start(RequestId),
    /// Respond that the request is rejected: nothing was done.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After (seconds); 0 for none.
        retry_after_s: f64,
        /// No other worker will accept it either.
        stop_retrying: bool,
    },
    /// Respond with an error; the request may have had its effect.
    Fail(RequestId),
    /// Keep the request in the table of idempotency keys.
    RetainKey {
        /// The request.
        id: RequestId,
        /// For how long (seconds).
        for_s: f64,
    },
    /// Remove the request from the table of idempotency keys.
    ReleaseKey(RequestId),
    /// Respond with the result of the earlier attempt with the same idempotency key.
    ShareResponse(RequestId),
    /// Make the downstream call for which a run waits.
    Call {
        /// The request whose run waits.
        id: RequestId,
        /// When the call is abandoned (clock, seconds).
        until_s: f64,
    },
    /// Go on with a run without the downstream call for which it waits.
    SkipCall(RequestId),
    /// Stop or pause a run, whichever the settings have.
    Preempt(RequestId),
    /// Answer health checks with this state from now on.
    Health(bool),
    /// Publish this value with responses.
    Publish(f64),
    /// Wake the controller after this time (seconds).
    WakeIn(f64),
    /// Report an event to operators.
    Log(AdmissionEvent),
}
