//! Ticks, election timeouts, and changes of role.

use super::{Replica, ReplicaEvent, TermStart, TICK_S};
use raft::StateRole;

pub(super) const HEARTBEAT_TICKS: usize = 2;
pub(super) const ELECTION_TICKS: usize = 10;
/// Ticks that are made up for after a delay: peers that a paused process heard nothing of may be well.
const MAX_TICKS_AT_ONCE: u32 = 2;

/// The election timeout that was drawn for a role in a term.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ElectionTimeout {
    term: u64,
    role: StateRole,
    leader: u64,
    ticks: usize,
}

impl Replica {
    /// Does what is due at this time.
    pub fn tick(&mut self, now: f64) {
        self.check_disk(now);
        if self.tick_node(now) {
            self.process_ready(now);
            self.maintain_quorum(now);
        }
    }

    /// Passes the time to the consensus library; `false` where no tick was due.
    fn tick_node(&mut self, now: f64) -> bool {
        let mut ticks = 0;
        while now - self.ticked_at >= TICK_S {
            let make_up = ticks < MAX_TICKS_AT_ONCE;
            self.ticked_at = if make_up { self.ticked_at + TICK_S } else { now };
            if let Some(node) = self.node.as_mut().filter(|_| make_up) {
                node.tick();
                ticks += 1;
                self.update_election_timeout();
            }
        }
        ticks > 0
    }

    /// The library draws its timeouts from the system's random source. They are replaced by this member's own, so that
    /// a run in virtual time can be repeated.
    pub(super) fn update_election_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        let raft = &mut node.raft;
        let drawn_for_now = self.election_timeout.filter(|timeout| {
            (timeout.term, timeout.role, timeout.leader) == (raft.term, raft.state, raft.leader_id)
        });
        let timeout = drawn_for_now.unwrap_or_else(|| ElectionTimeout {
            term: raft.term,
            role: raft.state,
            leader: raft.leader_id,
            ticks: ELECTION_TICKS + next_random(&mut self.random_state) as usize % ELECTION_TICKS,
        });
        self.election_timeout = Some(timeout);
        raft.set_randomized_election_timeout(timeout.ticks);
    }

    pub(super) fn update_role(&mut self, now: f64) {
        let Some(node) = &self.node else { return };
        let raft = &node.raft;
        // All that was decided before is applied once an entry of the leader's own term is.
        let caught_up = raft.raft_log.term(self.applied).is_ok_and(|term| term == raft.term);
        let is_leader = raft.state == StateRole::Leader && (caught_up || self.is_leader);
        if is_leader == self.is_leader {
            return;
        }
        self.is_leader = is_leader;
        if is_leader {
            self.term_start = TermStart { log_time_ms: self.state_machine.log_time_ms, at: now };
            self.progress_recorded_at = now;
        }
        self.events.push(if is_leader { ReplicaEvent::Elected } else { ReplicaEvent::SteppedDown });
    }
}

/// Xorshift; the lowest bits are left out.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 20
}
