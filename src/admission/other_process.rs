//! Resources in use by the other process of a hot restart, which count towards the limits of this one.

/// The usage last reported by the other process.
#[derive(Clone, Copy, Default)]
pub(super) struct OtherProcessUsage {
    running: usize,
    calling: usize,
    memory_kb: f64,
}

impl OtherProcessUsage {
    pub(super) fn new(running: usize, calling: usize, memory_kb: f64) -> Self {
        OtherProcessUsage { running, calling, memory_kb }
    }

    /// Its runs on the cores.
    pub(super) fn running(self) -> usize {
        self.running
    }

    /// Its downstream calls in flight.
    pub(super) fn calling(self) -> usize {
        self.calling
    }

    /// Memory of its requests (KB).
    pub(super) fn memory_kb(self) -> f64 {
        self.memory_kb
    }
}
