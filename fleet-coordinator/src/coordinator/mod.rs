//! One coordinator without I/O: the replica, the leader's state, the roles of links, and operators' queries.
//!
//! The same code runs with sockets ([`crate::net`]) and in the testbed's virtual time. The caller passes in the time on its
//! clock (seconds), and assigns link numbers, which it never reuses. Received and sent frames are byte buffers.

mod answers;
mod frames;
mod operator_queries;
mod peer_messages;
mod reporting;
mod worker_messages;

pub use frames::{next_frame, Frame, FrameTooLong, FRAME_HEADER_BYTES, MAX_PEER_FRAME_BYTES};
pub use peer_messages::{PeerAnswer, PeerHello};

use crate::events::CoordinatorEvent;
use crate::ids::{DiskJobId, LinkId, MemberId};
use crate::leader_state::{LeaderState, SafetyChecks};
use crate::replica::{DiskJob, DiskResult, MemberStatus, Replica, StepError};
use crate::state_machine::Task;
use operator_queries::{PendingQuery, QUERY_NUMBER_BASE};
use port_worker::fleet::frame::{self, ServerMessage, MAX_CLIENT_FRAME_BYTES};
use port_worker::fleet::overload::leader::OverloadLeaderSettings;
use std::collections::BTreeMap;

/// How often an uninitialized member queries its peers for its member number and whether it has lost its disk (seconds).
const PEER_QUERY_INTERVAL_S: f64 = 0.5;

/// A coordinator's settings.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This coordinator's name.
    pub name: String,
    /// All coordinators in the configuration file's order, including this one.
    pub coordinators: Vec<CoordinatorAddress>,
    /// The epoch of `tasks`.
    pub epoch: u64,
    /// The fleet's tasks.
    pub tasks: Vec<Task>,
    /// A write that takes longer than this suspends the member (seconds).
    pub write_overdue_s: f64,
    /// The latest protocol version that this coordinator reports as supported.
    pub version: u32,
    /// Safety checks; all are enabled in production.
    pub safety_checks: SafetyChecks,
    /// Settings of fleet-wide overload control: `[overload]` in the configuration file.
    pub overload: Option<OverloadLeaderSettings>,
}

/// A coordinator and the address for workers' connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorAddress {
    /// Its name.
    pub name: String,
    /// Host and port.
    pub address: String,
}

/// An action that the caller must execute.
#[derive(Debug)]
pub enum Output {
    /// Send a complete frame on a link.
    Frame(LinkId, Vec<u8>),
    /// Close a link after all queued data has been sent; nothing more is received on it.
    Close(LinkId),
    /// Send a complete frame to the peer with this name, if it is connected.
    Peer(String, Vec<u8>),
    /// Reconnect to all peers, since a hello is sent only on a new link: this member's status has changed, or it queries its
    /// peers.
    ReconnectPeers,
    /// Execute a disk job, and report its result under this number.
    Disk(DiskJobId, DiskJob),
    /// Log an event.
    Log(CoordinatorEvent),
}

/// Why a frame is not accepted: it does not come from a worker, operator or coordinator of this fleet.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The frame's body is not a message.
    #[error("malformed frame: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The sender is a coordinator of another fleet, which has this name.
    #[error("hello from a coordinator of the fleet {0}; expected one of this fleet")]
    OtherFleet(String),
    /// The sender's name is not that of another coordinator in the configuration file.
    #[error(
        "hello from coordinator {0}; expected the name of another coordinator in the configuration file"
    )]
    UnknownPeer(String),
    /// The replica rejected a peer's message.
    #[error(transparent)]
    Step(#[from] StepError),
}

/// The role of the other end of a link.
#[derive(Clone, Debug, PartialEq)]
enum Role {
    /// Unknown: no hello or query has been received on the link yet.
    New,
    Worker,
    /// A coordinator, by its member number.
    Peer(MemberId),
    Operator,
}

/// One coordinator.
pub struct Coordinator {
    /// The settings; a reload changes `epoch` and `tasks`.
    pub config: CoordinatorConfig,
    /// Its replica of the log and the state.
    pub replica: Replica,
    /// The leader's unreplicated state; inactive while this member is not the leader.
    pub leader_state: LeaderState,
    roles: BTreeMap<LinkId, Role>,
    /// Names of members by number, from their hellos and answers.
    peer_names: BTreeMap<MemberId, String>,
    /// Peers' answers to hellos since this member's status last changed, by peer name.
    peer_answers: BTreeMap<String, PeerAnswer>,
    pending_queries: Vec<PendingQuery>,
    /// The number of the last confirmation that was requested for a query.
    last_query: u64,
    peers_queried_at: f64,
    /// The status when it was last reported to the log and to peers.
    reported_status: MemberStatus,
    outputs: Vec<Output>,
}

