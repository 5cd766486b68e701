//! Links to the other coordinators, for what this member sends.

use super::server::{Server, MAX_QUEUED_BYTES};
use crate::config::CoordinatorEntry;
use crate::coordinator::{next_frame, PeerAnswer, MAX_PEER_FRAME_BYTES};
use port_worker::fleet::frame::MAX_SERVER_FRAME_BYTES;
use port_worker::net::io::buffer::{Filled, Link};
use port_worker::net::io::source::{Readiness, Source};
use std::net::SocketAddr;

/// How often a peer that is not connected is tried (seconds).
const CONNECT_INTERVAL_S: f64 = 0.2;
/// How long an attempt to connect may take (seconds).
const CONNECT_TIMEOUT_S: f64 = 2.0;

/// The link to one peer.
pub(super) struct Peer {
    name: String,
    address: SocketAddr,
    connection: Option<Connection>,
    connect_started_at: f64,
}

struct Connection {
    id: u64,
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
    pub(super) fn new(entry: &CoordinatorEntry) -> Peer {
        Peer {
            name: entry.name.clone(),
            address: entry.address,
            connection: None,
            connect_started_at: f64::NEG_INFINITY,
        }
    }

    pub(super) fn link_with_id(&mut self, id: u64) -> Option<&mut Link> {
        let connection = self.connection.as_mut().filter(|connection| connection.id == id)?;
        Some(&mut connection.link)
    }

    pub(super) fn is_up(&self, name: &str) -> bool {
        let up = self.connection.as_ref().is_some_and(|connection| connection.stage == Stage::Up);
        self.name == name && up
    }

    pub(super) fn push(&mut self, bytes: Vec<u8>) {
        if let Some(connection) = &mut self.connection {
            connection.link.push(bytes);
        }
    }

    pub(super) fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Writes what waits, and disconnects where that fails.
    pub(super) fn flush(&mut self) {
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
                self.link.mark(Readiness { readable: true, writable: true });
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
        let broken = self.link.fill() != Filled::Open;
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

impl Server {
    /// Connects to peers, and passes on what they answer.
    pub(super) fn poll_peers(&mut self, now: f64) {
        let mut answers = Vec::new();
        for index in 0..self.peers.len() {
            if self.peers[index].connection.is_none() {
                self.start_connecting(now, index);
                continue;
            }
            let polled = self.poll_peer(now, index);
            let peer = &mut self.peers[index];
            answers.extend(polled.answer.map(|answer| (peer.name.clone(), answer)));
            if polled.broken {
                peer.connection = None;
            }
        }
        for (name, answer) in answers {
            self.coordinator.peer_answered(now, &name, answer);
            self.carry_out();
        }
    }

    fn start_connecting(&mut self, now: f64, index: usize) {
        let peer = &mut self.peers[index];
        if now - peer.connect_started_at < CONNECT_INTERVAL_S {
            return;
        }
        peer.connect_started_at = now;
        let id = self.poll.fresh();
        let link = Link::connect(&self.poll, peer.address, Source::Coordinator(id), MAX_PEER_FRAME_BYTES);
        peer.connection = link.ok().map(|link| Connection { id, link, stage: Stage::Connecting });
    }

    fn poll_peer(&mut self, now: f64, index: usize) -> Polled {
        let peer = &mut self.peers[index];
        let waited_s = now - peer.connect_started_at;
        let Some(connection) = &mut peer.connection else { return Polled::default() };
        match connection.connect(waited_s, || self.coordinator.peer_hello()) {
            Ok(()) => connection.read_answer(),
            Err(Broken) => Polled::broken(),
        }
    }
}
