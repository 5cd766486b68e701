//! Numbers that identify what belongs to a fleet, each kind with a type of its own, so that none is taken for another. In
//! the log, in snapshots and on the wire they are plain numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A member of the quorum: one disk of one coordinator. Numbers begin at 1 and are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl MemberId {
    /// No member, as the disk and the wire write it.
    pub const NONE: MemberId = MemberId(0);

    /// The member of the next number.
    #[must_use]
    pub fn next(self) -> MemberId {
        MemberId(self.0 + 1)
    }
}

/// A worker's session. Numbers begin at 1 and are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub u64);

impl SessionId {
    /// The session of the next number.
    #[must_use]
    pub fn next(self) -> SessionId {
        SessionId(self.0 + 1)
    }
}

/// A link to a coordinator. Numbers are given by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A job for a coordinator's disk. Numbers grow with each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DiskJobId(pub u64);

impl DiskJobId {
    /// The job of the next number.
    #[must_use]
    pub fn next(self) -> DiskJobId {
        DiskJobId(self.0 + 1)
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