impl Coordinator {
    /// Returns a coordinator that starts by opening its disk; `seed` determines its election timeouts.
    #[must_use]
    pub fn new(now: f64, config: CoordinatorConfig, seed: u64) -> Coordinator {
        let mut coordinator = Coordinator {
            replica: Replica::new(now, seed, config.write_overdue_s, config.version),
            leader_state: LeaderState::new(config.safety_checks, config.overload),
            config,
            roles: BTreeMap::new(),
            peer_names: BTreeMap::new(),
            peer_answers: BTreeMap::new(),
            pending_queries: Vec::new(),
            last_query: QUERY_NUMBER_BASE,
            peers_queried_at: now,
            reported_status: MemberStatus::Recovering,
            outputs: Vec::new(),
        };
        coordinator.process_events(now);
        coordinator
    }

    /// Returns the outputs since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Performs the periodic work that is due at this time.
    pub fn tick(&mut self, now: f64) {
        self.replica.tick(now);
        self.leader_state.tick(now, &self.replica.state_machine);
        self.expire_queries(now);
        let is_uninitialized = matches!(self.replica.status, MemberStatus::Uninitialized(_));
        if is_uninitialized && now - self.peers_queried_at >= PEER_QUERY_INTERVAL_S {
            self.peers_queried_at = now;
            self.outputs.push(Output::ReconnectPeers);
        }
        self.process_events(now);
    }

    /// Handles the result of a disk job.
    pub fn on_disk_result(&mut self, now: f64, job: DiskJobId, result: DiskResult) {
        self.replica.on_disk_result(now, job, result);
        self.process_events(now);
    }

    /// Called when a link was accepted.
    pub fn on_link_opened(&mut self, link: LinkId) {
        self.roles.insert(link, Role::New);
    }

    /// Called when a link was closed.
    pub fn on_link_closed(&mut self, link: LinkId) {
        self.roles.remove(&link);
        self.leader_state.on_link_closed(link);
        self.pending_queries.retain(|query| query.link != link);
    }

    /// Returns the maximum size of the next frame from this link (bytes, without the header).
    #[must_use]
    pub fn max_frame_bytes(&self, link: LinkId) -> usize {
        match self.roles.get(&link) {
            Some(Role::Peer(_)) => MAX_PEER_FRAME_BYTES,
            _ => MAX_CLIENT_FRAME_BYTES,
        }
    }

    /// Handles the body of a received frame.
    ///
    /// # Errors
    /// The frame does not come from a worker, operator or coordinator of this fleet; the caller must close the link.
    pub fn receive(&mut self, now: f64, link: LinkId, body: &[u8]) -> Result<(), ReceiveError> {
        let result = match self.roles.get(&link).cloned() {
            None => Ok(()),
            Some(Role::Peer(member)) => self.replica.step(now, member, body).map_err(ReceiveError::from),
            Some(role) => self.receive_message(now, link, &role, body),
        };
        self.process_events(now);
        result
    }

    /// Applies the tasks of a reloaded configuration file.
    pub fn reload(&mut self, now: f64, epoch: u64, tasks: Vec<Task>) {
        self.config.epoch = epoch;
        self.config.tasks = tasks;
        self.propose_tasks(now);
        self.process_events(now);
    }

    fn send(&mut self, link: LinkId, message: &ServerMessage) {
        self.outputs.push(Output::Frame(link, frame::encode(message)));
    }

    fn reject(&mut self, link: LinkId, reason: impl Into<String>) {
        self.send(link, &ServerMessage::Rejected { reason: reason.into() });
    }

    fn log(&mut self, event: CoordinatorEvent) {
        self.outputs.push(Output::Log(event));
    }

    fn not_leader(&self) -> ServerMessage {
        let status = &self.replica.status;
        let reason = match status {
            MemberStatus::Active => "another coordinator is the leader, or none is elected yet".to_owned(),
            _ => format!("{}: {}", status.label(), status.reason()),
        };
        ServerMessage::NotLeader { leader: self.leader_address(), reason }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.replica.leader().filter(|leader| *leader != self.replica.member())?;
        let name = self.name_of(leader)?;
        let leader = self.config.coordinators.iter().find(|coordinator| coordinator.name == name);
        leader.map(|leader| leader.address.clone())
    }

    fn name_of(&self, member: MemberId) -> Option<String> {
        let known = self.replica.state_machine.members.get(&member);
        known.or_else(|| self.peer_names.get(&member)).cloned()
    }
}
