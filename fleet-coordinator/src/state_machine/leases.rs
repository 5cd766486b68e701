//! Granting, releasing and transferring of task leases, and the list of tasks.

use super::{LeaseStateMachine, Outcome, Rejection, ReleaseReason, Task};
use crate::ids::SessionId;
use port_worker::fleet::frame::{is_valid_name, LeaseRef, MAX_TASKS};
use serde::{Deserialize, Serialize};

/// A task's lease while it is held.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Lease {
    /// The holder.
    pub session: SessionId,
    /// The fencing token.
    pub token: u64,
    /// The log's time when the lease was granted (milliseconds).
    pub granted_ms: u64,
    /// How long a grant or renewal is valid (milliseconds).
    pub ttl_ms: u64,
    /// The longest TTL that any renewal under this token may have had (milliseconds). A new leader lets the lease expire no
    /// sooner than this after the start of its term.
    #[serde(rename = "whole_ms")]
    pub max_ttl_ms: u64,
}

impl LeaseStateMachine {
    /// Returns the referenced lease if it is still held under the same token.
    #[must_use]
    pub fn lease(&self, lease: &LeaseRef) -> Option<&Lease> {
        self.leases.get(&lease.task).filter(|current| current.token == lease.token)
    }

    pub(super) fn grant_lease(&mut self, task: &str, session: SessionId) -> Result<Outcome, Rejection> {
        if self.leases.contains_key(task) {
            return Err(Rejection::AlreadyHeld);
        }
        self.insert_lease(task, session)
    }

    pub(super) fn release_lease(
        &mut self,
        lease: &LeaseRef,
        reason: ReleaseReason,
    ) -> Result<Outcome, Rejection> {
        let session = self.lease(lease).ok_or(Rejection::NotHeld)?.session;
        self.leases.remove(&lease.task);
        if reason == ReleaseReason::Failed {
            self.record_failure(&lease.task, session);
        }
        Ok(Outcome::Done)
    }

    pub(super) fn transfer_lease(
        &mut self,
        lease: &LeaseRef,
        session: SessionId,
    ) -> Result<Outcome, Rejection> {
        self.lease(lease).ok_or(Rejection::NotHeld)?;
        if !self.sessions.contains_key(&session) {
            return Err(Rejection::UnknownSession);
        }
        self.leases.remove(&lease.task);
        self.insert_lease(&lease.task, session)
    }

    fn insert_lease(&mut self, task: &str, session: SessionId) -> Result<Outcome, Rejection> {
        let ttl_ms = self.tasks.get(task).ok_or(Rejection::UnknownTask)?.ttl_ms;
        if !self.sessions.contains_key(&session) {
            return Err(Rejection::UnknownSession);
        }
        self.last_token += 1;
        let token = self.last_token;
        let lease = Lease { session, token, granted_ms: self.log_time_ms, ttl_ms, max_ttl_ms: ttl_ms };
        self.leases.insert(task.to_owned(), lease);
        Ok(Outcome::Granted(LeaseRef { task: task.to_owned(), token }))
    }

    pub(super) fn set_tasks(&mut self, epoch: u64, tasks: &[Task]) -> Result<Outcome, Rejection> {
        if epoch <= self.epoch {
            return Err(Rejection::StaleEpoch(epoch));
        }
        if let Some(invalid) = tasks.iter().find(|task| !is_valid_name(&task.name)) {
            return Err(Rejection::InvalidName(invalid.name.clone()));
        }
        self.epoch = epoch;
        self.tasks = tasks.iter().take(MAX_TASKS).map(|task| (task.name.clone(), task.clone())).collect();
        self.failures.retain(|name, _| self.tasks.contains_key(name));
        for (name, lease) in &mut self.leases {
            if let Some(task) = self.tasks.get(name) {
                lease.ttl_ms = task.ttl_ms;
                lease.max_ttl_ms = lease.max_ttl_ms.max(task.ttl_ms);
            }
        }
        Ok(Outcome::Done)
    }
}
