//! What a replica reports: its status, its outputs, and events.

use super::DiskJob;
use crate::state_machine::{LogEntry, Outcome, Rejection};

/// Whether a replica takes part.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaStatus {
    /// The disk is being opened.
    Opening,
    /// The disk holds no member, for this reason: a founder, a new member, or one that has lost its disk.
    Blank(String),
    /// It takes part.
    Member,
    /// Its disk fails, for this reason; it takes part again once the disk has been opened.
    Suspended(String),
    /// Its peers know that its disk once held more, or that it has been replaced.
    Excluded(String),
}

impl ReplicaStatus {
    /// The status as operators see it.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            ReplicaStatus::Opening => "opening",
            ReplicaStatus::Blank(_) => "blank",
            ReplicaStatus::Member => "member",
            ReplicaStatus::Suspended(_) => "aside",
            ReplicaStatus::Excluded(_) => "barred",
        }
    }

    /// Why it takes no part; empty where there is no reason.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            ReplicaStatus::Opening | ReplicaStatus::Member => "",
            ReplicaStatus::Blank(reason)
            | ReplicaStatus::Suspended(reason)
            | ReplicaStatus::Excluded(reason) => reason,
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
    Send(u64, Vec<u8>),
    /// Carry out a job, and report its result under this number.
    Disk(u64, DiskJob),
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
