//! Timer wheel with coarse ticks. A timer never fires early, and the wheel itself delays it by two ticks at most.

/// The length of a tick (seconds).
pub const TICK_S: f64 = 0.004;
/// Number of slots: one round of the wheel takes 2 s. A timer that is further ahead stays in its slot for a later
/// round.
const SLOTS: usize = 512;

/// The kinds of timers. Timers can't be cancelled; the owner ignores those that no longer apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A wake-up requested by the admission controller.
    Wake,
    /// Timeout of a downstream call, with the timer's number.
    Call(u64),
    /// Timeout of a run on an AJP server, with the timer's number.
    Run(u64),
    /// Timeout of a directory lookup, with the timer's number.
    Search(u64),
    /// A load report to the registry is due.
    Heartbeat,
    /// The worker's fleet membership has work to do.
    Fleet,
    /// A check for idle and slow connections is due.
    Sweep,
    /// The next attempt to connect to the executor is due.
    Reconnect,
    /// Accepting connections resumes.
    Accept,
    /// Starts a turn of the event loop, and has no handler of its own.
    NextTurn,
}

/// The timer wheel; times are in seconds on the event loop's clock.
pub struct Wheel {
    /// The timers, each with the tick at which it expires, in the slot of that tick modulo [`SLOTS`].
    slots: Vec<Vec<(u64, Timer)>>,
    /// The last tick processed.
    last_tick: u64,
    /// Number of timers in all slots.
    timer_count: usize,
}

impl Wheel {
    /// Creates an empty wheel.
    #[must_use]
    pub fn new(now: f64) -> Self {
        Wheel { slots: vec![Vec::new(); SLOTS], last_tick: (now / TICK_S) as u64, timer_count: 0 }
    }

    /// Sets a timer that expires `after` seconds from now; if that is not positive and finite, at the next tick.
    pub fn set(&mut self, now: f64, after: f64, timer: Timer) {
        let due = now + if after.is_finite() { after.max(0.0) } else { 0.0 };
        let tick = ((due / TICK_S).ceil() as u64).max(self.last_tick + 1);
        self.slots[tick as usize % SLOTS].push((tick, timer));
        self.timer_count += 1;
    }

    /// Appends the expired timers to `due`, ordered by tick.
    pub fn expire(&mut self, now: f64, due: &mut Vec<Timer>) {
        let current_tick = (now / TICK_S) as u64;
        // After a long stall, one round of the wheel covers every slot. The timers are sorted below, since slot order
        // is not tick order then.
        let mut expired: Vec<(u64, Timer)> = Vec::new();
        for tick in self.last_tick + 1..=current_tick.min(self.last_tick + SLOTS as u64) {
            let slot = &mut self.slots[tick as usize % SLOTS];
            let mut i = 0;
            while i < slot.len() {
                if slot[i].0 <= current_tick {
                    expired.push(slot.remove(i));
                } else {
                    i += 1;
                }
            }
        }
        self.timer_count -= expired.len();
        expired.sort_by_key(|(tick, _)| *tick);
        due.extend(expired.into_iter().map(|(_, timer)| timer));
        self.last_tick = self.last_tick.max(current_tick);
    }

    /// When the event loop should wake up: the time of the next non-empty slot, which may hold only timers of later
    /// rounds.
    #[must_use]
    pub fn next(&self) -> Option<f64> {
        if self.timer_count == 0 {
            return None;
        }
        let slot = (self.last_tick + 1..=self.last_tick + SLOTS as u64)
            .find(|t| !self.slots[*t as usize % SLOTS].is_empty());
        slot.map(|tick| tick as f64 * TICK_S)
    }
}

#[cfg(test)]
mod tests;
