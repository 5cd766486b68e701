//! What goes into the consensus library: peers' messages, proposals, and read-index requests.

use super::scan::{self, ParseError};
use super::{ExclusionCause, Replica};
use crate::ids::MemberId;
use crate::state_machine::{Command, LogEntry};
use raft::eraftpb::{Message, MessageType};

/// Why a peer's bytes can't be a message to this member.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// Not a message.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The sender or receiver is not that of the link.
    #[error("a message from {from} to {to}")]
    WrongAddress {
        /// The sender named in the message.
        from: u64,
        /// The receiver named in the message.
        to: u64,
    },
}

impl Replica {
    /// A peer's message was received.
    ///
    /// # Errors
    /// Bytes that are no message from that member to this one.
    pub fn step(&mut self, now: f64, from: MemberId, bytes: &[u8]) -> Result<(), StepError> {
        let Some(node) = &mut self.node else { return Ok(()) };
        let message: Message = scan::parse(bytes)?;
        if message.from != from.0 || message.to != self.member.0 {
            return Err(StepError::WrongAddress { from: message.from, to: message.to });
        }
        // A leader commits here only what this disk has acknowledged; the library would panic at more.
        let last = node.raft.raft_log.last_index();
        let commit = message.commit;
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if is_heartbeat && message.term >= node.raft.term && commit > last {
            self.exclude(now, ExclusionCause::OlderDisk { last, persisted: commit });
            return Ok(());
        }
        // The library rejects messages that don't fit its state; the link is sound nevertheless.
        let _ = node.step(message);
        self.update_election_timeout();
        self.process_ready(now);
        Ok(())
    }

    /// A peer can't be reached.
    pub fn unreachable(&mut self, member: MemberId) {
        if let Some(node) = &mut self.node {
            node.report_unreachable(member.0);
        }
    }

    /// Proposes a command; `false` where that is not possible here and now.
    pub fn propose(&mut self, now: f64, command: Command) -> bool {
        if !self.is_leader {
            return false;
        }
        let entry = LogEntry { at_ms: self.log_time_ms(now), command };
        let bytes = super::ready::to_json(&entry);
        // A command that can't be decoded would suspend every member that applies it.
        if serde_json::from_slice::<LogEntry>(&bytes).ok().as_ref() != Some(&entry) {
            debug_assert!(false, "{entry:?} can't be read back");
            return false;
        }
        let Some(node) = &mut self.node else { return false };
        let accepted = node.propose(Vec::new(), bytes).is_ok();
        self.process_ready(now);
        accepted
    }

    /// The log's time now, if this member leads (milliseconds).
    fn log_time_ms(&self, now: f64) -> u64 {
        let led_s = (now - self.term_start.at).max(0.0);
        self.term_start.log_time_ms + (led_s * 1000.0) as u64
    }

    /// Asks a quorum whether this member still leads (Raft's `ReadIndex`).
    /// [`Confirmed`](super::ReplicaEvent::Confirmed) follows with this number if it led after this call.
    pub fn request_read_index(&mut self, now: f64, number: u64) {
        if let Some(node) = self.node.as_mut().filter(|_| self.is_leader) {
            node.read_index(number.to_le_bytes().to_vec());
            self.process_ready(now);
        }
    }
}
