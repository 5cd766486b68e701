//! The clock of a trial.

use std::thread;
use std::time::{Duration, Instant};

/// Counts the seconds since its start, at which a trial's callers begin to send; reads 0 before.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn from_now() -> Clock {
        Clock(Instant::now())
    }

    /// A clock that starts after this delay; until then it stands at 0.
    pub(super) fn from_now_in(delay: Duration) -> Clock {
        Clock(Instant::now() + delay)
    }

    /// The time (seconds).
    #[must_use]
    pub fn now(&self) -> f64 {
        Instant::now().saturating_duration_since(self.0).as_secs_f64()
    }

    pub(super) fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}
