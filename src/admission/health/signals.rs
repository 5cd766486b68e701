//! Exponentially decaying counts of ended and failed runs, and of read delays.

/// Time constant with which the counts of runs and reads decay (seconds).
pub(super) const HEALTH_TIME_CONSTANT_S: f64 = 2.0;

/// Counts of recent runs and reads.
pub(super) struct HealthSignals {
    /// Failed runs (decaying).
    failed: f64,
    /// All ended runs (decaying).
    ended: f64,
    consecutive_successes: u32,
    /// When a run last ended or reached a downstream call.
    last_progress: f64,
    /// Time on the cores since `last_progress`, summed over all runs.
    core_time_since_progress_s: f64,
    /// Sum of the read delays of requests, each as a multiple of its latency objective (decaying).
    read_delay_objectives: f64,
    /// Requests read (decaying).
    reads: f64,
}

impl HealthSignals {
    pub(super) fn new(now: f64) -> Self {
        HealthSignals {
            failed: 0.0,
            ended: 0.0,
            consecutive_successes: 0,
            last_progress: now,
            core_time_since_progress_s: 0.0,
            read_delay_objectives: 0.0,
            reads: 0.0,
        }
    }

    /// Advances the clock, with this many runs on the cores in that time.
    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.core_time_since_progress_s += running as f64 * elapsed_s;
        let decay = (-elapsed_s / HEALTH_TIME_CONSTANT_S).exp();
        self.failed *= decay;
        self.ended *= decay;
        self.read_delay_objectives *= decay;
        self.reads *= decay;
    }

    /// Counts a request and its read delay, given as a multiple of its latency objective.
    pub(super) fn count_read(&mut self, delay_objectives: f64) {
        self.read_delay_objectives += delay_objectives;
        self.reads += 1.0;
    }

    /// Resets the sum of read delays.
    pub(super) fn reset_read_delay(&mut self) {
        self.read_delay_objectives = 0.0;
    }

    /// Whether the mean read delay exceeds this multiple of the latency objective.
    pub(super) fn mean_read_delay_exceeds(&self, objectives: f64) -> bool {
        self.read_delay_objectives > objectives * (self.reads + 1.0)
    }

    /// Records that a run has ended or reached a downstream call, so that it does not hang.
    pub(super) fn progressed(&mut self, now: f64) {
        self.last_progress = now;
        self.core_time_since_progress_s = 0.0;
    }

    /// Counts an ended run.
    pub(super) fn run_ended(&mut self, now: f64, failed: bool) {
        self.progressed(now);
        self.ended += 1.0;
        if failed {
            self.failed += 1.0;
            self.consecutive_successes = 0;
        } else {
            self.consecutive_successes += 1;
        }
    }

    /// Resets the count of consecutive successes.
    pub(super) fn reset_successes(&mut self) {
        self.consecutive_successes = 0;
    }

    /// Failed runs.
    pub(super) fn failed(&self) -> f64 {
        self.failed
    }

    /// All ended runs.
    pub(super) fn ended(&self) -> f64 {
        self.ended
    }

    /// Successful runs since the last failed one.
    pub(super) fn consecutive_successes(&self) -> u32 {
        self.consecutive_successes
    }

    /// Time since a run last ended or reached a downstream call (seconds).
    pub(super) fn since_progress_s(&self, now: f64) -> f64 {
        now - self.last_progress
    }

    /// Time on the cores since a run last ended or reached a downstream call, summed over all runs (seconds).
    pub(super) fn core_time_since_progress_s(&self) -> f64 {
        self.core_time_since_progress_s
    }

    /// Adopts the counts of recent runs of a predecessor.
    pub(super) fn adopt(&mut self, failed: f64, ended: f64) {
        self.failed = failed;
        self.ended = ended;
    }
}
