//! Tracks the leases that a worker holds, and until when the worker may act under each of them. All times are on the
//! worker's clock (seconds), which must advance while the machine is suspended.
//!
//! Guarantee to callers: [`LeaseHolder::may_act`] permits an action only while no other process can hold the lease. A
//! lease's time to live starts when the heartbeat that requested its renewal was *sent*, and is reduced by a share for clock
//! drift. At the coordinators it starts later, when they receive the heartbeat, so that the lease expires at its holder
//! first.

use super::frame::{LeaseRef, RenewedLease};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of unacknowledged heartbeats that are tracked; a further one displaces the oldest.
const MAX_OUTSTANDING: usize = 64;
/// Number of renewals per time to live.
const RENEWALS_PER_TTL: f64 = 3.0;
/// Renewal interval of a lease whose time to live is not yet known (seconds).
const INITIAL_RENEWAL_INTERVAL_S: f64 = 0.1;

/// The state of a lease at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldLease {
    token: u64,
    /// `None` until the first renewal, since a grant does not state when the coordinators granted the lease.
    valid_until: Option<f64>,
    /// The time to live that the last renewal stated (seconds); 0 until the first renewal.
    ttl_s: f64,
}

/// A heartbeat that has not been acknowledged yet.
#[derive(Clone, Debug, PartialEq)]
pub struct OutstandingHeartbeat {
    /// Sequence number.
    pub seq: u64,
    /// When the heartbeat was sent.
    pub sent_at: f64,
    /// The leases whose renewal the heartbeat requested.
    pub leases: Vec<LeaseRef>,
}

/// The leases that a worker holds.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Share of a time to live that is left unused as a margin for the drift between the clocks of worker and coordinators.
    drift: f64,
    leases: BTreeMap<String, HeldLease>,
    /// In sending order.
    outstanding: VecDeque<OutstandingHeartbeat>,
}

impl LeaseHolder {
    /// Creates a holder without leases. `drift` is the share of a time to live that is left unused.
    #[must_use]
    pub fn new(drift: f64) -> LeaseHolder {
        LeaseHolder { drift, leases: BTreeMap::new(), outstanding: VecDeque::new() }
    }

    /// Adds a granted lease. It becomes valid with its first renewal, and replaces a lease with a lower token.
    pub fn granted(&mut self, lease: &LeaseRef) {
        let known_token = self.token(&lease.task).unwrap_or(0);
        if lease.token > known_token {
            let held = HeldLease { token: lease.token, valid_until: None, ttl_s: 0.0 };
            self.leases.insert(lease.task.clone(), held);
        }
    }

    /// Records that a heartbeat is sent now. Returns the leases whose renewal the heartbeat has to request.
    pub fn heartbeat_sent(&mut self, now: f64, seq: u64) -> Vec<LeaseRef> {
        let leases: Vec<LeaseRef> = self.all().collect();
        self.outstanding.push_back(OutstandingHeartbeat { seq, sent_at: now, leases: leases.clone() });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        leases
    }

    /// Processes the acknowledgement of a heartbeat: extends the renewed leases, and returns the lost ones.
    pub fn heartbeat_acked(&mut self, seq: u64, renewed: &[RenewedLease]) -> Vec<LeaseRef> {
        let Some(index) = self.outstanding.iter().position(|heartbeat| heartbeat.seq == seq) else {
            return Vec::new();
        };
        // This acknowledgement supersedes those of earlier heartbeats.
        self.outstanding.drain(..index);
        let Some(heartbeat) = self.outstanding.pop_front() else { return Vec::new() };
        let mut lost = Vec::new();
        for lease in heartbeat.leases {
            if self.token(&lease.task) != Some(lease.token) {
                continue;
            }
            if let Some(renewal) = renewed.iter().find(|renewal| renewal.lease == lease) {
                self.extend(&lease.task, heartbeat.sent_at, renewal.ttl_ms);
            } else {
                self.leases.remove(&lease.task);
                lost.push(lease);
            }
        }
        lost
    }

    fn extend(&mut self, task: &str, requested_at: f64, ttl_ms: u64) {
        let Some(held) = self.leases.get_mut(task) else { return };
        held.ttl_s = ttl_ms as f64 / 1000.0;
        let valid_until = requested_at + held.ttl_s * (1.0 - self.drift);
        held.valid_until = Some(held.valid_until.map_or(valid_until, |known| known.max(valid_until)));
    }

    /// The fencing token under which an action of up to `duration_s` seconds may start now; `None` if the lease is not held,
    /// has not been renewed yet, or may expire before the action ends.
    #[must_use]
    pub fn may_act(&self, now: f64, task: &str, duration_s: f64) -> Option<u64> {
        let held = self.leases.get(task)?;
        (now + duration_s < held.valid_until?).then_some(held.token)
    }

    /// The token of a held lease, whether or not the lease is currently valid.
    #[must_use]
    pub fn token(&self, task: &str) -> Option<u64> {
        self.leases.get(task).map(|held| held.token)
    }

    /// When a lease expires on this worker's clock; `None` if it is not held or has not been renewed yet.
    #[must_use]
    pub fn valid_until(&self, task: &str) -> Option<f64> {
        self.leases.get(task)?.valid_until
    }

    /// All held leases, sorted by task, whether or not they are currently valid.
    pub fn all(&self) -> impl Iterator<Item = LeaseRef> + '_ {
        self.leases.iter().map(|(task, held)| LeaseRef { task: task.clone(), token: held.token })
    }

    /// Heartbeats that have not been acknowledged yet.
    pub fn outstanding(&self) -> impl Iterator<Item = &OutstandingHeartbeat> {
        self.outstanding.iter()
    }

    /// The heartbeat interval at which every lease is renewed `RENEWALS_PER_TTL` times per time to live (seconds). While a
    /// time to live is unknown, at most `INITIAL_RENEWAL_INTERVAL_S`. `None` without leases.
    #[must_use]
    pub fn renewal_interval_s(&self) -> Option<f64> {
        let interval_s = |held: &HeldLease| {
            if held.ttl_s > 0.0 {
                held.ttl_s / RENEWALS_PER_TTL
            } else {
                INITIAL_RENEWAL_INTERVAL_S
            }
        };
        self.leases.values().map(interval_s).reduce(f64::min)
    }

    /// Removes a lease that the worker is releasing.
    pub fn release(&mut self, task: &str) {
        self.leases.remove(task);
    }

    /// Removes all leases, since the session under which they were granted has expired.
    pub fn clear(&mut self) {
        self.leases.clear();
        self.outstanding.clear();
    }

    /// Called when the session continues over a new link. The leases remain held; unacknowledged heartbeats are forgotten,
    /// since their acknowledgements were lost with the old link.
    pub fn reconnected(&mut self) {
        self.outstanding.clear();
    }
}

#[cfg(test)]
mod tests;
