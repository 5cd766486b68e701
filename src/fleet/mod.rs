//! A worker's membership in its fleet: the session with the coordinators, leases, scheduled tasks, and fleet-wide overload
//! control. Performs no I/O; the clock and random seeds are passed in.
//!
//! [`FleetMember`] is the state machine: its inputs are messages on the link and outcomes of scheduled calls, its outputs
//! are [`MemberAction`]s. No request waits for it, and a worker also serves requests without it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`frame`] | messages and their framing |
//! | [`session`] | choice of coordinator, heartbeats, backoff |
//! | [`lease_holder`] | validity of the leases that this worker holds |
//! | [`tasks`] | scheduled calls under a lease |
//! | [`overload`] | fleet-wide overload control |
//!
//! Without `[fleet]` in the operator's file, no [`FleetMember`] is created.

#![warn(missing_docs)]

pub mod frame;
pub mod lease_holder;
pub mod overload;
pub mod session;
pub mod tasks;

mod config;
mod member;
mod totals;

pub use config::{Incarnation, MembershipConfig};
pub use member::{FleetMember, LeaseLossCause, MemberAction, MembershipEvent};
pub use totals::TOTALS_TASK;
