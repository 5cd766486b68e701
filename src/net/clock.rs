//! The event loop's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts seconds since its creation at the start of the worker. The Unix clock is used only to
/// read and write time stamps.
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub(in crate::net) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the clock's creation (seconds).
    #[must_use]
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Converts a time of this clock (seconds) to an [`Instant`]; a negative one to the clock's creation.
    pub(in crate::net) fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.max(0.0))
    }

    /// Returns the system's Unix time (milliseconds since 1970).
    #[must_use]
    pub fn unix_ms(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
    }
}
