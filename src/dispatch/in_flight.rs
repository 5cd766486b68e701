//! The table of requests in flight, by number, by name and by the ticket of a pending response.
//!
//! All times are on the loop's clock (seconds).

use super::idempotency::IdempotencyKey;
use super::{Command, Request, Ticket};
use crate::interface::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// A command for a run that its backend has not confirmed by any message.
pub(super) enum LastCommand {
    /// To start it.
    Run,
    /// To go on with the reply to its downstream call.
    Resume {
        /// The reply.
        reply: Rc<[u8]>,
        /// Sequence number of the call within the run.
        sequence: u64,
    },
    /// To go on without the reply to its downstream call.
    SkipCall {
        /// Sequence number of the call within the run.
        sequence: u64,
    },
}

/// A command, and when it was given.
pub(super) struct SentCommand {
    pub(super) at: f64,
    pub(super) command: LastCommand,
}

/// A downstream call that a run has reached and that has not been answered or skipped.
#[derive(Clone)]
pub(super) struct PendingCall {
    pub(super) body: Rc<[u8]>,
    /// Sequence number of the call within its run.
    pub(super) sequence: u64,
}

/// Whether the run of a request has been commanded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Not yet.
    NotStarted,
    /// Once.
    Started,
    /// A second time, since the first command may have been lost.
    StartedAgain,
}

/// The idempotency key of a request, and the fingerprint of its body.
pub(super) struct RequestKey {
    pub(super) key: IdempotencyKey,
    pub(super) body_fingerprint: u64,
}

/// A request that has been read and has not ended everywhere.
pub(super) struct InFlight {
    pub(super) request: Request,
    /// When it reached the machine.
    pub(super) arrived: f64,
    /// When its caller stops waiting.
    pub(super) deadline: f64,
    /// Its response was given, or nobody waits for it.
    pub(super) responded: bool,
    pub(super) run: RunState,
    /// Its idempotency key, if it carries one.
    pub(super) key: Option<RequestKey>,
    pub(super) pending_call: Option<PendingCall>,
    /// Its downstream call is in flight.
    pub(super) calling: bool,
    /// The last command for its run; `None` once its backend has sent a message about the run.
    pub(super) last_command: Option<SentCommand>,
}

impl InFlight {
    /// A request that has just been read and that the controller has not decided on.
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

    /// Its idempotency key, if it carries one.
    pub(super) fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.key.as_ref().map(|request_key| &request_key.key)
    }

    /// Whether its run has been commanded.
    pub(super) fn has_started(&self) -> bool {
        self.run != RunState::NotStarted
    }

    /// Whether its run was commanded exactly once, and its backend has not confirmed that.
    pub(super) fn run_commanded_once(&self) -> bool {
        let is_unconfirmed = matches!(self.last_command, Some(SentCommand { command: LastCommand::Run, .. }));
        self.run == RunState::Started && is_unconfirmed
    }

    /// The command that starts its run.
    pub(super) fn run_command(&self) -> Command {
        Command::Run {
            name: self.request.name.clone(),
            class: self.request.class,
            body: self.request.body.clone(),
            deadline: self.deadline,
        }
    }

    /// The command that lets its run go on without a call; it becomes the last command.
    pub(super) fn skip_command(&mut self, sequence: u64, now: f64) -> Command {
        self.last_command = Some(SentCommand { at: now, command: LastCommand::SkipCall { sequence } });
        Command::SkipCall { name: self.request.name.clone(), sequence }
    }

    /// The command that sends its last reply again, unless its run has gone on since.
    pub(super) fn repeat_reply(&mut self, now: f64) -> Option<Command> {
        let sent = self.last_command.as_mut()?;
        let LastCommand::Resume { reply, .. } = &sent.command else { return None };
        sent.at = now;
        Some(Command::Resume { name: self.request.name.clone(), reply: reply.clone() })
    }
}

/// All requests in flight.
#[derive(Default)]
pub(super) struct InFlightTable {
    requests: HashMap<RequestId, InFlight>,
    by_name: HashMap<Rc<str>, RequestId>,
    /// Pending responses, by where they go.
    pub(super) by_ticket: HashMap<Ticket, RequestId>,
    pending_responses: usize,
}

impl InFlightTable {
    pub(super) fn insert(&mut self, id: RequestId, in_flight: InFlight) {
        self.by_name.insert(in_flight.request.name.clone(), id);
        self.by_ticket.insert(in_flight.request.ticket, id);
        self.pending_responses += 1;
        self.requests.insert(id, in_flight);
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(removed) = self.requests.remove(&id) {
            self.by_name.remove(&removed.request.name);
        }
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

    /// The requests that satisfy the condition, oldest first.
    pub(super) fn ids_where(&self, condition: impl Fn(RequestId, &InFlight) -> bool) -> Vec<RequestId> {
        let matching = self.requests.iter().filter(|(id, in_flight)| condition(**id, in_flight));
        let mut ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// The number of requests whose response has not been given.
    pub(super) fn pending_responses(&self) -> usize {
        self.pending_responses
    }

    /// Marks a request as responded to and returns it; `None` if it had its response or is not in the table.
    pub(super) fn mark_responded(&mut self, id: RequestId) -> Option<&InFlight> {
        let in_flight = self.requests.get_mut(&id).filter(|r| !r.responded)?;
        in_flight.responded = true;
        self.pending_responses -= 1;
        self.by_ticket.remove(&in_flight.request.ticket);
        Some(in_flight)
    }

    /// Marks the request whose response this ticket stands for as abandoned by its client. Looks it up by ticket
    /// without a search, since floods of connection resets come this way.
    pub(super) fn mark_disconnected(&mut self, ticket: Ticket) -> Option<(RequestId, &InFlight)> {
        let id = self.by_ticket.remove(&ticket)?;
        let in_flight = self.requests.get_mut(&id)?;
        in_flight.responded = true;
        self.pending_responses -= 1;
        Some((id, in_flight))
    }
}
