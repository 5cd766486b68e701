//! What fleet-wide overload control reports to operators.

use super::level::LevelChange;

/// A change that the leading coordinator reports.
#[derive(Clone, Debug, PartialEq)]
pub enum OverloadEvent {
    /// The fleet's shedding level has changed.
    LevelChanged(LevelChange),
    /// Fewer or more calls are made to the downstream service of a zone.
    Service(ServiceEvent),
}

/// A change of the calls to the downstream service in one zone.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// The service fails: only probes are sent to it.
    CircuitOpened {
        /// Name of the zone.
        zone: String,
        /// Calls that ended (a second).
        calls_per_s: f64,
        /// Calls among them that failed (a second).
        failed_per_s: f64,
    },
    /// The service answers probes again.
    CircuitClosed {
        /// Name of the zone.
        zone: String,
        /// Share of the calls that is admitted at first.
        call_share: f64,
    },
    /// Calls take longer than usual, and fewer are made.
    CallsReduced {
        /// Name of the zone.
        zone: String,
        /// Mean length of a call (seconds).
        call_s: f64,
        /// The usual length (seconds).
        baseline_s: f64,
    },
}
