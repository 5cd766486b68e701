//! State of the event loop that is carried from one turn to the next.

use crate::dispatch::Input;

/// The loop's own state. Times are seconds on the loop's clock.
pub struct LoopState {
    /// Start of this turn.
    pub turn_began: f64,
    /// Start of the previous turn. Data read in this turn may have arrived at any time since then.
    pub previous_turn_began: f64,
    /// Whether a round may defer its inputs to the next turn.
    pub deferral: Deferral,
    /// Inputs that were produced too late in a turn to be dispatched in it.
    pub deferred_inputs: Vec<Input>,
    /// Pending timers that must not be set a second time.
    pub timers: PendingTimers,
    /// Connections are to be swept at the end of this turn.
    pub sweep_due: bool,
    /// Shutdown is complete: the loop ends after this turn.
    pub finished: bool,
}

/// Whether a round (one pass of gathering, dispatching and executing within a turn) that detects a stall of the process
/// may defer its inputs to the next turn, which checks for a shutdown notice first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// The next round may defer its inputs.
    Allowed,
    /// The next round dispatches its inputs in any case: they were deferred once already, or no further turn may
    /// follow.
    Used,
}

/// Which timers are pending.
#[derive(Default)]
pub struct PendingTimers {
    /// The timer that resumes accepting.
    pub accept: bool,
    /// The timer that reconnects to the executor.
    pub reconnect: bool,
}

impl LoopState {
    /// Returns the state before the first turn.
    pub fn new(now: f64) -> LoopState {
        LoopState {
            turn_began: now,
            previous_turn_began: now,
            deferral: Deferral::Allowed,
            deferred_inputs: Vec::new(),
            timers: PendingTimers::default(),
            sweep_due: false,
            finished: false,
        }
    }

    /// Records the start of a turn.
    pub fn begin_turn(&mut self, now: f64) {
        self.previous_turn_began = self.turn_began;
        self.turn_began = now;
    }
}
