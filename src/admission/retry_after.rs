//! Retry-After: when the caller of a rejected request may retry, and whether other workers would reject it too.

use crate::admission::arrival_rates::ArrivalRates;
use crate::admission::timing::{DECAY_TIME_CONSTANT_S, SWEEP_INTERVAL_S};
use crate::interface::Settings;

/// Other workers are assumed to reject too if more than this share of the arrivals are retries.
const FLEET_FULL_RETRY_SHARE: f64 = 0.15;
/// If retries are not marked, other workers are assumed to reject too when the arrivals, at the baseline run length,
/// need more than this multiple of the time that the cores have.
const OVERLOAD_FACTOR: f64 = 1.2;
/// The expected time to a caller's next request is ignored if it is at least this multiple of the longest Retry-After.
const MAX_NEXT_REQUEST_FACTOR: f64 = 2.0;
/// The shortest Retry-After (seconds).
const MIN_RETRY_AFTER_S: f64 = 4.0 * SWEEP_INTERVAL_S;

/// Computes Retry-After from settings of the callers and of this machine.
pub(super) struct RetryAfter {
    /// The longest Retry-After that callers respect; 0 if none is forwarded to them (seconds).
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

    /// The Retry-After of a healthy worker without the fleet's overload control (seconds): half the time that `ahead`
    /// queued requests take to start. If the fleet is full, at least half the mean time between a caller's requests,
    /// unless that half is [`MAX_NEXT_REQUEST_FACTOR`] times the longest Retry-After or more.
    pub(super) fn standalone_s(
        &self,
        ahead: usize,
        service_rate: f64,
        arrivals: &ArrivalRates,
        fleet_is_full: bool,
    ) -> f64 {
        let next_request_s = self.callers / 2.0 / arrivals.total();
        let half_wait_s = (ahead as f64 / service_rate / 2.0).max(MIN_RETRY_AFTER_S);
        if fleet_is_full && next_request_s < self.max_s * MAX_NEXT_REQUEST_FACTOR {
            half_wait_s.max(next_request_s)
        } else {
            half_wait_s
        }
    }

    /// Whether this worker's own measurements suggest that other workers reject too, so that another attempt would be
    /// read only to be rejected.
    ///
    /// If callers mark retries, the fleet counts as full if the share of retries exceeds [`FLEET_FULL_RETRY_SHARE`] and
    /// the recent arrivals outnumber the cores. If they don't, the fleet counts as full if the arrivals, at the baseline
    /// run length, need more than [`OVERLOAD_FACTOR`] times the time that the cores have: callers spread their requests
    /// evenly, so an overload here is an overload everywhere, while a fault of this worker alone brings no additional
    /// arrivals. The drawback is that, if other workers have capacity after all, callers are told not to try them.
    pub(super) fn infers_full_fleet(&self, arrivals: &ArrivalRates, baseline_run_s: f64) -> bool {
        let total = arrivals.total();
        if self.marks_retries {
            let enough_arrivals = total * DECAY_TIME_CONSTANT_S > self.cores;
            enough_arrivals && arrivals.retries() > FLEET_FULL_RETRY_SHARE * total
        } else {
            total * baseline_run_s > OVERLOAD_FACTOR * self.cores
        }
    }
}
