//! A model of the records service: so many slots, calls that slow each other down beyond them, and a time of its own
//! in which it answers nothing.

use crate::experiment::{RecordsModel, Slowdown};
use std::collections::BTreeMap;

/// The records service.
pub struct Records {
    model: RecordsModel,
    stalls: Vec<Slowdown>,
    /// Calls in flight, by their end (microseconds) and a number.
    calls: BTreeMap<(u64, u64), String>,
    next: u64,
    /// The most calls that were in flight at once.
    pub most: usize,
}

impl Records {
    /// A service without calls; in the times of `stalls` it answers nothing.
    #[must_use]
    pub fn new(model: RecordsModel, stalls: Vec<Slowdown>) -> Records {
        Records { model, stalls, calls: BTreeMap::new(), next: 0, most: 0 }
    }

    /// Takes a call; tells when it will be answered.
    pub fn call(&mut self, now: f64, id: &str) -> f64 {
        let excess = ((self.calls.len() + 1) as f64 / self.model.slots as f64 - 1.0).max(0.0);
        let took = self.model.call_ms / 1000.0 * (1.0 + self.model.thrash * excess);
        let stall = self.stalls.iter().find(|s| (s.at_s..s.at_s + s.for_s).contains(&now));
        let at = stall.map_or(now, |s| s.at_s + s.for_s) + took;
        self.next += 1;
        self.calls.insert(((at * 1e6) as u64, self.next), id.to_owned());
        self.most = self.most.max(self.calls.len());
        at
    }

    /// The caller waits no longer for the reply.
    pub fn cancel(&mut self, id: &str) {
        self.calls.retain(|_, call| call != id);
    }

    /// When the next call is answered.
    #[must_use]
    pub fn next_reply_at(&self) -> Option<f64> {
        self.calls.keys().next().map(|(at, _)| *at as f64 / 1e6)
    }

    /// Calls that are answered by now.
    pub fn advance(&mut self, now: f64) -> Vec<String> {
        let mut done = Vec::new();
        while self.next_reply_at().is_some_and(|at| at <= now) {
            done.extend(self.calls.pop_first().map(|(_, id)| id));
        }
        done
    }
}
