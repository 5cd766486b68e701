//! What operators may ask a leader about its soft state.

use super::{LeaderState, SESSION_TTL_S};
use crate::ids::SessionId;
use port_worker::fleet::overload::leader::Leader;

/// How a session is connected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SessionActivity {
    /// Time since the last heartbeat (seconds).
    pub silent_s: f64,
    /// The session has a link.
    pub linked: bool,
}

impl LeaderState {
    /// The fleet's overload control, where it is configured.
    #[must_use]
    pub fn overload(&self) -> Option<&Leader> {
        self.overload.as_ref().map(|overload| &overload.leader)
    }

    /// The fleet's overload control, to be set by operators.
    pub fn overload_mut(&mut self) -> Option<&mut Leader> {
        self.overload.as_mut().map(|overload| &mut overload.leader)
    }

    /// How many workers wait for the task.
    #[must_use]
    pub fn waiting(&self, task: &str) -> usize {
        self.sessions.values().filter(|live| live.wanted_tasks.contains_key(task)).count()
    }

    /// How the session is connected; `None` for one that is not known.
    #[must_use]
    pub fn session_activity(&self, now: f64, session: SessionId) -> Option<SessionActivity> {
        let live = self.sessions.get(&session)?;
        let silent_s = (now - live.expires_at + SESSION_TTL_S).max(0.0);
        Some(SessionActivity { silent_s, linked: live.link.is_some() })
    }

    /// How long a lease remains valid at most, unless it is renewed (seconds).
    #[must_use]
    pub fn remaining_s(&self, now: f64, token: u64) -> f64 {
        self.lease_clock.remaining_s(now, token)
    }
}
