//! The times of a shutdown's steps, computed without I/O. All times are seconds on the same clock as `noticed_at`.
//!
//! Each step has a margin before SIGKILL: a number of seconds, or a share of the stop time if that is shorter. The stop
//! time is the time from SIGTERM to SIGKILL. Any grace and any stop time can be configured, and whatever they are,
//! responses may still be pending when SIGKILL comes near.

/// A time before SIGKILL.
struct Margin {
    /// Length of the margin unless the stop time is short.
    seconds: f64,
    /// Upper bound of the margin, as a share of the stop time.
    max_share: f64,
}

impl Margin {
    /// The length of this margin (seconds), given the time from SIGTERM to SIGKILL.
    fn of(&self, stop_s: f64) -> f64 {
        self.seconds.min(stop_s * self.max_share)
    }
}

/// The listeners close at least this long before SIGKILL, even if the grace is longer.
const ACCEPT_MARGIN: Margin = Margin { seconds: 0.4, max_share: 0.5 };
/// All pending requests are answered this long before SIGKILL. The controller rejects them earlier unless the stop
/// time is too short.
const ANSWER_MARGIN: Margin = Margin { seconds: 0.15, max_share: 0.4 };
/// The process exits at least this long before SIGKILL, which closes sockets without reading them.
const EXIT_MARGIN: Margin = Margin { seconds: 0.05, max_share: 0.2 };

/// The times of a graceful shutdown's steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    /// When SIGTERM was received.
    pub noticed_at: f64,
    /// When the listeners close and idle connections are ended.
    pub accept_until: f64,
    /// When all pending requests are answered and partially read requests are abandoned.
    pub answer_by: f64,
    /// When the process exits, whatever connections are left.
    pub exit_by: f64,
    /// When SIGKILL follows.
    pub kill_at: f64,
}

impl Timeline {
    /// Computes the times from the time of SIGTERM, the time from SIGTERM to SIGKILL (`stop_s`) and the time in which
    /// requests are still accepted (`grace_s`), both in seconds.
    pub fn new(noticed_at: f64, stop_s: f64, grace_s: f64) -> Timeline {
        let stop_s = stop_s.max(0.0);
        let kill_at = noticed_at + stop_s;
        let before_kill = |margin: &Margin| kill_at - margin.of(stop_s);
        let accept_until = (noticed_at + grace_s.max(0.0)).min(before_kill(&ACCEPT_MARGIN));
        let answer_by = before_kill(&ANSWER_MARGIN);
        let exit_by = before_kill(&EXIT_MARGIN);
        Timeline { noticed_at, accept_until, answer_by, exit_by, kill_at }
    }
}

#[cfg(test)]
mod tests;
