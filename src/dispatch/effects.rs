//! The events and commands that inputs give rise to, on their way to the controller and to the event loop.

use super::Command;
use crate::interface::Event;
use std::collections::VecDeque;

/// What one turn of the dispatcher has caused and not yet carried out.
pub(super) struct Effects<'a> {
    /// When the inputs are handled (loop's clock, seconds).
    pub(super) now: f64,
    /// Events that the controller has not been given yet, oldest first.
    pub(super) events: VecDeque<Event>,
    /// What the event loop is to do, in order; those of earlier turns may stand before them.
    pub(super) commands: &'a mut Vec<Command>,
}

impl<'a> Effects<'a> {
    /// No event and no command yet; commands are appended to `commands`.
    pub(super) fn new(now: f64, commands: &'a mut Vec<Command>) -> Self {
        Effects { now, events: VecDeque::new(), commands }
    }
}
