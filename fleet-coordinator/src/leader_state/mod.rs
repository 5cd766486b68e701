//! The leader's unreplicated state: it processes workers' heartbeats, renews their leases, grants free tasks, and releases
//! expired leases. It does no I/O and is rebuilt at the start of each term. Times are on the leader's clock (seconds).
//!
//! Invariants: a renewal is answered only after a quorum has confirmed, later than the renewal was received, that this
//! member is the leader; a lease is released no sooner than its TTL after the last renewal that may have been answered, by
//! this leader or an earlier one. A holder counts the TTL from when it *sent* the renewal. Together these rules ensure
//! that two holders never act at the same time.

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
use granting::{Backoff, BackoffKey, PendingGrant};
use port_worker::fleet::frame::{Counters, FleetTotals, ServerMessage};
use port_worker::fleet::overload::events::OverloadEvent;
use port_worker::fleet::overload::leader::{OverloadLeader, OverloadLeaderSettings};
use releasing::HandOff;
use renewals::Renewal;
use std::collections::BTreeMap;

/// How long a session stays open without a heartbeat (milliseconds). This is longer than a worker needs to find a new
/// leader, so that a change of leader closes no sessions.
pub const SESSION_TTL_MS: u64 = 10_000;
/// How often a worker sends a heartbeat (milliseconds).
pub const HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// The task whose holder aggregates the fleet's counters.
pub const TOTALS_TASK: &str = "totals";
/// How long to wait before a proposal that was not applied is repeated (seconds).
const PROPOSAL_RETRY_S: f64 = 2.0;
const SESSION_TTL_S: f64 = SESSION_TTL_MS as f64 / 1000.0;

/// An action that the coordinator executes for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Send a message on a link.
    Send(LinkId, ServerMessage),
    /// Propose a command for the replicated log.
    Propose(Command),
    /// Request confirmation by a quorum that this member is the leader, under this number.
    Confirm(u64),
    /// Log an event.
    Log(OverloadEvent),
}

/// The leader's unreplicated state of a session.
#[derive(Clone, Debug, Default)]
struct LiveSession {
    link: Option<LinkId>,
    expires_at: f64,
    /// Tasks that the worker wants, with its queue position for each.
    wanted_tasks: BTreeMap<String, u64>,
    counters: Counters,
    counters_at: f64,
    /// When closing the session was last proposed.
    close_proposed_at: Option<f64>,
}

impl LiveSession {
    fn starting(now: f64) -> LiveSession {
        LiveSession { expires_at: now + SESSION_TTL_S, ..LiveSession::default() }
    }
}

/// Identifies a worker process.
#[derive(Clone, Debug, PartialEq)]
struct ProcessId {
    name: String,
    incarnation: u64,
}

/// Fleet-wide overload control; present if the configuration file has `[overload]`.
#[derive(Clone, Debug)]
struct FleetOverload {
    settings: OverloadLeaderSettings,
    leader: OverloadLeader,
}

impl FleetOverload {
    fn start_term(now: f64, settings: OverloadLeaderSettings) -> FleetOverload {
        FleetOverload { settings, leader: OverloadLeader::new(now, settings) }
    }
}

/// The fleet's totals as last received from the holder of their task.
#[derive(Clone, Debug)]
struct ReceivedTotals {
    totals: FleetTotals,
    received_at: f64,
}

/// The leader's unreplicated state. Inactive on followers.
#[derive(Clone, Debug)]
pub struct LeaderState {
    checks: SafetyChecks,
    is_leader: bool,
    sessions: BTreeMap<SessionId, LiveSession>,
    /// The session of each link.
    links: BTreeMap<LinkId, SessionId>,
    /// Links whose session is being opened, with the process that opens it.
    opening_links: BTreeMap<LinkId, ProcessId>,
    lease_clock: LeaseClock,
    overload: Option<FleetOverload>,
    /// Leases that wait for their holder's successor, by fencing token.
    hand_offs: BTreeMap<u64, HandOff>,
    /// Grants that were proposed and are not applied yet, by task.
    pending_grants: BTreeMap<String, PendingGrant>,
    backoffs: BTreeMap<BackoffKey, Backoff>,
    renewals: ReadIndexQueue<Renewal>,
    /// The last queue position assigned.
    last_queue_position: u64,
    totals: Option<ReceivedTotals>,
    actions: Vec<LeaderAction>,
}

impl LeaderState {
    /// Returns the state of a member that is not the leader.
    #[must_use]
    pub fn new(checks: SafetyChecks, overload: Option<OverloadLeaderSettings>) -> LeaderState {
        let overload = overload.map(|settings| FleetOverload::start_term(0.0, settings));
        LeaderState::empty(checks, 1, overload)
    }

    /// Returns the state without sessions, leases and requests. `next_number` is the next confirmation number: these numbers
    /// continue from one term to the next.
    fn empty(checks: SafetyChecks, next_number: u64, overload: Option<FleetOverload>) -> LeaderState {
        LeaderState {
            checks,
            overload,
            is_leader: false,
            sessions: BTreeMap::new(),
            links: BTreeMap::new(),
            opening_links: BTreeMap::new(),
            lease_clock: LeaseClock::default(),
            hand_offs: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            renewals: ReadIndexQueue::new(next_number, PROPOSAL_RETRY_S),
            last_queue_position: 0,
            totals: None,
            actions: Vec::new(),
        }
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<LeaderAction> {
        std::mem::take(&mut self.actions)
    }

    /// Called when this member becomes the leader. An earlier leader may have answered any renewal up to now.
    pub fn start_term(&mut self, now: f64, state: &LeaseStateMachine) {
        let overload = self.overload.take().map(|old| FleetOverload::start_term(now, old.settings));
        *self = LeaderState::empty(self.checks, self.renewals.next_number(), overload);
        self.is_leader = true;
        self.lease_clock = LeaseClock::start_term(self.checks, now, state.leases.values());
        for id in state.sessions.keys() {
            self.sessions.insert(*id, LiveSession::starting(now));
        }
    }

    /// Called when this member loses leadership. Drops all pending requests and returns the links that it served.
    pub fn step_down(&mut self) -> Vec<LinkId> {
        let links = self.links.keys().chain(self.opening_links.keys()).copied().collect();
        *self = LeaderState::empty(self.checks, self.renewals.next_number(), self.overload.take());
        links
    }

    /// Performs the periodic work that is due at this time.
    pub fn tick(&mut self, now: f64, state: &LeaseStateMachine) {
        if !self.is_leader {
            return;
        }
        self.request_confirmation(now, state);
        self.hand_off_leases(now, state);
        self.update_backoffs(now, state);
        if let Some(overload) = &mut self.overload {
            self.actions.extend(overload.leader.evaluate(now).into_iter().map(LeaderAction::Log));
        }
        self.release_expired_leases(now, state);
        self.close_expired_sessions(now, state);
        self.grant_free_tasks(now, state);
    }

    /// Called after a command was applied; answers the worker that waits for the result.
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
