//! Resources that two processes of one worker share during a hot restart.

/// What a process uses of the resources that it shares with another one during a hot restart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Runs that occupy a core.
    pub on_cores: usize,
    /// Downstream calls in flight.
    pub downstream_calls: usize,
    /// Memory of queued and running requests, by the executor's accounting (KB).
    pub memory_kb: f64,
}
