//! Links to the other coordinators, for what this member sends.

use super::limits::MAX_QUEUED_BYTES;
use crate::config::{CoordinatorEntry, File};
use crate::coordinator::{next_frame, PeerAnswer, MAX_PEER_FRAME_BYTES};
use crate::ids::LinkId;
use port_worker::fleet::frame::MAX_SERVER_FRAME_BYTES;
use port_worker::net::io::buffer::{Link, ReadStatus};
use port_worker::net::io::poll::Poll;
use port_worker::net::io::source::{Readiness, Source};
use std::net::SocketAddr;

/// How often a peer that is not connected is tried (seconds).
const CONNECT_INTERVAL_S: f64 = 0.2;
/// How long an attempt to connect may take (seconds).
const CONNECT_TIMEOUT_S: f64 = 2.0;

/// The links to all peers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
}

/// What a peer has answered to this member's hello.
pub(super) struct PeerAnswered {
    /// The peer's name.
    pub(super) peer: String,
    pub(super) answer: PeerAnswer,
}

/// The link to one peer.
struct Peer {
    name: String,
    address: SocketAddr,
    connection: Option<Connection>,
    connect_started_at: f64,
}

struct Connection {
    id: LinkId,
    link: Link,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    /// This member's hello was sent.
    Greeted,
    /// The peer has answered.
    Up,
}

/// A link that is to be made anew.
struct Broken;

/// What was found on a peer's link.
#[derive(Default)]
struct Polled {
    /// What the peer answered; also from a link that has ended with that.
    answer: Option<PeerAnswer>,
    /// The link is to be made anew.
    broken: bool,
}

impl Polled {
    fn broken() -> Polled {
        Polled { answer: None, broken: true }
    }
}

impl Peer {
    fn new(entry: &CoordinatorEntry) -> Peer {
        Peer {
            name: entry.name.clone(),
            address: entry.address,
            connection: None,
            connect_started_at: f64::NEG_INFINITY,
        }
    }

    fn link_with_id(&mut self, id: LinkId) -> Option<&mut Link> {
        let connection = self.connection.as_mut().filter(|connection| connection.id == id)?;
        Some(&mut connection.link)
    }

    fn is_up(&self, name: &str) -> bool {
        let up = self.connection.as_ref().is_some_and(|connection| connection.stage == Stage::Up);
        self.name == name && up
    }

    fn push(&mut self, bytes: Vec<u8>) {
        if let Some(connection) = &mut self.connection {
            connection.link.push(bytes);
        }
    }

    fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Connects, or reads what the peer has answered.
    fn poll(&mut self, now: f64, poll: &Poll, hello: impl Fn() -> Vec<u8>) -> Option<PeerAnswered> {
        let waited_s = now - self.connect_started_at;
        let Some(connection) = &mut self.connection else {
            self.start_connecting(now, poll);
            return None;
        };
        let polled = match connection.connect(waited_s, hello) {
            Ok(()) => connection.read_answer(),
            Err(Broken) => Polled::broken(),
        };
        if polled.broken {
            self.connection = None;
        }
        polled.answer.map(|answer| PeerAnswered { peer: self.name.clone(), answer })
    }

    fn start_connecting(&mut self, now: f64, poll: &Poll) {
        if now - self.connect_started_at < CONNECT_INTERVAL_S {
            return;
        }
        self.connect_started_at = now;
        let number = poll.next_id();
        let link = Link::connect(poll, self.address, Source::Coordinator(number), MAX_PEER_FRAME_BYTES);
        self.connection =
            link.ok().map(|link| Connection { id: LinkId(number), link, stage: Stage::Connecting });
    }

    /// Writes what waits, and disconnects where that fails.
    fn flush(&mut self) {
        let Some(connection) = self.connection.as_mut().filter(|c| c.stage != Stage::Connecting) else {
            return;
        };
        if connection.link.flush().is_err() || connection.link.queued() > MAX_QUEUED_BYTES {
            self.connection = None;
        }
    }
}

impl Connection {
    /// Sends this member's hello once the link is connected.
    fn connect(&mut self, waited_s: f64, hello: impl FnOnce() -> Vec<u8>) -> Result<(), Broken> {
        if self.stage != Stage::Connecting {
            return Ok(());
        }
        match self.link.connected() {
            None if waited_s < CONNECT_TIMEOUT_S => Ok(()),
            None | Some(Err(_)) => Err(Broken),
            Some(Ok(())) => {
                self.link.mark_ready(Readiness { readable: true, writable: true });
                self.link.push(hello());
                self.stage = Stage::Greeted;
                Ok(())
            }
        }
    }

    /// Reads the peer's answer, if there is one.
    fn read_answer(&mut self) -> Polled {
        if self.stage == Stage::Connecting {
            return Polled::default();
        }
        let broken = self.link.fill() != ReadStatus::Open;
        match next_frame(self.link.data(), MAX_SERVER_FRAME_BYTES) {
            Ok(None) => Polled { answer: None, broken },
            Err(_) => Polled::broken(),
            Ok(Some(frame)) => {
                let length = frame.length;
                let answer = serde_json::from_slice::<PeerAnswer>(frame.body).ok();
                self.link.consume(length);
                if answer.is_none() {
                    return Polled::broken();
                }
                self.stage = Stage::Up;
                Polled { answer, broken }
            }
        }
    }
}

impl PeerLinks {
    /// Links to all other coordinators of the file; none is connected yet.
    pub(super) fn new(file: &File) -> PeerLinks {
        let others = file.coordinators.iter().filter(|coordinator| coordinator.name != file.name);
        PeerLinks { peers: others.map(Peer::new).collect() }
    }

    /// The buffers of the link with this number; `None` where it is not one of these.
    pub(super) fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.peers.iter_mut().find_map(|peer| peer.link_with_id(id))
    }

    /// Sends a frame to the peer of this name, if it is connected.
    pub(super) fn send(&mut self, name: &str, bytes: Vec<u8>) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.is_up(name)) {
            peer.push(bytes);
        }
    }

    /// Closes all links; they are made anew.
    pub(super) fn disconnect_all(&mut self) {
        for peer in &mut self.peers {
            peer.disconnect();
        }
    }

    /// Writes what waits on all links.
    pub(super) fn flush(&mut self) {
        for peer in &mut self.peers {
            peer.flush();
        }
    }

    /// Connects to peers, sends each this member's hello, and returns what they have answered.
    pub(super) fn poll(&mut self, now: f64, poll: &Poll, hello: impl Fn() -> Vec<u8>) -> Vec<PeerAnswered> {
        let mut answers = Vec::new();
        for peer in &mut self.peers {
            answers.extend(peer.poll(now, poll, &hello));
        }
        answers
    }
}
