//! Links between the processes: those of workers to coordinators deliver frames in order; those between coordinators
//! lose, duplicate and reorder frames.

use super::links::{LinkDirection, NodePair, WorkerLink};
use super::names::{address, coordinator_name};
use super::process_state::Link;
use super::world::{Event, World};
use fleet_coordinator::coordinator::{Coordinator, PeerAnswer};
use fleet_coordinator::ids::LinkId;
use port_worker::fleet::frame::{self, ServerMessage};
use rand::Rng;
use std::net::SocketAddr;

/// Size of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;
/// One in this many frames between coordinators is lost.
const PEER_FRAME_LOSS_ONE_IN: i32 = 200;
/// One in this many frames between coordinators arrives twice.
const PEER_FRAME_DUPLICATE_ONE_IN: i32 = 50;
/// A coordinator dials a peer to which it has no link at one in this many ticks, on average.
const DIAL_ONE_IN: i32 = 8;

impl World {
    /// Draws the transmission time of a frame (seconds).
    pub fn draw_latency(&mut self) -> f64 {
        self.rng.random_range(0.0002..0.004)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.network.cuts.get(&NodePair { from, to }).is_some_and(|until| self.now < *until)
    }

    /// Returns the worker's node number.
    pub fn worker_node(&self, worker: usize) -> usize {
        self.scenario.coordinators + worker
    }

    /// Starts a worker's connection attempt to a coordinator.
    pub fn dial(&mut self, worker: usize, to: SocketAddr) {
        let Some(coordinator) = (0..self.scenario.coordinators).find(|n| address(*n) == to) else { return };
        let link = self.network.new_link();
        let incarnation = self.workers[worker].incarnation;
        let after = self.draw_latency() * 2.0;
        self.schedule(self.now + after, Event::Connected { worker, incarnation, coordinator, link });
    }

    /// Completes a worker's connection attempt: it fails if the coordinator is not running or is partitioned from the worker.
    pub fn connected(&mut self, worker: usize, incarnation: u64, coordinator: usize, link: u64) {
        if self.workers[worker].incarnation != incarnation {
            return;
        }
        let node = self.worker_node(worker);
        let runs = self.coordinators[coordinator].machine.is_some();
        if !runs || self.is_cut(node, coordinator) || self.is_cut(coordinator, node) {
            return self.with_worker(worker, port_worker::fleet::FleetMember::disconnected);
        }
        self.workers[worker].link = Some(Link { number: link, coordinator });
        let state = WorkerLink { worker, up: LinkDirection::default(), down: LinkDirection::default() };
        self.network.worker_links.insert(link, state);
        self.with_coordinator(coordinator, |machine, _| machine.on_link_opened(LinkId(link)));
        self.with_worker(worker, |member, _| member.connected());
    }

    /// Closes the worker's link and notifies the worker.
    pub fn break_link(&mut self, worker: usize, link: u64) {
        if self.workers[worker].is_linked_by(link) {
            self.close_link(worker, link);
            self.with_worker(worker, port_worker::fleet::FleetMember::disconnected);
        }
    }

    /// Closes the worker's link; the coordinator is notified immediately.
    pub fn close_link(&mut self, worker: usize, link: u64) {
        if let Some(Link { coordinator, .. }) = self.workers[worker].link.take() {
            self.network.worker_links.remove(&link);
            if let Some(machine) = &mut self.coordinators[coordinator].machine {
                machine.on_link_closed(LinkId(link));
            }
        }
    }

    /// Sends a frame from a worker to its coordinator.
    pub fn send_from_worker(&mut self, worker: usize, bytes: Vec<u8>) {
        let Some(Link { number: link, coordinator }) = self.workers[worker].link else { return };
        let cut = self.is_cut(self.worker_node(worker), coordinator);
        let Some(state) = self.network.worker_links.get_mut(&link) else { return };
        if state.up.lost || cut {
            state.up.lost = true;
            return;
        }
        let arrival = self.now + self.draw_latency();
        let at = self.arrival_in_order(link, arrival, |state| &mut state.up);
        self.schedule(at, Event::ToCoordinator { worker, link, bytes });
    }

    /// Sends a frame from a coordinator to a worker, or a reply to a peer.
    pub fn send_from_coordinator(&mut self, coordinator: usize, link: u64, bytes: Vec<u8>) {
        if let Some(peers) = self.network.peers_on(link) {
            if !self.is_cut(peers.to, peers.from) {
                let after = self.draw_latency();
                self.schedule(self.now + after, Event::PeerReply { peers, link, bytes });
            }
            return;
        }
        let Some(worker) = self.network.worker_links.get(&link).map(|state| state.worker) else { return };
        let cut = self.is_cut(coordinator, self.worker_node(worker));
        let Some(state) = self.network.worker_links.get_mut(&link) else { return };
        if state.down.lost || cut {
            state.down.lost = true;
            return;
        }
        let arrival = self.now + self.draw_latency();
        let at = self.arrival_in_order(link, arrival, |state| &mut state.down);
        self.schedule(at, Event::ToWorker { worker, link, bytes });
    }

