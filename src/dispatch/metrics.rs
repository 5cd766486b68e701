//! Counters that operators read: how requests ended and how many runs were dispatched, by class.
//!
//! The dispatcher counts where it responds and where it starts a run, so that every frontend is counted alike and each
//! request once. Counts begin with the process. Requests in flight are not counted here:
//! [`Dispatcher::pending_responses`](super::Dispatcher::pending_responses) returns their number.

use super::Response;

/// How the requests of one class have ended so far, and how many of its runs began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Served with a result.
    pub success: u64,
    /// Rejected: nothing ran for them.
    pub overload: u64,
    /// Failed, whatever the cause; also those whose client disconnected before their end.
    pub error: u64,
    /// Runs dispatched to a backend. One that is commanded again after a broken link is the same run.
    pub dispatches: u64,
}

impl ClassCounters {
    /// Requests that have ended.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// The counters of all classes, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics(Vec<ClassCounters>);

impl Metrics {
    /// The counters of `classes` classes, all zero.
    #[must_use]
    pub fn new(classes: usize) -> Metrics {
        Metrics(vec![ClassCounters::default(); classes])
    }

    /// The counters, by the number of the class.
    #[must_use]
    pub fn classes(&self) -> &[ClassCounters] {
        &self.0
    }

    /// Counts a request that has ended with this response.
    pub fn record_response(&mut self, class: usize, response: &Response) {
        let Some(counts) = self.0.get_mut(class) else { return };
        match response {
            Response::Served(_) => counts.success += 1,
            Response::Rejected { .. } => counts.overload += 1,
            Response::Failed | Response::DeadlineExceeded | Response::Conflict => counts.error += 1,
        }
    }

    /// Counts a request whose client has disconnected before its end.
    pub fn record_disconnect(&mut self, class: usize) {
        if let Some(counts) = self.0.get_mut(class) {
            counts.error += 1;
        }
    }

    /// Counts a dispatched run.
    pub fn record_dispatch(&mut self, class: usize) {
        if let Some(counts) = self.0.get_mut(class) {
            counts.dispatches += 1;
        }
    }

    /// Adds what was counted before there was a dispatcher.
    pub fn add(&mut self, earlier: &Metrics) {
        for (counts, more) in self.0.iter_mut().zip(&earlier.0) {
            counts.success += more.success;
            counts.overload += more.overload;
            counts.error += more.error;
            counts.dispatches += more.dispatches;
        }
    }
}
