//! Outgoing links to the other coordinators.

use super::limits::MAX_QUEUED_BYTES;
use crate::config::{ConfigFile, CoordinatorEntry};
use crate::coordinator::{next_frame, PeerAnswer, MAX_PEER_FRAME_BYTES};
use crate::ids::LinkId;
use port_worker::fleet::frame::MAX_SERVER_FRAME_BYTES;
use port_worker::net::io::buffer::{Link, ReadStatus};
use port_worker::net::io::poll::Poll;
use port_worker::net::io::source::{Readiness, Source};
use std::net::SocketAddr;

/// The interval between attempts to connect to a peer (seconds).
const CONNECT_INTERVAL_S: f64 = 0.2;
/// The timeout of an attempt to connect (seconds).
const CONNECT_TIMEOUT_S: f64 = 2.0;

/// The links to all peers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
}

/// A peer's answer to this member's hello.
pub(super) struct ReceivedAnswer {
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
    HelloSent,
    /// The peer has answered.
    Established,
}

/// The link failed and must be re-established.
struct LinkFailed;

/// The result of polling a peer's link.
#[derive(Default)]
struct PollResult {
    /// The peer's answer, if one was received, even if the link failed right after it.
    answer: Option<PeerAnswer>,
    /// Whether the link failed and must be re-established.
    failed: bool,
}

impl PollResult {
    fn failed() -> PollResult {
        PollResult { answer: None, failed: true }
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

    fn is_established(&self, name: &str) -> bool {
        let established =
            self.connection.as_ref().is_some_and(|connection| connection.stage == Stage::Established);
        self.name == name && established
    }

    fn push(&mut self, bytes: Vec<u8>) {
        if let Some(connection) = &mut self.connection {
            connection.link.push(bytes);
        }
    }

    fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Connects to the peer or reads its answer.
    fn poll(&mut self, now: f64, poll: &Poll, hello: impl Fn() -> Vec<u8>) -> Option<ReceivedAnswer> {
        let waited_s = now - self.connect_started_at;
        let Some(connection) = &mut self.connection else {
            self.start_connecting(now, poll);
            return None;
        };
        let polled = match connection.connect(waited_s, hello) {
            Ok(()) => connection.read_answer(),
            Err(LinkFailed) => PollResult::failed(),
        };
        if polled.failed {
            self.connection = None;
        }
        polled.answer.map(|answer| ReceivedAnswer { peer: self.name.clone(), answer })
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

    /// Writes queued data; disconnects if that fails or more than [`MAX_QUEUED_BYTES`] remain queued.
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
    fn connect(&mut self, waited_s: f64, hello: impl FnOnce() -> Vec<u8>) -> Result<(), LinkFailed> {
        if self.stage != Stage::Connecting {
            return Ok(());
        }
        match self.link.connected() {
            None if waited_s < CONNECT_TIMEOUT_S => Ok(()),
            None | Some(Err(_)) => Err(LinkFailed),
            Some(Ok(())) => {
                self.link.mark_ready(Readiness { readable: true, writable: true });
                self.link.push(hello());
                self.stage = Stage::HelloSent;
                Ok(())
            }
        }
    }

    /// Reads the peer's answer, if one has arrived.
    fn read_answer(&mut self) -> PollResult {
        if self.stage == Stage::Connecting {
            return PollResult::default();
        }
        let failed = self.link.fill() != ReadStatus::Open;
        match next_frame(self.link.data(), MAX_SERVER_FRAME_BYTES) {
            Ok(None) => PollResult { answer: None, failed },
            Err(_) => PollResult::failed(),
            Ok(Some(frame)) => {
                let length = frame.length;
                let answer = serde_json::from_slice::<PeerAnswer>(frame.body).ok();
                self.link.consume(length);
                if answer.is_none() {
                    return PollResult::failed();
                }
                self.stage = Stage::Established;
                PollResult { answer, failed }
            }
        }
    }
}

impl PeerLinks {
    /// Returns links to all other configured coordinators, none of them connected yet.
    pub(super) fn new(file: &ConfigFile) -> PeerLinks {
        let others = file.coordinators.iter().filter(|coordinator| coordinator.name != file.name);
        PeerLinks { peers: others.map(Peer::new).collect() }
    }

    /// Returns the link's buffers; `None` if it is not a link to a peer.
    pub(super) fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.peers.iter_mut().find_map(|peer| peer.link_with_id(id))
    }

    /// Sends a frame to the peer with this name, if it is connected.
    pub(super) fn send(&mut self, name: &str, bytes: Vec<u8>) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| peer.is_established(name)) {
            peer.push(bytes);
        }
    }

    /// Closes all links; they are re-established by [`PeerLinks::poll`].
    pub(super) fn disconnect_all(&mut self) {
        for peer in &mut self.peers {
            peer.disconnect();
        }
    }

    /// Writes queued data on all links.
    pub(super) fn flush(&mut self) {
        for peer in &mut self.peers {
            peer.flush();
        }
    }

    /// Connects to the peers, sends this member's hello to each, and returns their answers.
    pub(super) fn poll(&mut self, now: f64, poll: &Poll, hello: impl Fn() -> Vec<u8>) -> Vec<ReceivedAnswer> {
        let mut answers = Vec::new();
        for peer in &mut self.peers {
            answers.extend(peer.poll(now, poll, &hello));
        }
        answers
    }
}
