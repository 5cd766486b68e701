//! What a replica reports: its status, its outputs, and events.

use super::DiskJob;
use crate::ids::{DiskJobId, MemberId};
use crate::state_machine::{LogEntry, Outcome, Rejection};
use durable_log::DroppedData;

/// Whether a replica takes part in the quorum.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberStatus {
    /// Its disk is being opened and the log read from it.
    Recovering,
    /// Its disk holds no member: it is a founder, a new member, or one that has lost its disk.
    Uninitialized(Uninitialized),
    /// It takes part.
    Active,
    /// It takes no part until its disk has been opened anew.
    Suspended(SuspensionCause),
    /// Its peers accept nothing from it.
    Excluded(ExclusionCause),
}

/// A member whose disk holds no member's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Uninitialized {
    /// What the disk holds instead.
    pub cause: UninitializedCause,
    /// The log index up to which peers know that this disk had been written, where they know of one: the disk is lost,
    /// and the member must be replaced.
    pub lost_index: Option<u64>,
}

/// Why a disk holds no member's log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UninitializedCause {
    /// Nothing was ever written to it.
    #[error("the disk is empty")]
    EmptyDisk,
    /// Records are missing that no crash explains.
    #[error("the disk is damaged: {}", join(dropped))]
    DamagedDisk {
        /// What could not be recovered.
        dropped: Vec<DroppedData>,
    },
    /// Its records are not a replicated log.
    #[error("the disk can't be read: {0}")]
    UnreadableLog(String),
}

fn join(dropped: &[DroppedData]) -> String {
    dropped.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Why a member is suspended.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SuspensionCause {
    /// A call to the disk failed.
    #[error("{0}")]
    DiskFailed(String),
    /// A write has not ended in time.
    #[error("the disk is slow: a write has taken {waited_s:.1} s")]
    WriteOverdue {
        /// How long it has taken so far (seconds, to a tenth).
        waited_s: f64,
    },
    /// The disk took too long to open.
    #[error("the disk is slow: opening took {took_s:.1} s")]
    OpeningOverdue {
        /// How long it took (seconds, to a tenth).
        took_s: f64,
    },
    /// The state in the snapshot on the disk can't be decoded.
    #[error("the snapshot's facts can't be read: {0}")]
    UnreadableSnapshot(String),
    /// The consensus library rejects the log on the disk.
    #[error("the log can't be taken up: {0}")]
    RejectedLog(String),
    /// The state in a snapshot that a leader sent can't be decoded.
    #[error("a leader's snapshot can't be read: {0}")]
    UnreadableLeaderSnapshot(String),
    /// A committed command can't be decoded. It can't be skipped: other members may have applied it.
    #[error("entry {index} can't be read: {error}")]
    UnreadableEntry {
        /// The entry's index.
        index: u64,
        /// The decoder's error.
        error: String,
    },
    /// A committed change of members is of a kind that this program does not know.
    #[error("entry {index} changes members in a way not known here")]
    UnknownMemberChange {
        /// The entry's index.
        index: u64,
    },
    /// The consensus library rejects a committed change of members.
    #[error("entry {index}: {error}")]
    RejectedMemberChange {
        /// The entry's index.
        index: u64,
        /// The library's error.
        error: String,
    },
}

/// Why peers accept nothing from a member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExclusionCause {
    /// A peer has answered that it accepts nothing.
    #[error("{peer} says: {reason}")]
    ReportedByPeer {
        /// The peer's name.
        peer: String,
        /// The reason that it gave.
        reason: String,
    },
    /// The member's disk ends before what it is known to have persisted: it was restored from an older copy.
    #[error("its disk is older than it was: it ends at {last}, and held {persisted}")]
    OlderDisk {
        /// The last index of its log.
        last: u64,
        /// The index that it had persisted.
        persisted: u64,
    },
    /// Another member has taken its place.
    #[error("member {member} has been replaced")]
    Replaced {
        /// The number of the member that was replaced.
        member: MemberId,
    },
}

impl MemberStatus {
    /// The status as `fleetctl` prints it, in the words of its first version, which operators' scripts match.
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

    /// Why it takes no part; empty where there is no reason.
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
            Some(index) => write!(f, ", and the quorum knows that it held the log up to {index}"),
            None => Ok(()),
        }
    }
}

impl UninitializedCause {
    /// The cause as a key in the log.
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
    /// The cause as a key in the log.
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
    /// The cause as a key in the log.
    #[must_use]
    pub fn key(&self) -> &'static str {
        match self {
            ExclusionCause::ReportedByPeer { .. } => "reported_by_peer",
            ExclusionCause::OlderDisk { .. } => "older_disk",
            ExclusionCause::Replaced { .. } => "replaced",
        }
    }
}

/// How far a replica's log reaches (indexes of entries; 0 for none).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// The last entry.
    pub last: u64,
    /// The last entry that was applied.
    pub applied: u64,
}

/// What the caller is to carry out.
#[derive(Debug)]
pub enum ReplicaOutput {
    /// Send bytes to the member of this number.
    Send(MemberId, Vec<u8>),
    /// Carry out a job, and report its result under this number.
    Disk(DiskJobId, DiskJob),
}

/// What has happened.
#[derive(Debug)]
pub enum ReplicaEvent {
    /// This member leads, and has applied all that was decided before.
    Elected,
    /// This member leads no more.
    SteppedDown,
    /// An entry was applied, with this result.
    Applied(LogEntry, Result<Outcome, Rejection>),
    /// A quorum has confirmed that this member led after it asked under this number.
    Confirmed(u64),
}
