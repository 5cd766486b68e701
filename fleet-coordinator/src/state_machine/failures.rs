//! Exponential backoff of holders that failed at a task.

use super::{LeaseStateMachine, MAX_FAILURES_PER_TASK};
use crate::ids::SessionId;
use port_worker::fleet::frame::LeaseRef;
use serde::{Deserialize, Serialize};

/// A holder's failures are forgotten this long after its last backoff has ended (milliseconds).
const FAILURE_RETENTION_MS: u64 = 3_600_000;
/// The maximum number of times that the task's backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// A holder's consecutive failures at one task.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct FailureRecord {
    /// The number of failures.
    #[serde(rename = "times")]
    pub count: u32,
    /// The log's time until which the holder is not granted the task (milliseconds).
    #[serde(rename = "until_ms")]
    pub backoff_until_ms: u64,
}

impl LeaseStateMachine {
    /// Counts a failure and starts a backoff: the task's own at the first failure, doubled with each further one up to
    /// [`MAX_BACKOFF_DOUBLINGS`] times.
    pub(super) fn record_failure(&mut self, task: &str, session: SessionId) {
        let Some(name) = self.sessions.get(&session).map(|session| session.name.clone()) else { return };
        let backoff_ms = self.tasks.get(task).map_or(0, |task| task.backoff_ms);
        let now = self.log_time_ms;
        let by_name = self.failures.entry(task.to_owned()).or_default();
        by_name.retain(|_, failure| now < failure.backoff_until_ms.saturating_add(FAILURE_RETENTION_MS));
        if by_name.len() >= MAX_FAILURES_PER_TASK && !by_name.contains_key(&name) {
            let oldest = by_name.iter().min_by_key(|(_, failure)| failure.backoff_until_ms);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                by_name.remove(&oldest);
            }
        }
        let failure = by_name.entry(name).or_default();
        failure.count = failure.count.saturating_add(1);
        let factor = 1 << (failure.count - 1).min(MAX_BACKOFF_DOUBLINGS);
        failure.backoff_until_ms = now.saturating_add(backoff_ms.saturating_mul(factor));
    }

    /// Forgets the holder's earlier failures at the task after a success.
    pub(super) fn clear_failures(&mut self, lease: &LeaseRef) {
        let session = self.lease(lease).and_then(|lease| self.sessions.get(&lease.session));
        let name = session.map(|session| session.name.clone()).unwrap_or_default();
        if let Some(by_name) = self.failures.get_mut(&lease.task) {
            by_name.remove(&name);
        }
    }
}
