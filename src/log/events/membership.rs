//! Events of a worker's membership in its fleet.

use crate::fleet::{LeaseLossCause, MembershipEvent};
use crate::log::{excerpt, LogEvent};
use tracing::{info, warn};

impl LogEvent for MembershipEvent {
    fn emit(&self) {
        match self {
            MembershipEvent::SessionEstablished { session, coordinator } => {
                let coordinator = coordinator.map(tracing::field::display);
                info!(name: "fleet_session_established", session, coordinator);
            }
            MembershipEvent::SessionLinkLost => warn!(name: "fleet_link_lost", peer = "coordinator"),
            MembershipEvent::CoordinatorNotLeader { reason } => {
                info!(name: "fleet_coordinator_not_leader", reason = excerpt(reason));
            }
            MembershipEvent::MessageRejected { reason } => {
                warn!(name: "fleet_message_rejected", reason = excerpt(reason));
            }
            MembershipEvent::LeaseAcquired(lease) => {
                info!(name: "lease_acquired", task = excerpt(&lease.task), token = lease.token);
            }
            MembershipEvent::LeaseLost { lease, cause } => {
                let cause = match cause {
                    LeaseLossCause::NotRenewed => "not_renewed",
                    LeaseLossCause::SessionExpired => "session_expired",
                };
                warn!(name: "lease_lost", task = excerpt(&lease.task), token = lease.token, cause);
            }
            MembershipEvent::LeaseReleased(lease) => {
                info!(name: "lease_released", task = excerpt(&lease.task), token = lease.token);
            }
            MembershipEvent::ScheduledCallFailed { task, outcome } => {
                warn!(name: "scheduled_call_failed", task = excerpt(task), outcome = ?outcome);
            }
        }
    }
}
