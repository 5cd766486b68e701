//! Log events of a worker's membership.

use crate::fleet::frame::{CallOutcome, LeaseRef};
use std::net::SocketAddr;

/// A change of a worker's membership in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A session with the coordinators was established.
    SessionEstablished {
        /// The number of the session.
        session: u64,
        /// The coordinator to which the worker is connected.
        coordinator: Option<SocketAddr>,
    },
    /// The link to the coordinators was lost. The worker continues to serve requests.
    SessionLinkLost,
    /// The coordinator is not the leader. The worker connects to another one.
    CoordinatorNotLeader {
        /// The cause stated by the coordinator.
        reason: String,
    },
    /// The coordinators rejected a message.
    MessageRejected {
        /// The cause stated by the coordinator.
        reason: String,
    },
    /// This worker was granted a lease.
    LeaseAcquired(LeaseRef),
    /// This worker lost a lease that it had not released.
    LeaseLost {
        /// The lease.
        lease: LeaseRef,
        /// The cause.
        cause: LeaseLossCause,
    },
    /// This worker released a lease.
    LeaseReleased(LeaseRef),
    /// A scheduled call did not succeed.
    ScheduledCallFailed {
        /// Name of the task.
        task: String,
        /// How the call ended.
        outcome: CallOutcome,
    },
}

/// The cause of the loss of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLossCause {
    /// The coordinators did not renew the lease.
    NotRenewed,
    /// The session under which the lease was granted has expired.
    SessionExpired,
}
