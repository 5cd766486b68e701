//! What passes between a worker and its admission controller: settings, events and actions.
//!
//! These are types without decisions. Times are in seconds; a point in time is on the worker's clock, whose
//! zero is arbitrary.
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

/// A request that a worker has read.
///
/// The worker hands out numbers in the order in which it reads requests. They are compared and never
/// interpreted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
