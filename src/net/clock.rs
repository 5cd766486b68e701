//! The loop's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic seconds since the start. The Unix clock serves to read and write stamps alone.
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub(in crate::net) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Seconds since the start.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub(in crate::net) fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.max(0.0))
    }

    /// Milliseconds since 1970, as the system has them.
    #[must_use]
    pub fn unix_ms(&self) -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
    }
}
