//! Capacity leases on a downstream service shared by all workers, modelled on Google's Doorman. Each worker has a base
//! allocation of calls in flight. Workers that need less lend the rest, and the leader grants the lent capacity in slices to
//! workers that need more.
//!
//! Guarantee to callers: the calls in flight of all workers together never exceed the sum of the base allocations, even if
//! messages are lost or delayed, processes stop, or the leader changes. A worker that reaches no coordinator returns to its
//! base allocation, the amount that it has without a fleet, once its loans and its slice have expired.
//!
//! **A loan** is a worker's promise not to use a number of calls for [`LOAN_S`] after it *sends* the report. The leader does
//! not know the sending time, but it knows which of its digests the worker had received by then, and counts the loan from
//! when it sent that digest. **A slice** lasts for [`SLICE_S`]. Its holder counts from when it *sent* the report, the leader
//! from when the report arrived, so that the slice expires at its holder first, as a lease does. A leader grants only
//! capacity of loans that outlast the slice, and grants nothing until the slices of the previous leader have expired. Like
//! lease renewals, digests are sent only after a quorum has confirmed the leader.
//!
//! A starting process does not know how much the worker's previous process had lent. Therefore no worker lends more than a
//! quarter of its base allocation, and a new process uses only the other three quarters until such a loan has expired.

mod client;
mod server;

pub use client::{CapacityClient, CurrentCapacity, LoanOffer};
pub use server::{CapacityLeaseServer, CapacityTotals, SliceGrant};

/// How long a loan lasts on the lender's clock (seconds): six reporting intervals.
pub const LOAN_S: f64 = 3.0;
/// How long a slice lasts (seconds): long enough to survive one lost report, and short compared to a loan.
pub const SLICE_S: f64 = 1.0;
/// The share of its base allocation that a worker never lends.
pub const UNLENDABLE_SHARE: f64 = 0.75;
/// Maximum number of unanswered reports that a worker tracks, and of sent digests that the leader tracks per worker.
const MAX_OUTSTANDING: usize = 16;
/// Amounts are sent in multiples of 1/64 of a call in flight, which `f32` represents exactly.
const STEPS_PER_CALL: f64 = 64.0;

/// The fields of a load report that [`CapacityLeaseServer`] evaluates. Amounts are in calls in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// Number of the last digest that the worker had received when it sent the report.
    pub last_digest: u64,
    /// The part of its base allocation that the worker lends.
    pub lent_calls: f64,
    /// Calls that the worker would make beyond its capacity.
    pub wanted_calls: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
}

/// Lent capacity (calls in flight) and its expiry.
#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: f64,
    until: f64,
}

/// Rounds down to an amount that can be transmitted exactly.
fn round_down(amount: f64) -> f64 {
    (amount.max(0.0) * STEPS_PER_CALL).floor() / STEPS_PER_CALL
}

#[cfg(test)]
mod tests;
