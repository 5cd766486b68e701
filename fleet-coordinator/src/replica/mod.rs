//! One member of the quorum: the consensus library, the replicated log and its state machine, without I/O.
//!
//! Messages, ticks and results of the disk go in; messages, jobs for the disk, and events come out.
//!
//! Invariants: nothing is sent that depends on what the disk has not confirmed, and nothing is applied before. A write
//! that fails or is overdue suspends the member: it sends nothing to its peers until the disk has been opened anew, and
//! goes on from what the disk then holds.

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

/// The length of a tick (seconds). A leader sends a heartbeat every two; an election begins after 10 to 19 without one.
pub const TICK_S: f64 = 0.05;
/// How often a suspended member tries to open its disk (seconds).
const DISK_RETRY_S: f64 = 0.5;

/// One member of the quorum.
pub struct Replica {
    /// The replicated state as of the last applied entry.
    pub state_machine: LeaseStateMachine,
    /// Whether the member takes part.
    pub status: MemberStatus,
    /// By member number, the latest version that its program can apply.
    peer_versions: BTreeMap<MemberId, u32>,
    version: u32,
    node: Option<RawNode<RaftLog>>,
    member: MemberId,
    applied: u64,
    is_leader: bool,
    /// What waits for the disk, in order.
    pending_ready: VecDeque<PendingReady>,
    pending_jobs: VecDeque<PendingJob>,
    next_job: DiskJobId,
    /// The last job that opens the disk.
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

/// When this member began to lead.
struct TermStart {
    /// By the log's time (milliseconds).
    log_time_ms: u64,
    /// By this member's clock (seconds).
    at: f64,
}

impl Replica {
    /// A member whose disk has yet to be opened.
    ///
    /// `seed` determines its election timeouts; a write that takes longer than `write_overdue_s` (seconds) suspends it;
    /// `version` is the latest that the program claims to understand.
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

    /// Takes what is to be carried out since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<ReplicaOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes what has happened since the last call, in order.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// This member's number; 0 while it has none.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// The latest version that this program claims to understand.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Records the latest version that another member's program can apply.
    pub fn record_peer_version(&mut self, member: MemberId, version: u32) {
        self.peer_versions.insert(member, version);
    }

    /// Whether this member leads and may serve.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The member that leads, as far as this one knows.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        let leader = self.node.as_ref().map(|node| MemberId(node.raft.leader_id));
        leader.filter(|leader| *leader != MemberId::NONE)
    }

    /// The current term; 0 while this member does not take part.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.node.as_ref().map_or(0, |node| node.raft.term)
    }

    /// How far the log reaches, and has been applied.
    #[must_use]
    pub fn log_position(&self) -> LogPosition {
        let last = self.node.as_ref().map_or(0, |node| node.raft.raft_log.last_index());
        LogPosition { last, applied: self.applied }
    }

    /// Members that may vote.
    #[must_use]
    pub fn voters(&self) -> Vec<MemberId> {
        let voters = self.node.as_ref().map(|node| &node.store().members.voters);
        voters.into_iter().flatten().copied().map(MemberId).collect()
    }

    /// Peers accept nothing from this member, for this reason; see [`MemberStatus::Excluded`].
    pub fn exclude(&mut self, now: f64, cause: ExclusionCause) {
        if self.status == MemberStatus::Active {
            self.leave(now, MemberStatus::Excluded(cause));
        }
    }

    /// Takes no part until the disk has been opened anew.
    fn suspend(&mut self, now: f64, cause: SuspensionCause) {
        self.leave(now, MemberStatus::Suspended(cause));
    }

    fn leave(&mut self, now: f64, status: MemberStatus) {
        self.node = None;
        self.pending_ready.clear();
        self.disk_retry_at = now + DISK_RETRY_S;
        if std::mem::take(&mut self.is_leader) {
            self.events.push(ReplicaEvent::SteppedDown);
        }
        self.status = status;
    }
}
