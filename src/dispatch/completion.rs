//! How requests end: responses are given, idempotency keys completed, and requests leave the table.

use super::effects::Effects;
use super::idempotency::{IdempotencyKey, KeyProgress};
use super::in_flight::InFlight;
use super::{Command, Dispatcher, Response};
use crate::interface::{Event, Outcome, RequestId};
use std::collections::HashSet;
use std::rc::Rc;

/// How long after its deadline a run keeps its slot without a message from its backend (seconds).
pub(super) const SILENT_RUN_S: f64 = 10.0;
/// Retry-After of a request whose run could not be started (seconds).
pub(super) const NOT_STARTED_RETRY_AFTER_S: f64 = 1.0;

impl Response {
    /// The response to a request that provably has not run. Its caller may retry.
    pub(super) fn not_started() -> Response {
        Response::Rejected { retry_after_s: NOT_STARTED_RETRY_AFTER_S, stop_retrying: false }
    }
}

/// What an attempt gets that shares the run of another one.
struct SharedOutcome {
    response: Response,
    /// The outcome that the controller records for it.
    outcome: Outcome,
}

impl KeyProgress {
    /// What an attempt gets whose key has ended so.
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
    /// Gives the response, unless one was given.
    pub(super) fn respond(&mut self, id: RequestId, response: Response, effects: &mut Effects<'_>) {
        let Some(in_flight) = self.in_flight.mark_responded(id) else { return };
        self.metrics.record_response(in_flight.request.class, &response);
        effects.commands.push(Command::Respond(in_flight.request.ticket, response));
    }

    /// A run has ended, in whatever way: its request and the attempts that wait for its key get their response.
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

    /// The run of a key has ended, here or in another process: the attempts that wait for it get the same response.
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

    /// Responds to these requests, removes them, and reports to the controller that they have ended with this outcome.
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

    /// A run that provably never began is no run: its request and the attempts that wait for its key get the response,
    /// and the key is free for a later attempt.
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

    /// Responds to an attempt with the outcome of the run that it shares, now or when that run ends.
    pub(super) fn share_response(&mut self, id: RequestId, effects: &mut Effects<'_>) {
        let Some(progress) = self.shared_progress(id) else { return };
        let SharedOutcome { response, outcome } = progress.shared_outcome();
        self.complete_shared(id, response, outcome, effects);
    }

    /// How the run ended whose response this attempt shares; `None` if the attempt now waits for its end.
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

    /// Gives all pending responses: what may have run has failed, and the rest is rejected. For a process that is
    /// stopped before the controller could decide on each request.
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

    /// Ends all runs as failed, since the backend has lost them.
    pub(super) fn fail_all_runs(&mut self, effects: &mut Effects<'_>) {
        for id in self.in_flight.ids_where(|_, r| r.has_started()) {
            self.complete_run(id, Outcome::Error, None, effects);
        }
    }

    /// Ends runs whose backend has been silent for [`SILENT_RUN_S`] after their deadline. Guards the run slots, which
    /// they would hold for ever.
    pub(super) fn end_silent_runs(&mut self, effects: &mut Effects<'_>) {
        let now = effects.now;
        let is_silent = |r: &InFlight| r.has_started() && now > r.deadline + SILENT_RUN_S;
        for id in self.in_flight.ids_where(|_, r| is_silent(r)) {
            self.complete_run(id, Outcome::Cancelled, None, effects);
        }
        self.run_controller(effects);
    }

    /// A request that has its response and never ran leaves the table, and its key with it; a run goes on to its end.
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

    /// Releases the requests that nobody waits for. After the controller knows of them.
    pub(super) fn release_abandoned(&mut self) {
        while let Some(id) = self.abandoned.pop() {
            self.release(id);
        }
    }
}
