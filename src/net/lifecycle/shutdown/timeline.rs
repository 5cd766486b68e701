//! The times of a shutdown's steps, computed without I/O. All times are seconds on the same clock as `noticed_at`.
//!
//! Each step has a margin before SIGKILL: a number of seconds, or a share of the stop time if that is shorter. The stop
//! time is the time from SIGTERM to SIGKILL. Any grace and any stop time can be configured, and whatever they are,
//! responses may still be pending when SIGKILL comes near.

/// The listeners close at least this long before SIGKILL, even if the grace is longer (seconds, share of the stop
/// time).
const ACCEPT_MARGIN: (f64, f64) = (0.4, 0.5);
/// All pending requests are answered this long before SIGKILL. The controller rejects them earlier unless the stop
/// time is too short (seconds, share of the stop time).
const ANSWER_MARGIN: (f64, f64) = (0.15, 0.4);
/// The process exits at least this long before SIGKILL, which closes sockets without reading them (seconds, share of
/// the stop time).
const EXIT_MARGIN: (f64, f64) = (0.05, 0.2);

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
        let before = |(margin_s, share): (f64, f64)| kill_at - margin_s.min(stop_s * share);
        let accept_until = (noticed_at + grace_s.max(0.0)).min(before(ACCEPT_MARGIN));
        let (answer_by, exit_by) = (before(ANSWER_MARGIN), before(EXIT_MARGIN));
        Timeline { noticed_at, accept_until, answer_by, exit_by, kill_at }
    }
}

#[cfg(test)]
mod tests;
