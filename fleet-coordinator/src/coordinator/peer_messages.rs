//! The hello exchange between coordinators, and how an uninitialized coordinator determines its identity.

use super::{Coordinator, Output, ReceiveError, Role};
use crate::events::CoordinatorEvent;
use crate::ids::{LinkId, MemberId};
use crate::replica::{ExclusionCause, MemberStatus, Uninitialized};
use port_worker::fleet::frame;
use serde::{Deserialize, Serialize};

/// The first frame on a link from another coordinator. All later frames are messages of the Raft library.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct PeerHello {
    /// The sender's name.
    #[serde(rename = "peer")]
    pub name: String,
    /// The name of its fleet.
    pub fleet: String,
    /// Its member number; 0 while it does not participate in the quorum.
    pub member: MemberId,
    /// The last index of its log; 0 while it does not participate.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The latest protocol version whose commands its program can apply.
    pub version: u32,
}

/// The answer to a [`PeerHello`], which is the only frame sent back on the link. "Caller" is the sender of the hello.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct PeerAnswer {
    /// The answering member's number; 0 if it has none yet.
    pub member: MemberId,
    /// The latest protocol version whose commands its program can apply.
    pub version: u32,
    /// The caller's member number; 0 if the answering member's state has no member with the caller's name.
    #[serde(rename = "yours")]
    pub caller_member: MemberId,
    /// The log index up to which the caller is known to have persisted.
    #[serde(rename = "kept")]
    pub caller_persisted: u64,
    /// Whether the caller is an initial member of the fleet.
    #[serde(rename = "founder")]
    pub caller_is_initial_member: bool,
    /// Why messages from the caller are not accepted; `None` if they are.
    #[serde(rename = "barred")]
    pub exclusion: Option<String>,
}

impl Coordinator {
    /// Returns the first frame that this member sends on a new link to a peer.
    #[must_use]
    pub fn peer_hello(&self) -> Vec<u8> {
        let is_active = self.replica.status == MemberStatus::Active;
        frame::encode(&PeerHello {
            name: self.config.name.clone(),
            fleet: self.config.fleet.clone(),
            member: if is_active { self.replica.member() } else { MemberId::NONE },
            last_index: self.replica.log_position().last,
            version: self.replica.version(),
        })
    }

    /// Handles a peer's answer to this member's hello.
    pub fn on_peer_answer(&mut self, now: f64, peer: &str, answer: PeerAnswer) {
        if answer.member != MemberId::NONE {
            self.record_peer(answer.member, answer.version, peer);
        }
        if let Some(reason) = &answer.exclusion {
            let cause = ExclusionCause::ReportedByPeer { peer: peer.to_owned(), reason: reason.clone() };
            self.replica.exclude(now, cause);
        }
        self.peer_answers.insert(peer.to_owned(), answer);
        self.identify_member(now);
        self.process_events(now);
    }

    fn record_peer(&mut self, member: MemberId, version: u32, name: &str) {
        self.replica.record_peer_version(member, version);
        self.peer_names.insert(member, name.to_owned());
    }

    /// Determines whether an uninitialized member bootstraps the fleet, joins it, or has lost its disk.
    fn identify_member(&mut self, now: f64) {
        let MemberStatus::Uninitialized(uninitialized) = self.replica.status.clone() else { return };
        let all_answered = self.peer_answers.len() + 1 == self.config.coordinators.len();
        let known = self.peer_answers.values().filter(|answer| answer.caller_member != MemberId::NONE);
        let Some(newest) = known.max_by_key(|answer| answer.caller_member).cloned() else {
            // No answer has a member number for this coordinator. If that holds for all peers, the fleet is new.
            if all_answered {
                self.bootstrap(now);
            }
            return;
        };
        let same_member = self.peer_answers.values().filter(|a| a.caller_member == newest.caller_member);
        let persisted = same_member.map(|answer| answer.caller_persisted).max().unwrap_or(0);
        if persisted > 0 {
            self.record_lost_disk(uninitialized, persisted);
        } else if !newest.caller_is_initial_member {
            self.replica.join(now, newest.caller_member);
        } else if all_answered {
            // The other initial members have started the fleet. No peer reports that this disk had persisted anything, so it
            // may start from the same initial state.
            self.bootstrap(now);
        }
    }

