//! Events of a worker's membership, for operators.

use crate::fleet::frame::{CallOutcome, LeaseRef};
use std::net::SocketAddr;

/// A change of a worker's membership in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A session with the coordinators is established.
    SessionEstablished {
        /// The number of the session.
        session: u64,
        /// The coordinator that it runs over.
        coordinator: Option<SocketAddr>,
    },
    /// The link to the coordinators is lost; the worker goes on serving.
    SessionLinkLost,
    /// The coordinator is not the leader: the worker connects to another one.
    CoordinatorNotLeader {
        /// The cause, as the coordinator gives it.
        reason: String,
    },
    /// The coordinators have rejected a message.
    MessageRejected {
        /// The cause, as the coordinator gives it.
        reason: String,
    },
    /// This worker has been granted a lease.
    LeaseAcquired(LeaseRef),
    /// A lease has expired, or its session has.
    LeaseLost {
        /// The lease.
        lease: LeaseRef,
        /// The cause.
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

/// The cause of the loss of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLossCause {
    /// The coordinators did not renew it.
    NotRenewed,
    /// The session under which it was granted has expired.
    SessionExpired,
}
