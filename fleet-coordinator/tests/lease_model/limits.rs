//! Which safety checks are on in a searched world, and how much may happen in it.

use fleet_coordinator::lease_clock::SafetyChecks;

/// A lease's TTL on a leader's clock (milliseconds); twice as much after the epoch has changed.
pub const TTL_MS: u64 = 4000;
/// The share of a lease's TTL that a holder does not use; a leader's clock runs twice as fast as a holder's.
const DRIFT: f64 = 0.5;

/// Whether the list of tasks changes, and with it the TTL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TtlChanges {
    Never,
    /// It doubles at any time.
    Once,
}

/// A resource that holders use after they have checked their lease, some time later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// There is none: holders do not act.
    Absent,
    /// It rejects a token lower than the highest that it has accepted.
    Fenced,
    /// It accepts any token.
    Unfenced,
}

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Heartbeats of a worker that may be unanswered.
    pub outstanding_heartbeats: usize,
    /// Messages to a worker that may be on their way.
    pub messages: usize,
    pub ttl_changes: TtlChanges,
    /// Holders may release a lease that has not expired.
    pub releases: bool,
    pub resource: Resource,
    pub drift: f64,
    pub checks: SafetyChecks,
}

/// The smallest world, with all safety checks.
pub const SMALL: Limits = Limits {
    outstanding_heartbeats: 1,
    messages: 1,
    ttl_changes: TtlChanges::Never,
    releases: true,
    resource: Resource::Absent,
    drift: DRIFT,
    checks: SafetyChecks { wait_full_ttl: true, read_index: true },
};

impl Limits {
    /// The age from which a heartbeat can renew nothing any more, by a holder's clock (seconds).
    pub fn obsolete_heartbeat_age_s(&self) -> f64 {
        let longest_ttl_ms = match self.ttl_changes {
            TtlChanges::Never => TTL_MS,
            TtlChanges::Once => TTL_MS * 2,
        };
        (longest_ttl_ms as f64 / 1000.0 * (1.0 - self.drift)).ceil()
    }
}
