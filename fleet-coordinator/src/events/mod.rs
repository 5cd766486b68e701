//! What a coordinator reports to operators, as values without text. `log_lines` gives each its name, level and fields;
//! `docs/operators/log.md` is the table of all events.

mod log_lines;

use crate::ids::{LinkId, MemberId};
use crate::replica::{ExclusionCause, SuspensionCause, UninitializedCause};
use port_worker::fleet::overload::events::OverloadEvent;
use port_worker::fleet::overload::level::SheddingLevel;
use std::net::SocketAddr;

/// An event of the coordinator itself: its status in the quorum, its leadership, and the fleet's overload control.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorEvent {
    /// This coordinator leads, and has applied all that earlier leaders decided.
    LeaderElected {
        /// The term.
        term: u64,
    },
    /// This coordinator leads no more.
    LeadershipLost,
    /// This coordinator takes part in the quorum, after its start or after it was initialized.
    MemberStarted {
        /// Its member number.
        member: MemberId,
    },
    /// The disk holds no member: the coordinator asks its peers whether it founds the fleet, joins it, or has lost its
    /// disk.
    MemberUninitialized {
        /// What the disk holds instead.
        cause: UninitializedCause,
    },
    /// The disk holds no member, and peers know that it had been written to.
    DiskLost {
        /// What the disk holds instead.
        cause: UninitializedCause,
        /// The log index up to which it had been written.
        lost_index: u64,
    },
    /// This coordinator takes no part in the quorum until its disk has been opened anew.
    DiskSuspended {
        /// Why.
        cause: SuspensionCause,
    },
    /// The disk was opened anew, and this coordinator takes part again.
    DiskResumed {
        /// Its member number.
        member: MemberId,
    },
    /// The quorum accepts nothing from this coordinator any more.
    MemberExcluded {
        /// This coordinator's name.
        coordinator: String,
        /// Why.
        cause: ExclusionCause,
    },
    /// This coordinator accepts nothing from a peer.
    PeerExcluded {
        /// The peer's name.
        coordinator: String,
        /// Why.
        cause: ExclusionCause,
    },
    /// An operator has set how deep the fleet sheds.
    SheddingLevelPinned {
        /// The level.
        level: SheddingLevel,
        /// For how long (seconds).
        for_s: f64,
    },
    /// An event of the fleet's overload control.
    Overload(OverloadEvent),
}

/// An event of the process around the coordinator: its sockets, its file, its end.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The coordinator accepts links.
    ListenerOpened {
        /// Its name.
        coordinator: String,
        /// Its fleet's name.
        fleet: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// The tasks of the coordinators' file are in force here, and proposed to the log by the leader.
    ConfigReloaded {
        /// The file's epoch.
        epoch: u64,
        /// The number of its tasks.
        tasks: usize,
    },
    /// The file can't be used; what was read before stays in force.
    ConfigReloadRejected {
        /// What is wrong with it, in one line.
        cause: String,
    },
    /// Keys of the file have changed that are applied at the next start only.
    ConfigReloadDeferred {
        /// The keys.
        keys: Vec<&'static str>,
    },
    /// A link was closed since it sent what no worker, operator or coordinator of this fleet sends.
    LinkRejected {
        /// The link's number.
        link: LinkId,
        /// What was wrong.
        cause: String,
    },
    /// The process ends as it was asked to.
    ShutdownComplete,
}
