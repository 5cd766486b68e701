//! Startup of a replica: from the log on its disk, as an initial member of a new fleet, or as a new member.

use super::disk::round_to_tenths;
use super::election::{ELECTION_TICKS, HEARTBEAT_TICKS};
use super::raft_log::RaftLog;
use super::recovered_log::RecoveredLog;
use super::{DiskJob, MemberStatus, Replica, SuspensionCause, Uninitialized, UninitializedCause};
use crate::ids::MemberId;
use crate::state_machine::LeaseStateMachine;
use durable_log::Recovered;
use raft::{Config, RawNode, ReadOnlyOption};

/// The maximum total size of entries in one message (bytes).
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// The maximum number of unacknowledged append messages per member.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// The maximum total size of proposed, uncommitted entries (bytes).
const MAX_UNCOMMITTED_BYTES: u64 = 4 * 1024 * 1024;

impl Replica {
    /// Bootstraps a new fleet of these coordinators; all of them must pass the same list. Does nothing unless this member is
    /// uninitialized.
    pub fn bootstrap(&mut self, now: f64, coordinators: &[String], own_name: &str) {
        let state_machine = LeaseStateMachine::bootstrap(coordinators);
        let Some(member) = state_machine.member(own_name) else { return };
        let mut log = RecoveredLog { member, ..RecoveredLog::default() };
        log.snapshot.data = super::ready::to_json(&state_machine).into();
        let metadata = log.snapshot.mut_metadata();
        metadata.index = 1;
        metadata.term = 1;
        metadata.mut_conf_state().voters = state_machine.members.keys().map(|member| member.0).collect();
        log.hard_state.term = 1;
        log.hard_state.commit = 1;
        self.initialize(now, &log);
    }

    /// Joins as a new member, which the other members know by this number. Does nothing unless this member is uninitialized.
    pub fn join(&mut self, now: f64, member: MemberId) {
        self.initialize(now, &RecoveredLog { member, ..RecoveredLog::default() });
    }

    fn initialize(&mut self, now: f64, log: &RecoveredLog) {
        if !matches!(self.status, MemberStatus::Uninitialized(_)) {
            return;
        }
        self.start_job(now, DiskJob::Replace(log.encode()));
        self.start(now, log);
    }

    pub(super) fn on_store_opened(&mut self, now: f64, took_s: f64, recovered: &Recovered) {
        if !matches!(self.status, MemberStatus::Recovering | MemberStatus::Suspended(_)) {
            return;
        }
        if took_s > self.write_overdue_s {
            let took_s = round_to_tenths(took_s);
            return self.suspend(now, SuspensionCause::OpeningOverdue { took_s });
        }
        let cause = match RecoveredLog::read(recovered) {
            Err(error) => UninitializedCause::UnreadableLog(error.to_string()),
            Ok(_) if recovered.damaged => {
                UninitializedCause::DamagedDisk { dropped: recovered.dropped.clone() }
            }
            Ok(log) if log.member == MemberId::NONE => UninitializedCause::EmptyDisk,
            Ok(log) => return self.start(now, &log),
        };
        self.status = MemberStatus::Uninitialized(Uninitialized { cause, lost_index: None });
    }

    fn start(&mut self, now: f64, log: &RecoveredLog) {
        let index = log.snapshot.get_metadata().index;
        self.state_machine = match index {
            0 => LeaseStateMachine::default(),
            _ => match serde_json::from_slice(&log.snapshot.data) {
                Ok(state_machine) => state_machine,
                Err(error) => {
                    let cause = SuspensionCause::UnreadableSnapshot(error.to_string());
                    self.status = MemberStatus::Suspended(cause);
                    return;
                }
            },
        };
        let no_logger = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&raft_config(log.member, index), RaftLog::new(log), &no_logger) {
            Ok(node) => {
                self.member = log.member;
                self.applied = index;
                self.node = Some(node);
                self.ticked_at = now;
                self.status = MemberStatus::Active;
                self.election_timeout = None;
                self.update_election_timeout();
                self.process_ready(now);
            }
            Err(error) => {
                self.status = MemberStatus::Suspended(SuspensionCause::RejectedLog(error.to_string()));
            }
        }
    }
}

fn raft_config(member: MemberId, applied: u64) -> Config {
    Config {
        id: member.0,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        ..Config::default()
    }
}
