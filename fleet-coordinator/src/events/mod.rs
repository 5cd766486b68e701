//! A coordinator's log events as typed values. `log_lines` defines their names, levels and fields;
//! `docs/operators/log.md` lists all events.

mod log_lines;

use crate::ids::{LinkId, MemberId};
use crate::replica::{ExclusionCause, SuspensionCause, UninitializedCause};
use port_worker::fleet::overload::events::OverloadEvent;
use port_worker::fleet::overload::level::SheddingLevel;
use std::net::SocketAddr;

/// An event of the coordinator: its membership in the quorum, leadership, and fleet-wide overload control.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorEvent {
    /// This coordinator is the leader, and has applied all entries of earlier terms.
    LeaderElected {
        /// The term.
        term: u64,
    },
    /// This coordinator is no longer the leader.
    LeadershipLost,
    /// This coordinator participates in the quorum, after its start or its initialization.
    MemberStarted {
        /// Its member number.
        member: MemberId,
    },
    /// The disk holds no member's log. The peers' answers to hellos determine whether the coordinator bootstraps the fleet,
    /// joins it, or reports a lost disk.
    MemberUninitialized {
        /// Why the disk holds no member's log.
        cause: UninitializedCause,
    },
    /// The disk holds no member's log, although the member had persisted one according to its peers.
    DiskLost {
        /// Why the disk holds no member's log.
        cause: UninitializedCause,
        /// The log index up to which the member had persisted.
        lost_index: u64,
    },
    /// This coordinator does not participate in the quorum until its disk has been reopened.
    DiskSuspended {
        /// Why the coordinator is suspended.
        cause: SuspensionCause,
    },
    /// The disk was reopened, and this coordinator participates again.
    DiskResumed {
        /// Its member number.
        member: MemberId,
    },
    /// The peers no longer accept messages from this coordinator.
    MemberExcluded {
        /// This coordinator's name.
        coordinator: String,
        /// Why the peers accept none of its messages.
        cause: ExclusionCause,
    },
    /// This coordinator accepts no messages from a peer.
    PeerExcluded {
        /// The peer's name.
        coordinator: String,
        /// Why the peer's messages are not accepted.
        cause: ExclusionCause,
    },
    /// An operator pinned the fleet's shedding level.
    SheddingLevelPinned {
        /// The level.
        level: SheddingLevel,
        /// For how long (seconds).
        for_s: f64,
    },
    /// An event of fleet-wide overload control.
    Overload(OverloadEvent),
}

/// An event of the coordinator's process: its listener, links, configuration file and shutdown.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The coordinator accepts links.
    ListenerOpened {
        /// Its name.
        coordinator: String,
        /// Its fleet's name.
        fleet: String,
        /// The listen address.
        address: SocketAddr,
    },
    /// The configuration file was reloaded. If this coordinator is the leader and the file's epoch is higher than the fleet's,
    /// it proposes the file's tasks for the log.
    ConfigReloaded {
        /// The file's epoch.
        epoch: u64,
        /// The number of its tasks.
        tasks: usize,
    },
    /// The configuration file can't be used; the previous configuration stays in effect.
    ConfigReloadRejected {
        /// Why it can't be used, in one line.
        cause: String,
    },
    /// The reloaded configuration file has new values for keys that are applied only at a restart.
    ConfigReloadDeferred {
        /// These keys.
        keys: Vec<&'static str>,
    },
    /// A link was closed because a frame received on it was too long, or did not come from a worker, operator or coordinator
    /// of this fleet.
    LinkRejected {
        /// The link's number.
        link: LinkId,
        /// The error.
        cause: String,
    },
    /// The process exits after a termination signal.
    ShutdownComplete,
}
