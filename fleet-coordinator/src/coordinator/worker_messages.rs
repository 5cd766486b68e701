//! Dispatch of messages from workers and operators, and of the first message from a peer.

use super::{Coordinator, PeerHello, ReceiveError, Role};
use crate::ids::LinkId;
use crate::leader_state::{BeginRequest, Heartbeat, Hello, ReleaseRequest};
use port_worker::fleet::frame::{ClientMessage, OperatorQuery, ServerMessage};

/// The zone of a worker that has none configured.
const NO_ZONE: &str = "none";

impl Coordinator {
    pub(super) fn receive_message(
        &mut self,
        now: f64,
        link: LinkId,
        role: &Role,
        body: &[u8],
    ) -> Result<(), ReceiveError> {
        if *role == Role::New {
            if let Ok(hello) = serde_json::from_slice::<PeerHello>(body) {
                return self.on_peer_hello(link, &hello);
            }
        }
        let message: ClientMessage = serde_json::from_slice(body)?;
        match message {
            ClientMessage::Hello { fleet, version, name, zone, process } => {
                let hello = Hello { name, zone, incarnation: process, version };
                self.on_worker_hello(now, link, &fleet, hello);
            }
            ClientMessage::Query { fleet, query } => self.on_operator_query(now, link, &fleet, query),
            // No hello was received on this link while this member was the leader.
            _ if *role != Role::Worker => self.send(link, &ServerMessage::SessionExpired),
            _ if !self.replica.is_leader() => {
                let answer = self.not_leader();
                self.send(link, &answer);
            }
            message => self.on_session_message(now, link, message),
        }
        // The rest of the periodic work waits for the next tick, since it iterates over all sessions.
        self.leader_state.request_confirmation(now, &self.replica.state_machine);
        Ok(())
    }

    fn on_worker_hello(&mut self, now: f64, link: LinkId, fleet: &str, hello: Hello) {
        if fleet != self.config.fleet {
            return self.reject_other_fleet(link);
        }
        if !self.replica.is_leader() {
            let answer = self.not_leader();
            return self.send(link, &answer);
        }
        self.roles.insert(link, Role::Worker);
        let zone = if hello.zone.is_empty() { NO_ZONE.to_owned() } else { hello.zone };
        let hello = Hello { zone, ..hello };
        self.leader_state.on_hello(now, link, hello, &self.replica.state_machine);
    }

    fn on_operator_query(&mut self, now: f64, link: LinkId, fleet: &str, query: OperatorQuery) {
        self.roles.insert(link, Role::Operator);
        if fleet != self.config.fleet {
            return self.reject_other_fleet(link);
        }
        self.receive_query(now, link, query);
    }

    fn reject_other_fleet(&mut self, link: LinkId) {
        let reason = format!("message for another fleet; expected the fleet {}", self.config.fleet);
        self.reject(link, reason);
    }

    fn on_session_message(&mut self, now: f64, link: LinkId, message: ClientMessage) {
        let state = &self.replica.state_machine;
        match message {
            ClientMessage::Heartbeat { seq, wants, leases, counters, totals, load } => {
                let heartbeat =
                    Heartbeat { sequence: seq, wanted_tasks: wants, leases, counters, totals, load };
                self.leader_state.on_heartbeat(now, link, heartbeat, state);
            }
            ClientMessage::ReleaseLease { lease, failed, pass_on } => {
                let request = ReleaseRequest { lease, failed, hand_off: pass_on };
                self.leader_state.on_release(now, link, request, state);
            }
            ClientMessage::BeginPeriod { lease, every_ms, idempotent, attempt } => {
                let request = BeginRequest { lease, every_ms, idempotent, attempt };
                self.leader_state.on_begin_request(link, request, state);
            }
            ClientMessage::EndPeriod { lease, period, outcome } => {
                self.leader_state.on_period_ended(lease, period, outcome);
            }
            ClientMessage::Goodbye => self.leader_state.on_goodbye(now, link, state),
            // Hellos and queries need no session and were handled above; messages of later versions are ignored.
            ClientMessage::Hello { .. } | ClientMessage::Query { .. } | ClientMessage::Unknown => {}
        }
    }
}
