//! When what happens after the notice to leave. Decided without I/O; times are seconds on whatever clock the notice is
//! given in.
//!
//! Every margin is a share of the stop where the stop is short: the settings may name any grace and any stop, and an
//! answer is owed before the end under all of them.

/// The door closes this long before the stop at the latest, where the grace reaches beyond it (seconds, share).
const DOOR_MARGIN: (f64, f64) = (0.4, 0.5);
/// Whatever is still owed is answered this long before the stop: the module gives up before, unless the stop was too
/// short for it (seconds, share).
const LAST_CALL_MARGIN: (f64, f64) = (0.15, 0.4);
/// The process ends this long before the stop at the latest: SIGKILL closes sockets without reading them (seconds,
/// share).
const END_MARGIN: (f64, f64) = (0.05, 0.2);

/// The course of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeline {
    pub notice: f64,
    /// Nobody is let in from then on, and connections that rest are ended.
    pub door: f64,
    /// All answers are given, and half requests are waited for no more.
    pub last_call: f64,
    /// The process ends, whoever is still connected.
    pub end: f64,
    /// SIGKILL.
    pub stop: f64,
}

impl Timeline {
    pub fn new(notice: f64, stop_s: f64, grace_s: f64) -> Timeline {
        let stop_s = stop_s.max(0.0);
        let stop = notice + stop_s;
        let before = |(margin_s, share): (f64, f64)| stop - margin_s.min(stop_s * share);
        let door = (notice + grace_s.max(0.0)).min(before(DOOR_MARGIN));
        Timeline { notice, door, last_call: before(LAST_CALL_MARGIN), end: before(END_MARGIN), stop }
    }
}

#[cfg(test)]
mod tests;
