//! The time limit for waits, timestamps and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time limit for waiting for a single condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// Whether this is a timestamp in the log's format, such as `2026-12-02T13:55:12.123456Z`.
#[must_use]
pub fn is_log_timestamp(text: &str) -> bool {
    const FORMAT: &str = "dddd-dd-ddTdd:dd:dd.ddddddZ";
    let matches_format = |(found, expected): (char, char)| match expected {
        'd' => found.is_ascii_digit(),
        other => found == other,
    };
    text.len() == FORMAT.len() && text.chars().zip(FORMAT.chars()).all(matches_format)
}

/// Milliseconds since 1970.
///
/// # Panics
/// Panics if the clock is set before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
