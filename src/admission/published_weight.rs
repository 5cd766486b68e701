//! The weight of this worker that is published to callers with responses.

use crate::interface::Signal;

/// The published weight of an available worker.
const AVAILABLE: f64 = 1.0;
/// The published weight of a worker that is unhealthy or shutting down.
const UNAVAILABLE: f64 = 0.0;

/// The weight that was last published.
pub(super) struct PublishedWeight {
    signal: Signal,
    available: bool,
}

impl PublishedWeight {
    /// Starts with nothing published, which callers treat as an unavailable worker.
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
