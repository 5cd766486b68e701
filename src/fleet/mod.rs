//! A worker's membership in its fleet: the session with the coordinators, leases, scheduled tasks, and fleet-wide overload
//! control. No I/O here; the clock and random seeds are passed in.
//!
//! [`FleetMember`] is the whole of it: it is given the messages on its link and the outcomes of its calls, and returns
//! [`MemberAction`]s. A worker serves requests the same with and without it: no request waits for anything here.
//!
//! | module | job |
//! | --- | --- |
//! | [`frame`] | messages and their framing |
//! | [`session`] | which coordinator to connect to, heartbeats, backoff |
//! | [`lease_holder`] | until when a lease may be relied on |
//! | [`tasks`] | scheduled calls under a lease |
//! | [`overload`] | fleet-wide overload control |
//!
//! Without `[fleet]` in an operator's file nothing of it is constructed.

#![warn(missing_docs)]

pub mod frame;
pub mod lease_holder;
pub mod overload;
pub mod session;
pub mod tasks;

mod config;
mod member;
mod totals;

pub use config::MembershipConfig;
pub use member::{FleetMember, LeaseLossCause, MemberAction, MembershipEvent};
pub use totals::TOTALS;
