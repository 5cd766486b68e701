//! Capacity leases on a downstream service that all workers share, after Google's Doorman. Each worker has a base allocation
//! of calls in flight; one that needs less lends the rest, and what is lent is granted in slices to those that need more.
//!
//! Guarantee to callers, also when messages are lost or delayed, processes stop, or the leader changes: all workers together
//! may never have more calls in flight than the sum of their base allocations. A worker without coordinators has its base
//! allocation, as it has without a fleet.
//!
//! **A loan** is a worker's promise not to use a number of calls for [`LOAN_S`] from when it *sends* the report. The leader
//! does not know when that was, but it knows which of its digests the worker had received by then, and counts the loan from
//! when it sent that digest. **A slice** counts for its holder from when it *sent* the report, and for the leader from when
//! the report arrived, as leases do. A leader grants only capacity of loans that outlast the slice, and nothing until the
//! slices of the previous leader have expired. Like renewals of leases, digests are sent only after a quorum has confirmed
//! the leader.
//!
//! A process that starts does not know what the previous process of its worker had lent. Therefore no worker lends more than
//! a quarter of its base allocation, and a new process uses only the other three quarters until such a loan has expired.

mod client;
mod server;

pub use client::{CapacityClient, CurrentCapacity, LoanOffer};
pub use server::{CapacityLeaseServer, CapacityTotals, SliceGrant};

/// How long a loan lasts on the lender's clock (seconds): six reports.
pub const LOAN_S: f64 = 3.0;
/// How long a slice lasts (seconds): longer than one lost report, and short against its loan.
pub const SLICE_S: f64 = 1.0;
/// The share of its base allocation that a worker never lends.
pub const UNLENDABLE_SHARE: f64 = 0.75;
/// Most unanswered messages that either side retains.
const MAX_OUTSTANDING: usize = 16;
/// Amounts are sent in multiples of one call divided by this, which are exact as `f32`.
const STEPS_PER_CALL: f64 = 64.0;

/// The capacity part of a load report (calls in flight).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// Number of the last digest that the worker had received.
    pub last_digest: u64,
    /// The part of its base allocation that it lends.
    pub lent_calls: f64,
    /// Calls that it would make beyond its capacity.
    pub wanted_calls: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
}

/// Lent capacity (calls in flight), and when the loan expires.
#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: f64,
    until: f64,
}

/// Rounds down to an amount that can be sent exactly.
fn round_down(amount: f64) -> f64 {
    (amount.max(0.0) * STEPS_PER_CALL).floor() / STEPS_PER_CALL
}

#[cfg(test)]
mod tests;