    /// Records that the disk was lost. Only the first index that peers report is recorded: later ones are about the same loss.
    fn record_lost_disk(&mut self, uninitialized: Uninitialized, persisted: u64) {
        if uninitialized.lost_index.is_none() {
            let lost = Uninitialized { lost_index: Some(persisted), ..uninitialized };
            self.replica.status = MemberStatus::Uninitialized(lost);
        }
    }

    fn bootstrap(&mut self, now: f64) {
        let names: Vec<String> = self.config.coordinators.iter().map(|c| c.name.clone()).collect();
        self.replica.bootstrap(now, &names, &self.config.name);
    }

    /// Handles another coordinator's hello. Checks that the configuration file lists it, that it has not been replaced, and
    /// that its disk holds at least the log that it is known to have persisted.
    pub(super) fn on_peer_hello(&mut self, link: LinkId, hello: &PeerHello) -> Result<(), ReceiveError> {
        if hello.fleet != self.config.fleet {
            return Err(ReceiveError::OtherFleet(hello.fleet.clone()));
        }
        let is_listed = self.config.coordinators.iter().any(|coordinator| coordinator.name == hello.name);
        if !is_listed || hello.name == self.config.name {
            return Err(ReceiveError::UnknownPeer(hello.name.clone()));
        }
        let exclusion = self.exclusion_of(hello);
        let answer = self.answer_to_peer(hello, exclusion.as_ref());
        self.outputs.push(Output::Frame(link, frame::encode(&answer)));
        if let Some(cause) = exclusion {
            self.log(CoordinatorEvent::PeerExcluded { coordinator: hello.name.clone(), cause });
            self.outputs.push(Output::Close(link));
        } else if hello.member != MemberId::NONE {
            self.record_peer(hello.member, hello.version, &hello.name);
            self.roles.insert(link, Role::Peer(hello.member));
        }
        Ok(())
    }

    /// Returns why messages from the peer are not accepted; `None` if they are.
    fn exclusion_of(&self, hello: &PeerHello) -> Option<ExclusionCause> {
        if hello.member == MemberId::NONE {
            return None;
        }
        let known = self.known_member(&hello.name);
        let has_state = self.replica.log_position().applied > 0;
        let is_past_or_present = hello.member <= self.replica.state_machine.last_member;
        if hello.member == known.member {
            let disk_is_older = hello.last_index < known.persisted;
            return disk_is_older
                .then_some(ExclusionCause::OlderDisk { last: hello.last_index, persisted: known.persisted });
        }
        (has_state && is_past_or_present).then_some(ExclusionCause::Replaced { member: hello.member })
    }

    fn answer_to_peer(&self, hello: &PeerHello, exclusion: Option<&ExclusionCause>) -> PeerAnswer {
        let known = self.known_member(&hello.name);
        PeerAnswer {
            member: self.replica.member(),
            version: self.replica.version(),
            caller_member: known.member,
            caller_persisted: known.persisted,
            caller_is_initial_member: known.member != MemberId::NONE
                && known.member <= self.replica.state_machine.last_initial_member,
            exclusion: exclusion.map(ToString::to_string),
        }
    }

    fn known_member(&self, name: &str) -> KnownMember {
        let state = &self.replica.state_machine;
        let member = state.member(name).unwrap_or(MemberId::NONE);
        KnownMember { member, persisted: state.persisted.get(&member).copied().unwrap_or(0) }
    }
}

/// What the replicated state records about a coordinator.
struct KnownMember {
    /// Its member number; 0 if it is not a member.
    member: MemberId,
    /// The log index up to which it is known to have persisted.
    persisted: u64,
}
