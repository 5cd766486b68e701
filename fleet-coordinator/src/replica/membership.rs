//! The leader's maintenance of the quorum: recording progress, raising the common version, and changing members.

use super::raft_log::RaftLog;
use super::Replica;
use crate::ids::MemberId;
use crate::state_machine::{Command, MemberProgress};
use raft::eraftpb::{ConfChange, ConfChangeType};
use raft::RawNode;

/// How often members' progress is recorded in the log (seconds). The record is used to detect a disk that was restored
/// from an older copy.
const PROGRESS_INTERVAL_S: f64 = 10.0;
/// How soon progress is recorded for a member that has no record yet (seconds).
const FIRST_PROGRESS_INTERVAL_S: f64 = 1.0;
/// A learner that lags by at most this many entries is promoted to a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 16;

/// Why a coordinator can't be replaced now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceError {
    /// No member has this name.
    #[error("unknown coordinator {0}; expected the name of a member")]
    UnknownCoordinator(String),
    /// The coordinator with this name is the leader, so it has not lost its disk.
    #[error("{0} is the leader, which can't be replaced")]
    IsLeader(String),
    /// The Raft library changes one member at a time.
    #[error("another membership change is in progress")]
    ChangePending,
}

/// The state of the quorum and the changes that it needs.
struct QuorumReview {
    progress: ProgressReview,
    /// The version that all voters can apply.
    common_version: u32,
    /// A member that is not in the Raft configuration yet.
    joining: Option<MemberId>,
    /// A learner that can be promoted to a voter.
    caught_up_learner: Option<MemberId>,
}

/// Members' progress that is not recorded in the log yet.
struct ProgressReview {
    unrecorded: Vec<MemberProgress>,
    /// Whether to record it now.
    due: bool,
}

impl Replica {
    pub(super) fn maintain_quorum(&mut self, now: f64) {
        if !self.is_leader {
            return;
        }
        let Some(review) = self.review_quorum(now) else { return };
        if review.progress.due {
            self.progress_recorded_at = now;
            self.propose(now, Command::RecordProgress { persisted: review.progress.unrecorded });
        }
        if review.common_version > self.state_machine.version {
            self.propose(now, Command::RaiseVersion { version: review.common_version });
        }
        if let Some(member) = review.joining {
            self.change_members(ConfChangeType::AddLearnerNode, member, None);
        } else if let Some(member) = review.caught_up_learner {
            self.change_members(ConfChangeType::AddNode, member, None);
        }
        self.process_ready(now);
    }

    fn review_quorum(&self, now: f64) -> Option<QuorumReview> {
        let node = self.node.as_ref()?;
        let voters = &node.store().members.voters;
        let learners = &node.store().members.learners;
        let last = node.raft.raft_log.last_index();
        let caught_up_learner = learners.iter().copied().find(|id| {
            let progress = node.raft.prs().get(*id);
            progress.is_some_and(|p| p.recent_active && p.matched + MAX_LEARNER_LAG_ENTRIES >= last)
        });
        let mut members = self.state_machine.members.keys().copied();
        let joining = members.find(|id| !voters.contains(&id.0) && !learners.contains(&id.0));
        let versions = voters.iter().map(|id| match MemberId(*id) {
            id if id == self.member => self.version,
            id => self.peer_versions.get(&id).copied().unwrap_or(0),
        });
        let common_version = versions.min().unwrap_or(0);
        let progress = self.review_progress(now, node);
        let caught_up_learner = caught_up_learner.map(MemberId);
        Some(QuorumReview { progress, common_version, joining, caught_up_learner })
    }

    fn review_progress(&self, now: f64, node: &RawNode<RaftLog>) -> ProgressReview {
        let recorded = |member: MemberId| self.state_machine.persisted.get(&member).copied().unwrap_or(0);
        let commit = node.raft.raft_log.committed;
        let mut unrecorded = Vec::new();
        let mut first_record = false;
        for (id, progress) in node.raft.prs().iter() {
            let member = MemberId(*id);
            // Committed entries are never truncated; a new leader may truncate later ones.
            let index = progress.matched.min(commit);
            first_record |= recorded(member) == 0 && index > 1;
            if index > recorded(member) {
                unrecorded.push(MemberProgress { member, index });
            }
        }
        // The entry that records progress advances each member by one entry itself; that alone requires no new record.
        let moved = unrecorded.iter().any(|progress| progress.index > recorded(progress.member) + 1);
        let since_s = now - self.progress_recorded_at;
        let due =
            first_record && since_s > FIRST_PROGRESS_INTERVAL_S || moved && since_s > PROGRESS_INTERVAL_S;
        ProgressReview { unrecorded, due }
    }

    /// Proposes a membership change; returns whether it was accepted, which it is not while another is in progress.
    /// `replacement` is the member that replaces a removed one.
    fn change_members(
        &mut self,
        kind: ConfChangeType,
        member: MemberId,
        replacement: Option<MemberId>,
    ) -> bool {
        let Some(node) = &mut self.node else { return false };
        let mut change = ConfChange { node_id: member.0, ..ConfChange::default() };
        change.set_change_type(kind);
        change.context = replacement.unwrap_or(MemberId::NONE).0.to_le_bytes().to_vec().into();
        !node.raft.has_pending_conf() && node.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Replaces the member of a coordinator that has lost its disk with a new one. Returns the new member's number.
    ///
    /// # Errors
    /// The reason why it can't be replaced now.
    pub fn replace(&mut self, now: f64, name: &str) -> Result<MemberId, ReplaceError> {
        let old = self.state_machine.member(name);
        let old = old.ok_or_else(|| ReplaceError::UnknownCoordinator(name.to_owned()))?;
        if old == self.member {
            return Err(ReplaceError::IsLeader(name.to_owned()));
        }
        let replacement = self.state_machine.last_member.next();
        if !self.change_members(ConfChangeType::RemoveNode, old, Some(replacement)) {
            return Err(ReplaceError::ChangePending);
        }
        self.process_ready(now);
        Ok(replacement)
    }
}
