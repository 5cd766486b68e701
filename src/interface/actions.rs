//! The actions that the controller returns.

use super::{AdmissionEvent, RequestId};

/// An action that the worker carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Start(RequestId),
    /// Reject the request: it has not run, or it is idempotent.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After (seconds); 0 for none.
        retry_after_s: f64,
        /// Whether the caller should not retry, since other workers would reject the request too.
        stop_retrying: bool,
    },
    /// Respond with an error; the request may have had an effect.
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
    /// Start the downstream call that a run has requested.
    Call {
        /// The request whose run waits.
        id: RequestId,
        /// The time at which the call is abandoned (clock, seconds).
        until_s: f64,
    },
    /// Continue a run without the downstream call that it has requested.
    SkipCall(RequestId),
    /// Stop or pause a run, according to [`Preemption`](super::Preemption) in the settings.
    Preempt(RequestId),
    /// Answer health checks as available (`true`) or unavailable from now on.
    Health(bool),
    /// Publish this value with responses from now on; [`Signal`](super::Signal) defines its meaning.
    Publish(f64),
    /// Send [`Event::Woken`](super::Event::Woken) after this time (seconds).
    WakeIn(f64),
    /// Write a log event for operators.
    Log(AdmissionEvent),
}
