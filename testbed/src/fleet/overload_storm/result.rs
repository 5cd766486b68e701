//! Results of an overload experiment.

use port_worker::fleet::overload::events::OverloadEvent;

/// Results of an overload experiment.
#[derive(Clone, Debug, Default)]
pub struct StormResult {
    /// Weight earned in each second: that of requests served within their latency objective.
    pub weight_by_second: Vec<f64>,
    /// Weight of all requests.
    pub weight_requested: f64,
    /// Largest number of calls in flight at the service, relative to its slots.
    pub peak_calls_per_slot: f64,
    /// Calls per second and zone while the service was down, from one second after the outage began.
    pub probe_calls_per_s: f64,
    /// Largest ratio of retries to first attempts in any second.
    pub peak_retry_ratio: f64,
    /// Attempts without a response at the end.
    pub unanswered: usize,
    /// Events that the leader reported, with their times.
    pub events: Vec<(f64, OverloadEvent)>,
    /// Hash of all responses; equal for runs of the same seed.
    pub trace: u64,
}

impl StormResult {
    /// Returns the earned fraction of the weight of all requests.
    #[must_use]
    pub fn earned_share(&self) -> f64 {
        self.weight_by_second.iter().sum::<f64>() / self.weight_requested
    }

    fn mean_weight(&self, from: usize, to: usize) -> f64 {
        let seconds = self.weight_by_second.get(from..to.min(self.weight_by_second.len())).unwrap_or(&[]);
        seconds.iter().sum::<f64>() / (seconds.len() as f64).max(1.0)
    }

    /// Returns the recovery time (seconds) from a disturbance between the seconds `start` and `end`: the time from `end`
    /// until the mean weight of two consecutive seconds is at least 95% of the mean between second 3 and `start`. Infinite
    /// if it never is.
    #[must_use]
    pub fn recovery_s(&self, start: usize, end: usize) -> f64 {
        let expected = self.mean_weight(3, start) * 0.95;
        let recovered = (end..self.weight_by_second.len().saturating_sub(1))
            .find(|s| self.mean_weight(*s, s + 2) >= expected);
        recovered.map_or(f64::INFINITY, |s| (s - end) as f64)
    }
}
