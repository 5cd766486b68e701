//! One member of the quorum: the Raft library, the replicated log and its state machine, without I/O.
//!
//! Its inputs are messages, ticks and disk results; its outputs are messages, disk jobs and events.
//!
//! Invariants: the member sends and applies nothing that depends on data that the disk has not confirmed. A write that fails
//! or is overdue suspends the member: it sends nothing to its peers until the disk has been reopened, and then continues
//! from what the disk holds.

mod disk;
mod election;
mod membership;
mod proposals;
mod raft_log;
mod ready;
pub mod recovered_log;
pub mod scan;
mod startup;
mod status;

pub use disk::{execute_job, DiskJob, DiskResult};
pub use membership::ReplaceError;
pub use proposals::StepError;
pub use status::{
    ExclusionCause, LogPosition, MemberStatus, ReplicaEvent, ReplicaOutput, SuspensionCause, Uninitialized,
    UninitializedCause,
};

use crate::ids::{DiskJobId, MemberId};
use crate::state_machine::{LeaseStateMachine, LATEST_VERSION};
use disk::PendingJob;
use election::ElectionTimeout;
use raft::RawNode;
use raft_log::RaftLog;
use ready::PendingReady;
use std::collections::{BTreeMap, VecDeque};

/// The length of a tick (seconds). A leader sends a heartbeat every 2 ticks; an election starts after 10 to 19 ticks
/// without one.
pub const TICK_S: f64 = 0.05;
/// How often a suspended member tries to reopen its disk (seconds).
const DISK_RETRY_S: f64 = 0.5;

/// One member of the quorum.
pub struct Replica {
    /// The replicated state as of the last applied entry.
    pub state_machine: LeaseStateMachine,
    /// Whether the member participates in the quorum.
    pub status: MemberStatus,
    /// The latest version that each member's program can apply, by member number.
    peer_versions: BTreeMap<MemberId, u32>,
    version: u32,
    node: Option<RawNode<RaftLog>>,
    member: MemberId,
    applied: u64,
    is_leader: bool,
    /// Output of the Raft library that waits for the disk, in order.
    pending_ready: VecDeque<PendingReady>,
    pending_jobs: VecDeque<PendingJob>,
    next_job: DiskJobId,
    /// The latest job that opens the disk.
    opening_job: DiskJobId,
    write_overdue_s: f64,
    disk_retry_at: f64,
    ticked_at: f64,
    term_start: TermStart,
    progress_recorded_at: f64,
    election_timeout: Option<ElectionTimeout>,
    random_state: u64,
    outputs: Vec<ReplicaOutput>,
    events: Vec<ReplicaEvent>,
}

/// When this member became the leader.
struct TermStart {
    /// In the log's time (milliseconds).
    log_time_ms: u64,
    /// On this member's clock (seconds).
    at: f64,
}

impl Replica {
    /// Returns a member that starts by opening its disk.
    ///
    /// `seed` determines its election timeouts. A write that takes longer than `write_overdue_s` (seconds) suspends it.
    /// `version` is the latest protocol version that it reports as supported.
    #[must_use]
    pub fn new(now: f64, seed: u64, write_overdue_s: f64, version: u32) -> Replica {
        let mut replica = Replica {
            state_machine: LeaseStateMachine::default(),
            status: MemberStatus::Recovering,
            peer_versions: BTreeMap::new(),
            version: version.min(LATEST_VERSION),
            node: None,
            member: MemberId::NONE,
            applied: 0,
            is_leader: false,
            pending_ready: VecDeque::new(),
            pending_jobs: VecDeque::new(),
            next_job: DiskJobId(1),
            opening_job: DiskJobId(1),
            write_overdue_s,
            disk_retry_at: now,
            ticked_at: now,
            term_start: TermStart { log_time_ms: 0, at: now },
            progress_recorded_at: now,
            election_timeout: None,
            random_state: seed | 1,
            outputs: Vec::new(),
            events: Vec::new(),
        };
        replica.start_job(now, DiskJob::Open);
        replica
    }

    /// Returns the outputs since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<ReplicaOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns this member's number; 0 if it has none yet.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// Returns the latest version that this member reports as supported.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Records the latest version that another member's program can apply.
    pub fn record_peer_version(&mut self, member: MemberId, version: u32) {
        self.peer_versions.insert(member, version);
    }

    /// Returns whether this member is the leader and has applied all entries of earlier terms.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the leader, if known to this member.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        let leader = self.node.as_ref().map(|node| MemberId(node.raft.leader_id));
        leader.filter(|leader| *leader != MemberId::NONE)
    }

    /// Returns the current term; 0 while this member does not participate.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.node.as_ref().map_or(0, |node| node.raft.term)
    }

    /// Returns the indexes of the log's last entry and of the last applied entry.
    #[must_use]
    pub fn log_position(&self) -> LogPosition {
        let last = self.node.as_ref().map_or(0, |node| node.raft.raft_log.last_index());
        LogPosition { last, applied: self.applied }
    }

    /// Returns the voting members.
    #[must_use]
    pub fn voters(&self) -> Vec<MemberId> {
        let voters = self.node.as_ref().map(|node| &node.store().members.voters);
        voters.into_iter().flatten().copied().map(MemberId).collect()
    }

    /// Stops participating, since peers accept no messages from this member; see [`MemberStatus::Excluded`].
    pub fn exclude(&mut self, now: f64, cause: ExclusionCause) {
        if self.status == MemberStatus::Active {
            self.stop_participating(now, MemberStatus::Excluded(cause));
        }
    }

    /// Stops participating until the disk has been reopened.
    fn suspend(&mut self, now: f64, cause: SuspensionCause) {
        self.stop_participating(now, MemberStatus::Suspended(cause));
    }

    fn stop_participating(&mut self, now: f64, status: MemberStatus) {
        self.node = None;
        self.pending_ready.clear();
        self.disk_retry_at = now + DISK_RETRY_S;
        if std::mem::take(&mut self.is_leader) {
            self.events.push(ReplicaEvent::SteppedDown);
        }
        self.status = status;
    }
}
