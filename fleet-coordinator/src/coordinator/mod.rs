//! One coordinator without I/O: the replica, the leader's state, who is on which link, and operators' queries.
//!
//! The same code runs behind sockets ([`crate::net`]) and in the testbed's virtual time. Links are numbered by the caller
//! and numbers are never reused; frames go in as bytes and come out as bytes.

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
use operator_queries::{PendingQuery, FIRST_QUERY_NUMBER};
use port_worker::fleet::frame::{self, ServerMessage, MAX_CLIENT_FRAME_BYTES};
use port_worker::fleet::overload::leader::Settings as OverloadSettings;
use std::collections::BTreeMap;

/// How often an uninitialized member asks its peers again who it is (seconds).
const PEER_QUERY_INTERVAL_S: f64 = 0.5;

/// A coordinator's settings.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This coordinator's name.
    pub name: String,
    /// All coordinators in the file's order, this one among them.
    pub coordinators: Vec<CoordinatorAddress>,
    /// The epoch of `tasks`.
    pub epoch: u64,
    /// The fleet's tasks.
    pub tasks: Vec<Task>,
    /// A write that takes longer suspends this member (seconds).
    pub write_overdue_s: f64,
    /// The latest version that this program claims to understand.
    pub version: u32,
    /// Safety checks; all are on in service.
    pub safety_checks: SafetyChecks,
    /// `[overload]` of the file.
    pub overload: Option<OverloadSettings>,
}

/// A coordinator, and where workers connect to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorAddress {
    /// Its name.
    pub name: String,
    /// Host and port.
    pub address: String,
}

/// What the caller is to carry out.
#[derive(Debug)]
pub enum Output {
    /// Send a complete frame on a link.
    Frame(LinkId, Vec<u8>),
    /// Close a link once what was written has been sent; nothing more is received on it.
    Close(LinkId),
    /// Send a complete frame to the peer of this name, if it is connected.
    Peer(String, Vec<u8>),
    /// Reconnect to all peers: this member's status has changed.
    ReconnectPeers,
    /// Carry out a job of the disk, and report its result under this number.
    Disk(DiskJobId, DiskJob),
    /// Report an event to operators.
    Log(CoordinatorEvent),
}

/// Why a frame comes from no worker, operator or coordinator of this fleet.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The frame's body is not a message.
    #[error("a frame that can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A coordinator of the fleet of this name.
    #[error("a coordinator of the fleet {0}")]
    OtherFleet(String),
    /// A coordinator of this name, which the file does not list.
    #[error("a coordinator {0} that the file does not name")]
    UnknownPeer(String),
    /// A peer's message that the replica can't take.
    #[error(transparent)]
    Step(#[from] StepError),
}

/// Who is on a link.
#[derive(Clone, Debug, PartialEq)]
enum Role {
    /// Has not introduced itself.
    New,
    Worker,
    /// A coordinator, by its member number.
    Peer(MemberId),
    Operator,
}

/// One coordinator.
pub struct Coordinator {
    /// Its settings; `epoch` and `tasks` change on a reload.
    pub config: CoordinatorConfig,
    /// Its part of the quorum.
    pub replica: Replica,
    /// What it does as a leader.
    pub leader_state: LeaderState,
    roles: BTreeMap<LinkId, Role>,
    /// Names of members by number, as they introduced themselves.
    peer_names: BTreeMap<MemberId, String>,
    /// What peers answered while this member is uninitialized.
    peer_answers: BTreeMap<String, PeerAnswer>,
    pending_queries: Vec<PendingQuery>,
    last_query: u64,
    peers_asked_at: f64,
    reported_status: MemberStatus,
    outputs: Vec<Output>,
}

impl Coordinator {
    /// A coordinator whose disk has yet to be opened; `seed` determines its election timeouts.
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
            last_query: FIRST_QUERY_NUMBER,
            peers_asked_at: now,
            reported_status: MemberStatus::Recovering,
            outputs: Vec::new(),
        };
        coordinator.process_events(now);
        coordinator
    }

    /// Takes what is to be carried out since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: f64) {
        self.replica.tick(now);
        self.leader_state.tick(now, &self.replica.state_machine);
        self.expire_queries(now);
        let is_uninitialized = matches!(self.replica.status, MemberStatus::Uninitialized(_));
        if is_uninitialized && now - self.peers_asked_at >= PEER_QUERY_INTERVAL_S {
            self.peers_asked_at = now;
            self.outputs.push(Output::ReconnectPeers);
        }
        self.process_events(now);
    }

    /// A job of the disk has ended.
    pub fn on_disk_result(&mut self, now: f64, job: DiskJobId, result: DiskResult) {
        self.replica.on_disk_result(now, job, result);
        self.process_events(now);
    }

    /// A link was accepted.
    pub fn on_link_opened(&mut self, link: LinkId) {
        self.roles.insert(link, Role::New);
    }

    /// A link is gone.
    pub fn on_link_closed(&mut self, link: LinkId) {
        self.roles.remove(&link);
        self.leader_state.on_link_closed(link);
        self.pending_queries.retain(|query| query.link != link);
    }

    /// The largest frame that this link may send now (bytes, without the header).
    #[must_use]
    pub fn max_frame_bytes(&self, link: LinkId) -> usize {
        match self.roles.get(&link) {
            Some(Role::Peer(_)) => MAX_PEER_FRAME_BYTES,
            _ => MAX_CLIENT_FRAME_BYTES,
        }
    }

    /// A frame's body was received.
    ///
    /// # Errors
    /// The frame comes from no worker, operator or coordinator of this fleet; the link is to be closed.
    pub fn receive(&mut self, now: f64, link: LinkId, body: &[u8]) -> Result<(), ReceiveError> {
        let result = match self.roles.get(&link).cloned() {
            None => Ok(()),
            Some(Role::Peer(member)) => self.replica.step(now, member, body).map_err(ReceiveError::from),
            Some(role) => self.receive_message(now, link, &role, body),
        };
        self.process_events(now);
        result
    }

    /// The tasks of the coordinators' file have changed.
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
            MemberStatus::Active => "another coordinator leads, or none does yet".to_owned(),
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
