//! The downstream service that all workers share: it slows when it has too many calls in flight.

use super::shape::Scenario;
use crate::experiment::{RecordsModel, Slow};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A cancelled call still works for so long (seconds), as the workers' settings say.
const LINGER_S: f64 = 0.2;
/// How long a call takes that fails (seconds).
const FAILED_CALL_S: f64 = 0.001;

/// The downstream service that all workers share.
pub(super) struct Service {
    slots: f64,
    call_s: f64,
    thrash: f64,
    slow: Vec<Slow>,
    down: Vec<Slow>,
    /// Calls by their end: worker and name.
    calls: BTreeMap<(u64, u64), (usize, Rc<str>)>,
    /// Until when each cancelled call still works.
    lingering: Vec<f64>,
    last_call: u64,
    /// The most calls in flight at once.
    pub most: f64,
    /// Calls that came while it was down, from a second after the beginning.
    pub trials: u64,
}

/// The interval of these that it is now, if any.
pub(super) fn active_interval(times: &[Slow], now: f64) -> Option<&Slow> {
    times.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&now))
}

impl Service {
    /// A service with its slots for all workers of the storm.
    pub fn new(shape: &Scenario, records: &RecordsModel) -> Service {
        Service {
            slots: shape.slots_each * shape.workers as f64,
            call_s: records.call_ms / 1000.0,
            thrash: records.thrash,
            slow: shape.slow.clone(),
            down: shape.down.clone(),
            calls: BTreeMap::new(),
            lingering: Vec::new(),
            last_call: 0,
            most: 0.0,
            trials: 0,
        }
    }

    /// The next call that has ended by now.
    pub fn take_ended(&mut self, now: f64) -> Option<(usize, Rc<str>)> {
        let (end, _) = *self.calls.first_key_value()?.0;
        if end as f64 / 1e6 > now {
            return None;
        }
        self.calls.pop_first().map(|(_, call)| call)
    }

    /// The most calls that were in flight, against its slots.
    pub fn most_of_slots(&self) -> f64 {
        self.most / self.slots
    }

    /// A worker makes a call.
    pub fn call(&mut self, now: f64, worker: usize, name: Rc<str>) {
        self.lingering.retain(|end| *end > now);
        let in_flight = (self.calls.len() + self.lingering.len() + 1) as f64;
        let excess = (in_flight / self.slots - 1.0).max(0.0);
        let times = active_interval(&self.slow, now).map_or(1.0, |s| s.times);
        let mut took = self.call_s * times * (1.0 + self.thrash * excess);
        if let Some(down) = active_interval(&self.down, now) {
            took = FAILED_CALL_S;
            // A second passes until the fleet can have suspended calls.
            self.trials += u64::from(now > down.at_s + 1.0);
        }
        self.most = self.most.max(in_flight);
        self.last_call += 1;
        self.calls.insert((((now + took) * 1e6) as u64, self.last_call), (worker, name));
    }

    /// A worker waits no longer for a call.
    pub fn cancel(&mut self, now: f64, worker: usize, name: &str) {
        let before = self.calls.len();
        self.calls.retain(|_, (w, n)| *w != worker || &**n != name);
        if self.calls.len() < before {
            self.lingering.push(now + LINGER_S);
        }
    }
}
