//! The links of a process to its predecessor and its successor, and the Unix socket in `$TMPDIR` on which a successor
//! connects. The frames are interpreted by [`crate::hot_restart`].

use super::peer_link::{LinkError, LinkFailure, PeerLink, ReceivedFrame};
use crate::hot_restart::frame::Frame;
use crate::net::io::poll::{Poll, Watch};
use crate::net::io::source::{Readiness, Source};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// File name of the Unix socket in `$TMPDIR`.
const SOCKET_NAME: &str = "honeypost-handover.sock";
/// Descriptor budget of the links: one each for the predecessor, the successor, the listener and a connection that
/// waits to be accepted.
const MAX_LINKS: usize = 4;

/// An event on one of the links.
pub(super) enum LinkEvent {
    FromPredecessor(ReceivedFrame),
    /// The predecessor has sent invalid data.
    InvalidFromPredecessor(LinkError),
    PredecessorDisconnected,
    FromSuccessor(Frame),
    /// The successor has sent invalid data.
    InvalidFromSuccessor(LinkError),
    SuccessorDisconnected,
}

/// The result of a search for a predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Predecessor {
    /// No socket file exists.
    Absent,
    /// The socket file exists, but no process listens on it.
    Dead,
    /// A link to the predecessor is established.
    Connected,
}

/// The socket on which a successor connects.
struct SuccessorListener {
    socket: Rc<UnixListener>,
    _watch: Watch,
}

/// The links of a process.
pub(in crate::net) struct Links {
    path: PathBuf,
    poll: Poll,
    listener: Option<SuccessorListener>,
    /// A connection from a successor may be waiting to be accepted.
    accept_pending: bool,
    predecessor: Option<PeerLink>,
    successor: Option<PeerLink>,
}

impl Links {
    pub(in crate::net) fn new(poll: &Poll, folder: &Path) -> Links {
        Links {
            path: folder.join(SOCKET_NAME),
            poll: poll.with_own_budget(MAX_LINKS),
            listener: None,
            accept_pending: false,
            predecessor: None,
            successor: None,
        }
    }

    /// Looks for a process that is already serving, and connects to it.
    pub(super) fn find_predecessor(&mut self) -> io::Result<Predecessor> {
        match UnixStream::connect(&self.path).and_then(|stream| PeerLink::new(&self.poll, stream)) {
            Ok(link) => {
                self.predecessor = Some(link);
                Ok(Predecessor::Connected)
            }
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Predecessor::Absent),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ok(Predecessor::Dead),
            Err(e) => Err(e),
        }
    }

    /// Starts to listen for a successor. This process's socket replaces that of any earlier process.
    pub(super) fn listen_for_successor(&mut self) -> io::Result<()> {
        let temporary_path = self.path.with_extension(format!("{}", std::process::id()));
        // A process with the same process id may have left its file behind.
        let _ = std::fs::remove_file(&temporary_path);
        let socket = Rc::new(UnixListener::bind(&temporary_path)?);
        socket.set_nonblocking(true)?;
        let watch = self.poll.watch(socket.clone(), Source::SuccessorListener)?;
        std::fs::rename(&temporary_path, &self.path)?;
        self.listener = Some(SuccessorListener { socket, _watch: watch });
        self.accept_pending = true;
        Ok(())
    }

    /// Stops listening for a successor. The socket file stays, since it belongs to another process by now.
    pub(super) fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Stops listening and removes the socket file, which the next process would take for that of a dead predecessor.
    pub(in crate::net) fn remove_socket(&mut self) {
        if self.listener.take().is_some() {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Records that the loop has reported the listener as ready.
    pub(in crate::net) fn mark_listener_ready(&mut self) {
        self.accept_pending = true;
    }

    /// Records that the loop has reported a link as ready.
    pub(in crate::net) fn mark_ready(&mut self, id: u64, readiness: Readiness) {
        for link in self.links_mut() {
            link.mark_ready(id, readiness);
        }
    }

    /// Returns the next event on one of the links. Those of the predecessor's link come first.
    pub(super) fn next_event(&mut self) -> Option<LinkEvent> {
        self.next_predecessor_event().or_else(|| {
            self.accept_successor();
            self.next_successor_event()
        })
    }

    fn next_predecessor_event(&mut self) -> Option<LinkEvent> {
        match self.predecessor.as_mut()?.receive() {
            Ok(received) => received.map(LinkEvent::FromPredecessor),
            Err(LinkFailure::InvalidInput(error)) => Some(LinkEvent::InvalidFromPredecessor(error)),
            Err(LinkFailure::Closed) => {
                self.predecessor = None;
                Some(LinkEvent::PredecessorDisconnected)
            }
        }
    }

    fn next_successor_event(&mut self) -> Option<LinkEvent> {
        match self.successor.as_mut()?.receive() {
            Ok(received) => received.map(|received| LinkEvent::FromSuccessor(received.frame)),
            Err(LinkFailure::InvalidInput(error)) => Some(LinkEvent::InvalidFromSuccessor(error)),
            Err(LinkFailure::Closed) => {
                self.disconnect_successor();
                Some(LinkEvent::SuccessorDisconnected)
            }
        }
    }

    fn accept_successor(&mut self) {
        if self.successor.is_some() || !self.accept_pending {
            return;
        }
        let Some(listener) = &self.listener else { return };
        match listener.socket.accept() {
            Ok((stream, _)) => self.successor = PeerLink::new(&self.poll, stream).ok(),
            Err(_) => self.accept_pending = false,
        }
    }

    pub(super) fn send_to_predecessor(&mut self, frame: &Frame) {
        if let Some(link) = &mut self.predecessor {
            link.send(frame, None);
        }
    }

    pub(super) fn send_to_successor(&mut self, frame: &Frame, descriptor: Option<OwnedFd>) {
        if let Some(link) = &mut self.successor {
            link.send(frame, descriptor);
        }
    }

    /// Closes the link to the successor, so that another one can connect.
    pub(super) fn disconnect_successor(&mut self) {
        self.successor = None;
        self.accept_pending = true;
    }

    /// Replaces the link to the predecessor by one that only reports the end of that process.
    pub(super) fn watch_predecessor(&mut self) {
        self.predecessor = None;
        if let Ok(Predecessor::Connected) = self.find_predecessor() {
            if let Some(link) = &mut self.predecessor {
                link.discard_input();
            }
        }
    }

    pub(super) fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether all frames have been sent.
    pub(super) fn all_sent(&self) -> bool {
        [&self.predecessor, &self.successor].into_iter().flatten().all(PeerLink::all_sent)
    }

    /// Sends queued frames as far as the sockets accept them. Returns `true` if the rest must be retried without
    /// waiting for a readiness event.
    pub(super) fn flush(&mut self) -> bool {
        let mut try_again = false;
        for link in self.links_mut() {
            try_again |= link.flush();
        }
        try_again
    }

    fn links_mut(&mut self) -> impl Iterator<Item = &mut PeerLink> {
        [&mut self.predecessor, &mut self.successor].into_iter().flatten()
    }
}
