//! When two worlds are equal: what their futures depend on, as bytes.
//!
//! Times are written as differences, and tokens, batches and heartbeats as ranks. What has no effect any more is left
//! out, and the workers may change places.

use crate::leader::{worker_of, Leader, ReceivedHeartbeat};
use crate::limits::Limits;
use crate::world::{ToLeader, ToWorker, Upward, Worker, World, LEADER_CLOCK_RATE, NEWEST, PREDECESSOR, TASK};
use fleet_coordinator::ids::SessionId;
use fleet_coordinator::lease_clock::ReadIndexBatch;
use fleet_coordinator::state_machine::Command;
use port_worker::fleet::lease_holder::OutstandingHeartbeat;
use std::collections::BTreeSet;

/// Stand for what is absent, or separate parts of different length. No rank, place or time comes near them.
const NO_LEADER: u8 = 250;
const LEADER: u8 = 251;
const LIST_ITEM: u8 = 252;
const LIST_END: u8 = 253;
const WORKER: u8 = 254;
const NO_TOKEN: u8 = 255;
/// A heartbeat that no holder waits for.
const OBSOLETE_HEARTBEAT: u8 = 200;
/// The lease is being released, whatever time is left.
const RELEASING: u8 = 200;
/// A heartbeat for a lease that its sender no longer has.
const RENEWS_NOTHING: u8 = 100;

impl World {
    /// The world without what has no effect, and with its key.
    pub fn canonical(mut self, limits: &Limits) -> World {
        self.drop_obsolete();
        let tokens = self.tokens();
        let keys = [[0, 1], [1, 0]].map(|order| KeyWriter::new(&self, limits, &tokens, order).write());
        let [key, swapped] = keys;
        self.key = key.min(swapped);
        self
    }

    /// Drops messages without effect, so that states that differ only in them are equal: answers that no holder waits
    /// for, superseded grants, and returned leases that have ended.
    fn drop_obsolete(&mut self) {
        let tokens = [NEWEST, PREDECESSOR].map(|leader| self.token_at(leader));
        for worker in &mut self.workers {
            let awaited: Vec<u64> = worker.holder.outstanding().map(|sent| sent.seq).collect();
            let known = worker.holder.token(TASK).unwrap_or(0);
            worker.incoming.retain(|message| match message {
                ToWorker::HeartbeatAck { sequence, .. } => awaited.contains(sequence),
                ToWorker::Granted(lease) => lease.token > known,
            });
            worker.sent.retain(|sent| match &sent.message {
                ToLeader::Release(lease) => tokens[sent.leader] == Some(lease.token),
                ToLeader::Heartbeat { .. } => true,
            });
        }
    }

    /// Every token that may still be compared with another, in order.
    fn tokens(&self) -> Vec<u64> {
        let mut tokens = BTreeSet::from([self.highest_token]);
        tokens.extend([NEWEST, PREDECESSOR].into_iter().filter_map(|leader| self.token_at(leader)));
        for worker in &self.workers {
            tokens.extend(worker.holder.token(TASK));
            tokens.extend(worker.checked_token);
            tokens.extend(worker.incoming.iter().filter_map(|message| match message {
                ToWorker::Granted(lease) => Some(lease.token),
                ToWorker::HeartbeatAck { .. } => None,
            }));
        }
        tokens.into_iter().collect()
    }
}

/// Writes the key of a world with its workers in an order.
struct KeyWriter<'a> {
    world: &'a World,
    limits: &'a Limits,
    tokens: &'a [u64],
    order: [usize; 2],
    key: Vec<u8>,
}

