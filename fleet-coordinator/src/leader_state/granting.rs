//! Granting of free tasks to waiting workers, and the backoff of holders that failed.

use super::{LeaderState, LiveSession, PROPOSAL_RETRY_S};
use crate::ids::SessionId;
use crate::state_machine::{Command, LeaseStateMachine, Outcome, Rejection, Task};
use port_worker::fleet::frame::ServerMessage;

/// A grant that was proposed and is not applied yet.
#[derive(Clone, Debug)]
pub(super) struct PendingGrant {
    proposed_at: f64,
    session: SessionId,
}

/// A worker and a task at which it failed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackoffKey {
    task: String,
    worker: String,
}

/// The time until which a worker is not granted a task at which it failed.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    /// In the log's time (milliseconds).
    log_until_ms: u64,
    /// On this leader's clock (seconds).
    until: f64,
}

/// A worker's rank for a task; the worker with the lowest rank is granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GrantRank {
    /// The position of the worker's zone in the task's preferences.
    zone_preference: usize,
    /// The number of tasks that the worker holds or is being granted. Ranked before the queue position, to spread tasks over
    /// workers.
    leases: usize,
    queue_position: u64,
    session: SessionId,
}

impl LeaderState {
    /// Converts the backoffs in the replicated state to this leader's clock. A new leader uses the time that remained at the
    /// last log entry, so a change of leader may extend a backoff by the time since that entry, but never shortens it.
    pub(super) fn update_backoffs(&mut self, now: f64, state: &LeaseStateMachine) {
        self.backoffs.retain(|key, _| {
            state.failures.get(&key.task).is_some_and(|by_name| by_name.contains_key(&key.worker))
        });
        for (task, by_name) in &state.failures {
            for (worker, failure) in by_name {
                let log_until_ms = failure.backoff_until_ms;
                let remaining_s = log_until_ms.saturating_sub(state.log_time_ms) as f64 / 1000.0;
                let key = BackoffKey { task: task.clone(), worker: worker.clone() };
                let backoff = self.backoffs.entry(key).or_insert(Backoff { log_until_ms: 0, until: now });
                if backoff.log_until_ms != log_until_ms {
                    backoff.log_until_ms = log_until_ms;
                    backoff.until = now + remaining_s;
                }
            }
        }
    }

    /// Proposes granting each free task to one of the workers that wait for it. Only that worker is notified when the grant
    /// has been applied.
    pub(super) fn grant_free_tasks(&mut self, now: f64, state: &LeaseStateMachine) {
        for (name, task) in &state.tasks {
            let pending = self.pending_grants.get(name);
            let proposed = pending.is_some_and(|grant| now - grant.proposed_at < PROPOSAL_RETRY_S);
            if state.leases.contains_key(name) || proposed {
                continue;
            }
            let candidates =
                self.sessions.iter().filter_map(|(id, live)| self.grant_rank(now, task, *id, live, state));
            if let Some(GrantRank { session, .. }) = candidates.min() {
                self.pending_grants.insert(name.clone(), PendingGrant { proposed_at: now, session });
                self.propose(Command::GrantLease { task: name.clone(), session });
            }
        }
    }

    /// Returns the session's rank for the task; `None` if it can't be granted the task now.
    fn grant_rank(
        &self,
        now: f64,
        task: &Task,
        id: SessionId,
        live: &LiveSession,
        state: &LeaseStateMachine,
    ) -> Option<GrantRank> {
        let queue_position = *live.wanted_tasks.get(&task.name)?;
        let session = state.sessions.get(&id)?;
        // Of two processes with the same name, the older one is granted leases; it hands them off when it leaves.
        let has_older_process = state.sessions.iter().any(|(other, s)| *other < id && s.name == session.name);
        let ready = live.link.is_some() && live.close_proposed_at.is_none() && now < live.expires_at;
        let key = BackoffKey { task: task.name.clone(), worker: session.name.clone() };
        let in_backoff = self.backoffs.get(&key).is_some_and(|backoff| now < backoff.until);
        if has_older_process || !ready || in_backoff {
            return None;
        }
        let zone_preference =
            task.zones.iter().position(|zone| *zone == session.zone).unwrap_or(task.zones.len());
        let leases = state.leases.values().filter(|lease| lease.session == id).count();
        let pending = self.pending_grants.values().filter(|grant| grant.session == id).count();
        Some(GrantRank { zone_preference, leases: leases + pending, queue_position, session: id })
    }

    pub(super) fn on_lease_granted(
        &mut self,
        now: f64,
        result: &Result<Outcome, Rejection>,
        state: &LeaseStateMachine,
    ) {
        let Ok(Outcome::Granted(lease)) = result else { return };
        let ttl_ms = state.lease(lease).map_or(0, |granted| granted.ttl_ms);
        self.lease_clock.record_grant(now, lease.token, ttl_ms);
        if let Some(link) = self.link_of_holder(lease, state) {
            self.send(link, ServerMessage::LeaseGranted { lease: lease.clone() });
        }
    }
}
