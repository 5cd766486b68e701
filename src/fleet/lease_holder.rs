//! The leases that a worker holds, and until when, on its own clock, nobody else can hold them.
//!
//! Guarantee to callers: [`LeaseHolder::may_act`] permits an action only while no other process can hold the lease. A lease
//! counts from when the heartbeat that requested its renewal was *sent*, less a share of its time to live for clock drift:
//! the coordinators count from when they received it. The clock has to go on while the machine is suspended.

use super::frame::{LeaseRef, RenewedLease};
use std::collections::{BTreeMap, VecDeque};

/// Most unacknowledged heartbeats that are retained.
const MAX_OUTSTANDING: usize = 64;
/// Renewals per time to live.
const RENEWALS_PER_TTL: f64 = 3.0;
/// Renewal interval of a lease whose time to live is not known yet (seconds).
const FIRST_RENEWAL_INTERVAL_S: f64 = 0.1;

/// The state of a lease at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldLease {
    token: u64,
    /// `None` until the first renewal: a grant does not tell when the coordinators granted the lease.
    valid_until: Option<f64>,
    ttl_s: f64,
}

/// A heartbeat whose acknowledgement may still arrive.
#[derive(Clone, Debug, PartialEq)]
pub struct OutstandingHeartbeat {
    /// Its number.
    pub seq: u64,
    /// When it was sent.
    pub sent_at: f64,
    /// The leases whose renewal it requested.
    pub leases: Vec<LeaseRef>,
}

/// The leases that a worker holds.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// The share of a time to live that is left unused, for the drift of both clocks together.
    drift: f64,
    leases: BTreeMap<String, HeldLease>,
    /// In the order in which they were sent.
    outstanding: VecDeque<OutstandingHeartbeat>,
}

impl LeaseHolder {
    /// A holder without leases; `drift` is the share of a time to live that is left unused.
    #[must_use]
    pub fn new(drift: f64) -> LeaseHolder {
        LeaseHolder { drift, leases: BTreeMap::new(), outstanding: VecDeque::new() }
    }

    /// Adds a lease that was granted; it is valid from its first renewal on, and replaces one under a lower token.
    pub fn granted(&mut self, lease: &LeaseRef) {
        let known_token = self.token(&lease.task).unwrap_or(0);
        if lease.token > known_token {
            let held = HeldLease { token: lease.token, valid_until: None, ttl_s: 0.0 };
            self.leases.insert(lease.task.clone(), held);
        }
    }

    /// Records that a heartbeat is sent now, and returns the leases whose renewal it has to request.
    pub fn heartbeat_sent(&mut self, now: f64, seq: u64) -> Vec<LeaseRef> {
        let leases: Vec<LeaseRef> = self.all().collect();
        self.outstanding.push_back(OutstandingHeartbeat { seq, sent_at: now, leases: leases.clone() });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        leases
    }

    /// Handles the acknowledgement of a heartbeat: extends the leases that were renewed, and returns those that are lost.
    pub fn heartbeat_acked(&mut self, seq: u64, renewed: &[RenewedLease]) -> Vec<LeaseRef> {
        let Some(index) = self.outstanding.iter().position(|heartbeat| heartbeat.seq == seq) else {
            return Vec::new();
        };
        // Acknowledgements of earlier heartbeats are superseded by this one.
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

    /// The fencing token under which an action of up to `duration_s` seconds may begin now; `None` if the lease is not held
    /// or expires before the action would end.
    #[must_use]
    pub fn may_act(&self, now: f64, task: &str, duration_s: f64) -> Option<u64> {
        let held = self.leases.get(task)?;
        (now + duration_s < held.valid_until?).then_some(held.token)
    }

    /// The token of a lease that is held, valid now or not.
    #[must_use]
    pub fn token(&self, task: &str) -> Option<u64> {
        self.leases.get(task).map(|held| held.token)
    }

    /// Until when a lease is valid on this worker's clock.
    #[must_use]
    pub fn valid_until(&self, task: &str) -> Option<f64> {
        self.leases.get(task)?.valid_until
    }

    /// All leases that are held, valid now or not, by task.
    pub fn all(&self) -> impl Iterator<Item = LeaseRef> + '_ {
        self.leases.iter().map(|(task, held)| LeaseRef { task: task.clone(), token: held.token })
    }

    /// Heartbeats whose acknowledgement may still arrive.
    pub fn outstanding(&self) -> impl Iterator<Item = &OutstandingHeartbeat> {
        self.outstanding.iter()
    }

    /// The heartbeat interval that renews all leases in time (seconds): a third of the shortest time to live. `None` without
    /// leases.
    #[must_use]
    pub fn renewal_interval_s(&self) -> Option<f64> {
        let interval_s = |held: &HeldLease| {
            if held.ttl_s > 0.0 {
                held.ttl_s / RENEWALS_PER_TTL
            } else {
                FIRST_RENEWAL_INTERVAL_S
            }
        };
        self.leases.values().map(interval_s).reduce(f64::min)
    }

    /// Removes a lease that the worker releases.
    pub fn release(&mut self, task: &str) {
        self.leases.remove(task);
    }

    /// Removes every lease, as the session has expired.
    pub fn clear(&mut self) {
        self.leases.clear();
        self.outstanding.clear();
    }

    /// Handles that the session goes on over another link: leases stay, acknowledgements on the old link may be lost.
    pub fn reconnected(&mut self) {
        self.outstanding.clear();
    }
}

#[cfg(test)]
mod tests;
