//! Per-class counters of ended requests and dispatched runs, for operators.
//!
//! The dispatcher updates them when it responds and when it starts a run, so that each request is counted once,
//! whichever frontend it came from. They start at zero with the process. Requests in flight are not counted here; see
//! [`Dispatcher::pending_responses`](super::Dispatcher::pending_responses).

use super::Response;

/// Counters of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests that were served with a result.
    pub success: u64,
    /// Requests that were rejected: they have not run, or they are idempotent.
    pub overload: u64,
    /// Requests that failed for any reason, including those whose client disconnected before they ended.
    pub error: u64,
    /// Runs dispatched to a backend. A run whose command is resent after a lost connection is counted once.
    pub dispatches: u64,
}

impl ClassCounters {
    /// Returns the number of requests that have ended.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// The counters of all classes, by class index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics(Vec<ClassCounters>);

impl Metrics {
    /// Creates the counters of `classes` classes, all zero.
    #[must_use]
    pub fn new(classes: usize) -> Metrics {
        Metrics(vec![ClassCounters::default(); classes])
    }

    /// Returns the counters by class index.
    #[must_use]
    pub fn classes(&self) -> &[ClassCounters] {
        &self.0
    }

    /// Counts a request that ended with this response. A request without a tenant was not accepted, so it is not counted.
    pub fn record_response(&mut self, class: usize, response: &Response) {
        let Some(counts) = self.0.get_mut(class) else { return };
        match response {
            Response::Served(_) => counts.success += 1,
            Response::Rejected { .. } => counts.overload += 1,
            Response::Failed | Response::DeadlineExceeded | Response::Conflict => counts.error += 1,
            Response::TenantUndetermined(_) => {}
        }
    }

    /// Counts a request whose client disconnected before it ended.
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

    /// Adds counts from before the dispatcher was created.
    pub fn add(&mut self, earlier: &Metrics) {
        for (counts, more) in self.0.iter_mut().zip(&earlier.0) {
            counts.success += more.success;
            counts.overload += more.overload;
            counts.error += more.error;
            counts.dispatches += more.dispatches;
        }
    }
}
