//! Events of fleet-wide overload control.

use crate::fleet::overload::events::{OverloadEvent, ServiceEvent};
use crate::fleet::overload::level::{LevelChange, LevelChangeCause};
use crate::log::{excerpt, LogEvent};
use tracing::{info, warn};

impl LogEvent for OverloadEvent {
    fn emit(&self) {
        match self {
            OverloadEvent::LevelChanged(change) => emit_level(change),
            OverloadEvent::Service(event) => event.emit(),
        }
    }
}

/// Omits the tier and the share if the level is open, that is, if no tier is shed.
fn emit_level(change: &LevelChange) {
    let is_open = change.level.is_open();
    let tier = (!is_open).then_some(change.level.tier);
    let share = (!is_open).then_some(f64::from(change.level.share));
    let (cause, demand_per_s, capacity_per_s) = match change.cause {
        LevelChangeCause::Shortage { demand_per_s, capacity_per_s } => {
            ("shortage", Some(demand_per_s.round()), Some(capacity_per_s.round()))
        }
        LevelChangeCause::Headroom { demand_per_s, capacity_per_s } => {
            ("headroom", Some(demand_per_s.round()), Some(capacity_per_s.round()))
        }
        LevelChangeCause::TooFewReports => ("too_few_reports", None, None),
    };
    info!(
        name: "shedding_level_changed",
        open = is_open, tier, share, cause, demand_per_s, capacity_per_s
    );
}

impl LogEvent for ServiceEvent {
    fn emit(&self) {
        match self {
            ServiceEvent::CircuitOpened { zone, calls_per_s, failed_per_s } => warn!(
                name: "circuit_opened",
                zone = excerpt(zone),
                calls_per_s = %format_args!("{calls_per_s:.0}"),
                failed_per_s = %format_args!("{failed_per_s:.0}"),
            ),
            ServiceEvent::CircuitClosed { zone, call_share } => {
                info!(name: "circuit_closed", zone = excerpt(zone), call_share);
            }
            ServiceEvent::CallsReduced { zone, call_s, baseline_s } => warn!(
                name: "downstream_calls_reduced",
                zone = excerpt(zone),
                call_ms = %format_args!("{:.1}", call_s * 1000.0),
                baseline_ms = %format_args!("{:.1}", baseline_s * 1000.0),
            ),
        }
    }
}
