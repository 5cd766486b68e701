//! The leader's side: it counts loans, and grants slices of what is lent.

use super::{round_down, CapacityReport, Loan, LOAN_S, MAX_OUTSTANDING, SLICE_S, UNLENDABLE_SHARE};
use std::collections::{BTreeMap, VecDeque};

/// A holder that has been silent for so long is removed (seconds): its loans and slices have long expired.
const FORGET_AFTER_S: f64 = 10.0;
/// How long computed fair shares stay in use (seconds): each worker reports twice a second.
const FAIR_SHARES_VALID_S: f64 = 0.1;
/// Weights below this count as this.
const MIN_WEIGHT: f64 = 1e-3;

/// A digest of which the worker may say that it has received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentDigest {
    pub(super) number: u64,
    sent_at: f64,
}

/// A slice that its holder may go by.
#[derive(Clone, Copy, Debug)]
struct GrantedSlice {
    /// Number of the digest that carried it.
    digest: u64,
    amount: f64,
    /// When it has certainly expired.
    until: f64,
}

/// What the leader knows of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityHolder {
    last_digest: u64,
    /// In the order in which they were sent.
    pub(super) sent_digests: VecDeque<SentDigest>,
    loans: Vec<Loan>,
    granted: Vec<GrantedSlice>,
    wants: f64,
    weight: f64,
    last_report_at: f64,
}

impl CapacityHolder {
    /// What it has certainly lent until then.
    fn lent(&self, until: f64) -> f64 {
        let loans = self.loans.iter().filter(|loan| loan.until >= until);
        loans.map(|loan| loan.amount).fold(0.0, f64::max)
    }

    /// The largest slice that it may go by now.
    fn largest_slice(&self, now: f64) -> f64 {
        let slices = self.granted.iter().filter(|slice| slice.until > now);
        slices.map(|slice| slice.amount).fold(0.0, f64::max)
    }
}

/// What a worker wants of the lent capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Demand {
    pub(super) worker: u64,
    pub(super) wants: f64,
    pub(super) weight: f64,
}

/// A fair division of the lent capacity.
#[derive(Clone, Debug)]
struct FairShares {
    computed_at: f64,
    by_worker: BTreeMap<u64, f64>,
}

/// The capacity part of a digest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SliceGrant {
    /// Number of the digest.
    pub digest: u64,
    /// Calls in flight beyond the worker's base allocation.
    pub slice: f64,
}

/// Sums over all workers (calls in flight).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityTotals {
    /// What is lent.
    pub lent: f64,
    /// What is granted in slices.
    pub granted: f64,
}

/// Grants slices of lent capacity, for one term of a leader.
#[derive(Clone, Debug)]
pub struct CapacityLeaseServer {
    /// The most that one worker can lend.
    max_loan: f64,
    /// Slices of the leader before may be in use until then.
    grants_from: f64,
    pub(super) holders: BTreeMap<u64, CapacityHolder>,
    fair_shares: FairShares,
}

impl CapacityLeaseServer {
    /// For a leader whose term begins now. `base_calls` is each worker's base allocation.
    #[must_use]
    pub fn new(now: f64, base_calls: f64) -> CapacityLeaseServer {
        CapacityLeaseServer::granting_from(now + SLICE_S, base_calls)
    }

    /// One that grants from a given time on: tests show that [`CapacityLeaseServer::new`] has to wait.
    #[must_use]
    pub fn granting_from(grants_from: f64, base_calls: f64) -> CapacityLeaseServer {
        CapacityLeaseServer {
            max_loan: base_calls.max(0.0) * (1.0 - UNLENDABLE_SHARE),
            grants_from,
            holders: BTreeMap::new(),
            fair_shares: FairShares { computed_at: f64::NEG_INFINITY, by_worker: BTreeMap::new() },
        }
    }

