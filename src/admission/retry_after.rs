//! Retry-After: when the caller of a rejected request may come back, and whether other workers would reject it too.

use crate::admission::arrival_rates::ArrivalRates;
use crate::admission::timing::{MEASUREMENT_MEMORY_S, SWEEP_INTERVAL_S};
use crate::interface::Settings;

/// Other workers are taken to reject as well from this share of retries among arrivals on.
const FLEET_FULL_RETRY_SHARE: f64 = 0.15;
/// Where retries are not marked, other workers are taken to reject as well when arrivals need so many times the time
/// that the cores have, at the baseline of run lengths.
const FLOOD_FACTOR: f64 = 1.2;
/// A caller's next attempt is far off beyond so many times the longest Retry-After.
const MAX_NEXT_ATTEMPT_FACTOR: f64 = 2.0;
/// The shortest Retry-After (seconds).
const MIN_RETRY_AFTER_S: f64 = 4.0 * SWEEP_INTERVAL_S;

/// The settings of callers and of this machine that a Retry-After depends on.
pub(super) struct RetryAfter {
    /// The longest Retry-After that callers heed; 0 where none is relayed (seconds).
    max_s: f64,
    callers: f64,
    cores: f64,
    marks_retries: bool,
}

impl RetryAfter {
    pub(super) fn new(settings: &Settings) -> Self {
        RetryAfter {
            max_s: settings.max_retry_after_s,
            callers: f64::from(settings.callers),
            cores: f64::from(settings.cores.max(1)),
            marks_retries: settings.marks_retries,
        }
    }

    /// The longest Retry-After (seconds).
    pub(super) fn max_s(&self) -> f64 {
        self.max_s
    }

    /// The Retry-After of a healthy worker (seconds): half the time that `ahead` queued requests take to start. In a
    /// full fleet half the time to a caller's next attempt, unless that is far off.
    pub(super) fn alone_s(
        &self,
        ahead: usize,
        service_rate: f64,
        arrivals: &ArrivalRates,
        fleet_is_full: bool,
    ) -> f64 {
        let next_attempt_s = self.callers / 2.0 / arrivals.total();
        let half_wait_s = (ahead as f64 / service_rate / 2.0).max(MIN_RETRY_AFTER_S);
        if fleet_is_full && next_attempt_s < self.max_s * MAX_NEXT_ATTEMPT_FACTOR {
            half_wait_s.max(next_attempt_s)
        } else {
            half_wait_s
        }
    }

    /// Whether other workers are taken to reject as well, by what this worker sees: another attempt would only cost
    /// reads then.
    ///
    /// Many retries show it. Where they are not marked, arrivals beyond the baseline of the cores do: callers spread
    /// what they send, so a flood here is one everywhere, while a fault of this worker alone brings no more arrivals.
    /// A spare worker elsewhere is then not found.
    pub(super) fn fleet_looks_full(&self, arrivals: &ArrivalRates, baseline_run_s: f64) -> bool {
        let total = arrivals.total();
        if self.marks_retries {
            let enough_arrivals = total * MEASUREMENT_MEMORY_S > self.cores;
            enough_arrivals && arrivals.retries() > FLEET_FULL_RETRY_SHARE * total
        } else {
            total * baseline_run_s > FLOOD_FACTOR * self.cores
        }
    }
}
