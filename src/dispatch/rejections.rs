//! Checks each response which states that a request has not run, before it is sent.
//!
//! A caller may send such a request to another worker, where it would run again. At the time of the response another
//! attempt of the request may have run: an earlier one, or a later one that has overtaken this attempt while it was queued
//! or waited for the directory. All responses pass this check, whichever frontend the request came through and whatever
//! the reason of the rejection is.

use super::idempotency::KeyedAttempt;
use super::in_flight::InFlight;
use super::{Dispatcher, Response, TenantError};

impl Response {
    /// Returns the response to send in place of one which states that the request has not run, if an attempt of the request
    /// may have run; `None` if this response doesn't state that.
    fn if_it_may_have_run(&self) -> Option<Response> {
        match self {
            Response::Rejected { .. }
            | Response::TenantUndetermined(TenantError::DirectoryUnavailable | TenantError::UnknownTenant) => {
                Some(Response::Failed)
            }
            Response::TenantUndetermined(TenantError::TimedOut) => Some(Response::DeadlineExceeded),
            Response::Served(_) | Response::Failed | Response::DeadlineExceeded | Response::Conflict => None,
        }
    }
}

impl Dispatcher {
    /// Returns the response to send to an attempt: `response`, unless that states that its request has not run although
    /// an attempt of it may have run. `attempt` is `None` if the request carries no idempotency key.
    pub(super) fn verified_response(&self, attempt: Option<&KeyedAttempt>, response: Response) -> Response {
        match (attempt, response.if_it_may_have_run()) {
            (Some(attempt), Some(replacement)) if self.may_have_run(attempt) => replacement,
            _ => response,
        }
    }

    /// Returns whether the run of any attempt that may belong to the same request has started.
    fn may_have_run(&self, attempt: &KeyedAttempt) -> bool {
        // A holder that is not in flight has ended, or is in flight in the predecessor.
        let has_started = |holder| self.in_flight.get(holder).is_none_or(InFlight::has_started);
        self.keys.holders_of_same_request(attempt).any(has_started)
    }
}
