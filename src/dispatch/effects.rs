//! Buffers for the events and commands that inputs cause, before the controller and the event loop get them.

use super::Command;
use crate::interface::Event;
use std::collections::VecDeque;

/// Events and commands of one turn of the dispatcher.
pub(super) struct Effects<'a> {
    /// Current time (event loop's clock, seconds).
    pub(super) now: f64,
    /// Events that the controller has not processed yet, oldest first.
    pub(super) events: VecDeque<Event>,
    /// Commands to the event loop, in order; may already contain commands of earlier turns.
    pub(super) commands: &'a mut Vec<Command>,
}

impl<'a> Effects<'a> {
    /// Creates an empty event queue; commands are appended to `commands`.
    pub(super) fn new(now: f64, commands: &'a mut Vec<Command>) -> Self {
        Effects { now, events: VecDeque::new(), commands }
    }
}
