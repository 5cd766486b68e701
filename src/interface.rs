//! The interface between a worker and its admission controller: settings, events and actions.
//!
//! These types contain no decisions. Times are in seconds; points in time are on the worker's clock, whose zero is
//! arbitrary.
#![warn(missing_docs)]

mod actions;
mod events;
mod learned;
mod reports;
mod settings;

pub use actions::Action;
pub use events::{Arrival, Event, Gauges, Outcome};
pub use learned::{LearnedRunLength, LearnedState, RecentCalls, RecentOutcomes, TenantTraffic, Traffic};
pub use reports::{AdmissionEvent, HealthState, PoolLimitCause, PoolLimitChange, UnhealthyCause};
pub use settings::{
    Class, Dependency, Idempotency, PoolPlan, PoolReserve, PoolSpec, Preemption, Settings, Signal, Tenant,
};

/// Identifies a request that a worker has read.
///
/// The worker assigns numbers in the order in which it reads requests. They are only compared, never interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
