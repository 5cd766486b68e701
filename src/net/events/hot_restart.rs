//! Events of a hot restart.

use crate::hot_restart::IndeterminateKeys;
use crate::log::{excerpt, LogEvent, FOLDED};
use std::error::Error;
use std::io;
use tracing::{error, info, warn};

/// An event of a hot restart, from the point of view of one of the two processes.
#[derive(Debug)]
pub enum HotRestartEvent<'a> {
    /// Hot restart is unavailable: this process can neither replace another one nor be replaced.
    Unavailable(UnavailableCause<'a>),
    /// No link to a predecessor could be established; this process serves as if there were no predecessor.
    PredecessorUnreachable(&'a dyn Error),
    /// A predecessor has exited and left its socket file behind; the outcomes of its runs are unknown.
    PredecessorDead,
    /// The predecessor refused to hand off to this process.
    PredecessorIncompatible {
        /// The reason that the predecessor sent.
        reason: &'a str,
    },
    /// The predecessor sent more state than a worker can have.
    StateTooLarge,
    /// The predecessor's state was adopted completely.
    StateAdopted {
        /// Number of idempotency keys.
        keys: usize,
        /// Number of connections.
        connections: usize,
        /// Number of queued requests.
        queued: usize,
        /// Number of runs that the predecessor still has on the cores.
        predecessor_runs: usize,
    },
    /// The treatment of idempotency keys that this process does not know has changed.
    IndeterminateKeysSet(IndeterminateKeys),
    /// This process accepts clients.
    ListenersAcquired,
    /// The successor has confirmed that it accepts clients.
    ListenersHandedOff,
    /// The successor ended without confirming the takeover; this process accepts clients again.
    ListenersReclaimed,
    /// Queued requests were sent to the successor.
    RequestsHandedOff {
        /// Number of requests.
        queued: usize,
    },
    /// A process that connected as a successor was rejected.
    SuccessorIncompatible {
        /// The reason.
        reason: &'a dyn Error,
    },
    /// A frame from the other process is invalid.
    FrameDamaged {
        /// The other process.
        peer: Peer,
        /// Why the frame is invalid.
        error: &'a dyn Error,
    },
    /// The other process sent a frame of a kind that its role does not send.
    FrameUnexpected(Peer),
    /// The other process has ended.
    PeerExited(Peer),
    /// A handed-off request was rejected because its class or tenant does not exist here.
    RequestRejected,
    /// A handed-off connection could not be adopted.
    ConnectionRejected,
    /// The process received the shutdown notice after its hand-off, and exits once no response is pending.
    ExitPending,
}

/// Why hot restart is unavailable.
#[derive(Debug)]
pub enum UnavailableCause<'a> {
    /// `TMPDIR` is unset or empty, so there is no shared folder for the Unix socket.
    NoSharedFolder,
    /// This process can't listen for a successor.
    NoSocket(&'a io::Error),
}

/// The other process of a hot restart.
#[derive(Clone, Copy, Debug)]
pub enum Peer {
    /// The process that this one replaces.
    Predecessor,
    /// The process that replaces this one.
    Successor,
}

impl Peer {
    fn as_str(self) -> &'static str {
        match self {
            Peer::Predecessor => "predecessor",
            Peer::Successor => "successor",
        }
    }
}

impl LogEvent for HotRestartEvent<'_> {
    fn emit(&self) {
        match self {
            HotRestartEvent::Unavailable(UnavailableCause::NoSharedFolder) => {
                warn!(name: "hot_restart_unavailable", cause = "TMPDIR names no folder");
            }
            HotRestartEvent::Unavailable(UnavailableCause::NoSocket(error)) => {
                error!(name: "hot_restart_unavailable", cause = %error);
            }
            HotRestartEvent::PredecessorUnreachable(error) => {
                warn!(name: "predecessor_unreachable", cause = %error);
            }
            HotRestartEvent::PredecessorDead => warn!(name: "predecessor_dead", runs = "unknown"),
            HotRestartEvent::PredecessorIncompatible { reason } => {
                warn!(name: "hot_restart_rejected", by = "predecessor", cause = excerpt(reason));
            }
            HotRestartEvent::SuccessorIncompatible { reason } => {
                warn!(name: "hot_restart_rejected", by = "this_process", cause = %reason);
            }
            HotRestartEvent::StateTooLarge => {
                warn!(name: "hot_restart_state_too_large", peer = "predecessor");
            }
            HotRestartEvent::StateAdopted { keys, connections, queued, predecessor_runs } => {
                info!(name: "hot_restart_state_adopted", keys, connections, queued, predecessor_runs);
            }
            HotRestartEvent::IndeterminateKeysSet(keys) => emit_indeterminate_keys(*keys),
            HotRestartEvent::ListenersAcquired => info!(name: "listeners_acquired", accepting = true),
            HotRestartEvent::ListenersHandedOff => info!(name: "listeners_handed_off", accepting = false),
            HotRestartEvent::ListenersReclaimed => warn!(name: "listeners_reclaimed", accepting = true),
            HotRestartEvent::RequestsHandedOff { queued } => info!(name: "requests_handed_off", queued),
            HotRestartEvent::FrameDamaged { peer, error } => {
                let cause = error.to_string();
                warn!(name: "hot_restart_frame_damaged", peer = peer.as_str(), cause = excerpt(&cause));
            }
            HotRestartEvent::FrameUnexpected(peer) => {
                warn!(name: "hot_restart_frame_unexpected", target: FOLDED, peer = peer.as_str());
            }
            HotRestartEvent::PeerExited(peer) => {
                info!(name: "hot_restart_peer_exited", peer = peer.as_str());
            }
            HotRestartEvent::RequestRejected => {
                warn!(name: "handed_off_request_rejected", target: FOLDED, cause = "unknown_class_or_tenant");
            }
            HotRestartEvent::ConnectionRejected => {
                warn!(name: "handed_off_connection_rejected", target: FOLDED, cause = "not_adoptable");
            }
            HotRestartEvent::ExitPending => info!(name: "exit_pending", until = "responses_sent"),
        }
    }
}

fn emit_indeterminate_keys(keys: IndeterminateKeys) {
    match keys {
        IndeterminateKeys::None => info!(name: "indeterminate_keys_changed", unknown_keys = "run"),
        IndeterminateKeys::All => warn!(name: "indeterminate_keys_changed", unknown_keys = "fail"),
        IndeterminateKeys::RetriesUntil(_) => {
            warn!(name: "indeterminate_keys_changed", unknown_keys = "retries_fail_for_a_window");
        }
    }
}
