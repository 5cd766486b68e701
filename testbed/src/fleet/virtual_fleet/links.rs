//! State of the links and of the network partitions between nodes.

use std::collections::BTreeMap;

/// An ordered pair of nodes. Coordinators have the first node numbers, workers the following ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NodePair {
    pub from: usize,
    pub to: usize,
}

impl NodePair {
    /// Returns the pair for the opposite direction.
    pub fn reversed(self) -> NodePair {
        NodePair { from: self.to, to: self.from }
    }
}

/// One direction of a worker's link.
#[derive(Default)]
pub(super) struct LinkDirection {
    /// Arrival time of the last frame sent; later frames must not overtake it.
    pub last_arrival: f64,
    /// Whether a frame was lost; if so, nothing more is delivered in this direction, as on a broken TCP stream.
    pub lost: bool,
}

/// A link between a worker and its coordinator.
pub(super) struct WorkerLink {
    pub worker: usize,
    pub up: LinkDirection,
    pub down: LinkDirection,
}

/// All links, and the partitions between nodes.
pub(super) struct Network {
    /// Identifier of each link between coordinators.
    pub peer_links: BTreeMap<NodePair, u64>,
    /// The coordinators at the ends of each link between coordinators.
    pub peers_by_link: BTreeMap<u64, NodePair>,
    pub worker_links: BTreeMap<u64, WorkerLink>,
    pub last_link: u64,
    /// Directions in which nothing is delivered, with the end of each partition.
    pub cuts: BTreeMap<NodePair, f64>,
}

impl Network {
    pub fn new() -> Network {
        Network {
            peer_links: BTreeMap::new(),
            peers_by_link: BTreeMap::new(),
            worker_links: BTreeMap::new(),
            last_link: 1,
            cuts: BTreeMap::new(),
        }
    }

    /// Allocates an identifier for a new link.
    pub fn new_link(&mut self) -> u64 {
        self.last_link += 1;
        self.last_link
    }

    /// Returns the ends of a link between coordinators; `None` for a worker's link.
    pub fn peers_on(&self, link: u64) -> Option<NodePair> {
        self.peers_by_link.get(&link).copied()
    }

    /// Returns the ends of all links between this coordinator and others.
    pub fn peers_of(&self, coordinator: usize) -> Vec<NodePair> {
        let joins = |peers: &&NodePair| peers.from == coordinator || peers.to == coordinator;
        self.peer_links.keys().filter(joins).copied().collect()
    }

    /// Drops everything that is sent in this direction until the given time.
    pub fn cut(&mut self, direction: NodePair, until: f64) {
        self.cuts.insert(direction, until);
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
