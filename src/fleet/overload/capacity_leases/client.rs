//! The worker's side: how many calls it may have in flight.

use super::{round_down, Loan, LOAN_S, MAX_OUTSTANDING, SLICE_S, UNLENDABLE_SHARE};
use std::collections::VecDeque;

/// A report that may still be answered.
#[derive(Clone, Copy, Debug)]
struct OutstandingReport {
    number: u64,
    sent_at: f64,
}

/// The capacity part of a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanOffer {
    /// Calls in flight that the worker lends.
    pub lends: f64,
    /// Number of the last digest that it has received.
    pub last_digest: u64,
}

/// What a worker has lent and borrowed now (calls in flight).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentCapacity {
    /// What it has lent.
    pub lent: f64,
    /// The slice that it has been granted.
    pub slice: f64,
}

/// One worker's loans and slice.
#[derive(Clone, Debug)]
pub struct CapacityClient {
    /// Its base allocation.
    base_calls: f64,
    drift: f64,
    loans: VecDeque<Loan>,
    /// In the order in which they were sent.
    outstanding: VecDeque<OutstandingReport>,
    slice: f64,
    slice_until: f64,
    last_digest: u64,
}

impl CapacityClient {
    /// A process that starts now; `base_calls` is its base allocation (mean calls in flight), `drift` the share by which
    /// clocks may differ.
    #[must_use]
    pub fn new(now: f64, base_calls: f64, drift: f64) -> CapacityClient {
        // The process before it may have lent so much.
        let earlier_loan =
            Loan { amount: base_calls * (1.0 - UNLENDABLE_SHARE), until: now + LOAN_S / (1.0 - drift) };
        CapacityClient {
            base_calls,
            drift,
            loans: VecDeque::from([earlier_loan]),
            outstanding: VecDeque::new(),
            slice: 0.0,
            slice_until: f64::NEG_INFINITY,
            last_digest: 0,
        }
    }

    /// A report is sent now: what it lends of the `spare` calls that it does not need.
    pub fn report(&mut self, now: f64, number: u64, spare: f64) -> LoanOffer {
        self.loans.retain(|loan| loan.until > now);
        self.outstanding.push_back(OutstandingReport { number, sent_at: now });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        let lends = self.lendable(spare);
        if lends > 0.0 {
            self.loans.push_back(Loan { amount: lends, until: now + LOAN_S / (1.0 - self.drift) });
        }
        LoanOffer { lends, last_digest: self.last_digest }
    }

    fn lendable(&self, spare: f64) -> f64 {
        // Without a digest to count it from, the leader could not use the loan.
        if self.last_digest == 0 {
            return 0.0;
        }
        round_down(spare.min(self.base_calls * (1.0 - UNLENDABLE_SHARE)))
    }

    /// A report was answered by this digest, with this slice.
    pub fn receive(&mut self, report: u64, digest: u64, slice: f64) {
        let Some(index) = self.outstanding.iter().position(|sent| sent.number == report) else { return };
        self.outstanding.drain(..index);
        let Some(answered) = self.outstanding.pop_front() else { return };
        self.last_digest = digest;
        self.slice = slice;
        self.slice_until = answered.sent_at + SLICE_S * (1.0 - self.drift);
    }

    /// The session goes on over another link: digests are numbered anew, and messages on the old link are lost. The slice
    /// ends, since the next one may come from another leader; loans stay as they were promised.
    pub fn reconnected(&mut self) {
        self.outstanding.clear();
        self.last_digest = 0;
        self.slice = 0.0;
        self.slice_until = f64::NEG_INFINITY;
    }

    /// What it has lent, and the slice that it may use now.
    pub fn current(&self, now: f64) -> CurrentCapacity {
        let loans = self.loans.iter().filter(|loan| loan.until > now);
        let lent = loans.map(|loan| loan.amount).fold(0.0, f64::max);
        let slice = if now < self.slice_until { self.slice } else { 0.0 };
        CurrentCapacity { lent, slice }
    }

    /// The most calls that it may have in flight now.
    #[must_use]
    pub fn max_in_flight(&self, now: f64) -> f64 {
        let current = self.current(now);
        self.base_calls - current.lent + current.slice
    }
}
