//! What came of a storm.

use port_worker::fleet::overload::events::OverloadEvent;

/// What came of a storm.
#[derive(Clone, Debug, Default)]
pub struct StormResult {
    /// The worth earned in each second.
    pub worth: Vec<f64>,
    /// The worth of all requests.
    pub asked: f64,
    /// The most calls in flight at the service, against its slots.
    pub most_calls: f64,
    /// Calls made while the service was down, a second and zone, from a second after its beginning.
    pub trials_per_s: f64,
    /// Retries for each first attempt, in the second in which most came.
    pub retries: f64,
    /// Requests without a response at the end.
    pub owed: usize,
    /// What the leader reported, with its time.
    pub events: Vec<(f64, OverloadEvent)>,
    /// A digest of all responses: the same seed gives the same.
    pub trace: u64,
}

impl StormResult {
    /// The share of the worth that was earned.
    #[must_use]
    pub fn earned(&self) -> f64 {
        self.worth.iter().sum::<f64>() / self.asked
    }

    fn mean(&self, from: usize, to: usize) -> f64 {
        let part = self.worth.get(from..to.min(self.worth.len())).unwrap_or(&[]);
        part.iter().sum::<f64>() / (part.len() as f64).max(1.0)
    }

    /// How long after `end` it took until 95% of the worth before `start` was earned for two seconds running.
    #[must_use]
    pub fn recovery_s(&self, start: usize, end: usize) -> f64 {
        let usual = self.mean(3, start) * 0.95;
        let recovered = (end..self.worth.len().saturating_sub(1)).find(|s| self.mean(*s, s + 2) >= usual);
        recovered.map_or(f64::INFINITY, |s| (s - end) as f64)
    }
}
