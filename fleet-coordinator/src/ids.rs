//! Identifiers within a fleet. Each kind is a separate type, so that they can't be confused. In the log, in snapshots and
//! on the wire they are plain numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies a member of the quorum: one disk of one coordinator. Starts at 1; numbers are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Stands for no member, on disk and on the wire.
    pub const NONE: MemberId = MemberId(0);

    /// Returns the next member number.
    #[must_use]
    pub fn next(self) -> MemberId {
        MemberId(self.0 + 1)
    }
}

/// Identifies a worker's session. Starts at 1; numbers are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(pub u64);

impl SessionId {
    /// Returns the next session number.
    #[must_use]
    pub fn next(self) -> SessionId {
        SessionId(self.0 + 1)
    }
}

/// Identifies a link to a coordinator. Assigned by the code that runs the [`Coordinator`](crate::coordinator::Coordinator),
/// and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies a disk job of a coordinator. Increases with each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DiskJobId(pub u64);

impl DiskJobId {
    /// Returns the next job number.
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
