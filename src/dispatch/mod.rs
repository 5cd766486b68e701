//! Request dispatch: tracks requests, attempts and outcomes between the frontends, the admission controller and the
//! backends.
//!
//! This module does no I/O and reads no clock; it is independent of wire formats. The caller passes in the current time
//! and one [`Input`] at a time, and executes the resulting [`Command`]s in order. The [`Dispatcher`] guarantees that
//! each request gets exactly one response, that an idempotency key runs at most once per window, and that a downstream
//! call is cancelled when its run ends.
#![warn(missing_docs)]

mod actions;
mod arrival;
mod completion;
mod dispatcher;
mod effects;
mod fingerprint;
pub mod idempotency;
mod in_flight;
mod lost_commands;
mod messages;
pub mod metrics;
mod rejections;
mod request_handoff;
mod resource_usage;
#[cfg(test)]
mod tests;

pub use dispatcher::Dispatcher;
pub use messages::{Command, DispatchEvent, Input, Principal, Request, Response, TenantError, Ticket};
pub use request_handoff::{HandOffState, HandedOffRequest};
pub use resource_usage::ResourceUsage;
