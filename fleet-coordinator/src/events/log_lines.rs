//! Names, levels and fields of a coordinator's log events.

use super::{CoordinatorEvent, ServerEvent};
use port_worker::fleet::overload::level::SheddingLevel;
use port_worker::log::{excerpt, LogEvent, FOLDED};
use tracing::{debug, error, info, warn};

impl LogEvent for CoordinatorEvent {
    fn emit(&self) {
        match self {
            CoordinatorEvent::LeaderElected { term } => info!(name: "leader_elected", term),
            CoordinatorEvent::LeadershipLost => info!(name: "leadership_lost", ""),
            CoordinatorEvent::MemberStarted { member } => info!(name: "member_started", member = member.0),
            CoordinatorEvent::MemberUninitialized { cause } => {
                warn!(name: "member_uninitialized", cause = cause.key(), detail = %cause);
            }
            CoordinatorEvent::DiskLost { cause, lost_index } => {
                error!(name: "disk_lost", cause = cause.key(), detail = %cause, lost_index);
            }
            CoordinatorEvent::DiskSuspended { cause } => {
                warn!(name: "disk_suspended", cause = cause.key(), detail = %cause);
            }
            CoordinatorEvent::DiskResumed { member } => info!(name: "disk_resumed", member = member.0),
            CoordinatorEvent::MemberExcluded { coordinator, cause } => {
                let detail = cause.to_string();
                error!(name: "member_excluded", coordinator, cause = cause.key(), detail = excerpt(&detail));
            }
            // Repeats of this line are folded, since an excluded peer reconnects repeatedly.
            CoordinatorEvent::PeerExcluded { coordinator, cause } => {
                warn!(
                    name: "peer_excluded",
                    target: FOLDED,
                    coordinator = excerpt(coordinator),
                    cause = cause.key(),
                    detail = %cause,
                );
            }
            CoordinatorEvent::SheddingLevelPinned { level, for_s } => emit_pinned_level(*level, *for_s),
            CoordinatorEvent::Overload(event) => event.emit(),
        }
    }
}

/// Logs a pinned level. As in `shedding_level_changed`, the fields `tier` and `share` are left out for an open level.
fn emit_pinned_level(level: SheddingLevel, for_s: f64) {
    let is_open = level.is_open();
    let tier = (!is_open).then_some(level.tier);
    let share = (!is_open).then_some(f64::from(level.share));
    warn!(name: "shedding_level_pinned", open = is_open, tier, share, for_s);
}

impl LogEvent for ServerEvent {
    fn emit(&self) {
        match self {
            ServerEvent::ListenerOpened { coordinator, fleet, address } => {
                info!(name: "listener_opened", frontend = "coordinator", coordinator, fleet, %address);
            }
            ServerEvent::ConfigReloaded { epoch, tasks } => info!(name: "config_reloaded", epoch, tasks),
            ServerEvent::ConfigReloadRejected { cause } => error!(name: "config_reload_rejected", cause),
            ServerEvent::ConfigReloadDeferred { keys } => {
                warn!(name: "config_reload_deferred", keys = keys.join(","));
            }
            ServerEvent::LinkRejected { link, cause } => {
                debug!(name: "link_rejected", target: FOLDED, link = link.0, cause = excerpt(cause));
            }
            ServerEvent::ShutdownComplete => info!(name: "shutdown_complete", ""),
        }
    }
}
