//! Counts of how runs end and how late requests are read. They measure and decide nothing: the health monitor
//! reads them.

/// How fast recent runs and reads are forgotten (seconds).
pub(super) const HEALTH_MEMORY_S: f64 = 2.0;

/// Recent runs and reads.
#[derive(Default)]
pub(super) struct HealthSignals {
    /// Failed runs and all ended runs, fading.
    pub(super) failed: f64,
    pub(super) ended: f64,
    pub(super) successes_in_row: u32,
    /// When a run last ended or reached a downstream call, and the time on the cores since then.
    pub(super) last_progress: f64,
    pub(super) core_time_since_progress_s: f64,
    /// How long requests lay unread, in latency objectives, and the number of reads, fading.
    pub(super) unread: f64,
    pub(super) reads: f64,
}

impl HealthSignals {
    /// Time passes with this many runs on the cores.
    pub(super) fn advance(&mut self, elapsed_s: f64, running: usize) {
        self.core_time_since_progress_s += running as f64 * elapsed_s;
        let fade = (-elapsed_s / HEALTH_MEMORY_S).exp();
        self.failed *= fade;
        self.ended *= fade;
        self.unread *= fade;
        self.reads *= fade;
    }

    /// Takes over the recent runs of a predecessor.
    pub(super) fn adopt(&mut self, failed: f64, ended: f64) {
        self.failed = failed;
        self.ended = ended;
    }

    /// Counts a request that lay unread for so many of its latency objectives.
    pub(super) fn count_read(&mut self, unread_objectives: f64) {
        self.unread += unread_objectives;
        self.reads += 1.0;
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
}
