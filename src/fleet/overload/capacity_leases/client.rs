//! The worker's side: tracks its loans and its slice, which determine how many calls it may have in flight. Times are on the
//! worker's clock (seconds).

use super::{round_down, Loan, SliceGrant, LOAN_S, MAX_OUTSTANDING, SLICE_S, UNLENDABLE_SHARE};
use std::collections::VecDeque;

/// A report that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OutstandingReport {
    number: u64,
    sent_at: f64,
}

/// The fields of a load report that [`CapacityClient`] determines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanOffer {
    /// The part of its base allocation that the worker lends (calls in flight).
    pub lent_calls: f64,
    /// Number of the last digest received on this link; 0 for none.
    pub last_digest: u64,
}

/// A worker's loan and slice in force now (calls in flight).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CurrentCapacity {
    /// The part of its base allocation that the worker has lent.
    pub lent: f64,
    /// The slice that the worker may use.
    pub slice: f64,
}

/// A worker's loans and slice.
#[derive(Clone, Debug)]
pub struct CapacityClient {
    /// The worker's base allocation (calls in flight).
    base_calls: f64,
    /// The share by which clocks may drift apart.
    drift: f64,
    loans: VecDeque<Loan>,
    /// In sending order.
    outstanding: VecDeque<OutstandingReport>,
    /// The slice in the last digest (calls in flight).
    slice: f64,
    slice_until: f64,
    /// Number of the last digest received on this link; 0 for none.
    last_digest: u64,
}

impl CapacityClient {
    /// Creates the client of a process that starts now. `base_calls` is the worker's base allocation (mean calls in flight),
    /// `drift` the share by which clocks may drift apart.
    #[must_use]
    pub fn new(now: f64, base_calls: f64, drift: f64) -> CapacityClient {
        // The previous process of this worker may have lent up to this amount.
        let previous_loan =
            Loan { amount: base_calls * (1.0 - UNLENDABLE_SHARE), until: now + LOAN_S / (1.0 - drift) };
        CapacityClient {
            base_calls,
            drift,
            loans: VecDeque::from([previous_loan]),
            outstanding: VecDeque::new(),
            slice: 0.0,
            slice_until: f64::NEG_INFINITY,
            last_digest: 0,
        }
    }

    /// Records that a report is sent now, and returns the loan that it offers. `spare` is the number of calls in flight that
    /// the worker does not need.
    pub fn report(&mut self, now: f64, number: u64, spare: f64) -> LoanOffer {
        self.loans.retain(|loan| loan.until > now);
        self.outstanding.push_back(OutstandingReport { number, sent_at: now });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        let lent_calls = self.lendable_calls(spare);
        if lent_calls > 0.0 {
            self.loans.push_back(Loan { amount: lent_calls, until: now + LOAN_S / (1.0 - self.drift) });
        }
        LoanOffer { lent_calls, last_digest: self.last_digest }
    }

    fn lendable_calls(&self, spare: f64) -> f64 {
        // The leader counts a loan from when it sent the last digest that the worker has received, so it cannot use a loan
        // from a worker without a digest.
        if self.last_digest == 0 {
            return 0.0;
        }
        round_down(spare.min(self.base_calls * (1.0 - UNLENDABLE_SHARE)))
    }

    /// Processes the grant in the digest that answers the report numbered `report`.
    pub fn receive(&mut self, report: u64, grant: SliceGrant) {
        let Some(index) = self.outstanding.iter().position(|sent| sent.number == report) else { return };
        self.outstanding.drain(..index);
        let Some(answered) = self.outstanding.pop_front() else { return };
        self.last_digest = grant.digest;
        self.slice = grant.slice;
        self.slice_until = answered.sent_at + SLICE_S * (1.0 - self.drift);
    }

    /// Called when the session continues over a new link; messages on the old link are lost. The new link may lead to another
    /// leader, which numbers its digests from 1 and does not know the slice. Therefore the slice ends, and no loan is offered
    /// before the first digest on the link. Existing loans last until they expire.
    pub fn reconnected(&mut self) {
        self.outstanding.clear();
        self.last_digest = 0;
        self.slice = 0.0;
        self.slice_until = f64::NEG_INFINITY;
    }

    /// The loan and the slice in force now.
    #[must_use]
    pub fn current(&self, now: f64) -> CurrentCapacity {
        let loans = self.loans.iter().filter(|loan| loan.until > now);
        let lent = loans.map(|loan| loan.amount).fold(0.0, f64::max);
        let slice = if now < self.slice_until { self.slice } else { 0.0 };
        CurrentCapacity { lent, slice }
    }

    /// Maximum number of calls that the worker may have in flight now.
    #[must_use]
    pub fn max_in_flight(&self, now: f64) -> f64 {
        let current = self.current(now);
        self.base_calls - current.lent + current.slice
    }
}
