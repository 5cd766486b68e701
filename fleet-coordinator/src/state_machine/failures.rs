//! Holders that failed at a task, and their exponential backoff.

use super::{LeaseStateMachine, MAX_FAILURES_PER_TASK};
use crate::ids::SessionId;
use port_worker::fleet::frame::LeaseRef;
use serde::{Deserialize, Serialize};

/// How long after its backoff a holder's failures still count towards the next one (milliseconds).
const FAILURE_RETENTION_MS: u64 = 3_600_000;
/// The longest backoff, in doublings of the task's.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// A holder's failures in a row at one task.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct FailureRecord {
    /// How many there were.
    #[serde(rename = "times")]
    pub count: u32,
    /// The log's time until which the holder is not granted the task (milliseconds).
    #[serde(rename = "until_ms")]
    pub backoff_until_ms: u64,
}

impl LeaseStateMachine {
    /// Counts a failure, and starts a backoff that doubles each time.
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

    /// The holder has succeeded: its earlier failures at the task no longer count.
    pub(super) fn clear_failures(&mut self, lease: &LeaseRef) {
        let session = self.lease(lease).and_then(|lease| self.sessions.get(&lease.session));
        let name = session.map(|session| session.name.clone()).unwrap_or_default();
        if let Some(by_name) = self.failures.get_mut(&lease.task) {
            by_name.remove(&name);
        }
    }
}
