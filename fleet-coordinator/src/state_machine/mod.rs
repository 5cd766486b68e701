//! The fleet's replicated state: a deterministic state machine that every coordinator runs over the same log.
//!
//! It takes commands with the log's time and returns outcomes. It reads no clock and uses no randomness, so the same
//! commands produce the same state on every coordinator.
//!
//! Invariants: a task has at most one holder; fencing tokens only increase; a period of a task is begun only once, unless
//! its call is known to have had no effect or is idempotent. An out-of-bounds or stale command is rejected and changes
//! nothing but the log's time.

mod command;
mod failures;
mod leases;
mod periods;
mod sessions;

pub use command::{Command, LogEntry, MemberProgress, Outcome, Rejection, ReleaseReason, Task};
pub use failures::FailureRecord;
pub use leases::Lease;
pub use periods::{IndeterminateCall, Period};
pub use sessions::Session;

use crate::ids::{MemberId, SessionId};
use periods::PeriodRequest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The maximum number of sessions. Each takes about 200 bytes in a snapshot.
pub const MAX_SESSIONS: usize = 4096;
/// The maximum number of indeterminate calls kept for operators.
pub const MAX_INDETERMINATE_CALLS: usize = 100;
/// The maximum number of failure records per task; the record whose backoff ends first is evicted.
pub const MAX_FAILURES_PER_TASK: usize = 256;
/// The maximum number of members whose progress one command records; the rest is ignored.
const MAX_PROGRESS_RECORDS: usize = 64;
/// The latest protocol version whose commands this program can apply. All members reject commands of later
/// versions, so that their states stay equal.
pub const LATEST_VERSION: u32 = port_worker::fleet::frame::VERSION;

/// The complete replicated state. A snapshot is its JSON form, with key names fixed by `serde` attributes.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LeaseStateMachine {
    /// The latest protocol version whose commands all coordinators can apply; 0, the value of an absent key, counts as 1.
    pub version: u32,
    /// The log's time (milliseconds): the maximum over all commands so far.
    #[serde(rename = "at_ms")]
    pub log_time_ms: u64,
    /// The epoch of the configuration file that `tasks` came from.
    pub epoch: u64,
    /// The last fencing token issued.
    pub last_token: u64,
    /// The last session number assigned.
    pub last_session: SessionId,
    /// Tasks by name.
    pub tasks: BTreeMap<String, Task>,
    /// Open sessions by number.
    pub sessions: BTreeMap<SessionId, Session>,
    /// Leases by task.
    pub leases: BTreeMap<String, Lease>,
    /// The latest period of each task that has begun one.
    pub periods: BTreeMap<String, Period>,
    /// Failures by task and worker name.
    #[serde(rename = "failed")]
    pub failures: BTreeMap<String, BTreeMap<String, FailureRecord>>,
    /// The most recent indeterminate calls, at most [`MAX_INDETERMINATE_CALLS`].
    #[serde(rename = "doubts")]
    pub indeterminate_calls: Vec<IndeterminateCall>,
    /// The number of indeterminate calls since the fleet was bootstrapped.
    #[serde(rename = "doubts_in_all")]
    pub indeterminate_calls_total: u64,
    /// By member number: the log index up to which the member is known to have persisted.
    #[serde(rename = "progress")]
    pub persisted: BTreeMap<MemberId, u64>,
    /// Coordinator names by member number. Numbers are never reused.
    pub members: BTreeMap<MemberId, String>,
    /// The last member number assigned.
    pub last_member: MemberId,
    /// The last member number assigned at the fleet's bootstrap.
    #[serde(rename = "founders")]
    pub last_initial_member: MemberId,
}

impl LeaseStateMachine {
    /// Returns the state of a new fleet.
    #[must_use]
    pub fn bootstrap(coordinators: &[String]) -> LeaseStateMachine {
        let members = (1..).map(MemberId).zip(coordinators.iter().cloned()).collect();
        let last_initial_member = MemberId(coordinators.len() as u64);
        LeaseStateMachine {
            version: 1,
            members,
            last_member: last_initial_member,
            last_initial_member,
            ..LeaseStateMachine::default()
        }
    }

    /// Returns the member number of the coordinator with this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.members.iter().find(|(_, member)| *member == name).map(|(number, _)| *number)
    }

    /// Assigns member number `new` to the coordinator that was member `old`, after it lost its disk.
    pub fn replace_member(&mut self, old: MemberId, new: MemberId) {
        if let Some(name) = self.members.remove(&old) {
            self.members.insert(new, name);
            self.last_member = self.last_member.max(new);
            self.persisted.remove(&old);
        }
    }

    /// Applies one command.
    ///
    /// # Errors
    /// The reason why the command changed nothing but the log's time.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<Outcome, Rejection> {
        self.log_time_ms = self.log_time_ms.max(entry.at_ms);
        match &entry.command {
            Command::OpenSession { name, zone, incarnation, version } => {
                self.open_session(name, zone, *incarnation, *version)
            }
            Command::CloseSession { session } => self.close_session(*session),
            Command::GrantLease { task, session } => self.grant_lease(task, *session),
            Command::ReleaseLease { lease, reason } => self.release_lease(lease, *reason),
            Command::TransferLease { lease, session } => self.transfer_lease(lease, *session),
            Command::BeginPeriod { lease, every_ms, idempotent, attempt } => {
                self.begin_period(&PeriodRequest {
                    lease,
                    every_ms: *every_ms,
                    idempotent: *idempotent,
                    attempt: *attempt,
                })
            }
            Command::EndPeriod { lease, period, outcome } => self.end_period(lease, *period, *outcome),
            Command::SetTasks { epoch, tasks } => self.set_tasks(*epoch, tasks),
            Command::RecordProgress { persisted } => {
                self.record_progress(persisted);
                Ok(Outcome::Done)
            }
            Command::RaiseVersion { version } => {
                self.version = self.version.max(*version);
                Ok(Outcome::Done)
            }
            Command::Unknown => Err(Rejection::UnsupportedVersion),
        }
    }

    fn record_progress(&mut self, persisted: &[MemberProgress]) {
        for progress in persisted.iter().take(MAX_PROGRESS_RECORDS) {
            let known = self.persisted.entry(progress.member).or_default();
            *known = (*known).max(progress.index);
        }
    }
}

#[cfg(test)]
mod tests;
