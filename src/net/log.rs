//! Lines for on-call staff.

use std::collections::HashMap;

/// How often the log repeats what peers can bring about at will (seconds).
const REPEAT_S: f64 = 10.0;
/// Lines a second; what a peer can bring about must not fill a disk.
const MAX_LINES_PER_S: u32 = 20;

/// A log on standard error with a bounded number of lines a second.
#[derive(Default)]
pub struct Log {
    second: u64,
    lines: u32,
    left_out: u32,
    now: f64,
    repeated: HashMap<&'static str, Repeated>,
}

/// A line that may come with every request.
struct Repeated {
    written_at: f64,
    /// How often it came since it was written.
    count: u32,
}

impl Log {
    /// Sets the time of the lines that follow, and says how many were left out in the last second.
    pub(in crate::net) fn set_time(&mut self, now: f64) {
        self.now = now;
        if now as u64 == self.second {
            return;
        }
        self.second = now as u64;
        self.lines = 0;
        if self.left_out > 0 {
            eprintln!("{now:.3} {} lines left out", self.left_out);
            self.left_out = 0;
        }
    }

    /// Writes a line that peers can bring about over and over: once in a while, with a count.
    pub fn often(&mut self, text: &'static str) {
        let now = self.now;
        let repeated =
            self.repeated.entry(text).or_insert(Repeated { written_at: f64::NEG_INFINITY, count: 0 });
        repeated.count += 1;
        if now - repeated.written_at < REPEAT_S {
            return;
        }
        let count = repeated.count;
        repeated.count = 0;
        repeated.written_at = now;
        match count {
            1 => self.line(text),
            _ => self.line(&format!("{text}, {count} times")),
        }
    }

    /// Writes a line, unless too many were written in this second.
    pub fn line(&mut self, text: &str) {
        self.lines += 1;
        if self.lines <= MAX_LINES_PER_S {
            eprintln!("{:.3} {text}", self.now);
        } else {
            self.left_out += 1;
        }
    }
}
