//! How a leader counts its leases' time, and which renewals it may answer. No I/O; the clock is passed in, and only
//! differences of its times matter.
//!
//! Invariants: a lease expires no sooner than its TTL after the last renewal that may have been answered, by this leader
//! or by an earlier one; a renewal is answered with no more than was counted when it was received, and never once the
//! lease is being released. [`ReadIndexQueue`] holds renewals until a quorum has confirmed the leader after they were
//! received. `tests/lease_world/` checks both, together with the worker's holder, in all reachable states.

mod read_index_queue;

pub use read_index_queue::{ReadIndexBatch, ReadIndexQueue};

use crate::state_machine::Lease;
use std::collections::BTreeMap;

/// Safety checks that proofs switch off one at a time; all are on in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A new leader lets each lease's longest TTL pass before it may expire.
    pub wait_full_ttl: bool,
    /// Renewals are answered only after a quorum has confirmed the leader.
    pub read_index: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { wait_full_ttl: true, read_index: true }
    }
}

/// One leader's account of its leases, by fencing token.
#[derive(Clone, Debug, Default)]
pub struct LeaseClock {
    /// The latest time at which the holder may believe that it holds the lease.
    expires_at: BTreeMap<u64, f64>,
    /// Leases that are being released or handed over, with the time since when.
    releasing_since: BTreeMap<u64, f64>,
}

impl LeaseClock {
    /// The account of a member that begins to lead: an earlier leader may have renewed any lease up to now.
    pub fn start_term<'a>(
        checks: SafetyChecks,
        now: f64,
        leases: impl Iterator<Item = &'a Lease>,
    ) -> LeaseClock {
        let wait_s = |lease: &Lease| if checks.wait_full_ttl { seconds(lease.max_ttl_ms) } else { 0.0 };
        let expires_at = leases.map(|lease| (lease.token, now + wait_s(lease))).collect();
        LeaseClock { expires_at, releasing_since: BTreeMap::new() }
    }

    /// A lease was granted under this leader.
    pub fn record_grant(&mut self, now: f64, token: u64, ttl_ms: u64) {
        self.expires_at.insert(token, now + seconds(ttl_ms));
    }

    /// A renewal was received, and counts from now whether or not it is answered. Returns the TTL that the answer may
    /// give (milliseconds): 0 for a lease that is being released.
    pub fn record_renewal(&mut self, now: f64, lease: &Lease) -> u64 {
        if self.is_releasing(lease.token) {
            return 0;
        }
        let expires_at = self.expires_at.entry(lease.token).or_insert(now);
        *expires_at = expires_at.max(now + seconds(lease.ttl_ms));
        lease.ttl_ms
    }

    /// The lease was returned, or its release proposed: no renewal of it is answered any more.
    pub fn start_release(&mut self, now: f64, token: u64) {
        self.releasing_since.insert(token, now);
    }

    /// Whether the lease is being released or handed over.
    #[must_use]
    pub fn is_releasing(&self, token: u64) -> bool {
        self.releasing_since.contains_key(&token)
    }

    /// Whether the lease has expired and its release is to be proposed now. It counts as being released from then on; a
    /// proposal without effect is to be repeated after `retry_s` (seconds).
    pub fn start_release_if_expired(&mut self, now: f64, lease: &Lease, retry_s: f64) -> bool {
        // A lease that is not known here was granted under this leader; it has its full TTL.
        let first_seen = now + seconds(lease.max_ttl_ms);
        let expires_at = *self.expires_at.entry(lease.token).or_insert(first_seen);
        let proposed_at = self.releasing_since.get(&lease.token);
        let expired = now >= expires_at && proposed_at.is_none_or(|at| now - at > retry_s);
        if expired {
            self.start_release(now, lease.token);
        }
        expired
    }

    /// The release of the lease was applied.
    pub fn record_release(&mut self, token: u64) {
        self.releasing_since.remove(&token);
        self.expires_at.remove(&token);
    }

    /// How long the lease remains valid at most, unless it is renewed (seconds).
    #[must_use]
    pub fn remaining_s(&self, now: f64, token: u64) -> f64 {
        self.expires_at.get(&token).map_or(0.0, |expires_at| (expires_at - now).max(0.0))
    }
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

#[cfg(test)]
mod tests;
