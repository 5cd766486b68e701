//! A leader's tracking of lease expiry, and of which renewals it may answer. It does no I/O; the caller passes in the time
//! (seconds), and only differences between times matter.
//!
//! Invariants: a lease expires no sooner than its TTL after the last renewal that may have been answered, by this leader
//! or an earlier one; a renewal is answered with no more than the TTL recorded when it was received, and not at all once
//! the lease is being released. [`ReadIndexQueue`] holds renewals until a quorum has confirmed the leader after they were
//! received. `tests/lease_model/` checks these invariants, together with the worker's lease holder, in all reachable states.

mod read_index_queue;

pub use read_index_queue::{ReadIndexBatch, ReadIndexQueue};

use crate::state_machine::Lease;
use std::collections::BTreeMap;

/// Safety checks. All are enabled in production; tests disable one at a time to show that the violation is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A new leader does not let a lease expire before the lease's longest TTL has passed since the start of the
    /// leader's term.
    pub wait_full_ttl: bool,
    /// Renewals are answered only after a quorum has confirmed the leader.
    pub read_index: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { wait_full_ttl: true, read_index: true }
    }
}

/// The expiry times of a leader's leases, by fencing token.
#[derive(Clone, Debug, Default)]
pub struct LeaseClock {
    /// The latest time until which the holder may consider the lease valid.
    expires_at: BTreeMap<u64, f64>,
    /// Leases that are being released or handed off, with the time when that started or when the release was last proposed.
    releasing_since: BTreeMap<u64, f64>,
}

impl LeaseClock {
    /// Returns the expiry times for a new leader. An earlier leader may have renewed any lease up to now.
    pub fn start_term<'a>(
        checks: SafetyChecks,
        now: f64,
        leases: impl Iterator<Item = &'a Lease>,
    ) -> LeaseClock {
        let wait_s = |lease: &Lease| if checks.wait_full_ttl { seconds(lease.max_ttl_ms) } else { 0.0 };
        let expires_at = leases.map(|lease| (lease.token, now + wait_s(lease))).collect();
        LeaseClock { expires_at, releasing_since: BTreeMap::new() }
    }

    /// Records that a lease was granted under this leader.
    pub fn record_grant(&mut self, now: f64, token: u64, ttl_ms: u64) {
        self.expires_at.insert(token, now + seconds(ttl_ms));
    }

    /// Records a renewal that was received now: the lease remains valid for its TTL from now, whether or not the renewal is
    /// answered. Returns the TTL that the answer may grant (milliseconds). For a lease that is being released, returns 0 and
    /// records nothing.
    pub fn record_renewal(&mut self, now: f64, lease: &Lease) -> u64 {
        if self.is_releasing(lease.token) {
            return 0;
        }
        let expires_at = self.expires_at.entry(lease.token).or_insert(now);
        *expires_at = expires_at.max(now + seconds(lease.ttl_ms));
        lease.ttl_ms
    }

    /// Records that the holder returned the lease or that its release was proposed. From now on its renewals are not answered.
    pub fn start_release(&mut self, now: f64, token: u64) {
        self.releasing_since.insert(token, now);
    }

    /// Returns whether the lease is being released or handed off.
    #[must_use]
    pub fn is_releasing(&self, token: u64) -> bool {
        self.releasing_since.contains_key(&token)
    }

    /// Returns whether the lease has expired and its release must be proposed now; if so, also marks it as being released. A
    /// proposal that has not been applied within `retry_s` (seconds) must be repeated.
    pub fn start_release_if_expired(&mut self, now: f64, lease: &Lease, retry_s: f64) -> bool {
        // A lease that is not tracked yet was granted under this leader and has its full TTL.
        let untracked_expires_at = now + seconds(lease.max_ttl_ms);
        let expires_at = *self.expires_at.entry(lease.token).or_insert(untracked_expires_at);
        let proposed_at = self.releasing_since.get(&lease.token);
        let expired = now >= expires_at && proposed_at.is_none_or(|at| now - at > retry_s);
        if expired {
            self.start_release(now, lease.token);
        }
        expired
    }

    /// Records that the release of the lease was applied.
    pub fn record_release(&mut self, token: u64) {
        self.releasing_since.remove(&token);
        self.expires_at.remove(&token);
    }

    /// Returns how long the lease may remain valid without a renewal (seconds).
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
