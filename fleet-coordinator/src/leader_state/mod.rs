//! What a leader does beside the log: it receives workers' heartbeats, renews their leases, grants free ones, and
//! releases those whose holder is silent. Soft state without I/O, which begins anew with each term.
//!
//! Invariants: a renewal is answered only after a quorum has confirmed, later than the renewal was received, that this
//! member leads; a lease is released no sooner than its TTL after the last renewal that may have been answered, by this
//! leader or an earlier one. A holder counts from when it *sent* the renewal. Together these keep two holders from acting
//! at the same time.

mod granting;
mod messages;
mod periods;
mod queries;
mod releasing;
mod renewals;
mod sessions;

pub use crate::ids::LinkId;
pub use crate::lease_clock::SafetyChecks;
pub use messages::{BeginRequest, Heartbeat, Hello, ReleaseRequest};
pub use queries::SessionActivity;

use crate::ids::SessionId;
use crate::lease_clock::{LeaseClock, ReadIndexQueue};
use crate::state_machine::{Command, LeaseStateMachine, LogEntry, Outcome, Rejection};
use granting::{Backoff, HolderOfTask, PendingGrant};
use port_worker::fleet::frame::{Counters, FleetTotals, ServerMessage};
use port_worker::fleet::overload::events::OverloadEvent;
use port_worker::fleet::overload::leader::{Leader, Settings};
use releasing::HandOver;
use renewals::Renewal;
use std::collections::BTreeMap;

/// How long a silent session stays open (milliseconds): longer than a worker needs to find a new leader.
pub const SESSION_TTL_MS: u64 = 10_000;
/// How often a worker sends a heartbeat (milliseconds).
pub const HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// The task whose holder adds up the fleet's counters.
pub const TOTALS_TASK: &str = "totals";
/// A proposal without effect is repeated after so long (seconds).
const PROPOSAL_RETRY_S: f64 = 2.0;
const SESSION_TTL_S: f64 = SESSION_TTL_MS as f64 / 1000.0;

/// What the coordinator is to carry out for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Send a message on a link.
    Send(LinkId, ServerMessage),
    /// Propose a command to the replicated log.
    Propose(Command),
    /// Ask a quorum to confirm this leader, under this number.
    Confirm(u64),
    /// Report an event to operators.
    Log(OverloadEvent),
}

/// A session as the leader sees it.
#[derive(Clone, Debug, Default)]
struct LiveSession {
    link: Option<LinkId>,
    expires_at: f64,
    /// Tasks that the worker would take, with its place in the queue.
    wanted_tasks: BTreeMap<String, u64>,
    counters: Counters,
    counters_at: f64,
    /// When its closing was proposed.
    closing_since: Option<f64>,
}

impl LiveSession {
    fn starting(now: f64) -> LiveSession {
        LiveSession { expires_at: now + SESSION_TTL_S, ..LiveSession::default() }
    }
}

/// A worker's process.
#[derive(Clone, Debug, PartialEq)]
struct ProcessId {
    name: String,
    incarnation: u64,
}

/// The fleet's overload control, where the coordinators' file has `[overload]`.
#[derive(Clone, Debug)]
struct FleetOverload {
    settings: Settings,
    leader: Leader,
}

impl FleetOverload {
    fn start_term(now: f64, settings: Settings) -> FleetOverload {
        FleetOverload { settings, leader: Leader::lead(now, settings) }
    }
}

/// The fleet's totals as their task's holder sent them.
#[derive(Clone, Debug)]
struct ReceivedTotals {
    totals: FleetTotals,
    received_at: f64,
}

/// The soft state of a leader. It exists on followers too, where it does nothing.
#[derive(Clone, Debug)]
pub struct LeaderState {
    checks: SafetyChecks,
    is_leader: bool,
    sessions: BTreeMap<SessionId, LiveSession>,
    /// The session on each link.
    links: BTreeMap<LinkId, SessionId>,
    /// Links whose session is being opened.
    opening: BTreeMap<LinkId, ProcessId>,
    lease_clock: LeaseClock,
    overload: Option<FleetOverload>,
    /// Leases that wait for their successor, by token.
    hand_overs: BTreeMap<u64, HandOver>,
    /// Grants that are proposed and not applied, by task.
    pending_grants: BTreeMap<String, PendingGrant>,
    backoffs: BTreeMap<HolderOfTask, Backoff>,
    renewals: ReadIndexQueue<Renewal>,
    /// The last place in the queue that was given.
    last_queue_place: u64,
    totals: Option<ReceivedTotals>,
    actions: Vec<LeaderAction>,
}

