//! Counts of how runs end and how late requests are read.

/// How fast recent runs and reads are forgotten (seconds).
pub(super) const HEALTH_MEMORY_S: f64 = 2.0;

/// Recent runs and reads.
pub(super) struct HealthSignals {
    /// Failed runs, fading.
    failed: f64,
    /// All ended runs, fading.
    ended: f64,
    successes_in_row: u32,
    /// When a run last ended or reached a downstream call.
    last_progress: f64,
    /// Time on the cores since then, over all runs.
    core_time_since_progress_s: f64,
    /// How long requests lay unread, in latency objectives, fading.
    unread: f64,
    /// Reads, fading.
    reads: f64,
}

impl HealthSignals {
    pub(super) fn new(now: f64) -> Self {
        HealthSignals {
            failed: 0.0,
            ended: 0.0,
            successes_in_row: 0,
            last_progress: now,
            core_time_since_progress_s: 0.0,
            unread: 0.0,
            reads: 0.0,
        }
    }

    /// Time passes with this many runs on the cores.
    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.core_time_since_progress_s += running as f64 * elapsed_s;
        let fade = (-elapsed_s / HEALTH_MEMORY_S).exp();
        self.failed *= fade;
        self.ended *= fade;
        self.unread *= fade;
        self.reads *= fade;
    }

    /// Counts a request that lay unread for so many of its latency objectives.
    pub(super) fn count_read(&mut self, unread_objectives: f64) {
        self.unread += unread_objectives;
        self.reads += 1.0;
    }

    /// Forgets for how long requests lay unread.
    pub(super) fn forget_unread(&mut self) {
        self.unread = 0.0;
    }

    /// Whether requests lay unread for more than this part of their objective on average.
    pub(super) fn unread_exceeds(&self, objectives: f64) -> bool {
        self.unread > objectives * (self.reads + 1.0)
    }

    /// A run has ended or reached a downstream call: it has not hung.
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
            self.successes_in_row = 0;
        } else {
            self.successes_in_row += 1;
        }
    }

    /// Begins a new row of successes.
    pub(super) fn reset_successes(&mut self) {
        self.successes_in_row = 0;
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
    pub(super) fn successes_in_row(&self) -> u32 {
        self.successes_in_row
    }

    /// Time since a run last ended or reached a downstream call (seconds).
    pub(super) fn since_progress_s(&self, now: f64) -> f64 {
        now - self.last_progress
    }

    /// Time on the cores since then, over all runs (seconds).
    pub(super) fn core_time_since_progress_s(&self) -> f64 {
        self.core_time_since_progress_s
    }

    /// Takes over the recent runs of a predecessor.
    pub(super) fn adopt(&mut self, failed: f64, ended: f64) {
        self.failed = failed;
        self.ended = ended;
    }
}
