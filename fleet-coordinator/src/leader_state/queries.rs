//! Queries of the leader's unreplicated state, for operators.

use super::{LeaderState, SESSION_TTL_S};
use crate::ids::SessionId;
use port_worker::fleet::overload::leader::OverloadLeader;

/// A session's connection status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SessionActivity {
    /// Time since the last heartbeat (seconds).
    pub silent_s: f64,
    /// Whether the session has a link.
    pub linked: bool,
}

impl LeaderState {
    /// Returns the fleet's overload control, if configured.
    #[must_use]
    pub fn overload(&self) -> Option<&OverloadLeader> {
        self.overload.as_ref().map(|overload| &overload.leader)
    }

    /// Returns the fleet's overload control for changes by operators, if configured.
    pub fn overload_mut(&mut self) -> Option<&mut OverloadLeader> {
        self.overload.as_mut().map(|overload| &mut overload.leader)
    }

    /// Returns the number of workers that wait for the task.
    #[must_use]
    pub fn waiting(&self, task: &str) -> usize {
        self.sessions.values().filter(|live| live.wanted_tasks.contains_key(task)).count()
    }

    /// Returns the session's connection status; `None` for an unknown session.
    #[must_use]
    pub fn session_activity(&self, now: f64, session: SessionId) -> Option<SessionActivity> {
        let live = self.sessions.get(&session)?;
        let silent_s = (now - live.expires_at + SESSION_TTL_S).max(0.0);
        Some(SessionActivity { silent_s, linked: live.link.is_some() })
    }

    /// Returns how long the lease may remain valid without a renewal (seconds).
    #[must_use]
    pub fn remaining_s(&self, now: f64, token: u64) -> f64 {
        self.lease_clock.remaining_s(now, token)
    }
}
