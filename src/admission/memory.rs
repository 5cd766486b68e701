//! The memory limit on requests and idempotency keys, including those of the other process of a hot restart.

use crate::admission::request::Request;
use crate::interface::Settings;

/// At most this share of the memory is used.
const MAX_SHARE: f64 = 0.95;

/// The memory that this worker may use, and the memory that an idempotency key and a started run take.
pub(super) struct MemoryLimit {
    max_kb: f64,
    key_entry_kb: f64,
    run_memory_factor: f64,
}

impl MemoryLimit {
    pub(super) fn new(settings: &Settings) -> Self {
        MemoryLimit {
            max_kb: settings.memory_kb * MAX_SHARE,
            key_entry_kb: settings.key_entry_kb,
            run_memory_factor: settings.run_memory_factor,
        }
    }

    /// Memory of idempotency keys (KB).
    pub(super) fn keys_kb(&self, keys: usize) -> f64 {
        keys as f64 * self.key_entry_kb
    }

    /// Whether this amount in use exceeds the limit.
    pub(super) fn is_exceeded(&self, used_kb: f64) -> bool {
        used_kb > self.max_kb
    }

    /// Whether a request can start while this amount is in use: starting multiplies its memory by `run_memory_factor`.
    pub(super) fn has_room_to_start(&self, request: &Request, used_kb: f64) -> bool {
        let growth_kb = request.memory_kb * (self.run_memory_factor - 1.0).max(0.0);
        used_kb + growth_kb <= self.max_kb
    }
}
