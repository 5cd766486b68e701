//! What operators read of a worker: how its requests ended and how many runs were handed over, by class.
//!
//! The core counts here at the one place where it answers and the one where it starts a run, so that every front is
//! counted alike and each request once. Counts begin with the process. Requests in hand are not counted here: the core
//! knows how many answers it owes.

use super::Response;

/// How the requests of one class have ended so far, and how many of its runs began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Served with a result.
    pub success: u64,
    /// Turned away: nothing ran for them.
    pub overload: u64,
    /// Failed, whatever the cause; also those whose client left before their end.
    pub error: u64,
    /// Runs handed to a backend. One that is given again after a broken link is the same run.
    pub dispatches: u64,
}

impl ClassCounters {
    /// Requests that have ended.
    pub fn ended(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// The counts of all classes, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics(Vec<ClassCounters>);

impl Metrics {
    pub fn new(classes: usize) -> Metrics {
        Metrics(vec![ClassCounters::default(); classes])
    }

    pub fn classes(&self) -> &[ClassCounters] {
        &self.0
    }

    /// A request has ended with this answer.
    pub fn answered(&mut self, class: usize, answer: &Response) {
        let Some(counts) = self.0.get_mut(class) else { return };
        match answer {
            Response::Served(_) => counts.success += 1,
            Response::Rejected { .. } => counts.overload += 1,
            Response::Failed | Response::DeadlineExceeded | Response::Conflict => counts.error += 1,
        }
    }

    /// The client of a request has left before its end.
    pub fn left(&mut self, class: usize) {
        if let Some(counts) = self.0.get_mut(class) {
            counts.error += 1;
        }
    }

    /// A run has been handed over.
    pub fn dispatched(&mut self, class: usize) {
        if let Some(counts) = self.0.get_mut(class) {
            counts.dispatches += 1;
        }
    }

    /// Takes in what was counted before there was a core.
    pub fn add(&mut self, earlier: &Metrics) {
        for (counts, more) in self.0.iter_mut().zip(&earlier.0) {
            counts.success += more.success;
            counts.overload += more.overload;
            counts.error += more.error;
            counts.dispatches += more.dispatches;
        }
    }
}
