//! A state's key: the bytes that determine its future behaviour. States with the same key are equal.
//!
//! Times are encoded as differences; tokens, batches and heartbeats as ranks. Anything that can no longer have an effect is
//! left out, and swapping the workers does not change the key.

use crate::config::ModelConfig;
use crate::leader::{worker_of, Leader, ReceivedHeartbeat};
use crate::model_state::{
    MessageToLeader, MessageToWorker, ModelState, SentMessage, Worker, LEADER_CLOCK_RATE, NEWEST_LEADER,
    PREVIOUS_LEADER, TASK,
};
use fleet_coordinator::ids::SessionId;
use fleet_coordinator::lease_clock::ReadIndexBatch;
use fleet_coordinator::state_machine::Command;
use port_worker::fleet::lease_holder::OutstandingHeartbeat;
use std::collections::BTreeSet;

// Markers of absent values, and separators between parts of variable length. Ranks and times are far lower.
const NO_LEADER: u8 = 250;
const LEADER: u8 = 251;
const LIST_ITEM: u8 = 252;
const LIST_END: u8 = 253;
const WORKER: u8 = 254;
const NO_TOKEN: u8 = 255;
/// The rank of a heartbeat whose acknowledgement no holder awaits.
const OBSOLETE_HEARTBEAT: u8 = 200;
/// Encoded instead of the remaining time of a lease that is being released.
const RELEASING: u8 = 200;
/// Encoded instead of the age of a heartbeat for a lease that its sender no longer holds.
const RENEWS_NOTHING: u8 = 100;

impl ModelState {
    /// Returns the state without messages that have no effect, and with its key.
    pub fn canonical(mut self, config: &ModelConfig) -> ModelState {
        self.drop_obsolete();
        let tokens = self.tokens();
        let keys = [[0, 1], [1, 0]].map(|order| KeyWriter::new(&self, config, &tokens, order).write());
        let [key, swapped] = keys;
        self.key = key.min(swapped);
        self
    }

    /// Drops messages without effect, so that states that differ only in them are equal: acknowledgements that no holder
    /// awaits, superseded grants, and releases of leases that have ended.
    fn drop_obsolete(&mut self) {
        let tokens = [NEWEST_LEADER, PREVIOUS_LEADER].map(|leader| self.token_at(leader));
        for worker in &mut self.workers {
            let awaited: Vec<u64> = worker.holder.outstanding().map(|sent| sent.seq).collect();
            let known_token = worker.holder.token(TASK).unwrap_or(0);
            worker.incoming.retain(|message| match message {
                MessageToWorker::HeartbeatAck { sequence, .. } => awaited.contains(sequence),
                MessageToWorker::Granted(lease) => lease.token > known_token,
            });
            worker.sent.retain(|sent| match &sent.message {
                MessageToLeader::Release(lease) => tokens[sent.leader] == Some(lease.token),
                MessageToLeader::Heartbeat { .. } => true,
            });
        }
    }

    /// All tokens that may still be compared with another, in ascending order.
    fn tokens(&self) -> Vec<u64> {
        let mut tokens = BTreeSet::from([self.highest_token]);
        tokens
            .extend([NEWEST_LEADER, PREVIOUS_LEADER].into_iter().filter_map(|leader| self.token_at(leader)));
        for worker in &self.workers {
            tokens.extend(worker.holder.token(TASK));
            tokens.extend(worker.checked_token);
            tokens.extend(worker.incoming.iter().filter_map(|message| match message {
                MessageToWorker::Granted(lease) => Some(lease.token),
                MessageToWorker::HeartbeatAck { .. } => None,
            }));
        }
        tokens.into_iter().collect()
    }
}

/// Encodes the key of a state, with the workers in the given order.
struct KeyWriter<'a> {
    model_state: &'a ModelState,
    config: &'a ModelConfig,
    tokens: &'a [u64],
    worker_order: [usize; 2],
    key: Vec<u8>,
}

