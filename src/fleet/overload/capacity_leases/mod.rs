//! Capacity leases on a downstream service that all workers share, after Google's Doorman. Each worker has a base allocation
//! of calls in flight; one that needs less lends the rest, and what is lent is granted in slices to those that need more.
//!
//! Guarantee to callers, whatever is lost, delayed, stopped or led by another: what all workers may have in flight together
//! never exceeds the sum of their base allocations. A worker without coordinators has its base allocation, as it has
//! without a fleet.
//!
//! **A loan** is a worker's promise to do without so many calls for [`LOAN_S`] from when it *sends* it. The leader can't
//! tell when that was, but it knows which of its digests the worker had received by then, and counts the loan from when it
//! sent that one. **A slice** is counted by its holder from when it *sent* the report, by the leader from when the report
//! arrived, as leases are. A leader grants no more than loans that last longer than the slice, and nothing until the slices
//! of the leader before have expired. Like renewals of leases, digests go out only after a quorum has confirmed the leader.
//!
//! A process that starts can't know what the one before it had lent: nobody lends more than a quarter of its base
//! allocation, and a new process uses no more than the other three until any such loan has expired.

mod client;
mod server;

pub use client::{CapacityClient, CurrentCapacity, LoanOffer};
pub use server::{CapacityLeaseServer, CapacityTotals, SliceGrant};

/// How long a loan lasts on the lender's clock (seconds): six reports.
pub const LOAN_S: f64 = 3.0;
/// How long a slice lasts (seconds): one lost report must not end it, and it expires within a second of its loan.
pub const SLICE_S: f64 = 1.0;
/// The share of its base allocation that a worker never lends.
pub const UNLENDABLE_SHARE: f64 = 0.75;
/// Most messages without an answer that are remembered, by either side.
const MAX_OUTSTANDING: usize = 16;
/// Amounts are sent in multiples of this fraction of a call, which are exact as `f32`.
const STEPS_PER_CALL: f64 = 64.0;

/// What a worker says about its capacity in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityReport {
    /// Number of the last digest that it had received.
    pub last_digest: u64,
    /// Calls in flight that it lends.
    pub lends: f64,
    /// Calls in flight that it would make beyond its capacity.
    pub wants: f64,
    /// Mean priority weight of those calls.
    pub weight: f64,
}

/// An amount of capacity that counts until a time.
#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: f64,
    until: f64,
}

/// Rounds down to what can be sent exactly.
fn round_down(amount: f64) -> f64 {
    (amount.max(0.0) * STEPS_PER_CALL).floor() / STEPS_PER_CALL
}

#[cfg(test)]
mod tests;
