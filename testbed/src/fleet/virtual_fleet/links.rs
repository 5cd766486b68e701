//! The state of the links, and of what cuts them.

use std::collections::BTreeMap;

/// A direction between two nodes: coordinators first, then workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NodePair {
    pub from: usize,
    pub to: usize,
}

impl NodePair {
    /// The other direction.
    pub fn reversed(self) -> NodePair {
        NodePair { from: self.to, to: self.from }
    }
}

/// One direction of a worker's link.
#[derive(Default)]
pub(super) struct LinkDirection {
    /// When its last frame arrives: a link keeps its order.
    pub last_arrival: f64,
    /// Something was lost: nothing more passes this way.
    pub lost: bool,
}

/// A link between a worker and its coordinator.
pub(super) struct WorkerLink {
    pub worker: usize,
    pub up: LinkDirection,
    pub down: LinkDirection,
}

/// All links, and what cuts them.
pub(super) struct Network {
    /// The number of each link between coordinators.
    pub peer_links: BTreeMap<NodePair, u64>,
    /// Whom each link between coordinators joins.
    pub peers_by_link: BTreeMap<u64, NodePair>,
    pub worker_links: BTreeMap<u64, WorkerLink>,
    pub last_link: u64,
    /// Until when nothing passes.
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

    /// The number of a new link.
    pub fn new_link(&mut self) -> u64 {
        self.last_link += 1;
        self.last_link
    }

    /// The coordinators that a link joins, if it is one between coordinators.
    pub fn peers_on(&self, link: u64) -> Option<NodePair> {
        self.peers_by_link.get(&link).copied()
    }

    /// All links between this coordinator and others.
    pub fn peers_of(&self, coordinator: usize) -> Vec<NodePair> {
        let joins = |peers: &&NodePair| peers.from == coordinator || peers.to == coordinator;
        self.peer_links.keys().filter(joins).copied().collect()
    }

    /// Nothing passes in this direction until then.
    pub fn cut(&mut self, direction: NodePair, until: f64) {
        self.cuts.insert(direction, until);
    }

    /// All cuts end.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
