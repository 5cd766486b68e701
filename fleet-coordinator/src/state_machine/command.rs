//! What stands in the replicated log, and what applying it returns.

use crate::ids::{MemberId, SessionId};
use port_worker::fleet::frame::{CallOutcome, LeaseRef, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

/// How a task's lease is granted.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The task's name; unique in the fleet.
    pub name: String,
    /// How long a renewal is valid (milliseconds).
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Zones whose workers are preferred, in order of preference.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The backoff of a holder that failed at the task (milliseconds); doubled for each failure in a row.
    #[serde(rename = "pause_ms", default = "default_backoff_ms")]
    pub backoff_ms: u64,
}

fn default_ttl_ms() -> u64 {
    3000
}

fn default_backoff_ms() -> u64 {
    2000
}

/// A change of the replicated state. Names in the log are fixed: they are given by `serde` attributes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Opens a worker's session.
    #[serde(rename = "open")]
    OpenSession {
        /// The worker's name.
        name: String,
        /// The worker's zone.
        zone: String,
        /// Distinguishes processes of the same name.
        #[serde(rename = "process")]
        incarnation: u64,
        /// The latest protocol version that the worker understands.
        version: u32,
    },
    /// Ends a session that holds no lease: the worker left, or sent nothing for the session's TTL.
    #[serde(rename = "close")]
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Grants a free task's lease.
    #[serde(rename = "grant")]
    GrantLease {
        /// The task.
        task: String,
        /// The new holder.
        session: SessionId,
    },
    /// Ends a lease, so that the task can be granted again.
    #[serde(rename = "free")]
    ReleaseLease {
        /// The lease.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Why it ends.
        #[serde(rename = "why")]
        reason: ReleaseReason,
    },
    /// Ends a lease and grants the task to another session in one step.
    #[serde(rename = "transfer")]
    TransferLease {
        /// The lease that ends.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The new holder.
        session: SessionId,
    },
    /// Begins the task's next period, or its current one again where its call may be repeated.
    #[serde(rename = "begin")]
    BeginPeriod {
        /// The lease under which the call is made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The length of a period (milliseconds).
        every_ms: u64,
        /// The call may be repeated without harm.
        #[serde(rename = "safe")]
        idempotent: bool,
        /// The holder's number for this request; a repeated request has the same.
        attempt: u64,
    },
    /// Records how the call of a period ended.
    #[serde(rename = "end")]
    EndPeriod {
        /// The lease under which the call was made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The period's number.
        period: u64,
        /// How the call ended.
        #[serde(rename = "ending")]
        outcome: CallOutcome,
    },
    /// Replaces the list of tasks by that of the coordinators' file.
    #[serde(rename = "tasks")]
    SetTasks {
        /// The file's epoch; ignored unless higher than the current one.
        epoch: u64,
        /// The tasks.
        tasks: Vec<Task>,
    },
    /// Records up to which index each coordinator's log is known to be persisted.
    #[serde(rename = "progress")]
    RecordProgress {
        /// What is known of each member.
        #[serde(rename = "kept")]
        persisted: Vec<MemberProgress>,
    },
    /// All coordinators can apply commands of this version.
    #[serde(rename = "raise")]
    RaiseVersion {
        /// The version.
        version: u32,
    },
    /// A command of a later version, which this program can't apply.
    #[serde(other)]
    Unknown,
}

/// Up to where a member's log is known to be persisted. In the log it is a pair of numbers.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct MemberProgress {
    /// The member.
    pub member: MemberId,
    /// The index of the last persisted entry.
    pub index: u64,
}

impl From<(u64, u64)> for MemberProgress {
    fn from((member, index): (u64, u64)) -> MemberProgress {
        MemberProgress { member: MemberId(member), index }
    }
}

impl From<MemberProgress> for (u64, u64) {
    fn from(progress: MemberProgress) -> (u64, u64) {
        (progress.member.0, progress.index)
    }
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseReason {
    /// Its holder did not renew it in time.
    #[serde(rename = "lapsed")]
    Expired,
    /// Its holder released it.
    #[serde(rename = "given-back")]
    Returned,
    /// Its holder released it because it failed at the task.
    Failed,
}

/// A command with the log's time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LogEntry {
    /// The log's time when the leader proposed the command (milliseconds); it never decreases.
    pub at_ms: u64,
    /// The command.
    #[serde(flatten)]
    pub command: Command,
}

/// What a command that was applied returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session of this number is open.
    Opened(SessionId),
    /// The lease was granted.
    Granted(LeaseRef),
    /// The period of this number has begun.
    Begun(u64),
    /// The command has no result.
    Done,
}

/// Why a command changed nothing but the log's time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The command's version is not agreed on.
    #[error("not understood by all coordinators yet")]
    UnsupportedVersion,
    /// Not a valid name.
    #[error("{0} is not a name: letters, digits, - _ . and at most {MAX_NAME_BYTES} of them")]
    InvalidName(String),
    /// The number of sessions is at its limit.
    #[error("{0} sessions are open; no more are taken")]
    TooManySessions(usize),
    /// The session is not open.
    #[error("there is no such session")]
    UnknownSession,
    /// The task is not configured.
    #[error("there is no such task")]
    UnknownTask,
    /// The lease or period is not that of the one who names it.
    #[error("the lease is not this holder's")]
    NotHeld,
    /// The task's lease is held.
    #[error("somebody holds it")]
    AlreadyHeld,
    /// The next period begins later (milliseconds).
    #[error("the next period begins in {0} ms")]
    NotDue(u64),
    /// The session can't be closed while it holds leases.
    #[error("the session still holds leases")]
    StillHoldsLeases,
    /// The epoch is not higher than the current one.
    #[error("epoch {0} has been taken up already")]
    StaleEpoch(u64),
}
