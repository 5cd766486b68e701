//! What a worker may believe of its leases: until when, on its own clock, nobody else can hold them.
//!
//! Owed to callers: [`LeaseHolder::may_act`] says yes only while no other process can hold the lease. A lease counts from
//! when the renewal that was granted had been *sent*, less a share of its time for clocks that run apart: the
//! coordinators count from when they received it. The clock has to go on while the machine sleeps.

use super::frame::{LeaseRef, RenewedLease};
use std::collections::{BTreeMap, VecDeque};

/// Signs of life whose answers may still come.
const SENT_MOST: usize = 64;

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    token: u64,
    /// `None` until the first renewal: a grant alone does not say since when.
    until: Option<f64>,
    ttl_s: f64,
}

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// The share of a lease's time that is not used, for drift of both clocks together.
    drift: f64,
    leases: BTreeMap<String, Known>,
    /// Signs of life by number: when each was sent, and what it asked to renew.
    sent: VecDeque<(u64, f64, Vec<LeaseRef>)>,
}

impl LeaseHolder {
    pub fn new(drift: f64) -> LeaseHolder {
        LeaseHolder { drift, leases: BTreeMap::new(), sent: VecDeque::new() }
    }

    /// A task was granted: it is held from the next renewal on. One under a lower token is over.
    pub fn granted(&mut self, held: &LeaseRef) {
        let known = self.leases.get(&held.task).map_or(0, |k| k.token);
        if held.token > known {
            self.leases.insert(held.task.clone(), Known { token: held.token, until: None, ttl_s: 0.0 });
        }
    }

    /// What to ask for in the sign of life that is sent now.
    pub fn ask(&mut self, now: f64, seq: u64) -> Vec<LeaseRef> {
        let held: Vec<LeaseRef> =
            self.leases.iter().map(|(task, k)| LeaseRef { task: task.clone(), token: k.token }).collect();
        self.sent.push_back((seq, now, held.clone()));
        if self.sent.len() > SENT_MOST {
            self.sent.pop_front();
        }
        held
    }

    /// The answer to a sign of life; which leases are lost with it.
    pub fn kept(&mut self, seq: u64, leases: &[RenewedLease]) -> Vec<LeaseRef> {
        let Some(at) = self.sent.iter().position(|(sent, ..)| *sent == seq) else { return Vec::new() };
        // Answers to earlier ones say nothing more.
        self.sent.drain(..at);
        let Some((_, sent_at, asked)) = self.sent.pop_front() else { return Vec::new() };
        let mut lost = Vec::new();
        for held in asked {
            let Some(known) = self.leases.get_mut(&held.task).filter(|k| k.token == held.token) else {
                continue;
            };
            match leases.iter().find(|r| r.held == held) {
                Some(renewed) => {
                    known.ttl_s = renewed.ttl_ms as f64 / 1000.0;
                    let until = sent_at + known.ttl_s * (1.0 - self.drift);
                    known.until = Some(known.until.map_or(until, |u| u.max(until)));
                }
                None => {
                    self.leases.remove(&held.task);
                    lost.push(held);
                }
            }
        }
        lost
    }

    /// The token under which an act that takes up to `for_s` may begin now.
    pub fn may_act(&self, now: f64, task: &str, for_s: f64) -> Option<u64> {
        let known = self.leases.get(task)?;
        (now + for_s < known.until?).then_some(known.token)
    }

    /// The token of a lease that is held, valid now or not.
    pub fn token(&self, task: &str) -> Option<u64> {
        self.leases.get(task).map(|k| k.token)
    }

    /// Until when a lease is valid on this worker's clock.
    pub fn until(&self, task: &str) -> Option<f64> {
        self.leases.get(task)?.until
    }

    pub fn all(&self) -> impl Iterator<Item = LeaseRef> + '_ {
        self.leases.iter().map(|(task, k)| LeaseRef { task: task.clone(), token: k.token })
    }

    /// Signs of life whose answers are still looked for: number, when it was sent, what it asked to renew.
    pub fn outstanding(&self) -> impl Iterator<Item = &(u64, f64, Vec<LeaseRef>)> {
        self.sent.iter()
    }

    /// A third of the shortest time to live among what is held: so often signs of life are due.
    pub fn renew_every(&self) -> Option<f64> {
        self.leases.values().map(|k| if k.ttl_s > 0.0 { k.ttl_s / 3.0 } else { 0.1 }).reduce(f64::min)
    }

    /// The holder has given a lease back: it does not act under it any more.
    pub fn drop_lease(&mut self, task: &str) {
        self.leases.remove(task);
    }

    /// Another session: nothing of the one before counts.
    pub fn clear(&mut self) {
        self.leases.clear();
        self.sent.clear();
    }

    /// Another link in the same session: answers to what went over the old one may be lost, leases stay.
    pub fn relinked(&mut self) {
        self.sent.clear();
    }
}

#[cfg(test)]
mod tests;