    /// A worker's report has arrived.
    pub fn receive_report(&mut self, now: f64, worker: u64, report: CapacityReport) {
        let holder = self.holders.entry(worker).or_default();
        holder.last_report_at = now;
        holder.wants = report.wants;
        holder.weight = report.weight;
        // It goes by this digest or a later one: slices before it are not in use any more.
        holder.granted.retain(|slice| slice.digest >= report.last_digest && slice.until > now);
        holder.loans.retain(|loan| loan.until > now);
        let last_digest = holder.sent_digests.iter().find(|digest| digest.number == report.last_digest);
        if let Some(digest) = last_digest.filter(|_| report.lends > 0.0) {
            let amount = report.lends.min(self.max_loan);
            holder.loans.push(Loan { amount, until: digest.sent_at + LOAN_S });
        }
        holder.sent_digests.retain(|digest| digest.number >= report.last_digest);
    }

    /// The next digest for a worker goes out now, in answer to a report that arrived at `report_received_at`.
    pub fn grant(&mut self, now: f64, report_received_at: f64, worker: u64) -> SliceGrant {
        self.refresh_fair_shares(now);
        let lent = self.lent(now + SLICE_S);
        let others = self.holders.iter().filter(|(id, _)| **id != worker);
        let granted_to_others: f64 = others.map(|(_, holder)| holder.largest_slice(now)).sum();
        let fair_share = self.fair_shares.by_worker.get(&worker).copied().unwrap_or(0.0);
        let holder = self.holders.entry(worker).or_default();
        holder.last_digest += 1;
        let digest = holder.last_digest;
        holder.sent_digests.push_back(SentDigest { number: digest, sent_at: now });
        if holder.sent_digests.len() > MAX_OUTSTANDING {
            holder.sent_digests.pop_front();
        }
        let until = report_received_at + SLICE_S;
        // One that lends has no use for more.
        let may_grant = now >= self.grants_from && until > now && holder.lent(now) == 0.0;
        let slice = if may_grant { round_down(fair_share.min(lent - granted_to_others)) } else { 0.0 };
        if slice > 0.0 {
            holder.granted.push(GrantedSlice { digest, amount: slice, until });
        }
        SliceGrant { digest, slice }
    }

    /// What all workers have certainly lent until then.
    fn lent(&self, until: f64) -> f64 {
        self.holders.values().map(|holder| holder.lent(until)).sum()
    }

    fn refresh_fair_shares(&mut self, now: f64) {
        if now - self.fair_shares.computed_at < FAIR_SHARES_VALID_S {
            return;
        }
        self.holders.retain(|_, holder| now - holder.last_report_at < FORGET_AFTER_S);
        let lent = self.lent(now + SLICE_S);
        let demand = |(worker, holder): (&u64, &CapacityHolder)| Demand {
            worker: *worker,
            wants: holder.wants,
            weight: holder.weight.max(MIN_WEIGHT),
        };
        let demands: Vec<Demand> =
            self.holders.iter().map(demand).filter(|demand| demand.wants > 0.0).collect();
        self.fair_shares = FairShares { computed_at: now, by_worker: divide(lent, demands) };
    }

    /// What is lent and granted now.
    #[must_use]
    pub fn totals(&self, now: f64) -> CapacityTotals {
        CapacityTotals {
            lent: self.lent(now),
            granted: self.holders.values().map(|holder| holder.largest_slice(now)).sum(),
        }
    }
}

/// Divides an amount by weighted max-min fairness (water-filling): each gets what it wants, or as much as its weight is
/// against the others'.
pub(super) fn divide(mut amount: f64, mut demands: Vec<Demand>) -> BTreeMap<u64, f64> {
    // Whoever wants least for its weight is satisfied first; what it leaves goes to the rest.
    demands.sort_by(|a, b| (a.wants / a.weight).total_cmp(&(b.wants / b.weight)));
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut shares = BTreeMap::new();
    for demand in demands {
        let by_weight = amount * demand.weight / weights.max(1e-9);
        let share = demand.wants.min(by_weight).max(0.0);
        amount -= share;
        weights -= demand.weight;
        shares.insert(demand.worker, share);
    }
    shares
}
