//! Configuration of a model: enabled safety checks, optional behaviour, and bounds on messages.

use fleet_coordinator::lease_clock::SafetyChecks;

/// A lease's TTL on a leader's clock in epoch 1 (milliseconds). Epoch 2 doubles it.
pub const TTL_MS: u64 = 4000;
/// The share of a lease's TTL that a holder does not use. Half, since a leader's clock runs twice as fast as a holder's.
const DRIFT: f64 = 0.5;

/// Whether the task list changes, and with it the TTL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TtlChanges {
    Never,
    /// The TTL may double once, at any time.
    Once,
}

/// The resource that a holder uses some time after checking its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// No resource: holders do not act.
    Absent,
    /// The resource rejects tokens lower than the highest accepted one.
    Fenced,
    /// The resource accepts any token.
    Unfenced,
}

/// The configuration of a model.
#[derive(Clone, Copy, Debug)]
pub struct ModelConfig {
    /// Maximum number of unacknowledged heartbeats per worker.
    pub max_outstanding_heartbeats: usize,
    /// Maximum number of messages in flight to a worker.
    pub max_incoming_messages: usize,
    pub ttl_changes: TtlChanges,
    /// Whether holders may release a lease that has not expired.
    pub allow_releases: bool,
    pub resource: Resource,
    /// The share of a lease's TTL that a holder does not use.
    pub drift: f64,
    pub safety_checks: SafetyChecks,
}

/// The smallest model, with all safety checks enabled.
pub const SMALL_MODEL: ModelConfig = ModelConfig {
    max_outstanding_heartbeats: 1,
    max_incoming_messages: 1,
    ttl_changes: TtlChanges::Never,
    allow_releases: true,
    resource: Resource::Absent,
    drift: DRIFT,
    safety_checks: SafetyChecks { wait_full_ttl: true, read_index: true },
};

impl ModelConfig {
    /// The age from which the acknowledgement of a heartbeat can no longer renew a lease, on a holder's clock (seconds).
    pub fn max_useful_heartbeat_age_s(&self) -> f64 {
        let longest_ttl_ms = match self.ttl_changes {
            TtlChanges::Never => TTL_MS,
            TtlChanges::Once => TTL_MS * 2,
        };
        (longest_ttl_ms as f64 / 1000.0 * (1.0 - self.drift)).ceil()
    }
}
