//! What a worker's membership reports to operators.

use crate::fleet::frame::{CallOutcome, LeaseRef};
use std::net::SocketAddr;

/// A change of a worker's membership in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A session with the coordinators is established.
    SessionEstablished {
        /// Number of the session.
        session: u64,
        /// The coordinator that it runs over.
        coordinator: Option<SocketAddr>,
    },
    /// The link to the coordinators is lost; the worker goes on serving.
    SessionLinkLost,
    /// The coordinator does not lead any more: the worker connects to another.
    CoordinatorNotLeader {
        /// Why, as the coordinator says.
        reason: String,
    },
    /// The coordinators have rejected a message.
    MessageRejected {
        /// Why, as the coordinator says.
        reason: String,
    },
    /// This worker holds a lease from now on.
    LeaseAcquired(LeaseRef),
    /// A lease has lapsed, or its session has ended.
    LeaseLost {
        /// The lease.
        lease: LeaseRef,
        /// Why.
        cause: LeaseLossCause,
    },
    /// This worker has released a lease.
    LeaseReleased(LeaseRef),
    /// A scheduled call did not succeed.
    ScheduledCallFailed {
        /// Name of the task.
        task: String,
        /// How the call ended.
        outcome: CallOutcome,
    },
}

/// Why a lease was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLossCause {
    /// The coordinators did not renew it.
    NotRenewed,
    /// The session under which it was granted is over.
    SessionExpired,
}
