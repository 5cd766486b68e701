//! Calls at a service that all workers share: each has a part of what is survived for certain; one that needs less lends
//! the rest, and what is lent is cut into slices for those that need more.
//!
//! Owed to callers, whatever is lost, late, stopped or led by another: what all may have in hand together never passes the
//! sum of their parts. A worker without coordinators has its own part, as it has alone.
//!
//! **A loan** is a worker's promise to do without so much for [`LOAN_S`] from when it *says* so. The leader can't tell when
//! that was, but it knows which of its digests the worker had heard by then, and counts the loan from when it sent that one.
//! **A slice** is counted by its holder from when it *asked*, by the leader from when the question came, as leases are. A
//! leader gives no more than loans that last longer than the slice, and nothing until slices of the leader before have
//! ended. Like renewals of leases, digests go out only after a quorum has confirmed the leader.
//!
//! A process that starts can't know what the one before it had lent: nobody lends more than a quarter of its part, and a new
//! process uses no more than the other three until any such loan has ended.

use std::collections::{BTreeMap, VecDeque};

/// How long a loan lasts on the lender's word (seconds): six reports.
pub const LOAN_S: f64 = 3.0;
/// How long a slice lasts (seconds): one lost report must not end it, and what was given falls within a second.
pub const SLICE_S: f64 = 1.0;
/// What a worker keeps of its part whatever happens.
pub const KEPT: f64 = 0.75;
/// Digests of a worker whose sending times are remembered.
const SENT_MOST: usize = 16;
/// A party that has been silent for so long is forgotten (seconds): its loans and slices are long over.
const SILENT_S: f64 = 10.0;

/// What one worker is at the dealer.
#[derive(Clone, Debug, Default)]
struct CapacityHolder {
    number: u64,
    /// Digests that it may say it has heard: number, and when it went out.
    sent: VecDeque<(u64, f64)>,
    /// Amounts and until when they may be counted on.
    loans: Vec<(f64, f64)>,
    /// Slices that it may go by: the digest's number, amount, and until when at the latest.
    given: Vec<(u64, f64, f64)>,
    wants: f64,
    weight: f64,
    came: f64,
}

impl CapacityHolder {
    /// What it has surely lent until then.
    fn lent(&self, until: f64) -> f64 {
        self.loans.iter().filter(|(_, end)| *end >= until).map(|(amount, _)| *amount).fold(0.0, f64::max)
    }

    /// The most that it may go by now.
    fn has(&self, now: f64) -> f64 {
        self.given.iter().filter(|(.., end)| *end > now).map(|(_, amount, _)| *amount).fold(0.0, f64::max)
    }
}

/// What a worker says about its part in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// The last digest that it had heard.
    pub heard: u64,
    pub lends: f64,
    pub wants: f64,
    pub weight: f64,
}

/// The leader's side.
#[derive(Clone, Debug)]
pub struct CapacityLeaseServer {
    /// The most that one worker can lend: a quarter of a declared part.
    lend_most: f64,
    /// Slices of the leader before may be alive until then.
    gives_from: f64,
    parties: BTreeMap<u64, CapacityHolder>,
    /// By worker: what a fair division of what is lent would give it, as of then.
    fair: (f64, BTreeMap<u64, f64>),
}

/// A division holds for so long (seconds): a report of each worker comes twice a second.
const DIVIDE_S: f64 = 0.1;

impl CapacityLeaseServer {
    /// A dealer for a leader that begins to lead now. `part` is what each worker may have in hand by itself.
    pub fn lead(now: f64, part: f64) -> CapacityLeaseServer {
        CapacityLeaseServer::lead_after(now + SLICE_S, part)
    }

    /// One that gives from then on: the proof takes the wait away.
    pub fn lead_after(gives_from: f64, part: f64) -> CapacityLeaseServer {
        let fair = (f64::NEG_INFINITY, BTreeMap::new());
        CapacityLeaseServer {
            lend_most: part.max(0.0) * (1.0 - KEPT),
            gives_from,
            parties: BTreeMap::new(),
            fair,
        }
    }

    /// A worker's report came.
    pub fn came(&mut self, now: f64, worker: u64, claim: CapacityReport) {
        let party = self.parties.entry(worker).or_default();
        party.came = now;
        (party.wants, party.weight) = (claim.wants, claim.weight);
        // It goes by this digest or a later one: what came before is over.
        party.given.retain(|(number, _, end)| *number >= claim.heard && *end > now);
        party.loans.retain(|(_, end)| *end > now);
        let said_after = party.sent.iter().find(|(number, _)| *number == claim.heard).map(|(_, at)| *at);
        if let Some(at) = said_after.filter(|_| claim.lends > 0.0) {
            party.loans.push((claim.lends.min(self.lend_most), at + LOAN_S));
        }
        party.sent.retain(|(number, _)| *number >= claim.heard);
    }

    /// The next digest for a worker goes out now, in answer to a report that came at `came`: its number, and its slice.
    pub fn deal(&mut self, now: f64, came: f64, worker: u64) -> (u64, f64) {
        self.divide(now);
        let lent: f64 = self.parties.values().map(|p| p.lent(now + SLICE_S)).sum();
        let others: f64 = self.parties.iter().filter(|(id, _)| **id != worker).map(|(_, p)| p.has(now)).sum();
        let fair = self.fair.1.get(&worker).copied().unwrap_or(0.0);
        let party = self.parties.entry(worker).or_default();
        party.number += 1;
        party.sent.push_back((party.number, now));
        if party.sent.len() > SENT_MOST {
            party.sent.pop_front();
        }
        let until = came + SLICE_S;
        // One that lends has no use for more.
        let may = now >= self.gives_from && until > now && party.lent(now) == 0.0;
        let amount = if may { told(fair.min(lent - others)) } else { 0.0 };
        if amount > 0.0 {
            party.given.push((party.number, amount, until));
        }
        (party.number, amount)
    }

