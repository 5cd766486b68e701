//! Events of fleet-wide overload control, for operators.

use super::level::LevelChange;

/// A change of the fleet's state, as the leading coordinator has decided it.
#[derive(Clone, Debug, PartialEq)]
pub enum OverloadEvent {
    /// The fleet's shedding level has changed.
    LevelChanged(LevelChange),
    /// The limit on calls to the downstream service has changed in a zone.
    Service(ServiceEvent),
}

/// A change of the limit on calls to the downstream service in one zone.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// Calls fail, and only probes are made.
    CircuitOpened {
        /// Name of the zone.
        zone: String,
        /// Calls that ended (calls a second).
        calls_per_s: f64,
        /// Calls among them that failed (calls a second).
        failed_per_s: f64,
    },
    /// Probes have succeeded.
    CircuitClosed {
        /// Name of the zone.
        zone: String,
        /// Share of the calls that is admitted first.
        call_share: f64,
    },
    /// Calls take longer than usual, and their number is reduced.
    CallsReduced {
        /// Name of the zone.
        zone: String,
        /// Median of the workers' mean call durations (seconds).
        call_s: f64,
        /// The usual call duration (seconds).
        baseline_s: f64,
    },
}
