//! The leader's side: tracks loans, and grants slices of the lent capacity. Times are on the leader's clock (seconds).

use super::{round_down, CapacityReport, Loan, LOAN_S, MAX_OUTSTANDING, SLICE_S, UNLENDABLE_SHARE};
use std::collections::{BTreeMap, VecDeque};

/// Time without a report after which a worker's state is removed (seconds). By then its loans, which last [`LOAN_S`], and
/// its slices, which last [`SLICE_S`], have expired.
const REMOVE_AFTER_S: f64 = 10.0;
/// How long computed fair shares are reused (seconds): a fifth of the reporting interval.
const FAIR_SHARES_VALID_S: f64 = 0.1;
/// Lower bound for a worker's weight, so that demand per weight stays finite.
const MIN_WEIGHT: f64 = 1e-3;

/// A digest that the worker may name in its next reports as the last one that it received.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentDigest {
    pub(super) number: u64,
    sent_at: f64,
}

/// A slice that its holder may use.
#[derive(Clone, Copy, Debug)]
struct GrantedSlice {
    /// Number of the digest that carried the slice.
    digest: u64,
    amount: f64,
    /// When the slice has expired at its holder, however late the holder received it.
    until: f64,
}

/// One worker's loans, slices and demand, as known to the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerCapacity {
    /// Number of the last digest sent to the worker; 0 for none.
    last_digest: u64,
    /// In sending order.
    pub(super) sent_digests: VecDeque<SentDigest>,
    loans: Vec<Loan>,
    granted: Vec<GrantedSlice>,
    /// As in the last report (calls in flight).
    wanted_calls: f64,
    /// As in the last report.
    weight: f64,
    last_report_at: f64,
}

impl WorkerCapacity {
    /// The capacity that the worker lends at least until the given time.
    fn lent_until(&self, until: f64) -> f64 {
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

/// Cached division of the lent capacity among the workers that want some (calls in flight, by session number).
#[derive(Clone, Debug)]
struct FairShares {
    computed_at: f64,
    by_worker: BTreeMap<u64, f64>,
}

/// The fields of a digest that [`CapacityLeaseServer`] determines.
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
    /// Capacity that is lent.
    pub lent: f64,
    /// Capacity that is granted in slices.
    pub granted: f64,
}

/// Grants slices of lent capacity during one term of a leader.
#[derive(Clone, Debug)]
pub struct CapacityLeaseServer {
    /// Upper bound for one worker's loan (calls in flight).
    max_loan: f64,
    /// No slice is granted before this time, since slices of the previous leader may still be in use.
    grant_start: f64,
    pub(super) workers: BTreeMap<u64, WorkerCapacity>,
    fair_shares: FairShares,
}

impl CapacityLeaseServer {
    /// Creates the state of a leader whose term begins now. `base_calls` is each worker's base allocation.
    #[must_use]
    pub fn new(now: f64, base_calls: f64) -> CapacityLeaseServer {
        CapacityLeaseServer::with_grant_start(now + SLICE_S, base_calls)
    }

    /// Creates a server that grants slices from `grant_start` on. Tests use it to show that the wait in
    /// [`CapacityLeaseServer::new`] is necessary.
    #[must_use]
    pub fn with_grant_start(grant_start: f64, base_calls: f64) -> CapacityLeaseServer {
        CapacityLeaseServer {
            max_loan: base_calls.max(0.0) * (1.0 - UNLENDABLE_SHARE),
            grant_start,
            workers: BTreeMap::new(),
            fair_shares: FairShares { computed_at: f64::NEG_INFINITY, by_worker: BTreeMap::new() },
        }
    }

