//! A replica's status, outputs and events.

use super::DiskJob;
use crate::ids::{DiskJobId, MemberId};
use crate::state_machine::{LogEntry, Outcome, Rejection};
use durable_log::DroppedData;

/// Whether a replica participates in the quorum.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberStatus {
    /// Its disk is being opened and its log recovered.
    Recovering,
    /// Its disk holds no member's log: it is an initial member, a new member, or one that has lost its disk.
    Uninitialized(Uninitialized),
    /// It participates.
    Active,
    /// It does not participate until its disk has been reopened.
    Suspended(SuspensionCause),
    /// Its peers accept no messages from it.
    Excluded(ExclusionCause),
}

/// A member whose disk holds no member's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Uninitialized {
    /// Why the disk holds no member's log.
    pub cause: UninitializedCause,
    /// The log index up to which this member had persisted according to its peers; `None` if no peer has reported one. An
    /// index means that the disk is lost and the member must be replaced.
    pub lost_index: Option<u64>,
}

/// Why a disk holds no member's log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UninitializedCause {
    /// Nothing was ever written to it.
    #[error("the disk is empty")]
    EmptyDisk,
    /// Data is missing that a crash can't explain.
    #[error("the disk is damaged: {}", join(dropped))]
    DamagedDisk {
        /// The data that could not be recovered.
        dropped: Vec<DroppedData>,
    },
    /// Its records are not a replicated log.
    #[error("the disk holds no valid log: {0}")]
    UnreadableLog(String),
}

fn join(dropped: &[DroppedData]) -> String {
    dropped.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Why a member is suspended.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SuspensionCause {
    /// A disk operation failed.
    #[error("{0}")]
    DiskFailed(String),
    /// A write has not finished within `write_overdue_ms` of the configuration file.
    #[error("the disk is slow: a write has taken {waited_s:.1} s")]
    WriteOverdue {
        /// How long it has taken so far (seconds, rounded to tenths).
        waited_s: f64,
    },
    /// Opening the disk took longer than `write_overdue_ms` of the configuration file.
    #[error("the disk is slow: opening took {took_s:.1} s")]
    OpeningOverdue {
        /// How long it took (seconds, rounded to tenths).
        took_s: f64,
    },
    /// The state in the snapshot on the disk can't be decoded.
    #[error("can't decode the snapshot's state: {0}")]
    UnreadableSnapshot(String),
    /// The Raft library rejected the log on the disk.
    #[error("the Raft library rejected the log on the disk: {0}")]
    RejectedLog(String),
    /// The state in a leader's snapshot can't be decoded.
    #[error("can't decode the leader's snapshot: {0}")]
    UnreadableLeaderSnapshot(String),
    /// A committed command can't be decoded. It must not be skipped, since other members may have applied it.
    #[error("can't decode entry {index}: {error}")]
    UnreadableEntry {
        /// The entry's index.
        index: u64,
        /// The decoder's error.
        error: String,
    },
    /// A committed membership change is of an unknown kind.
    #[error("entry {index} is an unknown kind of membership change")]
    UnknownMemberChange {
        /// The entry's index.
        index: u64,
    },
    /// The Raft library rejected a committed membership change.
    #[error("the Raft library rejected the membership change in entry {index}: {error}")]
    RejectedMemberChange {
        /// The entry's index.
        index: u64,
        /// The library's error.
        error: String,
    },
}

/// Why peers accept no messages from a member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExclusionCause {
    /// A peer has answered that it accepts no messages from the member.
    #[error("{peer} says: {reason}")]
    ReportedByPeer {
        /// The peer's name.
        peer: String,
        /// The reason in its answer.
        reason: String,
    },
    /// The member's log ends before the index that it is known to have persisted: its disk was restored from an older copy.
    #[error("its disk is older than it was: the log ends at entry {last}, but entries up to {persisted} had been persisted")]
    OlderDisk {
        /// The last index of its log.
        last: u64,
        /// The index up to which it had persisted.
        persisted: u64,
    },
    /// The member has been replaced by another one.
    #[error("member {member} has been replaced")]
    Replaced {
        /// The number of the member that was replaced.
        member: MemberId,
    },
}

impl MemberStatus {
    /// Returns the status as `fleetctl` prints it. The labels date from its first version, and operators' scripts match
    /// them.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            MemberStatus::Recovering => "opening",
            MemberStatus::Uninitialized(_) => "blank",
            MemberStatus::Active => "member",
            MemberStatus::Suspended(_) => "aside",
            MemberStatus::Excluded(_) => "barred",
        }
    }

    /// Returns why the member does not participate; empty if it participates or is recovering.
    #[must_use]
    pub fn reason(&self) -> String {
        match self {
            MemberStatus::Recovering | MemberStatus::Active => String::new(),
            MemberStatus::Uninitialized(uninitialized) => uninitialized.to_string(),
            MemberStatus::Suspended(cause) => cause.to_string(),
            MemberStatus::Excluded(cause) => cause.to_string(),
        }
    }
}

impl std::fmt::Display for Uninitialized {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.cause)?;
        match self.lost_index {
            Some(index) => write!(f, ", but the quorum recorded that it held the log up to {index}"),
            None => Ok(()),
        }
    }
}

impl UninitializedCause {
    /// Returns the cause's key in log events.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            UninitializedCause::EmptyDisk => "empty_disk",
            UninitializedCause::DamagedDisk { .. } => "damaged_disk",
            UninitializedCause::UnreadableLog(_) => "unreadable_log",
        }
    }
}

impl SuspensionCause {
    /// Returns the cause's key in log events.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            SuspensionCause::DiskFailed(_) => "disk_failed",
            SuspensionCause::WriteOverdue { .. } => "write_overdue",
            SuspensionCause::OpeningOverdue { .. } => "opening_overdue",
            SuspensionCause::UnreadableSnapshot(_) => "unreadable_snapshot",
            SuspensionCause::RejectedLog(_) => "rejected_log",
            SuspensionCause::UnreadableLeaderSnapshot(_) => "unreadable_leader_snapshot",
            SuspensionCause::UnreadableEntry { .. } => "unreadable_entry",
            SuspensionCause::UnknownMemberChange { .. } => "unknown_member_change",
            SuspensionCause::RejectedMemberChange { .. } => "rejected_member_change",
        }
    }
}

impl ExclusionCause {
    /// Returns the cause's key in log events.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            ExclusionCause::ReportedByPeer { .. } => "reported_by_peer",
            ExclusionCause::OlderDisk { .. } => "older_disk",
            ExclusionCause::Replaced { .. } => "replaced",
        }
    }
}

/// The extent of a replica's log (entry indexes; 0 for none).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// The last entry.
    pub last: u64,
    /// The last entry that was applied.
    pub applied: u64,
}

/// An action that the caller must execute.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Send a message to the member with this number.
    Send(MemberId, Vec<u8>),
    /// Execute a disk job, and report its result under this number.
    Disk(DiskJobId, DiskJob),
}

/// An event of a replica.
#[derive(Debug)]
pub enum ReplicaEvent {
    /// This member is the leader, and has applied all entries of earlier terms.
    Elected,
    /// This member is no longer the leader.
    SteppedDown,
    /// An entry was applied, with this result.
    Applied(LogEntry, Result<Outcome, Rejection>),
    /// A quorum has confirmed that this member was the leader after the request with this number.
    Confirmed(u64),
}
