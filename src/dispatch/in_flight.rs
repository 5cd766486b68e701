//! The table of requests in flight, indexed by ID, by name and by the ticket of the pending response.
//!
//! All times are on the event loop's clock (seconds).

use super::idempotency::{AttemptIdentity, IdempotencyKey, KeyedAttempt};
use super::{Command, Request, Ticket};
use crate::interface::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// A command for a run that the backend has not confirmed yet; any message about the run confirms it.
pub(super) enum LastCommand {
    /// Start the run.
    Run,
    /// Resume the run with the reply to its downstream call.
    Resume {
        /// Sequence number of the call within the run.
        sequence: u64,
    },
    /// Resume the run without its downstream call.
    SkipCall {
        /// Sequence number of the call within the run.
        sequence: u64,
    },
}

/// A command and the time at which it was issued.
pub(super) struct SentCommand {
    pub(super) at: f64,
    pub(super) command: LastCommand,
}

/// A downstream call that a run has reached and that has been neither answered nor skipped.
#[derive(Clone)]
pub(super) struct PendingCall {
    pub(super) body: Rc<[u8]>,
    /// Sequence number of the call within its run.
    pub(super) sequence: u64,
}

/// Whether the run of a request has been commanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Not commanded.
    NotStarted,
    /// Commanded once.
    Started,
    /// Commanded a second time, because the first command may have been lost.
    StartedAgain,
}

/// The idempotency key under which a request is known, and what it is compared by.
pub(super) struct RequestKey {
    pub(super) key: IdempotencyKey,
    pub(super) identity: AttemptIdentity,
}

/// A request that has been read and whose response or run is still outstanding.
pub(super) struct InFlight {
    pub(super) request: Request,
    /// When it arrived at the machine.
    pub(super) arrived: f64,
    /// When its caller stops waiting.
    pub(super) deadline: f64,
    /// Whether its response has been sent or is no longer needed.
    pub(super) responded: bool,
    pub(super) run: RunState,
    pub(super) key: Option<RequestKey>,
    pub(super) pending_call: Option<PendingCall>,
    /// Whether its downstream call is in flight.
    pub(super) calling: bool,
    /// The last command for its run; `None` once the backend has sent a message about the run.
    pub(super) last_command: Option<SentCommand>,
}

impl InFlight {
    /// Creates the entry of a request that has just been read and that the controller has not decided on.
    pub(super) fn new(request: Request, arrived: f64, deadline: f64, key: Option<RequestKey>) -> InFlight {
        InFlight {
            request,
            arrived,
            deadline,
            responded: false,
            run: RunState::NotStarted,
            key,
            pending_call: None,
            calling: false,
            last_command: None,
        }
    }

    /// Returns the request's idempotency key, if it carries one.
    pub(super) fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.key.as_ref().map(|request_key| &request_key.key)
    }

    /// Returns the request as an attempt to be compared with others, if it carries an idempotency key. It is compared under
    /// the tenant of the request that it was matched with.
    pub(super) fn keyed_attempt(&self) -> Option<KeyedAttempt> {
        let RequestKey { key, identity } = self.key.as_ref()?;
        let attempt = KeyedAttempt {
            key: key.clone(),
            tenant_is_known: true,
            identity: *identity,
            arrived: self.arrived,
        };
        Some(attempt)
    }

    /// Returns whether its run has been commanded.
    pub(super) fn has_started(&self) -> bool {
        self.run != RunState::NotStarted
    }

    /// Returns whether its run was commanded exactly once and the backend has not confirmed the command.
    pub(super) fn run_commanded_once(&self) -> bool {
        let is_unconfirmed = matches!(self.last_command, Some(SentCommand { command: LastCommand::Run, .. }));
        self.run == RunState::Started && is_unconfirmed
    }

    /// Returns the command that starts its run.
    pub(super) fn run_command(&self) -> Command {
        Command::Run {
            name: self.request.name.clone(),
            class: self.request.class,
            body: self.request.body.clone(),
            deadline: self.deadline,
        }
    }

    /// Returns the command to resume its run without a call, and records it as the last command.
    pub(super) fn skip_command(&mut self, sequence: u64, now: f64) -> Command {
        self.last_command = Some(SentCommand { at: now, command: LastCommand::SkipCall { sequence } });
        Command::SkipCall { name: self.request.name.clone(), sequence }
    }
}

/// All requests in flight.
#[derive(Default)]
pub(super) struct InFlightTable {
    requests: HashMap<RequestId, InFlight>,
    by_name: HashMap<Rc<str>, RequestId>,
    /// Requests whose response is pending, by ticket.
    pub(super) by_ticket: HashMap<Ticket, RequestId>,
    /// Number of requests by idempotency key; no count is 0.
    attempts_by_key: HashMap<IdempotencyKey, usize>,
    pending_responses: usize,
}

impl InFlightTable {
    pub(super) fn insert(&mut self, id: RequestId, in_flight: InFlight) {
        self.by_name.insert(in_flight.request.name.clone(), id);
        self.by_ticket.insert(in_flight.request.ticket, id);
        self.pending_responses += 1;
        if let Some(key) = in_flight.idempotency_key() {
            *self.attempts_by_key.entry(key.clone()).or_default() += 1;
        }
        self.requests.insert(id, in_flight);
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        let Some(removed) = self.requests.remove(&id) else { return };
        self.by_name.remove(&removed.request.name);
        if let Some(key) = removed.idempotency_key() {
            self.remove_attempt(key);
        }
    }

    fn remove_attempt(&mut self, key: &IdempotencyKey) {
        if let Some(count) = self.attempts_by_key.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                self.attempts_by_key.remove(key);
            }
        }
    }

    /// Returns the number of requests that are known under an idempotency key.
    pub(super) fn attempts_with(&self, key: &IdempotencyKey) -> usize {
        self.attempts_by_key.get(key).copied().unwrap_or(0)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&InFlight> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.requests.get_mut(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &InFlight> {
        self.requests.values()
    }

    pub(super) fn id_of(&self, name: &str) -> Option<RequestId> {
        self.by_name.get(name).copied()
    }

    pub(super) fn by_name_mut(&mut self, name: &str) -> Option<(RequestId, &mut InFlight)> {
        let id = self.id_of(name)?;
        Some((id, self.requests.get_mut(&id)?))
    }

    /// Returns the IDs of the requests that satisfy the condition, oldest first.
    pub(super) fn ids_where(&self, condition: impl Fn(RequestId, &InFlight) -> bool) -> Vec<RequestId> {
        let matching = self.requests.iter().filter(|(id, in_flight)| condition(**id, in_flight));
        let mut ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the number of requests whose response is pending.
    pub(super) fn pending_responses(&self) -> usize {
        self.pending_responses
    }

    /// Marks a request as responded to and returns it; `None` if it already was or is not in the table.
    pub(super) fn mark_responded(&mut self, id: RequestId) -> Option<&InFlight> {
        let in_flight = self.requests.get_mut(&id).filter(|r| !r.responded)?;
        in_flight.responded = true;
        self.pending_responses -= 1;
        self.by_ticket.remove(&in_flight.request.ticket);
        Some(in_flight)
    }

    /// Marks the request with this ticket as abandoned by its client. Uses an index rather than a search, because
    /// floods of connection resets call this.
    pub(super) fn mark_disconnected(&mut self, ticket: Ticket) -> Option<(RequestId, &InFlight)> {
        let id = self.by_ticket.remove(&ticket)?;
        let in_flight = self.requests.get_mut(&id)?;
        in_flight.responded = true;
        self.pending_responses -= 1;
        Some((id, in_flight))
    }
}