impl<'a> KeyWriter<'a> {
    fn new(
        model_state: &'a ModelState,
        config: &'a ModelConfig,
        tokens: &'a [u64],
        worker_order: [usize; 2],
    ) -> KeyWriter<'a> {
        KeyWriter { model_state, config, tokens, worker_order, key: Vec::new() }
    }

    fn write(mut self) -> Vec<u8> {
        let token_rank = self.token_rank(self.model_state.highest_token);
        self.key.extend([u8::from(self.model_state.token_decreased), token_rank]);
        for leader in [NEWEST_LEADER, PREVIOUS_LEADER] {
            match &self.model_state.leaders[leader] {
                Some(state) => self.write_leader(leader, state),
                None => self.key.push(NO_LEADER),
            }
        }
        for worker in self.worker_order {
            self.write_worker(worker, &self.model_state.workers[worker]);
        }
        self.key
    }

    fn token_rank(&self, token: u64) -> u8 {
        self.tokens.binary_search(&token).map_or(NO_TOKEN, |rank| rank as u8)
    }

    fn token_rank_or_none(&self, token: Option<u64>) -> u8 {
        token.map_or(NO_TOKEN, |token| self.token_rank(token))
    }

    /// The worker's position in the order.
    fn worker_rank(&self, worker: usize) -> u8 {
        self.worker_order.iter().position(|other| *other == worker).unwrap_or(9) as u8
    }

    fn rank_of_session(&self, session: SessionId) -> u8 {
        self.worker_rank(worker_of(session))
    }

    /// A heartbeat's position among the unacknowledged ones; [`OBSOLETE_HEARTBEAT`] if it is not one of them.
    fn heartbeat_rank(&self, worker: usize, sequence: u64) -> u8 {
        let mut outstanding = self.model_state.workers[worker].holder.outstanding();
        outstanding.position(|sent| sent.seq == sequence).map_or(OBSOLETE_HEARTBEAT, |rank| rank as u8)
    }

    fn write_leader(&mut self, index: usize, leader: &Leader) {
        self.key.extend([LEADER, leader.state.epoch as u8]);
        self.write_lease(leader);
        let (unsent, batches) = leader.read_index_queue.pending();
        let mut lists = vec![self.heartbeats(index, unsent)];
        let in_batch = |batch: &ReadIndexBatch<ReceivedHeartbeat>| self.heartbeats(index, &batch.requests);
        lists.extend(batches.map(in_batch));
        for list in lists {
            self.key.push(LIST_ITEM);
            self.key.extend(list.concat());
        }
        self.key.extend([LIST_END, u8::from(leader.unconfirmed_batch.is_some())]);
        match &leader.proposed {
            None => self.key.push(0),
            Some(Command::ReleaseLease { .. }) => self.key.push(1),
            Some(Command::GrantLease { session, .. }) => {
                self.key.extend([2, self.rank_of_session(*session)]);
            }
            Some(_) => self.key.push(3),
        }
    }

    fn write_lease(&mut self, leader: &Leader) {
        let Some(lease) = leader.state.leases.get(TASK) else { return };
        let remaining_s = leader.clock.remaining_s(self.model_state.now * LEADER_CLOCK_RATE, lease.token);
        let remaining = if leader.clock.is_releasing(lease.token) { RELEASING } else { remaining_s as u8 };
        self.key.extend([
            self.token_rank(lease.token),
            self.rank_of_session(lease.session),
            remaining,
            seconds(lease.ttl_ms),
            seconds(lease.max_ttl_ms),
        ]);
    }

    /// Received heartbeats, each as bytes, in sorted order. Leaves out those whose acknowledgement no holder awaits, since it
    /// has no effect.
    fn heartbeats(&self, leader: usize, received: &[ReceivedHeartbeat]) -> Vec<Vec<u8>> {
        let awaited = received.iter().filter(|heartbeat| {
            self.heartbeat_rank(heartbeat.worker, heartbeat.sequence) != OBSOLETE_HEARTBEAT
        });
        let mut list: Vec<Vec<u8>> = awaited.map(|heartbeat| self.heartbeat(leader, heartbeat)).collect();
        list.sort();
        list
    }

    /// Encodes a received heartbeat, with the TTL of the current lease if it renews that. Other leases are left out: they have
    /// ended, and their tokens are never granted again.
    fn heartbeat(&self, leader: usize, heartbeat: &ReceivedHeartbeat) -> Vec<u8> {
        let current = self.model_state.token_at(leader);
        let renewed_leases = heartbeat.leases.iter().filter(|renewed| current == Some(renewed.lease.token));
        let rank = self.heartbeat_rank(heartbeat.worker, heartbeat.sequence);
        let head = [self.worker_rank(heartbeat.worker), rank];
        head.into_iter().chain(renewed_leases.map(|renewed| seconds(renewed.ttl_ms))).collect()
    }

    fn write_worker(&mut self, index: usize, worker: &Worker) {
        let known_token = worker.holder.token(TASK);
        let valid_until = worker.holder.valid_until(TASK);
        let valid_for_s = valid_until.map_or(0, |until| (until - self.model_state.now).max(0.0) as u8);
        let known_token_rank = self.token_rank_or_none(known_token);
        let checked_token_rank = self.token_rank_or_none(worker.checked_token);
        self.key.extend([WORKER, known_token_rank, valid_for_s, checked_token_rank]);
        for OutstandingHeartbeat { sent_at, leases, .. } in worker.holder.outstanding() {
            let renews_lease = leases.iter().any(|lease| known_token == Some(lease.token));
            let age_s = (self.model_state.now - sent_at).min(self.config.max_useful_heartbeat_age_s());
            self.key.push(if renews_lease { age_s as u8 } else { RENEWS_NOTHING });
        }
        self.key.push(LIST_END);
        let sent = worker.sent.iter().map(|sent| self.message_to_leader(index, sent));
        let incoming =
            worker.incoming.iter().map(|message| self.message_to_worker(index, known_token, message));
        let mut messages: Vec<Vec<u8>> = sent.chain(incoming).collect();
        messages.sort();
        for bytes in messages {
            self.key.push(LIST_ITEM);
            self.key.extend(bytes);
        }
    }

    fn message_to_leader(&self, worker: usize, sent: &SentMessage) -> Vec<u8> {
        let leader = sent.leader as u8;
        match &sent.message {
            MessageToLeader::Heartbeat { sequence, leases } => {
                let current = self.model_state.token_at(sent.leader);
                let renews_lease = leases.iter().any(|lease| current == Some(lease.token));
                vec![leader, 1, self.heartbeat_rank(worker, *sequence), u8::from(renews_lease)]
            }
            MessageToLeader::Release(_) => vec![leader, 2],
        }
    }

    fn message_to_worker(
        &self,
        worker: usize,
        known_token: Option<u64>,
        message: &MessageToWorker,
    ) -> Vec<u8> {
        match message {
            MessageToWorker::Granted(lease) => vec![3, self.token_rank(lease.token)],
            MessageToWorker::HeartbeatAck { sequence, leases } => {
                let own = leases.iter().filter(|renewed| known_token == Some(renewed.lease.token));
                let head = [4, self.heartbeat_rank(worker, *sequence)];
                head.into_iter().chain(own.map(|renewed| seconds(renewed.ttl_ms))).collect()
            }
        }
    }
}

fn seconds(ttl_ms: u64) -> u8 {
    (ttl_ms / 1000) as u8
}
