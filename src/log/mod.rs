//! Logging for the port worker and the coordinators: one line on standard error for each event, in the form
//! `TIME LEVEL event key=value ...`.
//!
//! The program reports typed events. [`LogEvent::emit`] passes each to `tracing` with its name, level and fields, and
//! the layer that [`install`] sets up writes the lines. `docs/operators/log.md` lists all events.
//!
//! | module | purpose |
//! | --- | --- |
//! | `events` | names, levels and fields of the events that decision code reports |
//! | `layer` | `tracing` layer that writes a line for each event of this program's crates |
//! | `line` | formatting of a line: fields, quoting, maximum length |
//! | `limiter` | rate limit, and folding of repeated events |
//!
//! Levels: `ERROR`, an operator must act; `WARN`, an operator may have to act; `INFO`, normal operation.

#![warn(missing_docs)]

mod events;
mod layer;
mod limiter;
mod line;

pub use layer::{install, LogHandle};
pub use line::excerpt;

/// Target of events that peers can cause repeatedly. Repeats are folded into one line with a count. This is a `tracing`
/// target rather than a field, so that it is known before any field is formatted.
pub const FOLDED: &str = "port_worker::folded";

/// An event that is written to the log.
pub trait LogEvent {
    /// Writes the event with its name, level and fields.
    fn emit(&self);
}

#[cfg(test)]
mod tests;
