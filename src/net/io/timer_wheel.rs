//! Timers as coarse ticks on a wheel. A timer never fires early, and at most two ticks late by its own doing.

/// The length of a tick (seconds).
pub const TICK_S: f64 = 0.004;
/// Slots of the wheel; a timer further ahead than that waits in its slot for a later round.
const SLOTS: usize = 512;

/// What is due. Timers are never removed: the owner ignores one that no longer applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The controller requested a wake-up.
    Wake,
    /// A downstream call has run out of time, by its number.
    Call(u64),
    /// A run at an AJP server has run out of time, by its number.
    Run(u64),
    /// A search in the directory has run out of time, by its number.
    Search(u64),
    /// A load report to the registry is due.
    Heartbeat,
    /// Something is due in the worker's membership of its fleet.
    Fleet,
    /// Idle and slow connections are to be looked for.
    Sweep,
    /// The executor is to be connected to again.
    Reconnect,
    /// Accepting is to be resumed.
    Accept,
    /// Something put off to the next tick.
    NextTurn,
}

/// A wheel of ticks; times are seconds on the loop's clock.
pub struct Wheel {
    slots: Vec<Vec<(u64, Timer)>>,
    /// The last tick that has fired.
    at: u64,
    count: usize,
}

impl Wheel {
    /// An empty wheel.
    #[must_use]
    pub fn new(now: f64) -> Self {
        Wheel { slots: vec![Vec::new(); SLOTS], at: (now / TICK_S) as u64, count: 0 }
    }

    /// Sets a timer; one for the past or for now fires with the next tick.
    pub fn set(&mut self, now: f64, after: f64, timer: Timer) {
        let due = now + if after.is_finite() { after.max(0.0) } else { 0.0 };
        let tick = ((due / TICK_S).ceil() as u64).max(self.at + 1);
        self.slots[tick as usize % SLOTS].push((tick, timer));
        self.count += 1;
    }

    /// Takes what is due, earlier ticks first.
    pub fn expire(&mut self, now: f64, due: &mut Vec<Timer>) {
        let to = (now / TICK_S) as u64;
        // After a long stall one turn of the wheel sees every slot; the order is then by tick all the same.
        let mut fired: Vec<(u64, Timer)> = Vec::new();
        for tick in self.at + 1..=to.min(self.at + SLOTS as u64) {
            let slot = &mut self.slots[tick as usize % SLOTS];
            let mut i = 0;
            while i < slot.len() {
                if slot[i].0 <= to {
                    fired.push(slot.remove(i));
                } else {
                    i += 1;
                }
            }
        }
        self.count -= fired.len();
        fired.sort_by_key(|(tick, _)| *tick);
        due.extend(fired.into_iter().map(|(_, timer)| timer));
        self.at = self.at.max(to);
    }

    /// When the loop should wake: the next slot in use. It may turn out to hold only timers of later rounds.
    #[must_use]
    pub fn next(&self) -> Option<f64> {
        if self.count == 0 {
            return None;
        }
        let slot =
            (self.at + 1..=self.at + SLOTS as u64).find(|t| !self.slots[*t as usize % SLOTS].is_empty());
        slot.map(|tick| tick as f64 * TICK_S)
    }
}

#[cfg(test)]
mod tests;