impl LeaderState {
    /// The state of a member that does not lead.
    #[must_use]
    pub fn new(checks: SafetyChecks, overload: Option<Settings>) -> LeaderState {
        let overload = overload.map(|settings| FleetOverload::start_term(0.0, settings));
        LeaderState::empty(checks, 1, overload)
    }

    /// Only the numbers of confirmations go on from one term to the next.
    fn empty(checks: SafetyChecks, next_number: u64, overload: Option<FleetOverload>) -> LeaderState {
        LeaderState {
            checks,
            overload,
            is_leader: false,
            sessions: BTreeMap::new(),
            links: BTreeMap::new(),
            opening: BTreeMap::new(),
            lease_clock: LeaseClock::default(),
            hand_overs: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            renewals: ReadIndexQueue::new(next_number, PROPOSAL_RETRY_S),
            last_queue_place: 0,
            totals: None,
            actions: Vec::new(),
        }
    }

    /// Takes what is to be carried out since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<LeaderAction> {
        std::mem::take(&mut self.actions)
    }

    /// This member leads from now on. An earlier leader may have answered any renewal up to now.
    pub fn start_term(&mut self, now: f64, state: &LeaseStateMachine) {
        let overload = self.overload.take().map(|old| FleetOverload::start_term(now, old.settings));
        *self = LeaderState::empty(self.checks, self.renewals.next_number(), overload);
        self.is_leader = true;
        self.lease_clock = LeaseClock::start_term(self.checks, now, state.leases.values());
        for id in state.sessions.keys() {
            self.sessions.insert(*id, LiveSession::starting(now));
        }
    }

    /// This member leads no more, and drops all that waits. Returns the links that it served.
    pub fn step_down(&mut self) -> Vec<LinkId> {
        let links = self.links.keys().chain(self.opening.keys()).copied().collect();
        *self = LeaderState::empty(self.checks, self.renewals.next_number(), self.overload.take());
        links
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: f64, state: &LeaseStateMachine) {
        if !self.is_leader {
            return;
        }
        self.request_confirmation(now, state);
        self.hand_over_leases(now, state);
        self.update_backoffs(now, state);
        if let Some(overload) = &mut self.overload {
            self.actions.extend(overload.leader.evaluate(now).into_iter().map(LeaderAction::Log));
        }
        self.release_expired_leases(now, state);
        self.close_silent_sessions(now, state);
        self.grant_free_tasks(now, state);
    }

    /// A command was applied: answers whoever waits for it.
    pub fn on_applied(
        &mut self,
        now: f64,
        entry: &LogEntry,
        result: &Result<Outcome, Rejection>,
        state: &LeaseStateMachine,
    ) {
        if !self.is_leader {
            return;
        }
        match (&entry.command, result) {
            (Command::OpenSession { name, incarnation, .. }, result) => {
                self.on_session_opened(now, name, *incarnation, result);
            }
            (Command::CloseSession { session }, Ok(_)) => self.on_session_closed(*session),
            (Command::GrantLease { task, .. }, result) => {
                self.pending_grants.remove(task);
                self.on_lease_granted(now, result, state);
            }
            (Command::TransferLease { lease, .. }, result) => {
                self.lease_clock.record_release(lease.token);
                self.on_lease_granted(now, result, state);
            }
            (Command::ReleaseLease { lease, .. }, Ok(_)) => self.lease_clock.record_release(lease.token),
            (Command::BeginPeriod { lease, attempt, .. }, result) => {
                self.answer_begin_request(lease, *attempt, result, state);
            }
            _ => {}
        }
    }

    fn send(&mut self, link: LinkId, message: ServerMessage) {
        self.actions.push(LeaderAction::Send(link, message));
    }

    fn propose(&mut self, command: Command) {
        self.actions.push(LeaderAction::Propose(command));
    }
}

#[cfg(test)]
mod tests;
