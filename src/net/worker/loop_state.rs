//! What one turn of the loop leaves to the next.

use crate::dispatch::Input;

/// The loop's own state. Times are seconds on the loop's clock.
pub struct LoopState {
    /// When this turn began.
    pub turn_began: f64,
    /// When the turn before began: what is read now may have come at any time since.
    pub previous_turn_began: f64,
    /// Whether a round may leave its inputs to the next turn.
    pub deferral: Deferral,
    /// Inputs that came up too late in a turn to be handed over in it.
    pub deferred_inputs: Vec<Input>,
    /// Which timers are set that must not be set twice.
    pub timers: SetTimers,
    /// Connections are to be swept at the end of this turn.
    pub sweep_due: bool,
    /// The process has ended everything, and leaves the loop.
    pub finished: bool,
}

/// Whether a round that finds that the process stalled leaves its inputs to the next turn, which looks for a shutdown
/// notice first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It does.
    Allowed,
    /// The next round hands its inputs over in any case: they have waited for a turn already, or there may be no other.
    Used,
}

/// Timers that are set.
#[derive(Default)]
pub struct SetTimers {
    /// The one that resumes accepting.
    pub accept: bool,
    /// The one that connects to the executor again.
    pub reconnect: bool,
}

impl LoopState {
    /// The state before the first turn.
    pub fn new(now: f64) -> LoopState {
        LoopState {
            turn_began: now,
            previous_turn_began: now,
            deferral: Deferral::Allowed,
            deferred_inputs: Vec::new(),
            timers: SetTimers::default(),
            sweep_due: false,
            finished: false,
        }
    }

    /// Begins a turn.
    pub fn begin_turn(&mut self, now: f64) {
        self.previous_turn_began = self.turn_began;
        self.turn_began = now;
    }
}
