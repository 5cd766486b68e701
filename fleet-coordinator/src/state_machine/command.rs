//! The replicated log's entries, and the results of applying them.

use crate::ids::{MemberId, SessionId};
use port_worker::fleet::frame::{CallOutcome, LeaseRef, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

/// A task and how its lease is granted.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The task's name; unique in the fleet.
    pub name: String,
    /// How long a grant or renewal of the lease is valid (milliseconds).
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
    /// Zones whose workers are preferred, in order of preference.
    #[serde(default)]
    pub zones: Vec<String>,
    /// How long a holder that failed at the task is not granted it again (milliseconds); doubled with each consecutive
    /// failure, at most `MAX_BACKOFF_DOUBLINGS` times.
    #[serde(rename = "pause_ms", default = "default_backoff_ms")]
    pub backoff_ms: u64,
}

fn default_ttl_ms() -> u64 {
    3000
}

fn default_backoff_ms() -> u64 {
    2000
}

/// A change of the replicated state. The names in the log are fixed by `serde` attributes.
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
        /// Distinguishes processes with the same worker name.
        #[serde(rename = "process")]
        incarnation: u64,
        /// The latest protocol version that the worker supports.
        version: u32,
    },
    /// Closes a session that holds no lease: the worker left, or sent nothing for the session's TTL.
    #[serde(rename = "close")]
    CloseSession {
        /// The session.
        session: SessionId,
    },
    /// Grants the lease of a task that has no holder.
    #[serde(rename = "grant")]
    GrantLease {
        /// The task.
        task: String,
        /// The new holder.
        session: SessionId,
    },
    /// Releases a lease, so that the task can be granted again.
    #[serde(rename = "free")]
    ReleaseLease {
        /// The lease.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// Why it is released.
        #[serde(rename = "why")]
        reason: ReleaseReason,
    },
    /// Atomically releases a lease and grants the task to another session.
    #[serde(rename = "transfer")]
    TransferLease {
        /// The lease to release.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The new holder.
        session: SessionId,
    },
    /// Begins the task's next period, or repeats the current one if its call may be repeated.
    #[serde(rename = "begin")]
    BeginPeriod {
        /// The lease under which the call is made.
        #[serde(rename = "held")]
        lease: LeaseRef,
        /// The length of a period (milliseconds).
        every_ms: u64,
        /// Whether the call is idempotent.
        #[serde(rename = "safe")]
        idempotent: bool,
        /// The holder's number for this request; a retry has the same number.
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
    /// Replaces the list of tasks with that of the configuration file.
    #[serde(rename = "tasks")]
    SetTasks {
        /// The file's epoch; the command is rejected unless it is higher than the current epoch.
        epoch: u64,
        /// The tasks.
        tasks: Vec<Task>,
    },
    /// Records up to which index each coordinator is known to have persisted the log.
    #[serde(rename = "progress")]
    RecordProgress {
        /// The known progress of each member.
        #[serde(rename = "kept")]
        persisted: Vec<MemberProgress>,
    },
    /// Records that all coordinators can apply commands of this protocol version.
    #[serde(rename = "raise")]
    RaiseVersion {
        /// The version.
        version: u32,
    },
    /// A command of a later version, which this program can't apply.
    #[serde(other)]
    Unknown,
}

/// Up to which index a member is known to have persisted the log. Encoded in the log as a pair of numbers.
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

/// Why a lease was released.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseReason {
    /// The holder did not renew it in time.
    #[serde(rename = "lapsed")]
    Expired,
    /// The holder returned it.
    #[serde(rename = "given-back")]
    Returned,
    /// The holder returned it because it failed at the task.
    Failed,
}

/// A command with the log's time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LogEntry {
    /// The log's time when the leader proposed the command (milliseconds); never decreases.
    pub at_ms: u64,
    /// The command.
    #[serde(flatten)]
    pub command: Command,
}

/// The result of a command that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session with this number is open.
    Opened(SessionId),
    /// The lease was granted.
    Granted(LeaseRef),
    /// The period with this number has begun.
    Begun(u64),
    /// The command has no result.
    Done,
}

/// Why a command changed nothing but the log's time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Not all coordinators can apply the command's version yet.
    #[error("command not supported by all coordinators yet")]
    UnsupportedVersion,
    /// The name is not valid.
    #[error("invalid name {0:?}; expected 1 to {MAX_NAME_BYTES} ASCII letters, digits, - _ or .")]
    InvalidName(String),
    /// The session limit is reached.
    #[error("session limit reached: {0} sessions are open")]
    TooManySessions(usize),
    /// The session is not open.
    #[error("session not found")]
    UnknownSession,
    /// The list of tasks has no task with this name.
    #[error("task not found")]
    UnknownTask,
    /// The sender does not hold the lease, or has not begun the period, or has already reported its outcome.
    #[error("the sender does not hold the lease")]
    NotHeld,
    /// The task's lease is already held.
    #[error("the task's lease is already held")]
    AlreadyHeld,
    /// The next period begins after this time (milliseconds).
    #[error("the next period begins in {0} ms")]
    NotDue(u64),
    /// A session can't be closed while it holds leases.
    #[error("the session still holds leases")]
    StillHoldsLeases,
    /// The epoch is not higher than the current one.
    #[error("epoch {0} is not higher than the current epoch")]
    StaleEpoch(u64),
}
