//! The links of one process to its predecessor and its successor, and the Unix socket in `$TMPDIR` where they meet. What
//! is done about the frames is decided by [`crate::hot_restart`].

use super::peer_link::{LinkError, LinkFailure, PeerLink, ReceivedFrame};
use crate::hot_restart::frame::Frame;
use crate::net::io::poll::{Poll, Watch};
use crate::net::io::source::{Readiness, Source};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The socket's name in `$TMPDIR`.
const SOCKET_NAME: &str = "honeypost-handover.sock";
/// Links and listeners of this kind: to the predecessor, to the successor, and one that waits.
const MAX_LINKS: usize = 4;

/// What happened on the links, in order.
pub(super) enum LinkEvent {
    FromPredecessor(ReceivedFrame),
    /// What the predecessor sends can't be used.
    PredecessorDamaged(LinkError),
    PredecessorDisconnected,
    FromSuccessor(Frame),
    /// What the successor sends can't be used.
    SuccessorDamaged(LinkError),
    SuccessorDisconnected,
}

/// What a search for a predecessor has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Predecessor {
    /// There is none.
    Absent,
    /// Its socket is there, and nobody listens on it.
    Dead,
    /// A link to it is established.
    Connected,
}

/// The socket where a successor connects.
struct SuccessorListener {
    socket: Rc<UnixListener>,
    _watch: Watch,
}

/// The links of one process.
pub(in crate::net) struct Links {
    path: PathBuf,
    poll: Poll,
    listener: Option<SuccessorListener>,
    /// A successor may wait to be accepted.
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

    /// Looks for a process that serves already, and connects to it.
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

    /// Lets a successor connect from here on: this process replaces any earlier one at the socket.
    pub(super) fn listen_for_successor(&mut self) -> io::Result<()> {
        let new_path = self.path.with_extension(format!("{}", std::process::id()));
        // What a process of the same number has left behind.
        let _ = std::fs::remove_file(&new_path);
        let socket = Rc::new(UnixListener::bind(&new_path)?);
        socket.set_nonblocking(true)?;
        let watch = self.poll.watch(socket.clone(), Source::SuccessorListener)?;
        std::fs::rename(&new_path, &self.path)?;
        self.listener = Some(SuccessorListener { socket, _watch: watch });
        self.accept_pending = true;
        Ok(())
    }

    /// No successor can connect any more; the socket's file is another process's by now.
    pub(super) fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Leaves no file behind that the next process would take for that of a dead predecessor.
    pub(in crate::net) fn remove_socket(&mut self) {
        if self.listener.take().is_some() {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Notes that the loop has found the listener ready.
    pub(in crate::net) fn mark_listener(&mut self) {
        self.accept_pending = true;
    }

    /// Notes that the loop has found a link ready.
    pub(in crate::net) fn mark_ready(&mut self, number: u64, readiness: Readiness) {
        for link in self.links_mut() {
            link.mark_ready(number, readiness);
        }
    }

    /// The next event on one of the links; the predecessor's come first.
    pub(super) fn next_event(&mut self) -> Option<LinkEvent> {
        self.next_predecessor_event().or_else(|| {
            self.accept_successor();
            self.next_successor_event()
        })
    }

    fn next_predecessor_event(&mut self) -> Option<LinkEvent> {
        match self.predecessor.as_mut()?.receive() {
            Ok(received) => received.map(LinkEvent::FromPredecessor),
            Err(LinkFailure::Damaged(error)) => Some(LinkEvent::PredecessorDamaged(error)),
            Err(LinkFailure::Closed) => {
                self.predecessor = None;
                Some(LinkEvent::PredecessorDisconnected)
            }
        }
    }

    fn next_successor_event(&mut self) -> Option<LinkEvent> {
        match self.successor.as_mut()?.receive() {
            Ok(received) => received.map(|received| LinkEvent::FromSuccessor(received.frame)),
            Err(LinkFailure::Damaged(error)) => Some(LinkEvent::SuccessorDamaged(error)),
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

    /// Closes the link to the successor; another one may connect.
    pub(super) fn disconnect_successor(&mut self) {
        self.successor = None;
        self.accept_pending = true;
    }

    /// Replaces the link to the predecessor by a silent one, whose end is the end of that process.
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

    /// Sends what the others take; `true` if the rest must be tried again without an event.
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
