//! When what happens after the notice to leave. Decided without I/O; times are seconds on whatever clock the notice is
//! given in.
//!
//! Every margin is a share of the stop where the stop is short: the settings may name any grace and any stop, and an
//! response is pending at the end under any of them.

/// The listeners close this long before the kill at the latest, where the grace reaches beyond it (seconds, share).
const ACCEPT_MARGIN: (f64, f64) = (0.4, 0.5);
/// All pending responses are given this long before the kill: the controller rejects before, unless the stop was too
/// short for it (seconds, share).
const ANSWER_MARGIN: (f64, f64) = (0.15, 0.4);
/// The process exits this long before the kill at the latest: SIGKILL closes sockets without reading them (seconds,
/// share).
const EXIT_MARGIN: (f64, f64) = (0.05, 0.2);

/// The course of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    /// SIGTERM.
    pub notice: f64,
    /// Nobody is let in from then on, and idle connections are ended.
    pub accept_until: f64,
    /// All answers are given, and half requests are waited for no more.
    pub answer_by: f64,
    /// The process exits, whatever connections are left.
    pub exit_by: f64,
    /// SIGKILL.
    pub kill_at: f64,
}

impl Timeline {
    /// `stop_s` is the time from SIGTERM to SIGKILL, `grace_s` that in which requests are still taken (seconds).
    pub fn new(notice: f64, stop_s: f64, grace_s: f64) -> Timeline {
        let stop_s = stop_s.max(0.0);
        let kill_at = notice + stop_s;
        let before = |(margin_s, share): (f64, f64)| kill_at - margin_s.min(stop_s * share);
        let accept_until = (notice + grace_s.max(0.0)).min(before(ACCEPT_MARGIN));
        let (answer_by, exit_by) = (before(ANSWER_MARGIN), before(EXIT_MARGIN));
        Timeline { notice, accept_until, answer_by, exit_by, kill_at }
    }
}

#[cfg(test)]
mod tests;
