//! A worker's membership in its fleet: the session with the coordinators, leases, scheduled tasks, and fleet-wide overload
//! control. No I/O here; the clock and random seeds are passed in.
//!
//! [`FleetMember`] is the state machine of all this: messages on its link and outcomes of its calls go in,
//! [`MemberAction`]s come out. No request waits for it, and a worker serves requests the same with and without it.
//!
//! | module | job |
//! | --- | --- |
//! | [`frame`] | messages and their framing |
//! | [`session`] | which coordinator to connect to, heartbeats, backoff |
//! | [`lease_holder`] | until when an action may begin under a lease |
//! | [`tasks`] | scheduled calls under a lease |
//! | [`overload`] | fleet-wide overload control |
//!
//! Without `[fleet]` in the operator's file none of it is constructed.

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
