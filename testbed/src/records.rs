//! A model of the records service: calls slow each other down when more are in flight than the service has slots, and no
//! call is answered during a stall.

use crate::experiment::{RecordsModel, Slowdown};
use std::collections::BTreeMap;

/// The records service and the calls in flight.
pub struct Records {
    model: RecordsModel,
    stalls: Vec<Slowdown>,
    /// Calls in flight, by the time of the reply (microseconds) and a sequence number.
    calls: BTreeMap<(u64, u64), String>,
    last_call: u64,
    /// The maximum number of calls that were in flight at the same time.
    pub peak_calls: usize,
}

impl Records {
    /// Creates a service without calls; in the periods of `stalls` it answers nothing.
    #[must_use]
    pub fn new(model: RecordsModel, stalls: Vec<Slowdown>) -> Records {
        Records { model, stalls, calls: BTreeMap::new(), last_call: 0, peak_calls: 0 }
    }

    /// Accepts a call; returns the time of its reply.
    pub fn call(&mut self, now: f64, id: &str) -> f64 {
        let excess = ((self.calls.len() + 1) as f64 / self.model.slots as f64 - 1.0).max(0.0);
        let call_s = self.model.call_ms / 1000.0 * (1.0 + self.model.thrash * excess);
        let stall = self.stalls.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&now));
        let at = stall.map_or(now, |s| s.at_s + s.for_s) + call_s;
        self.last_call += 1;
        self.calls.insert(((at * 1e6) as u64, self.last_call), id.to_owned());
        self.peak_calls = self.peak_calls.max(self.calls.len());
        at
    }

    /// Cancels a call: its caller no longer waits for the reply.
    pub fn cancel(&mut self, id: &str) {
        self.calls.retain(|_, call| call != id);
    }

    /// The time of the next reply.
    #[must_use]
    pub fn next_reply_at(&self) -> Option<f64> {
        self.calls.keys().next().map(|(at, _)| *at as f64 / 1e6)
    }

    /// Removes and returns the calls that are answered by now.
    pub fn advance(&mut self, now: f64) -> Vec<String> {
        let mut answered = Vec::new();
        while self.next_reply_at().is_some_and(|at| at <= now) {
            answered.extend(self.calls.pop_first().map(|(_, id)| id));
        }
        answered
    }
}
