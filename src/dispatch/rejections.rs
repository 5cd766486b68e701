//! Checks each response which states that a request has not run, before it is sent.
//!
//! A caller may send such a request to another worker, where it would run again. At the time of the response another
//! attempt of the request may have run: an earlier one, or a later one that has overtaken this attempt while it was queued
//! or waited for the directory. All responses pass this check, whichever frontend the request came through and whatever
//! the reason of the rejection is.

use super::idempotency::KeyedAttempt;
use super::in_flight::InFlight;
use super::{Dispatcher, Response, TenantError};
use crate::interface::RequestId;

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

    /// Returns whether a queued request may be a retry whose first attempt has run meanwhile under another tenant. A retry
    /// that arrives after such a run is never admitted ([`KeyMatch::Ambiguous`](super::idempotency::KeyMatch)), and one that
    /// was admitted before it must not run either.
    pub(super) fn first_attempt_has_run(&self, id: RequestId) -> bool {
        let attempt = self.in_flight.get(id).and_then(InFlight::keyed_attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.identity.may_be_retry) else { return false };
        let mut other_holders = self.keys.holders_of_same_request(&attempt).filter(|holder| *holder != id);
        other_holders.any(|holder| self.has_started(holder))
    }

    /// Returns whether the run of any attempt that may belong to the same request has started.
    fn may_have_run(&self, attempt: &KeyedAttempt) -> bool {
        self.keys.holders_of_same_request(attempt).any(|holder| self.has_started(holder))
    }

    /// Returns whether the holder of a key has started.
    pub(super) fn has_started(&self, holder: RequestId) -> bool {
        // A holder that is not in flight has ended, or is in flight in the predecessor.
        self.in_flight.get(holder).is_none_or(InFlight::has_started)
    }
}
