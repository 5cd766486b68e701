//! Ticks, election timeouts and changes of role.

use super::{Replica, ReplicaEvent, TermStart, TICK_S};
use raft::StateRole;

/// How often a leader sends a heartbeat (ticks).
pub(super) const HEARTBEAT_TICKS: usize = 2;
/// The minimum election timeout (ticks); the random timeout is less than twice this.
pub(super) const ELECTION_TICKS: usize = 10;
/// The maximum number of ticks caught up after a delay. More could start an election although the peers are healthy and
/// only this process was paused.
const MAX_CATCH_UP_TICKS: u32 = 2;

/// A random election timeout, which applies as long as the term, the role and the leader stay the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ElectionTimeout {
    term: u64,
    role: StateRole,
    leader: u64,
    ticks: usize,
}

impl Replica {
    /// Performs the periodic work that is due at this time.
    pub fn tick(&mut self, now: f64) {
        self.check_disk(now);
        if self.tick_node(now) {
            self.process_ready(now);
            self.maintain_quorum(now);
        }
    }

    /// Advances the Raft library's logical clock; returns whether a tick was due.
    fn tick_node(&mut self, now: f64) -> bool {
        let mut ticks = 0;
        while now - self.ticked_at >= TICK_S {
            let catch_up = ticks < MAX_CATCH_UP_TICKS;
            self.ticked_at = if catch_up { self.ticked_at + TICK_S } else { now };
            if let Some(node) = self.node.as_mut().filter(|_| catch_up) {
                node.tick();
                ticks += 1;
                self.update_election_timeout();
            }
        }
        ticks > 0
    }

    /// Replaces the library's election timeout, which comes from the system's random source, with one from this member's
    /// seeded generator, so that a run in virtual time is reproducible.
    pub(super) fn update_election_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        let raft = &mut node.raft;
        let current = self.election_timeout.filter(|timeout| {
            (timeout.term, timeout.role, timeout.leader) == (raft.term, raft.state, raft.leader_id)
        });
        let timeout = current.unwrap_or_else(|| ElectionTimeout {
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
        // Once an entry of the leader's own term is applied, so are all entries committed in earlier terms.
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

/// Xorshift generator; the low bits are discarded.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 20
}
