//! Log events of fleet-wide overload control.

use super::level::LevelChange;

/// A state change that the leading coordinator decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum OverloadEvent {
    /// The fleet's shedding level changed.
    LevelChanged(LevelChange),
    /// The limit on calls to the downstream service changed in one zone.
    Service(ServiceEvent),
}

/// A change of the limit on calls to the downstream service in one zone.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// Calls were failing; from now on only probes are made.
    CircuitOpened {
        /// Name of the zone.
        zone: String,
        /// Completed calls (calls per second).
        calls_per_s: f64,
        /// Failed calls among them (calls per second).
        failed_per_s: f64,
    },
    /// Probes succeeded; a share of the calls is admitted again.
    CircuitClosed {
        /// Name of the zone.
        zone: String,
        /// Initial share of the calls that is admitted.
        call_share: f64,
    },
    /// Calls take longer than `OVERLOADED_LATENCY_FACTOR` times their baseline, so the share of admitted calls is reduced.
    CallsReduced {
        /// Name of the zone.
        zone: String,
        /// Median of the workers' mean call durations (seconds).
        call_s: f64,
        /// Baseline of that duration (seconds).
        baseline_s: f64,
    },
}