    /// What is lent now goes to those that want some: each gets what it wants, or as much as its worth weighs against the
    /// others' (water-filling).
    fn divide(&mut self, now: f64) {
        if now - self.fair.0 < DIVIDE_S {
            return;
        }
        self.parties.retain(|_, p| now - p.came < SILENT_S);
        let lent: f64 = self.parties.values().map(|p| p.lent(now + SLICE_S)).sum();
        let wants = |(id, p): (&u64, &CapacityHolder)| (*id, p.wants, p.weight.max(1e-3));
        let wanting: Vec<(u64, f64, f64)> = self.parties.iter().map(wants).filter(|w| w.1 > 0.0).collect();
        self.fair = (now, fill(lent, wanting));
    }

    /// What is lent and what is out, for operators.
    pub fn sums(&self, now: f64) -> (f64, f64) {
        let lent = self.parties.values().map(|p| p.lent(now)).sum();
        (lent, self.parties.values().map(|p| p.has(now)).sum())
    }
}

/// What can be said without rounding, and no more than it: sixty-fourths of a call.
fn told(amount: f64) -> f64 {
    (amount.max(0.0) * 64.0).floor() / 64.0
}

/// Divides an amount among those that want some, by weight, nobody getting more than it wants.
fn fill(mut amount: f64, mut wanting: Vec<(u64, f64, f64)>) -> BTreeMap<u64, f64> {
    // Whoever wants least for its weight is satisfied first; what it leaves goes to the rest.
    wanting.sort_by(|a, b| (a.1 / a.2).total_cmp(&(b.1 / b.2)));
    let mut weights: f64 = wanting.iter().map(|(.., weight)| weight).sum();
    let mut filled = BTreeMap::new();
    for (id, wants, weight) in wanting {
        let gets = wants.min(amount * weight / weights.max(1e-9)).max(0.0);
        (amount, weights) = (amount - gets, weights - weight);
        filled.insert(id, gets);
    }
    filled
}

/// The worker's side: what it may have in hand.
#[derive(Clone, Debug)]
pub struct CapacityClient {
    own: f64,
    drift: f64,
    /// What it has promised to do without, and until when.
    loans: VecDeque<(f64, f64)>,
    /// Reports whose answer may come: number, and when it was sent.
    asked: VecDeque<(u64, f64)>,
    slice: (f64, f64),
    heard: u64,
}

impl CapacityClient {
    /// A process that starts now; `own` is its part (mean calls in hand), `drift` the share by which clocks may differ.
    pub fn new(now: f64, own: f64, drift: f64) -> CapacityClient {
        let before = (own * (1.0 - KEPT), now + LOAN_S / (1.0 - drift));
        let (asked, slice) = (VecDeque::new(), (0.0, f64::NEG_INFINITY));
        CapacityClient { own, drift, loans: VecDeque::from([before]), asked, slice, heard: 0 }
    }

    /// A report goes out: what it may lend of `spare` calls that it does not need, and the digest that it goes by.
    pub fn report(&mut self, now: f64, number: u64, spare: f64) -> (f64, u64) {
        self.forget(now);
        self.asked.push_back((number, now));
        if self.asked.len() > SENT_MOST {
            self.asked.pop_front();
        }
        let lends = told(spare.min(self.own * (1.0 - KEPT)));
        // A promise that nobody has been told how to count is not made.
        let lends = if self.heard == 0 { 0.0 } else { lends };
        if lends > 0.0 {
            self.loans.push_back((lends, now + LOAN_S / (1.0 - self.drift)));
        }
        (lends, self.heard)
    }

    /// The answer to a report: a digest's number and slice.
    pub fn heard(&mut self, report: u64, number: u64, slice: f64) {
        let Some(at) = self.asked.iter().position(|(asked, _)| *asked == report) else { return };
        self.asked.drain(..at);
        let Some((_, sent)) = self.asked.pop_front() else { return };
        self.heard = number;
        self.slice = (slice, sent + SLICE_S * (1.0 - self.drift));
    }

    /// Another link: digests are numbered anew, and what was on the old one is lost. The slice ends with it, since its
    /// successor may be under another leader, and loans stay as they were promised.
    pub fn relinked(&mut self) {
        self.asked.clear();
        self.heard = 0;
        self.slice = (0.0, f64::NEG_INFINITY);
    }

    fn forget(&mut self, now: f64) {
        self.loans.retain(|(_, end)| *end > now);
    }

    /// What it has lent, and the slice that it goes by, now.
    pub fn now(&self, now: f64) -> (f64, f64) {
        let lent =
            self.loans.iter().filter(|(_, end)| *end > now).map(|(amount, _)| *amount).fold(0.0, f64::max);
        (lent, if now < self.slice.1 { self.slice.0 } else { 0.0 })
    }

    /// The most that it may have in hand now.
    pub fn may_have(&self, now: f64) -> f64 {
        let (lent, slice) = self.now(now);
        self.own - lent + slice
    }
}

#[cfg(test)]
mod tests;
