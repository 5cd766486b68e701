//! The bookkeeping between frontends, the admission controller and backends: requests, attempts and outcomes.
//!
//! Nothing here knows a wire format, a socket or a clock. The time is passed in, [`Input`]s go in one by one, and
//! [`Command`]s come out in the order in which they are to be carried out. The [`Dispatcher`] guarantees that each
//! request gets one response, that an idempotency key runs once, and that a downstream call is cancelled when its run
//! ends.
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
mod request_handoff;
mod resource_usage;
#[cfg(test)]
mod tests;
mod unconfirmed_replies;

pub use dispatcher::Dispatcher;
pub use messages::{Command, DispatchEvent, Input, Request, Response, Ticket};
pub use request_handoff::{HandOffState, HandedOffRequest};
pub use resource_usage::ResourceUsage;
