//! The log of the port worker and of the coordinators: one line on standard error for each event, as
//! `TIME LEVEL event key=value ...`.
//!
//! Parts of the program report typed events; [`LogEvent::emit`] gives each its name, level and fields by way of
//! `tracing`, and the layer that [`install`] sets up writes the lines. `docs/operators/log.md` is the table of all
//! events.
//!
//! | module | job |
//! | --- | --- |
//! | `events` | name, level and fields of the events that decision code reports |
//! | `layer` | writes a line for each event of this program's crates |
//! | `line` | the text of one line: fields, quoting, length |
//! | `limiter` | how many lines a second are written, and which repeats are folded |
//!
//! Levels: `ERROR`, an operator must act; `WARN`, an operator may have to; `INFO`, part of service.

#![warn(missing_docs)]

mod events;
mod layer;
mod limiter;
mod line;

pub use layer::{install, LogHandle};
pub use line::excerpt;

/// Target of events that peers can cause over and over: repeats are folded into one line with a count. A `tracing` target
/// and not a field, so that it is known before any field is formatted.
pub const FOLDED: &str = "port_worker::folded";

/// An event that operators see in the log.
pub trait LogEvent {
    /// Writes the event under its name, with its level and fields.
    fn emit(&self);
}

#[cfg(test)]
mod tests;
