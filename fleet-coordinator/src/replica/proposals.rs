//! Input of the Raft library: peers' messages, proposals and read-index requests.

use super::scan::{self, ParseError};
use super::{ExclusionCause, Replica};
use crate::ids::MemberId;
use crate::state_machine::{Command, LogEntry};
use raft::eraftpb::{Message, MessageType};

/// Why a peer's data is not a valid message for this member.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// The data is not a message.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The message's sender or receiver is not that of the link.
    #[error("message from member {from} to member {to}; expected one from the link's member to this one")]
    WrongAddress {
        /// The sender in the message.
        from: u64,
        /// The receiver in the message.
        to: u64,
    },
}

impl Replica {
    /// Handles a peer's message.
    ///
    /// # Errors
    /// The data is not a message from that member to this one.
    pub fn step(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), StepError> {
        let Some(node) = &mut self.node else { return Ok(()) };
        let message: Message = scan::parse(bytes)?;
        if message.from != from.0 || message.to != self.member.0 {
            return Err(StepError::WrongAddress { from: message.from, to: message.to });
        }
        // The commit index in a leader's heartbeat is at most the last index that this member has acknowledged. If it is
        // beyond the end of the log, the disk has lost data, and the library would panic on the message.
        let last = node.raft.raft_log.last_index();
        let commit = message.commit;
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if is_heartbeat && message.term >= node.raft.term && commit > last {
            self.exclude(now, ExclusionCause::OlderDisk { last, persisted: commit });
            return Ok(());
        }
        // The library rejects some valid messages, such as a response from a removed member. The link stays open.
        let _ = node.step(message);
        self.update_election_timeout();
        self.process_ready(now);
        Ok(())
    }

    /// Reports that a peer can't be reached.
    pub fn unreachable(&mut self, member: MemberId) {
        if let Some(node) = &mut self.node {
            node.report_unreachable(member.0);
        }
    }

    /// Proposes a command; returns whether the proposal was accepted.
    pub fn propose(&mut self, now: f64, command: Command) -> bool {
        if !self.is_leader {
            return false;
        }
        let entry = LogEntry { at_ms: self.log_time_ms(now), command };
        let bytes = super::ready::to_json(&entry);
        // An entry that can't be decoded would suspend every member that applies it.
        if serde_json::from_slice::<LogEntry>(&bytes).ok().as_ref() != Some(&entry) {
            debug_assert!(false, "{entry:?} differs after encoding and decoding");
            return false;
        }
        let Some(node) = &mut self.node else { return false };
        let accepted = node.propose(Vec::new(), bytes).is_ok();
        self.process_ready(now);
        accepted
    }

    /// Returns the log's current time (milliseconds); valid on the leader.
    fn log_time_ms(&self, now: f64) -> u64 {
        let elapsed_s = (now - self.term_start.at).max(0.0);
        self.term_start.log_time_ms + (elapsed_s * 1000.0) as u64
    }

    /// Requests confirmation by a quorum that this member is still the leader (Raft's `ReadIndex`).
    /// [`Confirmed`](super::ReplicaEvent::Confirmed) with this number follows if a quorum confirms that this member was the
    /// leader after this call.
    pub fn request_read_index(&mut self, now: f64, number: u64) {
        if let Some(node) = self.node.as_mut().filter(|_| self.is_leader) {
            node.read_index(number.to_le_bytes().to_vec());
            self.process_ready(now);
        }
    }
}
