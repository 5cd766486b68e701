//! The shutdown notice, and the times that follow from it.

use crate::admission::timing::SWEEP_INTERVAL_S;

/// All requests are answered this long before the worker is stopped (seconds).
const MARGIN_S: f64 = 0.25;

/// A shutdown notice (clock, seconds).
#[derive(Clone, Copy)]
struct ShutdownNotice {
    received: f64,
    stop: f64,
}

/// The shutdown of this worker, once it is announced.
pub(super) struct Shutdown {
    /// How long after the notice an arrival may still be run (seconds).
    grace_s: f64,
    notice: Option<ShutdownNotice>,
}

impl Shutdown {
    pub(super) fn new(grace_s: f64) -> Self {
        Shutdown { grace_s, notice: None }
    }

    /// Notes a notice that came so long ago: the worker is stopped in so long.
    pub(super) fn announce(&mut self, now: f64, ago_s: f64, in_s: f64) {
        self.notice = Some(ShutdownNotice { received: now - ago_s, stop: now + in_s });
    }

    pub(super) fn is_announced(&self) -> bool {
        self.notice.is_some()
    }

    /// Whether a request that reached the worker at this time may no longer start.
    pub(super) fn is_too_late_to_start(&self, arrived: f64, now: f64) -> bool {
        let Some(notice) = self.notice else { return false };
        let grace_ends = notice.received + self.grace_s - SWEEP_INTERVAL_S;
        arrived > grace_ends || now >= notice.stop - MARGIN_S
    }

    /// When all requests must be answered.
    pub(super) fn answer_by(&self) -> Option<f64> {
        self.notice.map(|notice| notice.stop - MARGIN_S)
    }

    /// Whether a run that ends at this time would be answered too late.
    pub(super) fn ends_too_late(&self, ends_at: f64) -> bool {
        self.answer_by().is_some_and(|answer_by| ends_at > answer_by)
    }
}

#[cfg(test)]
mod tests;
