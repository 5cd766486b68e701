//! Arrival of requests: a request is added to the table and reported to the controller, or responded to immediately.

use super::effects::Effects;
use super::idempotency::{AttemptIdentity, IdempotencyKey, KeyMatch, KeyedAttempt};
use super::in_flight::{InFlight, RequestKey};
use super::{Command, Dispatcher, Request, Response, TenantError};
use crate::interface::{Arrival, Event};

/// Maximum number of attempts of one idempotency key in flight. They are not limited by the queue, since they wait for one
/// run: callers that send a key ever again would fill the memory.
pub(super) const MAX_ATTEMPTS_PER_KEY: usize = 16;

/// Arrival time of a request and the time it has left.
struct ArrivalTimes {
    /// When it arrived at the machine (event loop's clock, seconds).
    arrived: f64,
    /// Time between its arrival and now (seconds).
    read_delay_s: f64,
    /// How long its caller still waits (seconds).
    time_left_s: f64,
}

impl ArrivalTimes {
    /// Returns the times of a request that is handled at `now`. Includes the time since the request was read, during
    /// which the process may have stalled: the arrival time decides whether a retry falls within the window of its key
    /// and whether a request arrived within the grace of a shutdown.
    fn of(request: &Request, now: f64) -> ArrivalTimes {
        let since_read_s = request.read_at.map_or(0.0, |at| (now - at).max(0.0));
        let read_delay_s = request.read_delay_s + since_read_s;
        let time_left_s = request.time_left_s - since_read_s;
        ArrivalTimes { arrived: now - read_delay_s, read_delay_s, time_left_s }
    }
}

/// An attempt with an idempotency key, and how it relates to earlier requests with that key.
struct MatchedAttempt {
    attempt: KeyedAttempt,
    key_match: KeyMatch,
}

impl MatchedAttempt {
    /// Returns the key under which the request is known.
    fn request_key(&self) -> RequestKey {
        let key = self.key_match.request().map_or(&self.attempt.key, |request| &request.key);
        RequestKey { key: key.clone(), identity: self.attempt.identity }
    }
}

impl Dispatcher {
    /// Handles a request that a frontend has read. `tenant_error` tells why its tenant is missing, if it is.
    pub(super) fn accept_arrival(
        &mut self,
        request: Request,
        tenant_error: Option<TenantError>,
        effects: &mut Effects<'_>,
    ) {
        // The executor's messages identify requests by name, so names in flight must be unique.
        if self.is_in_flight(&request.name) || self.running_in_predecessor.contains(&request.name) {
            return self.respond_without_controller(&request, None, Response::Conflict, effects);
        }
        let times = ArrivalTimes::of(&request, effects.now);
        let keyed = self.keyed_attempt(&request, tenant_error.is_none(), times.arrived);
        let unsafe_response =
            keyed.as_ref().and_then(|attempt| self.response_to_unsafe_attempt(attempt, &times));
        let response = unsafe_response.or_else(|| {
            let error = tenant_error.filter(|_| !self.shares_started_run(keyed.as_ref()))?;
            Some(Response::TenantUndetermined(error))
        });
        match response {
            Some(response) => {
                let attempt = keyed.as_ref().map(|keyed| &keyed.attempt);
                self.respond_without_controller(&request, attempt, response, effects);
            }
            None => self.add_in_flight(request, keyed.as_ref(), &times, effects),
        }
    }

    fn keyed_attempt(
        &self,
        request: &Request,
        tenant_is_known: bool,
        arrived: f64,
    ) -> Option<MatchedAttempt> {
        let key = request.key.clone()?;
        let attempt = KeyedAttempt {
            key: IdempotencyKey { class: request.class, tenant: request.tenant, key },
            tenant_is_known,
            identity: AttemptIdentity {
                fingerprints: self.fingerprints(request),
                may_be_retry: request.retry || !self.marks_retries,
            },
            arrived,
        };
        let key_match = self.keys.match_attempt(&attempt);
        Some(MatchedAttempt { attempt, key_match })
    }

    /// Returns the response to an attempt that must not be admitted, because its key could run twice, because the table
    /// of keys is full, because too many attempts of its key are in flight, or because the attempt could be served with
    /// another request's result.
    fn response_to_unsafe_attempt(&self, matched: &MatchedAttempt, times: &ArrivalTimes) -> Option<Response> {
        let is_new = matched.key_match == KeyMatch::New;
        // The key may have run in another process. Admitting the attempt could run it twice, and a rejection would
        // claim that it has not run.
        if is_new && self.indeterminate_keys.covers(times.arrived, matched.attempt.identity.may_be_retry) {
            return Some(Response::Failed);
        }
        // The attempt was unread for at least as long as keys are retained after their window, so the entry of an
        // earlier run may already have been removed.
        if times.read_delay_s >= self.keys.retention_after_window_s() {
            return Some(Response::DeadlineExceeded);
        }
        match matched.key_match {
            KeyMatch::New if self.keys.is_full() => Some(Response::not_started()),
            // It must not be served with the other request's result.
            KeyMatch::Conflict => Some(Response::Conflict),
            // Its request may have run for another tenant, so it must neither run nor be rejected, and the result may be
            // that of another sender.
            KeyMatch::Ambiguous => Some(Response::Failed),
            KeyMatch::OfTenant(ref request) | KeyMatch::OfPrincipal(ref request)
                if self.in_flight.attempts_with(&request.key) >= MAX_ATTEMPTS_PER_KEY =>
            {
                Some(Response::not_started())
            }
            KeyMatch::New | KeyMatch::OfTenant(_) | KeyMatch::OfPrincipal(_) => None,
        }
    }

    /// Returns whether an attempt shares a run that has started. An attempt that shares a queued request could become its
    /// holder and run.
    fn shares_started_run(&self, keyed: Option<&MatchedAttempt>) -> bool {
        let Some(request) = keyed.and_then(|keyed| keyed.key_match.request()) else { return false };
        self.has_started(request.holder)
    }

    fn add_in_flight(
        &mut self,
        request: Request,
        keyed: Option<&MatchedAttempt>,
        times: &ArrivalTimes,
        effects: &mut Effects<'_>,
    ) {
        let id = self.next_id();
        let matched = keyed.and_then(|keyed| keyed.key_match.request());
        effects.events.push_back(Event::Arrived(Arrival {
            id,
            class: request.class,
            tenant: request.tenant.or_else(|| matched.and_then(|request| request.key.tenant)),
            caller: request.caller,
            memory_kb: request.memory_kb,
            read_delay_s: times.read_delay_s,
            time_left_s: Some(times.time_left_s),
            estimate_s: request.estimate_s,
            retry_of: matched.map(|request| request.holder),
            retry: request.retry,
        }));
        let deadline = effects.now + times.time_left_s;
        let key = keyed.map(MatchedAttempt::request_key);
        self.in_flight.insert(id, InFlight::new(request, times.arrived, deadline, key));
    }

    /// Responds to a request without reporting it to the controller.
    fn respond_without_controller(
        &mut self,
        request: &Request,
        attempt: Option<&KeyedAttempt>,
        response: Response,
        effects: &mut Effects<'_>,
    ) {
        let response = self.verified_response(attempt, response);
        self.metrics.record_response(request.class, &response);
        effects.commands.push(Command::Respond(request.ticket, response));
    }
}
