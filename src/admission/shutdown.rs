//! The shutdown notice and the deadlines that follow from it.

use crate::admission::timing::SWEEP_INTERVAL_S;

/// All requests are answered at least this long before the worker is stopped (seconds).
const MARGIN_S: f64 = 0.25;

/// A shutdown notice (clock, seconds).
#[derive(Clone, Copy)]
struct ShutdownNotice {
    received_at: f64,
    stop_at: f64,
}

/// The shutdown state of this worker.
pub(super) struct Shutdown {
    /// How long after the notice arrivals may still be run (seconds).
    grace_s: f64,
    notice: Option<ShutdownNotice>,
}

impl Shutdown {
    pub(super) fn new(grace_s: f64) -> Self {
        Shutdown { grace_s, notice: None }
    }

    /// Records a notice that was received `notice_age_s` before `now`; the worker is stopped `stop_in_s` after `now`.
    pub(super) fn announce(&mut self, now: f64, notice_age_s: f64, stop_in_s: f64) {
        self.notice = Some(ShutdownNotice { received_at: now - notice_age_s, stop_at: now + stop_in_s });
    }

    pub(super) fn is_announced(&self) -> bool {
        self.notice.is_some()
    }

    /// Whether a request that reached the worker at `arrived_at` may no longer start.
    pub(super) fn is_too_late_to_start(&self, arrived_at: f64, now: f64) -> bool {
        let Some(notice) = self.notice else { return false };
        let grace_ends = notice.received_at + self.grace_s - SWEEP_INTERVAL_S;
        arrived_at > grace_ends || now >= notice.stop_at - MARGIN_S
    }

    /// The time by which all requests must be answered.
    pub(super) fn answer_by(&self) -> Option<f64> {
        self.notice.map(|notice| notice.stop_at - MARGIN_S)
    }

    /// Whether a run that ends at this time would be answered too late.
    pub(super) fn ends_too_late(&self, ends_at: f64) -> bool {
        self.answer_by().is_some_and(|answer_by| ends_at > answer_by)
    }
}

#[cfg(test)]
mod tests;
