//! Use of the resources that the two processes of a worker share during a hot restart.

/// A process's use of the resources that it shares with the other process during a hot restart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Runs that occupy a core.
    pub on_cores: usize,
    /// Downstream calls in flight.
    pub downstream_calls: usize,
    /// Memory of queued and running requests, as the executor accounts for it (KB).
    pub memory_kb: f64,
}
