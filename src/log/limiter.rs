//! Rate limit for log lines, so that peers can't fill the disk by causing events.

use std::collections::HashMap;
use std::hash::Hash;

/// Maximum number of lines per second.
pub(super) const MAX_LINES_PER_S: u32 = 20;
/// Minimum interval between two lines of a folded event (seconds).
pub(super) const FOLD_INTERVAL_S: f64 = 10.0;

/// Whether an event is written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// Write one line for this many occurrences, including the current one.
    Write { occurrences: u32 },
    /// Write nothing.
    Drop,
}

/// State of one folded event.
#[derive(Debug)]
struct FoldedEvent {
    /// When the last line was written or suppressed (seconds since the log was set up).
    last_line_at_s: f64,
    /// Occurrences since the last line.
    occurrences: u32,
}

/// Counts lines per second, and occurrences of folded events per key. Keys identify call sites, so their number is
/// bounded.
#[derive(Debug)]
pub(super) struct LineLimiter<K> {
    /// The second in which the last line was admitted or suppressed, counted from when the log was set up.
    second: u64,
    /// Lines in that second, both written and suppressed.
    lines: u32,
    /// Suppressed lines that were not reported yet.
    suppressed: u32,
    /// The second in which lines were last suppressed.
    suppressed_in: Option<u64>,
    folded: HashMap<K, FoldedEvent>,
}

impl<K: Eq + Hash> LineLimiter<K> {
    pub(super) fn new() -> LineLimiter<K> {
        LineLimiter { second: 0, lines: 0, suppressed: 0, suppressed_in: None, folded: HashMap::new() }
    }

    /// Decides whether to write an event that occurs at `now_s` (seconds since the log was set up).
    pub(super) fn admit(&mut self, now_s: f64) -> Decision {
        self.admit_line(now_s, 1)
    }

    /// Decides whether to write an event whose repeats within [`FOLD_INTERVAL_S`] are folded into one line.
    pub(super) fn admit_folded(&mut self, now_s: f64, key: K) -> Decision {
        let never_written = FoldedEvent { last_line_at_s: f64::NEG_INFINITY, occurrences: 0 };
        let event = self.folded.entry(key).or_insert(never_written);
        event.occurrences += 1;
        if now_s - event.last_line_at_s < FOLD_INTERVAL_S {
            return Decision::Drop;
        }
        let occurrences = std::mem::take(&mut event.occurrences);
        event.last_line_at_s = now_s;
        self.admit_line(now_s, occurrences)
    }

    /// Returns the number of suppressed lines and resets it; `None` if it is 0 or if the second in which lines were last
    /// suppressed is not over yet.
    pub(super) fn take_suppressed(&mut self, now_s: f64) -> Option<u32> {
        if self.suppressed_in == Some(now_s as u64) {
            return None;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        (suppressed > 0).then_some(suppressed)
    }

    fn admit_line(&mut self, now_s: f64, occurrences: u32) -> Decision {
        if now_s as u64 != self.second {
            self.second = now_s as u64;
            self.lines = 0;
        }
        self.lines += 1;
        if self.lines <= MAX_LINES_PER_S {
            Decision::Write { occurrences }
        } else {
            self.suppressed += 1;
            self.suppressed_in = Some(self.second);
            Decision::Drop
        }
    }
}
