//! The clock that coordinators count by.

use rustix::time::{clock_gettime, ClockId};

/// Seconds on a clock that can't be set and that goes on during sleep.
pub(super) fn boot_time_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
