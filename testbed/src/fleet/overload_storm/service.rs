//! Model of the downstream service that all workers share; it slows down when too many calls are in flight.

use super::scenario::Scenario;
use crate::experiment::{RecordsModel, Slowdown};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time that a cancelled call still occupies the service (seconds); equal to `staysForS` in the workers' settings.
const CANCELLED_CALL_S: f64 = 0.2;
/// Duration of a call that fails (seconds).
const FAILED_CALL_S: f64 = 0.001;

/// The downstream service that all workers share.
pub(super) struct Service {
    slots: f64,
    call_duration_s: f64,
    thrash: f64,
    slow: Vec<Slowdown>,
    down: Vec<Slowdown>,
    /// Calls in flight by end time (microseconds) and call number: worker and run name.
    calls: BTreeMap<(u64, u64), (usize, Rc<str>)>,
    /// End times of cancelled calls that still occupy the service.
    lingering: Vec<f64>,
    last_call: u64,
    /// Largest number of calls in flight at the same time.
    pub peak_in_flight: f64,
    /// Calls received while the service was down, from one second after the outage began.
    pub probe_calls: u64,
}

/// Returns the interval that contains the given time, if any.
pub(super) fn current_interval(times: &[Slowdown], now: f64) -> Option<&Slowdown> {
    times.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&now))
}

impl Service {
    /// Creates the service with slots for all workers.
    pub fn new(scenario: &Scenario, records: &RecordsModel) -> Service {
        Service {
            slots: scenario.slots_per_worker * scenario.workers as f64,
            call_duration_s: records.call_ms / 1000.0,
            thrash: records.thrash,
            slow: scenario.slow.clone(),
            down: scenario.down.clone(),
            calls: BTreeMap::new(),
            lingering: Vec::new(),
            last_call: 0,
            peak_in_flight: 0.0,
            probe_calls: 0,
        }
    }

    /// Removes and returns the next call that has ended by now.
    pub fn take_ended(&mut self, now: f64) -> Option<(usize, Rc<str>)> {
        let (end, _) = *self.calls.first_key_value()?.0;
        if end as f64 / 1e6 > now {
            return None;
        }
        self.calls.pop_first().map(|(_, call)| call)
    }

    /// Returns the largest number of calls in flight, relative to the slots.
    pub fn peak_per_slot(&self) -> f64 {
        self.peak_in_flight / self.slots
    }

    /// Starts a worker's call.
    pub fn call(&mut self, now: f64, worker: usize, name: Rc<str>) {
        self.lingering.retain(|end| *end > now);
        let in_flight = (self.calls.len() + self.lingering.len() + 1) as f64;
        let excess = (in_flight / self.slots - 1.0).max(0.0);
        let slowdown = current_interval(&self.slow, now).map_or(1.0, |s| s.factor);
        let mut duration_s = self.call_duration_s * slowdown * (1.0 + self.thrash * excess);
        if let Some(down) = current_interval(&self.down, now) {
            duration_s = FAILED_CALL_S;
            // The fleet needs up to one second to suspend calls.
            self.probe_calls += u64::from(now > down.at_s + 1.0);
        }
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        self.last_call += 1;
        self.calls.insert((((now + duration_s) * 1e6) as u64, self.last_call), (worker, name));
    }

    /// Cancels a worker's call.
    pub fn cancel(&mut self, now: f64, worker: usize, name: &str) {
        let before = self.calls.len();
        self.calls.retain(|_, (w, n)| *w != worker || &**n != name);
        if self.calls.len() < before {
            self.lingering.push(now + CANCELLED_CALL_S);
        }
    }
}