    /// Processes the report of a worker, which is identified by its session number.
    pub fn receive_report(&mut self, now: f64, worker: u64, report: CapacityReport) {
        let worker_state = self.workers.entry(worker).or_default();
        worker_state.last_report_at = now;
        worker_state.wanted_calls = report.wanted_calls;
        worker_state.weight = report.weight;
        // The worker applies this digest or a later one, so slices of earlier digests are no longer in use.
        worker_state.granted.retain(|slice| slice.digest >= report.last_digest && slice.until > now);
        worker_state.loans.retain(|loan| loan.until > now);
        let last_digest = worker_state.sent_digests.iter().find(|digest| digest.number == report.last_digest);
        if let Some(digest) = last_digest.filter(|_| report.lent_calls > 0.0) {
            let amount = report.lent_calls.min(self.max_loan);
            worker_state.loans.push(Loan { amount, until: digest.sent_at + LOAN_S });
        }
        worker_state.sent_digests.retain(|digest| digest.number >= report.last_digest);
    }

    /// Grants the slice for the digest to be sent to a worker now, in answer to a report that arrived at
    /// `report_received_at`.
    pub fn grant(&mut self, now: f64, report_received_at: f64, worker: u64) -> SliceGrant {
        self.refresh_fair_shares(now);
        let lent = self.lent_until(now + SLICE_S);
        let others = self.workers.iter().filter(|(id, _)| **id != worker);
        let granted_to_others: f64 = others.map(|(_, worker_state)| worker_state.largest_slice(now)).sum();
        let fair_share = self.fair_shares.by_worker.get(&worker).copied().unwrap_or(0.0);
        let worker_state = self.workers.entry(worker).or_default();
        worker_state.last_digest += 1;
        let digest = worker_state.last_digest;
        worker_state.sent_digests.push_back(SentDigest { number: digest, sent_at: now });
        if worker_state.sent_digests.len() > MAX_OUTSTANDING {
            worker_state.sent_digests.pop_front();
        }
        let until = report_received_at + SLICE_S;
        // A worker that lends capacity needs no slice.
        let may_grant = now >= self.grant_start && until > now && worker_state.lent_until(now) == 0.0;
        let slice = if may_grant { round_down(fair_share.min(lent - granted_to_others)) } else { 0.0 };
        if slice > 0.0 {
            worker_state.granted.push(GrantedSlice { digest, amount: slice, until });
        }
        SliceGrant { digest, slice }
    }

    /// The capacity that all workers together lend at least until the given time.
    fn lent_until(&self, until: f64) -> f64 {
        self.workers.values().map(|worker_state| worker_state.lent_until(until)).sum()
    }

    fn refresh_fair_shares(&mut self, now: f64) {
        if now - self.fair_shares.computed_at < FAIR_SHARES_VALID_S {
            return;
        }
        self.workers.retain(|_, worker_state| now - worker_state.last_report_at < REMOVE_AFTER_S);
        let lent = self.lent_until(now + SLICE_S);
        let demand = |(worker, worker_state): (&u64, &WorkerCapacity)| Demand {
            worker: *worker,
            wanted_calls: worker_state.wanted_calls,
            weight: worker_state.weight.max(MIN_WEIGHT),
        };
        let demands: Vec<Demand> =
            self.workers.iter().map(demand).filter(|demand| demand.wanted_calls > 0.0).collect();
        self.fair_shares = FairShares { computed_at: now, by_worker: max_min_fair_shares(lent, demands) };
    }

    /// The sums of the loans and slices in force now.
    #[must_use]
    pub fn totals(&self, now: f64) -> CapacityTotals {
        CapacityTotals {
            lent: self.lent_until(now),
            granted: self.workers.values().map(|worker_state| worker_state.largest_slice(now)).sum(),
        }
    }
}

/// Divides an amount by weighted max-min fairness (water-filling): each worker gets the smaller of its demand and its share
/// by weight.
pub(super) fn max_min_fair_shares(mut amount: f64, mut demands: Vec<Demand>) -> BTreeMap<u64, f64> {
    // Demands are processed in increasing order of demand per weight; the unused part of a share goes to the rest.
    demands.sort_by(|a, b| (a.wanted_calls / a.weight).total_cmp(&(b.wanted_calls / b.weight)));
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut shares = BTreeMap::new();
    for demand in demands {
        let weighted_share = amount * demand.weight / weights.max(1e-9);
        let share = demand.wanted_calls.min(weighted_share).max(0.0);
        amount -= share;
        weights -= demand.weight;
        shares.insert(demand.worker, share);
    }
    shares
}
