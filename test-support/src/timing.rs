//! The limit on waits, and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a test waits for any one condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// Milliseconds since 1970.
///
/// # Panics
/// The clock stands before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