    /// Returns the arrival time of a frame, delayed so that it does not overtake earlier frames in its direction.
    fn arrival_in_order(
        &mut self,
        link: u64,
        arrival: f64,
        direction: impl FnOnce(&mut WorkerLink) -> &mut LinkDirection,
    ) -> f64 {
        let Some(state) = self.network.worker_links.get_mut(&link) else { return arrival };
        let direction = direction(state);
        direction.last_arrival = direction.last_arrival.max(arrival);
        direction.last_arrival
    }

    /// Delivers a worker's frame to its coordinator.
    pub fn receive_from_worker(&mut self, worker: usize, number: u64, bytes: &[u8]) {
        let link = self.workers[worker].link.filter(|link| link.number == number);
        let Some(Link { coordinator, .. }) = link else { return };
        let mut undecodable = false;
        self.with_coordinator(coordinator, |machine, now| {
            undecodable = machine.receive(now, LinkId(number), &bytes[LENGTH_BYTES..]).is_err();
        });
        if undecodable {
            self.violation("a coordinator could not decode a worker's frame");
        }
    }

    /// Delivers a coordinator's frame to a worker.
    pub fn receive_at_worker(&mut self, worker: usize, link: u64, bytes: &[u8]) {
        if !self.workers[worker].is_linked_by(link) {
            return;
        }
        if let Ok(Some((message, _))) = frame::decode::<ServerMessage>(bytes, frame::MAX_SERVER_FRAME_BYTES) {
            self.with_worker(worker, |member, now| member.receive(now, &message));
        }
    }

    /// Dials, at random ticks, the peers to which the coordinator has no link.
    pub fn connect_peers(&mut self, coordinator: usize) {
        for to in 0..self.scenario.coordinators {
            let peers = NodePair { from: coordinator, to };
            let unlinked = to != coordinator && !self.network.peer_links.contains_key(&peers);
            if unlinked && self.rng.random_range(0..DIAL_ONE_IN) == 0 {
                let after = self.draw_latency();
                let incarnation = self.coordinators[coordinator].incarnation;
                self.schedule(self.now + after, Event::PeerConnect { peers, incarnation });
            }
        }
    }

    /// Completes a coordinator's connection attempt to a peer, if the peer can be reached.
    pub fn connect_peer(&mut self, peers: NodePair, incarnation: u64) {
        let NodePair { from, to } = peers;
        let listens =
            self.coordinators[to].machine.is_some() && self.now >= self.coordinators[to].paused_until;
        if self.coordinators[from].incarnation != incarnation
            || !listens
            || self.is_cut(from, to)
            || self.network.peer_links.contains_key(&peers)
        {
            return;
        }
        let Some(hello) = self.coordinators[from].machine.as_ref().map(Coordinator::peer_hello) else {
            return;
        };
        let link = self.network.new_link();
        self.network.peer_links.insert(peers, link);
        self.network.peers_by_link.insert(link, peers);
        self.with_coordinator(to, |machine, now| {
            machine.on_link_opened(LinkId(link));
            let _ = machine.receive(now, LinkId(link), &hello[LENGTH_BYTES..]);
        });
    }

    /// Sends a frame from one coordinator to another; it may be lost or duplicated.
    pub fn send_to_peer(&mut self, from: usize, name: &str, bytes: &[u8]) {
        let Some(to) = (0..self.scenario.coordinators).find(|n| coordinator_name(*n) == name) else { return };
        let peers = NodePair { from, to };
        let Some(link) = self.network.peer_links.get(&peers).copied() else { return };
        if self.is_cut(from, to) || self.rng.random_range(0..PEER_FRAME_LOSS_ONE_IN) == 0 {
            return;
        }
        let copies = if self.rng.random_range(0..PEER_FRAME_DUPLICATE_ONE_IN) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let after = self.draw_latency();
            let bytes = bytes.to_vec();
            self.schedule(self.now + after, Event::PeerFrame { peers, link, bytes });
        }
    }

    /// Delivers a frame from a peer.
    pub fn receive_from_peer(&mut self, peers: NodePair, link: u64, bytes: &[u8]) {
        if self.network.peer_links.get(&peers) == Some(&link) {
            self.with_coordinator(peers.to, |machine, now| {
                drop(machine.receive(now, LinkId(link), &bytes[LENGTH_BYTES..]));
            });
        }
    }

    /// Delivers a peer's reply to the coordinator that sent the request.
    pub fn receive_peer_reply(&mut self, peers: NodePair, link: u64, bytes: &[u8]) {
        if self.network.peer_links.get(&peers) != Some(&link) {
            return;
        }
        if let Ok(answer) = serde_json::from_slice::<PeerAnswer>(&bytes[LENGTH_BYTES..]) {
            let name = coordinator_name(peers.to);
            self.with_coordinator(peers.from, |machine, now| machine.on_peer_answer(now, &name, answer));
        }
    }

    /// Closes a link between coordinators, if there is one.
    pub fn close_peer_link(&mut self, peers: NodePair) {
        if let Some(link) = self.network.peer_links.remove(&peers) {
            self.network.peers_by_link.remove(&link);
            if let Some(machine) = &mut self.coordinators[peers.to].machine {
                machine.on_link_closed(LinkId(link));
            }
        }
    }
}
