//! The fleet's replicated state: a deterministic state machine that every coordinator runs over the same log.
//!
//! Commands and the log's time go in, outcomes come out. It reads no clock and draws nothing at random, so that the same
//! commands give the same state everywhere.
//!
//! Invariants: a task has one holder at a time; fencing tokens only grow; a period of a task is begun once, unless its
//! call surely had no effect or is idempotent. A command that is out of bounds or stale is rejected and changes nothing.

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

/// The largest number of sessions. Each takes about 200 bytes of a snapshot.
pub const MAX_SESSIONS: usize = 4096;
/// The largest number of indeterminate calls that are listed for operators.
pub const MAX_INDETERMINATE_CALLS: usize = 100;
/// The largest number of failure records of one task; the one whose backoff ends first is evicted first.
pub const MAX_FAILURES_PER_TASK: usize = 256;
/// The largest number of coordinators, past and present.
const MAX_MEMBERS: usize = 64;
/// The latest version whose commands this program can apply. Commands of later ones are rejected by all members alike.
pub const LATEST_VERSION: u32 = port_worker::fleet::frame::VERSION;

/// The complete replicated state. A snapshot is this as JSON; names there are fixed by `serde` attributes.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct LeaseStateMachine {
    /// The version that all coordinators can apply; 0 counts as 1.
    pub version: u32,
    /// The log's time (milliseconds): the largest of all commands so far.
    #[serde(rename = "at_ms")]
    pub log_time_ms: u64,
    /// The epoch of the coordinators' file that `tasks` came from.
    pub epoch: u64,
    /// The newest fencing token.
    pub last_token: u64,
    /// The newest session's number.
    pub last_session: SessionId,
    /// Tasks by name.
    pub tasks: BTreeMap<String, Task>,
    /// Open sessions by number.
    pub sessions: BTreeMap<SessionId, Session>,
    /// Leases by task.
    pub leases: BTreeMap<String, Lease>,
    /// The latest period of each task that has had one.
    pub periods: BTreeMap<String, Period>,
    /// Failures by task and worker's name.
    #[serde(rename = "failed")]
    pub failures: BTreeMap<String, BTreeMap<String, FailureRecord>>,
    /// The newest indeterminate calls, at most [`MAX_INDETERMINATE_CALLS`].
    #[serde(rename = "doubts")]
    pub indeterminate_calls: Vec<IndeterminateCall>,
    /// The number of indeterminate calls since the fleet began.
    #[serde(rename = "doubts_in_all")]
    pub indeterminate_calls_total: u64,
    /// By member number: the log index up to which its disk is known to have been written.
    #[serde(rename = "progress")]
    pub persisted: BTreeMap<MemberId, u64>,
    /// Coordinators' names by member number. Numbers are never reused.
    pub members: BTreeMap<MemberId, String>,
    /// The newest member's number.
    pub last_member: MemberId,
    /// Members up to this one founded the fleet.
    #[serde(rename = "founders")]
    pub last_initial_member: MemberId,
}

impl LeaseStateMachine {
    /// The state of a new fleet.
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

    /// The member number of the coordinator of this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.members.iter().find(|(_, member)| *member == name).map(|(number, _)| *number)
    }

    /// Gives the coordinator that was member `old` the number `new`, after it has lost its disk.
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
    /// Why the command changed nothing but the log's time.
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
        for progress in persisted.iter().take(MAX_MEMBERS) {
            let known = self.persisted.entry(progress.member).or_default();
            *known = (*known).max(progress.index);
        }
    }
}

#[cfg(test)]
mod tests;
