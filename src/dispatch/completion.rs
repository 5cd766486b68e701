//! Completion of requests: sends responses, completes idempotency keys and removes requests from the table.

use super::effects::Effects;
use super::idempotency::{IdempotencyKey, KeyProgress};
use super::in_flight::InFlight;
use super::{Command, Dispatcher, Response};
use crate::interface::{Event, Outcome, RequestId};
use std::collections::HashSet;
use std::rc::Rc;

/// A run whose end the backend does not report keeps its run slot for this long after its deadline (seconds).
pub(super) const OVERDUE_RUN_TIMEOUT_S: f64 = 10.0;
/// Retry-After for requests whose run could not be started (seconds).
pub(super) const NOT_STARTED_RETRY_AFTER_S: f64 = 1.0;

impl Response {
    /// Returns the response to a request that certainly has not run. The caller may retry.
    pub(super) fn not_started() -> Response {
        Response::Rejected { retry_after_s: NOT_STARTED_RETRY_AFTER_S, stop_retrying: false }
    }
}

/// Response and outcome of an attempt that shares another attempt's run.
struct SharedOutcome {
    response: Response,
    /// Outcome that is reported to the controller.
    outcome: Outcome,
}

impl KeyProgress {
    /// Returns the response and outcome for attempts whose key has ended in this state.
    fn shared_outcome(&self) -> SharedOutcome {
        match self {
            KeyProgress::Served(Some(result)) => {
                SharedOutcome { response: Response::Served(result.clone()), outcome: Outcome::Ok }
            }
            _ => SharedOutcome { response: Response::Failed, outcome: Outcome::Error },
        }
    }
}

impl Dispatcher {
    /// Sends the response, unless the request already has one.
    pub(super) fn respond(&mut self, id: RequestId, response: Response, effects: &mut Effects<'_>) {
        let attempt = self.in_flight.get(id).and_then(InFlight::keyed_attempt);
        let response = self.verified_response(attempt.as_ref(), response);
        let Some(in_flight) = self.in_flight.mark_responded(id) else { return };
        self.metrics.record_response(in_flight.request.class, &response);
        effects.commands.push(Command::Respond(in_flight.request.ticket, response));
    }

    /// Completes a run that has ended with any outcome: responds to its request and to the attempts that wait for its
    /// key.
    pub(super) fn complete_run(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        result: Option<Rc<[u8]>>,
        effects: &mut Effects<'_>,
    ) {
        let Some(in_flight) = self.in_flight.get(id) else { return };
        let key = in_flight.idempotency_key().cloned();
        if in_flight.calling {
            effects.commands.push(Command::CancelCall(in_flight.request.name.clone()));
        }
        let result = result.filter(|_| outcome == Outcome::Ok);
        let response = result.clone().map_or(Response::Failed, Response::Served);
        self.respond(id, response, effects);
        self.in_flight.remove(id);
        effects.events.push_back(Event::RunEnded { id, outcome });
        if let Some(key) = key {
            let progress = result.map_or(KeyProgress::Failed, |r| KeyProgress::Served(Some(r)));
            self.complete_key(&key, id, progress, effects);
        }
    }

    /// Completes a key whose run has ended here or in another process: the waiting attempts get the same response.
    pub(super) fn complete_key(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        progress: KeyProgress,
        effects: &mut Effects<'_>,
    ) {
        let SharedOutcome { response, outcome } = progress.shared_outcome();
        let attempts = self.keys.complete(key, holder, progress);
        self.updated_keys.push(key.clone());
        self.complete_all(attempts, &response, outcome, effects);
    }

    /// Responds to these requests, removes them and reports this outcome to the controller.
    pub(super) fn complete_all(
        &mut self,
        ids: Vec<RequestId>,
        response: &Response,
        outcome: Outcome,
        effects: &mut Effects<'_>,
    ) {
        for id in ids {
            if self.in_flight.contains(id) {
                self.complete_shared(id, response.clone(), outcome, effects);
            }
        }
    }

    fn complete_shared(
        &mut self,
        id: RequestId,
        response: Response,
        outcome: Outcome,
        effects: &mut Effects<'_>,
    ) {
        self.respond(id, response, effects);
        self.in_flight.remove(id);
        effects.events.push_back(Event::RunEnded { id, outcome });
    }