impl<'a> KeyWriter<'a> {
    fn new(world: &'a World, limits: &'a Limits, tokens: &'a [u64], order: [usize; 2]) -> KeyWriter<'a> {
        KeyWriter { world, limits, tokens, order, key: Vec::new() }
    }

    fn write(mut self) -> Vec<u8> {
        let token_rank = self.token_rank(self.world.highest_token);
        self.key.extend([u8::from(self.world.token_decreased), token_rank]);
        for leader in [NEWEST, PREDECESSOR] {
            match &self.world.leaders[leader] {
                Some(state) => self.write_leader(leader, state),
                None => self.key.push(NO_LEADER),
            }
        }
        for worker in self.order {
            self.write_worker(worker, &self.world.workers[worker]);
        }
        self.key
    }

    fn token_rank(&self, token: u64) -> u8 {
        self.tokens.binary_search(&token).map_or(NO_TOKEN, |at| at as u8)
    }

    fn token_rank_or_none(&self, token: Option<u64>) -> u8 {
        token.map_or(NO_TOKEN, |token| self.token_rank(token))
    }

    /// The worker's place in the order.
    fn place(&self, worker: usize) -> u8 {
        self.order.iter().position(|at| *at == worker).unwrap_or(9) as u8
    }

    fn place_of_session(&self, session: SessionId) -> u8 {
        self.place(worker_of(session))
    }

    /// An awaited heartbeat by its place, all others by the same number.
    fn heartbeat_rank(&self, worker: usize, sequence: u64) -> u8 {
        let mut outstanding = self.world.workers[worker].holder.outstanding();
        outstanding.position(|sent| sent.seq == sequence).map_or(OBSOLETE_HEARTBEAT, |at| at as u8)
    }

    fn write_leader(&mut self, place: usize, leader: &Leader) {
        self.key.extend([LEADER, leader.state.epoch as u8]);
        self.write_lease(leader);
        let (unsent, batches) = leader.queue.pending();
        let mut lists = vec![self.heartbeats(place, unsent)];
        let in_batch = |batch: &ReadIndexBatch<ReceivedHeartbeat>| self.heartbeats(place, &batch.requests);
        lists.extend(batches.map(in_batch));
        for list in lists {
            self.key.push(LIST_ITEM);
            self.key.extend(list.concat());
        }
        self.key.extend([LIST_END, u8::from(leader.batch.is_some())]);
        match &leader.proposed {
            None => self.key.push(0),
            Some(Command::ReleaseLease { .. }) => self.key.push(1),
            Some(Command::GrantLease { session, .. }) => {
                self.key.extend([2, self.place_of_session(*session)]);
            }
            Some(_) => self.key.push(3),
        }
    }

    fn write_lease(&mut self, leader: &Leader) {
        let Some(lease) = leader.state.leases.get(TASK) else { return };
        let remaining_s = leader.clock.remaining_s(self.world.now * LEADER_CLOCK_RATE, lease.token);
        let remaining = if leader.clock.is_releasing(lease.token) { RELEASING } else { remaining_s as u8 };
        self.key.extend([
            self.token_rank(lease.token),
            self.place_of_session(lease.session),
            remaining,
            seconds(lease.ttl_ms),
            seconds(lease.max_ttl_ms),
        ]);
    }

    /// Received heartbeats in order, each as bytes. Answers that no holder waits for have no effect.
    fn heartbeats(&self, leader: usize, received: &[ReceivedHeartbeat]) -> Vec<Vec<u8>> {
        let awaited = received.iter().filter(|heartbeat| {
            self.heartbeat_rank(heartbeat.worker, heartbeat.sequence) != OBSOLETE_HEARTBEAT
        });
        let mut list: Vec<Vec<u8>> = awaited.map(|heartbeat| self.heartbeat(leader, heartbeat)).collect();
        list.sort();
        list
    }

    /// A heartbeat counts only for the current lease: no other is granted under its token.
    fn heartbeat(&self, leader: usize, heartbeat: &ReceivedHeartbeat) -> Vec<u8> {
        let current = self.world.token_at(leader);
        let counts = heartbeat.leases.iter().filter(|renewed| current == Some(renewed.lease.token));
        let rank = self.heartbeat_rank(heartbeat.worker, heartbeat.sequence);
        let head = [self.place(heartbeat.worker), rank];
        head.into_iter().chain(counts.map(|renewed| seconds(renewed.ttl_ms))).collect()
    }

    fn write_worker(&mut self, index: usize, worker: &Worker) {
        let known = worker.holder.token(TASK);
        let valid_until = worker.holder.valid_until(TASK);
        let valid_for = valid_until.map_or(0, |until| (until - self.world.now).max(0.0) as u8);
        let known_rank = self.token_rank_or_none(known);
        let checked_rank = self.token_rank_or_none(worker.checked_token);
        self.key.extend([WORKER, known_rank, valid_for, checked_rank]);
        for OutstandingHeartbeat { sent_at, leases, .. } in worker.holder.outstanding() {
            let counts = leases.iter().any(|lease| known == Some(lease.token));
            let age_s = (self.world.now - sent_at).min(self.limits.obsolete_heartbeat_age_s());
            self.key.push(if counts { age_s as u8 } else { RENEWS_NOTHING });
        }
        self.key.push(LIST_END);
        let sent = worker.sent.iter().map(|sent| self.message_to_leader(index, sent));
        let incoming = worker.incoming.iter().map(|message| self.message_to_worker(index, known, message));
        let mut messages: Vec<Vec<u8>> = sent.chain(incoming).collect();
        messages.sort();
        for bytes in messages {
            self.key.push(LIST_ITEM);
            self.key.extend(bytes);
        }
    }

    fn message_to_leader(&self, worker: usize, sent: &Upward) -> Vec<u8> {
        let leader = sent.leader as u8;
        match &sent.message {
            ToLeader::Heartbeat { sequence, leases } => {
                let current = self.world.token_at(sent.leader);
                let counts = leases.iter().any(|lease| current == Some(lease.token));
                vec![leader, 1, self.heartbeat_rank(worker, *sequence), u8::from(counts)]
            }
            ToLeader::Release(_) => vec![leader, 2],
        }
    }

    fn message_to_worker(&self, worker: usize, known: Option<u64>, message: &ToWorker) -> Vec<u8> {
        match message {
            ToWorker::Granted(lease) => vec![3, self.token_rank(lease.token)],
            ToWorker::HeartbeatAck { sequence, leases } => {
                let own = leases.iter().filter(|renewed| known == Some(renewed.lease.token));
                let head = [4, self.heartbeat_rank(worker, *sequence)];
                head.into_iter().chain(own.map(|renewed| seconds(renewed.ttl_ms))).collect()
            }
        }
    }
}

fn seconds(ttl_ms: u64) -> u8 {
    (ttl_ms / 1000) as u8
}
