//! Opening and closing of workers' sessions.

use super::{LeaseStateMachine, Outcome, Rejection, MAX_SESSIONS};
use crate::ids::SessionId;
use port_worker::fleet::frame::is_valid_name;
use serde::{Deserialize, Serialize};

/// A worker's open session.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Session {
    /// The worker's name.
    pub name: String,
    /// The worker's zone.
    pub zone: String,
    /// Distinguishes processes with the same worker name.
    #[serde(rename = "process")]
    pub incarnation: u64,
    /// The latest protocol version that the worker supports.
    pub version: u32,
    /// The log's time when the session was opened (milliseconds).
    pub opened_ms: u64,
}

impl LeaseStateMachine {
    /// Returns the open session of this process, if any.
    pub(crate) fn session_of(&self, name: &str, incarnation: u64) -> Option<SessionId> {
        self.sessions.iter().find(|(_, s)| s.incarnation == incarnation && s.name == name).map(|(id, _)| *id)
    }

    /// Returns the most recent session with this worker name.
    #[must_use]
    pub fn newest_session(&self, name: &str) -> Option<SessionId> {
        self.sessions.iter().rev().find(|(_, s)| s.name == name).map(|(id, _)| *id)
    }

    pub(super) fn open_session(
        &mut self,
        name: &str,
        zone: &str,
        incarnation: u64,
        version: u32,
    ) -> Result<Outcome, Rejection> {
        for text in [name, zone] {
            if !is_valid_name(text) {
                return Err(Rejection::InvalidName(text.to_owned()));
            }
        }
        // The same process repeated its request, over another link or to another leader: it keeps its session.
        if let Some(id) = self.session_of(name, incarnation) {
            return Ok(Outcome::Opened(id));
        }
        if self.sessions.len() >= MAX_SESSIONS {
            return Err(Rejection::TooManySessions(self.sessions.len()));
        }
        self.last_session = self.last_session.next();
        let session = Session {
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            version,
            opened_ms: self.log_time_ms,
        };
        self.sessions.insert(self.last_session, session);
        Ok(Outcome::Opened(self.last_session))
    }

    pub(super) fn close_session(&mut self, session: SessionId) -> Result<Outcome, Rejection> {
        if self.leases.values().any(|lease| lease.session == session) {
            return Err(Rejection::StillHoldsLeases);
        }
        self.sessions.remove(&session).map(|_| Outcome::Done).ok_or(Rejection::UnknownSession)
    }
}