    /// Completes a request whose run certainly never started: it and the attempts that wait for its key get the
    /// response, and the key is released for a later attempt.
    pub(super) fn complete_never_ran(
        &mut self,
        id: RequestId,
        response: &Response,
        effects: &mut Effects<'_>,
    ) {
        let Some(in_flight) = self.in_flight.get(id) else { return };
        let mut completed = vec![id];
        if let Some(key) = in_flight.idempotency_key().cloned() {
            if let Some(entry) = self.keys.get_mut(&key).filter(|e| e.holder == id) {
                completed.append(&mut entry.waiting_attempts);
            }
            self.keys.release(&key, id);
            self.updated_keys.push(key);
        }
        self.complete_all(completed, response, Outcome::NotStarted, effects);
    }

    /// Responds to an attempt with the outcome of the run that it shares, immediately or when that run ends.
    pub(super) fn share_response(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        let Some(progress) = self.shared_progress(id) else { return };
        let SharedOutcome { response, outcome } = progress.shared_outcome();
        self.complete_shared(id, response, outcome, effects);
    }

    /// Returns how the run that this attempt shares has ended; `None` if it is still open and the attempt now waits for
    /// it.
    fn shared_progress(&mut self, id: RequestId) -> Option<KeyProgress> {
        let Some(in_flight) = self.in_flight.get(id) else { return Some(KeyProgress::Failed) };
        let Some(key) = in_flight.idempotency_key() else { return Some(KeyProgress::Failed) };
        let previous = self.keys.previous_progress(key, in_flight.arrived);
        let Some(entry) = self.keys.get_mut(key) else { return Some(KeyProgress::Failed) };
        if previous.is_some() {
            return previous;
        }
        if entry.progress == KeyProgress::Open {
            entry.waiting_attempts.push(id);
            return None;
        }
        Some(entry.progress.clone())
    }

    /// Sends all pending responses: requests that may have run fail, the others are rejected. Used when the process is
    /// stopped before the controller can decide on each request.
    pub(super) fn respond_to_all(&mut self, effects: &mut Effects<'_>) {
        let sharing: HashSet<RequestId> = self.keys.waiting_attempts().collect();
        for id in self.in_flight.ids_where(|_, r| !r.responded) {
            let started = self.in_flight.get(id).is_some_and(InFlight::has_started);
            if started || sharing.contains(&id) {
                self.respond(id, Response::Failed, effects);
            } else {
                self.respond(id, Response::not_started(), effects);
                effects.events.push_back(Event::CallerDisconnected(id));
                self.abandoned.push(id);
            }
        }
    }

    /// Completes all runs as failed, because the backend has lost them.
    pub(super) fn fail_all_runs(&mut self, effects: &mut Effects<'_>) {
        for id in self.in_flight.ids_where(|_, r| r.has_started()) {
            self.complete_run(id, Outcome::Error, None, effects);
        }
    }

    /// Ends runs that are past their deadline by more than [`OVERDUE_RUN_TIMEOUT_S`]. If the backend never reported
    /// their end, they would otherwise occupy their run slots indefinitely.
    pub(super) fn end_overdue_runs(&mut self, effects: &mut Effects<'_>) {
        let now = effects.now;
        let is_overdue = |r: &InFlight| r.has_started() && now > r.deadline + OVERDUE_RUN_TIMEOUT_S;
        for id in self.in_flight.ids_where(|_, r| is_overdue(r)) {
            self.complete_run(id, Outcome::Cancelled, None, effects);
        }
        self.run_controller(effects);
    }

    /// Removes a request that has its response and has not started, and releases its key. A started run continues.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.get(id).filter(|r| !r.has_started()) else { return };
        if let Some(key) = in_flight.idempotency_key().cloned() {
            self.keys.release(&key, id);
            if let Some(entry) = self.keys.get_mut(&key) {
                entry.waiting_attempts.retain(|waiting| *waiting != id);
            }
            self.updated_keys.push(key);
        }
        self.in_flight.remove(id);
    }

    /// Releases the abandoned requests. Must be called after the controller has handled their
    /// [`Event::CallerDisconnected`].
    pub(super) fn release_abandoned(&mut self) {
        while let Some(id) = self.abandoned.pop() {
            self.release(id);
        }
    }
}
