//! The weight that callers give this worker, as it is published with responses.

use crate::interface::Signal;

/// The published weight of an available worker.
const AVAILABLE: f64 = 1.0;
/// The published weight of a worker that is unhealthy or shuts down.
const UNAVAILABLE: f64 = 0.0;

/// What was published last.
pub(super) struct PublishedWeight {
    signal: Signal,
    available: bool,
}

impl PublishedWeight {
    /// Nothing is published yet: callers take that for a worker that is not available.
    pub(super) fn new(signal: Signal) -> Self {
        PublishedWeight { signal, available: false }
    }

    /// The weight to publish, if it has changed.
    pub(super) fn update(&mut self, available: bool) -> Option<f64> {
        if self.signal != Signal::Weight || available == self.available {
            return None;
        }
        self.available = available;
        Some(if available { AVAILABLE } else { UNAVAILABLE })
    }
}

#[cfg(test)]
mod tests;
