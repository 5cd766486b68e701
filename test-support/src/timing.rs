//! The limit on waits, and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long a test waits for any one condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// Whether this is a time as the log has it, like `2026-12-02T13:55:12.123456Z`.
#[must_use]
pub fn is_log_timestamp(text: &str) -> bool {
    const FORM: &str = "dddd-dd-ddTdd:dd:dd.ddddddZ";
    let fits = |(found, expected): (char, char)| match expected {
        'd' => found.is_ascii_digit(),
        other => found == other,
    };
    text.len() == FORM.len() && text.chars().zip(FORM.chars()).all(fits)
}

/// Milliseconds since 1970.
///
/// # Panics
/// The clock stands before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
