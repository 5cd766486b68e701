//! The leader's handling of sessions: opening, links, closing and expiry.

use super::{
    Hello, LeaderState, LinkId, LiveSession, ProcessId, HEARTBEAT_INTERVAL_MS, PROPOSAL_RETRY_S,
    SESSION_TTL_MS, SESSION_TTL_S,
};
use crate::ids::SessionId;
use crate::state_machine::{Command, LeaseStateMachine, Outcome, Rejection, ReleaseReason, LATEST_VERSION};
use port_worker::fleet::frame::{LeaseRef, ServerMessage};
use std::collections::BTreeMap;

impl LeaderState {
    /// Handles a worker's request for a session on this link.
    pub fn on_hello(&mut self, now: f64, link: LinkId, hello: Hello, state: &LeaseStateMachine) {
        let Hello { name, zone, incarnation, version } = hello;
        self.opening_links.insert(link, ProcessId { name: name.clone(), incarnation });
        // A known session is reopened without a log entry, since all workers reopen their sessions at once after a change of
        // leader.
        let known = state.session_of(&name, incarnation);
        if let Some(id) = known.filter(|id| !self.is_closing(*id)) {
            return self.on_session_opened(now, &name, incarnation, &Ok(Outcome::Opened(id)));
        }
        self.propose(Command::OpenSession { name, zone, incarnation, version });
    }

    fn is_closing(&self, session: SessionId) -> bool {
        self.sessions.get(&session).is_some_and(|live| live.close_proposed_at.is_some())
    }

    /// Called when a link was closed.
    pub fn on_link_closed(&mut self, link: LinkId) {
        self.opening_links.remove(&link);
        if let Some(live) = self.links.remove(&link).and_then(|session| self.sessions.get_mut(&session)) {
            if live.link == Some(link) {
                live.link = None;
                // The session loses its queue positions, since without a link it can't be notified of a grant.
                live.wanted_tasks = BTreeMap::new();
            }
        }
    }

    /// Returns the session on this link.
    #[must_use]
    pub fn session(&self, link: LinkId) -> Option<SessionId> {
        self.links.get(&link).copied()
    }

    /// Returns the link of the session that holds the lease.
    pub(super) fn link_of_holder(&self, lease: &LeaseRef, state: &LeaseStateMachine) -> Option<LinkId> {
        self.sessions.get(&state.lease(lease)?.session)?.link
    }

    /// Handles the goodbye of a worker, which has stopped acting under all its leases.
    pub fn on_goodbye(&mut self, now: f64, link: LinkId, state: &LeaseStateMachine) {
        let Some(session) = self.session(link) else { return };
        for (task, lease) in state.leases.iter().filter(|(_, lease)| lease.session == session) {
            if self.hand_offs.contains_key(&lease.token) {
                continue;
            }
            self.lease_clock.start_release(now, lease.token);
            let lease = LeaseRef { task: task.clone(), token: lease.token };
            self.propose(Command::ReleaseLease { lease, reason: ReleaseReason::Returned });
        }
        self.propose(Command::CloseSession { session });
        if let Some(live) = self.sessions.get_mut(&session) {
            // While a lease is still to be handed off, the proposal to close the session is rejected.
            // `close_expired_sessions` repeats it once the session holds no lease.
            live.close_proposed_at = Some(now);
            live.expires_at = now;
        }
    }

    pub(super) fn on_session_opened(
        &mut self,
        now: f64,
        name: &str,
        incarnation: u64,
        result: &Result<Outcome, Rejection>,
    ) {
        let process = ProcessId { name: name.to_owned(), incarnation };
        let waiting = self.opening_links.iter().filter(|(_, opening)| **opening == process);
        let links: Vec<LinkId> = waiting.map(|(link, _)| *link).collect();
        for link in links {
            self.opening_links.remove(&link);
            let answer = match result {
                Ok(Outcome::Opened(session)) => {
                    self.attach_link(now, *session, link);
                    ServerMessage::Welcome {
                        session: session.0,
                        session_ttl_ms: SESSION_TTL_MS,
                        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
                        version: LATEST_VERSION,
                    }
                }
                Ok(_) => continue,
                Err(rejection) => ServerMessage::Rejected { reason: rejection.to_string() },
            };
            self.send(link, answer);
        }
    }

    /// Attaches the link to the session, and detaches the session's previous link, whose messages are no longer processed.
    fn attach_link(&mut self, now: f64, session: SessionId, link: LinkId) {
        let live = self.sessions.entry(session).or_default();
        if let Some(previous) = live.link.replace(link).filter(|previous| *previous != link) {
            self.links.remove(&previous);
        }
        live.expires_at = now + SESSION_TTL_S;
        self.links.insert(link, session);
    }

    pub(super) fn on_session_closed(&mut self, session: SessionId) {
        if let Some(overload) = &mut self.overload {
            overload.leader.remove(session.0);
        }
        if let Some(link) = self.sessions.remove(&session).and_then(|live| live.link) {
            self.links.remove(&link);
        }
    }

    /// Proposes closing the expired sessions that hold no lease. A session expires [`SESSION_TTL_S`] after its last heartbeat,
    /// or at its worker's goodbye.
    pub(super) fn close_expired_sessions(&mut self, now: f64, state: &LeaseStateMachine) {
        for id in state.sessions.keys() {
            let live = self.sessions.entry(*id).or_insert_with(|| LiveSession::starting(now));
            let holds_lease = state.leases.values().any(|lease| lease.session == *id);
            let proposed = live.close_proposed_at.is_some_and(|at| now - at <= PROPOSAL_RETRY_S);
            if now >= live.expires_at && !holds_lease && !proposed {
                live.close_proposed_at = Some(now);
                self.propose(Command::CloseSession { session: *id });
            }
        }
        self.sessions.retain(|id, _| state.sessions.contains_key(id));
    }
}
