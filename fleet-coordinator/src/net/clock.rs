//! The clock of coordinators.

use rustix::time::{clock_gettime, ClockId};

/// Returns the time on a clock that can't be set and that includes time in suspend (seconds).
pub(super) fn boot_time_s() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
