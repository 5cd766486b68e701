//! The leader's side: counts loans, and grants slices of them. Times are on the leader's clock (seconds).

use super::{round_down, CapacityReport, Loan, LOAN_S, MAX_OUTSTANDING, SLICE_S, UNLENDABLE_SHARE};
use std::collections::{BTreeMap, VecDeque};

/// Time without a report after which a worker is removed (seconds): its loans and slices have expired long before.
const REMOVE_AFTER_S: f64 = 10.0;
/// How long computed fair shares are used (seconds): a fraction of the interval of reports.
const FAIR_SHARES_VALID_S: f64 = 0.1;
/// The least weight; lower ones are raised to it.
const MIN_WEIGHT: f64 = 1e-3;

/// A digest that the worker may acknowledge in its next reports.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentDigest {
    pub(super) number: u64,
    sent_at: f64,
}

/// A slice that its holder may use.
#[derive(Clone, Copy, Debug)]
struct GrantedSlice {
    /// Number of the digest that carried it.
    digest: u64,
    amount: f64,
    /// When it has expired at its holder, however late that received it.
    until: f64,
}

/// One worker's loans, slices and demand, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityHolder {
    last_digest: u64,
    /// In the order in which they were sent.
    pub(super) sent_digests: VecDeque<SentDigest>,
    loans: Vec<Loan>,
    granted: Vec<GrantedSlice>,
    wanted_calls: f64,
    weight: f64,
    last_report_at: f64,
}

impl CapacityHolder {
    /// The capacity that the worker lends at least until that time.
    fn lent(&self, until: f64) -> f64 {
        let loans = self.loans.iter().filter(|loan| loan.until >= until);
        loans.map(|loan| loan.amount).fold(0.0, f64::max)
    }

    /// The largest slice that the worker may be using now.
    fn largest_slice(&self, now: f64) -> f64 {
        let slices = self.granted.iter().filter(|slice| slice.until > now);
        slices.map(|slice| slice.amount).fold(0.0, f64::max)
    }
}

/// A worker's demand for lent capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Demand {
    pub(super) worker: u64,
    pub(super) wanted_calls: f64,
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
    /// The most that one worker can lend (calls in flight).
    max_loan: f64,
    /// Until then slices of the previous leader may be in use, and none is granted.
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

    /// A server that grants from a given time on. Tests show with it that [`CapacityLeaseServer::new`] has to wait.
    #[must_use]
    pub fn granting_from(grants_from: f64, base_calls: f64) -> CapacityLeaseServer {
        CapacityLeaseServer {
            max_loan: base_calls.max(0.0) * (1.0 - UNLENDABLE_SHARE),
            grants_from,
            holders: BTreeMap::new(),
            fair_shares: FairShares { computed_at: f64::NEG_INFINITY, by_worker: BTreeMap::new() },
        }
    }

    /// Handles a worker's report.
    pub fn receive_report(&mut self, now: f64, worker: u64, report: CapacityReport) {
        let holder = self.holders.entry(worker).or_default();
        holder.last_report_at = now;
        holder.wanted_calls = report.wanted_calls;
        holder.weight = report.weight;
        // The worker applies this digest or a later one, so that slices of earlier ones are not in use any more.
        holder.granted.retain(|slice| slice.digest >= report.last_digest && slice.until > now);
        holder.loans.retain(|loan| loan.until > now);
        let last_digest = holder.sent_digests.iter().find(|digest| digest.number == report.last_digest);
        if let Some(digest) = last_digest.filter(|_| report.lent_calls > 0.0) {
            let amount = report.lent_calls.min(self.max_loan);
            holder.loans.push(Loan { amount, until: digest.sent_at + LOAN_S });
        }
        holder.sent_digests.retain(|digest| digest.number >= report.last_digest);
    }

    /// Grants the slice of the digest that is sent to a worker now, as the answer to a report that arrived at
    /// `report_received_at`.
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
        // A worker that lends has no need of a slice.
        let may_grant = now >= self.grants_from && until > now && holder.lent(now) == 0.0;
        let slice = if may_grant { round_down(fair_share.min(lent - granted_to_others)) } else { 0.0 };
        if slice > 0.0 {
            holder.granted.push(GrantedSlice { digest, amount: slice, until });
        }
        SliceGrant { digest, slice }
    }

    /// The capacity that all workers together lend at least until that time.
    fn lent(&self, until: f64) -> f64 {
        self.holders.values().map(|holder| holder.lent(until)).sum()
    }

    fn refresh_fair_shares(&mut self, now: f64) {
        if now - self.fair_shares.computed_at < FAIR_SHARES_VALID_S {
            return;
        }
        self.holders.retain(|_, holder| now - holder.last_report_at < REMOVE_AFTER_S);
        let lent = self.lent(now + SLICE_S);
        let demand = |(worker, holder): (&u64, &CapacityHolder)| Demand {
            worker: *worker,
            wanted_calls: holder.wanted_calls,
            weight: holder.weight.max(MIN_WEIGHT),
        };
        let demands: Vec<Demand> =
            self.holders.iter().map(demand).filter(|demand| demand.wanted_calls > 0.0).collect();
        self.fair_shares = FairShares { computed_at: now, by_worker: divide(lent, demands) };
    }

    /// The sums of valid loans and slices.
    #[must_use]
    pub fn totals(&self, now: f64) -> CapacityTotals {
        CapacityTotals {
            lent: self.lent(now),
            granted: self.holders.values().map(|holder| holder.largest_slice(now)).sum(),
        }
    }
}

/// Divides an amount by weighted max-min fairness (water-filling): each worker gets its demand, or its share by weight.
pub(super) fn divide(mut amount: f64, mut demands: Vec<Demand>) -> BTreeMap<u64, f64> {
    // The smallest demand for its weight is satisfied first; what it leaves of its share goes to the others.
    demands.sort_by(|a, b| (a.wanted_calls / a.weight).total_cmp(&(b.wanted_calls / b.weight)));
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut shares = BTreeMap::new();
    for demand in demands {
        let by_weight = amount * demand.weight / weights.max(1e-9);
        let share = demand.wanted_calls.min(by_weight).max(0.0);
        amount -= share;
        weights -= demand.weight;
        shares.insert(demand.worker, share);
    }
    shares
}
