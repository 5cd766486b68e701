//! Which lines are written: peers must not be able to fill a disk.

use std::collections::HashMap;
use std::hash::Hash;

/// Most lines a second.
pub(super) const MAX_LINES_PER_S: u32 = 20;
/// Shortest time between two lines of a folded event (seconds).
pub(super) const FOLD_INTERVAL_S: f64 = 10.0;

/// What becomes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is written. It stands for this many occurrences, itself included.
    Write { occurrences: u32 },
    /// It is not written.
    Drop,
}

/// Occurrences of one folded event.
#[derive(Debug)]
struct FoldedEvent {
    written_at_s: f64,
    /// Occurrences since it was written.
    occurrences: u32,
}

/// Counts lines by the second, and occurrences of folded events by their key. The keys are places in the code, so their
/// number is bounded.
#[derive(Debug)]
pub(super) struct LineLimiter<K> {
    second: u64,
    lines: u32,
    suppressed: u32,
    /// The second in which lines were last left out.
    suppressed_in: Option<u64>,
    folded: HashMap<K, FoldedEvent>,
}

impl<K: Eq + Hash> LineLimiter<K> {
    pub(super) fn new() -> LineLimiter<K> {
        LineLimiter { second: 0, lines: 0, suppressed: 0, suppressed_in: None, folded: HashMap::new() }
    }

    /// Decides on an event at this time (seconds since the start).
    pub(super) fn admit(&mut self, now_s: f64) -> Verdict {
        self.admit_line(now_s, 1)
    }

    /// Decides on an event whose repeats are folded.
    pub(super) fn admit_folded(&mut self, now_s: f64, key: K) -> Verdict {
        let never_written = FoldedEvent { written_at_s: f64::NEG_INFINITY, occurrences: 0 };
        let event = self.folded.entry(key).or_insert(never_written);
        event.occurrences += 1;
        if now_s - event.written_at_s < FOLD_INTERVAL_S {
            return Verdict::Drop;
        }
        let occurrences = std::mem::take(&mut event.occurrences);
        event.written_at_s = now_s;
        self.admit_line(now_s, occurrences)
    }

    /// Takes the number of lines that were left out in a second that is over.
    pub(super) fn take_suppressed(&mut self, now_s: f64) -> Option<u32> {
        if self.suppressed_in == Some(now_s as u64) {
            return None;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        (suppressed > 0).then_some(suppressed)
    }

    fn admit_line(&mut self, now_s: f64, occurrences: u32) -> Verdict {
        if now_s as u64 != self.second {
            self.second = now_s as u64;
            self.lines = 0;
        }
        self.lines += 1;
        if self.lines <= MAX_LINES_PER_S {
            Verdict::Write { occurrences }
        } else {
            self.suppressed += 1;
            self.suppressed_in = Some(self.second);
            Verdict::Drop
        }
    }
}
