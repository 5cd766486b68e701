//! Two workers, a leader, its predecessor that has not stepped down, and one task: every reachable state, searched in full
//! with the modules that run in service (`LeaseHolder`, `LeaseClock`, `ReadIndexQueue`, `LeaseStateMachine`).
//!
//! The rest is modelled: one log that only the newest leader writes to, a quorum that confirms only the newest leader,
//! and messages that may be late, reordered or lost. A leader learns of a confirmation immediately, and a superseded
//! leader learns immediately that its last proposal was committed: what it sends upon either is a message, which may be
//! late. After that it can only retain what it receives, so it takes part only where it answers without confirmation.
//! Clocks drift as far apart as the bound allows, in the harmful direction: leaders' run twice as fast as holders'.
//! Leaders need not release what has expired, so states with slower leaders are included.
//!
//! States are equal that differ only in absolute time and in the numbers of tokens, batches and heartbeats: the modules
//! look only at differences and order. That makes the number of states finite without a bound on time, grants, renewals
//! or changes of leader.

use fleet_coordinator::lease_clock::{LeaseClock, ReadIndexBatch, ReadIndexQueue, SafetyChecks};
use fleet_coordinator::state_machine::{Command, LeaseStateMachine, LogEntry, Outcome, ReleaseReason, Task};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};
use port_worker::fleet::lease_holder::{LeaseHolder, OutstandingHeartbeat};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const TASK: &str = "t";
/// A lease's TTL on a leader's clock (milliseconds); twice as much after the epoch has changed.
const TTL_MS: u64 = 4000;
/// The share of a lease's TTL that a holder does not use; a leader's clock runs twice as fast as a holder's.
const DRIFT: f64 = 0.5;
const LEADERS_RATE: f64 = 2.0;

/// Which safety checks are on, and how much may happen.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Heartbeats of a worker that may be unanswered, and messages to it that may be on their way.
    outstanding: usize,
    messages: usize,
    /// The list of tasks changes once, and with it the TTL.
    changes_ttl: bool,
    releases: bool,
    /// Holders check their lease, and act some time after that.
    acts: bool,
    drift: f64,
    checks: SafetyChecks,
    fenced: bool,
}

const SMALL: Limits = Limits {
    outstanding: 1,
    messages: 1,
    changes_ttl: false,
    releases: true,
    acts: false,
    drift: DRIFT,
    checks: SafetyChecks { wait_full_ttl: true, read_index: true },
    fenced: true,
};

/// A heartbeat that a leader has received.
#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    worker: usize,
    seq: u64,
    /// With the TTL that was counted for each lease (0 for none).
    leases: Vec<RenewedLease>,
}

#[derive(Clone, Debug)]
struct Leader {
    state: LeaseStateMachine,
    clock: LeaseClock,
    queue: ReadIndexQueue<ReceivedHeartbeat>,
    batch: Option<u64>,
    proposed: Option<Command>,
}

#[derive(Clone, Debug)]
enum ToLeader {
    Heartbeat { seq: u64, held: Vec<LeaseRef> },
    Release(LeaseRef),
}

#[derive(Clone, Debug)]
enum ToWorker {
    Granted(LeaseRef),
    HeartbeatAck { seq: u64, leases: Vec<RenewedLease> },
}

#[derive(Clone, Debug)]
struct Worker {
    holder: LeaseHolder,
    seq: u64,
    /// Messages on their way, and to which leader: the newest (0) or the one before (1).
    up: Vec<(usize, ToLeader)>,
    down: Vec<ToWorker>,
    /// It has checked its lease under this token, and has not acted yet.
    looked: Option<u64>,
}

#[derive(Clone, Debug)]
struct World {
    now: f64,
    leaders: [Option<Leader>; 2],
    workers: [Worker; 2],
    /// The highest token that the fenced resource has accepted.
    highest_token: u64,
    /// The fenced resource accepted a lower token after a higher one.
    token_decreased: bool,
    key: Vec<u8>,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key == other.key
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Tick,
    /// Another member leads; what its predecessor had proposed is committed or lost.
    Elect {
        proposal_stays: bool,
    },
    /// The predecessor learns of the newer leader.
    StepDown,
    Heartbeat {
        worker: usize,
        to: usize,
    },
    /// The worker's link is lost with all messages on it, and made anew.
    Reconnect(usize),
    Restart(usize),
    Release {
        worker: usize,
        to: usize,
    },
    Arrive {
        worker: usize,
        message: usize,
    },
    Deliver {
        worker: usize,
        message: usize,
    },
    /// The quorum confirms that the newest leader led when it asked.
    Confirm,
    Expire,
    Grant(usize),
    ChangeTtl,
    Commit,
    Look(usize),
    Act(usize),
}

fn entry(command: Command) -> LogEntry {
    LogEntry { at_ms: 0, command }
}

fn tasks(epoch: u64) -> Command {
    let task = Task { name: TASK.into(), ttl_ms: TTL_MS * epoch, zones: Vec::new(), pause_ms: 0 };
    Command::SetTasks { epoch, tasks: vec![task] }
}

fn session(worker: usize) -> u64 {
    worker as u64 + 1
}

impl Leader {
    fn start_term(checks: SafetyChecks, now: f64, state: LeaseStateMachine) -> Leader {
        let clock = LeaseClock::start_term(checks, now * LEADERS_RATE, state.leases.values());
        // A batch that seems lost would be repeated only to be confirmed sooner.
        let queue = ReadIndexQueue::new(1, f64::INFINITY);
        Leader { state, clock, queue, batch: None, proposed: None }
    }

    /// Applies a command to the state and the lease clock; returns whom to notify of a grant.
    fn apply(&mut self, now: f64, command: &Command) -> Option<(usize, LeaseRef)> {
        match (command, self.state.apply(&entry(command.clone()))) {
            (Command::GrantLease { session, .. }, Ok(Outcome::Granted(held))) => {
                let ttl_ms = self.state.lease(&held).map_or(0, |l| l.ttl_ms);
                self.clock.record_grant(now * LEADERS_RATE, held.token, ttl_ms);
                Some((*session as usize - 1, held))
            }
            (Command::ReleaseLease { lease, .. }, Ok(_)) => {
                self.clock.record_release(lease.token);
                None
            }
            _ => None,
        }
    }

    /// What a leader answers to these heartbeats now, as `LeaderState::answer_heartbeat` does.
    fn answers(&self, received: Vec<ReceivedHeartbeat>) -> Vec<(usize, ToWorker)> {
        let answer = |ReceivedHeartbeat { worker, seq, leases }: ReceivedHeartbeat| {
            let valid = |held: &LeaseRef| {
                let own = self.state.lease(held).is_some_and(|l| l.session == session(worker));
                own && !self.clock.is_releasing(held.token)
            };
            let leases = leases.into_iter().filter(|l| l.ttl_ms > 0 && valid(&l.lease)).collect();
            (worker, ToWorker::HeartbeatAck { seq, leases })
        };
        received.into_iter().map(answer).collect()
    }
}

impl World {
    fn initial(limits: &Limits) -> World {
        let mut state = LeaseStateMachine { version: 2, ..LeaseStateMachine::default() };
        for incarnation in 1..=2 {
            let open = Command::OpenSession {
                name: format!("w{incarnation}"),
                zone: "z".into(),
                incarnation,
                version: 2,
            };
            state.apply(&entry(open)).unwrap();
        }
        state.apply(&entry(tasks(1))).unwrap();
        let worker = || Worker {
            holder: LeaseHolder::new(limits.drift),
            seq: 0,
            up: Vec::new(),
            down: Vec::new(),
            looked: None,
        };
        World {
            now: 0.0,
            leaders: [Some(Leader::start_term(limits.checks, 0.0, state)), None],
            workers: [worker(), worker()],
            highest_token: 0,
            token_decreased: false,
            key: Vec::new(),
        }
    }

    fn may_act(&self, worker: usize) -> Option<u64> {
        self.workers[worker].holder.may_act(self.now, TASK, 0.0)
    }

    /// The newest leader, while it has nothing proposed.
    fn leader_without_proposal(&mut self) -> Option<&mut Leader> {
        self.leaders[0].as_mut().filter(|l| l.proposed.is_none())
    }

    /// Performs the action; `None` where it is not possible now.
    fn step(&mut self, limits: &Limits, action: Action) -> Option<()> {
        let leaders_now = self.now * LEADERS_RATE;
        match action {
            Action::Tick => self.now += 1.0,
            Action::Elect { proposal_stays } => {
                let mut before = self.leaders[0].take()?;
                let mut notified = None;
                match (before.proposed.take(), proposal_stays) {
                    (Some(command), true) => notified = before.apply(self.now, &command),
                    (None, true) => return None,
                    (_, false) => {}
                }
                let leader = Leader::start_term(limits.checks, self.now, before.state.clone());
                self.leaders = [Some(leader), Some(before).filter(|_| !limits.checks.read_index)];
                // Messages to the predecessor reach it still; those to its own predecessor are lost.
                for worker in &mut self.workers {
                    worker.up.retain(|(to, _)| *to == 0);
                    worker.up.iter_mut().for_each(|(to, _)| *to = 1);
                    if self.leaders[1].is_none() {
                        worker.up.clear();
                    }
                }
                // The notification is lost where the limit of messages is reached.
                let _ = self.send(limits, notified.map(|(worker, held)| (worker, ToWorker::Granted(held))));
            }
            Action::StepDown => {
                self.leaders[1].take()?;
                self.workers.iter_mut().for_each(|w| w.up.retain(|(to, _)| *to == 0));
            }
            Action::Heartbeat { worker, to } => {
                self.leaders[to].as_ref()?;
                let worker = &mut self.workers[worker];
                if worker.holder.outstanding().count() >= limits.outstanding {
                    return None;
                }
                worker.seq += 1;
                let held = worker.holder.heartbeat_sent(self.now, worker.seq);
                worker.up.push((to, ToLeader::Heartbeat { seq: worker.seq, held }));
            }
            Action::Reconnect(worker) => {
                let worker = &mut self.workers[worker];
                if worker.holder.outstanding().count() == 0 && worker.up.is_empty() && worker.down.is_empty()
                {
                    return None;
                }
                worker.holder.reconnected();
                worker.up.clear();
                worker.down.clear();
            }
            Action::Restart(worker) => {
                let worker = &mut self.workers[worker];
                worker.holder.clear();
                worker.up.clear();
                worker.down.clear();
            }
            Action::Release { worker, to } => {
                self.leaders[to].as_ref()?;
                let worker = &mut self.workers[worker];
                if !limits.releases || worker.up.len() > limits.outstanding {
                    return None;
                }
                let token = worker.holder.token(TASK)?;
                worker.holder.release(TASK);
                worker.up.push((to, ToLeader::Release(LeaseRef { task: TASK.into(), token })));
            }
            Action::Arrive { worker, message } => {
                if message >= self.workers[worker].up.len() {
                    return None;
                }
                let (to, message) = self.workers[worker].up.remove(message);
                let leader = self.leaders[to].as_mut()?;
                match message {
                    ToLeader::Heartbeat { seq, held } => {
                        let count = |held: LeaseRef| {
                            let own = leader.state.lease(&held).filter(|l| l.session == session(worker));
                            let ttl_ms =
                                own.map_or(0, |lease| leader.clock.record_renewal(leaders_now, lease));
                            RenewedLease { lease: held, ttl_ms }
                        };
                        let leases = held.into_iter().map(count).collect();
                        leader.queue.push(ReceivedHeartbeat { worker, seq, leases });
                        return self.request_confirmation(limits, to);
                    }
                    ToLeader::Release(held) => {
                        let own = leader.state.lease(&held).is_some_and(|l| l.session == session(worker));
                        if own && leader.proposed.is_none() {
                            leader.clock.start_release(leaders_now, held.token);
                            let free = Command::ReleaseLease { lease: held, reason: ReleaseReason::Returned };
                            leader.proposed = (to == 0).then_some(free);
                        }
                    }
                }
            }
            Action::Deliver { worker, message } => {
                let worker = &mut self.workers[worker];
                if message >= worker.down.len() {
                    return None;
                }
                match worker.down.remove(message) {
                    ToWorker::Granted(held) => worker.holder.granted(&held),
                    ToWorker::HeartbeatAck { seq, leases } => {
                        drop(worker.holder.heartbeat_acked(seq, &leases))
                    }
                }
            }
            Action::Confirm => {
                let leader = self.leaders[0].as_mut()?;
                let received = leader.queue.confirm(leader.batch.take()?);
                let answers = leader.answers(received);
                self.send(limits, answers)?;
                return self.request_confirmation(limits, 0);
            }
            Action::Expire => {
                let leader = self.leader_without_proposal()?;
                let lease = leader.state.leases.get(TASK)?.clone();
                if !leader.clock.start_release_if_expired(leaders_now, &lease, -1.0) {
                    return None;
                }
                let held = LeaseRef { task: TASK.into(), token: lease.token };
                leader.proposed = Some(Command::ReleaseLease { lease: held, reason: ReleaseReason::Expired });
            }
            Action::Grant(worker) => {
                let leader = self.leader_without_proposal()?;
                if leader.state.leases.contains_key(TASK) {
                    return None;
                }
                leader.proposed = Some(Command::GrantLease { task: TASK.into(), session: session(worker) });
            }
            Action::ChangeTtl => {
                let leader = self.leader_without_proposal()?;
                if !limits.changes_ttl || leader.state.epoch > 1 {
                    return None;
                }
                leader.proposed = Some(tasks(2));
            }
            Action::Commit => {
                let leader = self.leaders[0].as_mut()?;
                let command = leader.proposed.take()?;
                let notified = leader.apply(self.now, &command);
                self.send(limits, notified.map(|(worker, held)| (worker, ToWorker::Granted(held))))?;
            }
            Action::Look(worker) => {
                let may = self.may_act(worker).filter(|_| limits.acts);
                let token = may.filter(|t| self.workers[worker].looked != Some(*t))?;
                self.workers[worker].looked = Some(token);
            }
            Action::Act(worker) => {
                let token = self.workers[worker].looked.take()?;
                if token >= self.highest_token || !limits.fenced {
                    self.token_decreased |= token < self.highest_token;
                    self.highest_token = token;
                }
            }
        }
        Some(())
    }

    /// A leader asks for confirmation of what it received, or answers without, as
    /// `LeaderState::request_confirmation` does.
    fn request_confirmation(&mut self, limits: &Limits, at: usize) -> Option<()> {
        let leader = self.leaders[at].as_mut()?;
        if limits.checks.read_index {
            leader.batch = leader.queue.start_batch(0.0).or(leader.batch);
            return Some(());
        }
        let received = leader.queue.take_unsent();
        let answers = leader.answers(received);
        self.send(limits, answers)
    }

    /// Sends messages to workers; `None` where the limit of messages is reached.
    fn send(&mut self, limits: &Limits, messages: impl IntoIterator<Item = (usize, ToWorker)>) -> Option<()> {
        for (worker, message) in messages {
            let to = &mut self.workers[worker];
            let waits = |seq: u64| to.holder.outstanding().any(|heartbeat| heartbeat.seq == seq);
            if matches!(&message, ToWorker::HeartbeatAck { seq, .. } if !waits(*seq)) {
                continue;
            }
            if to.down.len() >= limits.messages {
                return None;
            }
            to.down.push(message);
        }
        Some(())
    }

    /// Drops messages without effect, so that states that differ only in them are equal: answers that no holder waits
    /// for, superseded grants, and returned leases that have ended.
    fn drop_obsolete(&mut self) {
        let leases = [0, 1].map(|at| self.lease(at));
        for worker in &mut self.workers {
            let looked_for: Vec<u64> = worker.holder.outstanding().map(|own| own.seq).collect();
            let known = worker.holder.token(TASK).unwrap_or(0);
            worker.down.retain(|message| match message {
                ToWorker::HeartbeatAck { seq, .. } => looked_for.contains(seq),
                ToWorker::Granted(held) => held.token > known,
            });
            worker.up.retain(|(to, message)| match message {
                ToLeader::Release(held) => leases[*to] == Some(held.token),
                ToLeader::Heartbeat { .. } => true,
            });
        }
    }

    /// The token under which the task is held, as this leader knows.
    fn lease(&self, at: usize) -> Option<u64> {
        Some(self.leaders[at].as_ref()?.state.leases.get(TASK)?.token)
    }

    /// Every token that may still be compared with another, in order.
    fn tokens(&self) -> Vec<u64> {
        let mut tokens = BTreeSet::from([self.highest_token]);
        tokens.extend([0, 1].into_iter().flat_map(|at| self.lease(at)));
        for worker in &self.workers {
            tokens.extend(worker.holder.token(TASK));
            tokens.extend(worker.looked);
            tokens.extend(worker.down.iter().filter_map(|message| match message {
                ToWorker::Granted(held) => Some(held.token),
                ToWorker::HeartbeatAck { .. } => None,
            }));
        }
        tokens.into_iter().collect()
    }

    /// All that this state's future depends on, with times as differences and numbers as ranks; the workers in `order`.
    fn key(&self, limits: &Limits, tokens: &[u64], order: [usize; 2]) -> Vec<u8> {
        let rank = |token: u64| tokens.binary_search(&token).map_or(255, |at| at as u8);
        let place = |worker: usize| order.iter().position(|w| *w == worker).unwrap_or(9) as u8;
        // An awaited heartbeat by its place, all others by the same number.
        let seq_of = |worker: usize, seq: u64| {
            let mut outstanding = self.workers[worker].holder.outstanding();
            outstanding.position(|own| own.seq == seq).map_or(200, |at| at as u8)
        };
        // Older than the longest TTL that a heartbeat can renew: differences have no effect.
        let longest = TTL_MS * if limits.changes_ttl { 2 } else { 1 };
        let old = (longest as f64 / 1000.0 * (1.0 - limits.drift)).ceil();
        let mut key = vec![u8::from(self.token_decreased), rank(self.highest_token)];
        for (at, leader) in self.leaders.iter().enumerate() {
            let Some(leader) = leader else {
                key.push(250);
                continue;
            };
            let state = &leader.state;
            key.extend([251, state.epoch as u8]);
            if let Some(lease) = state.leases.get(TASK) {
                let releasing = leader.clock.is_releasing(lease.token);
                let left = leader.clock.remaining_s(self.now * LEADERS_RATE, lease.token);
                let left = if releasing { 200 } else { left as u8 };
                let ttl = (lease.ttl_ms / 1000) as u8;
                let max_ttl = (lease.max_ttl_ms / 1000) as u8;
                key.extend([rank(lease.token), place(lease.session as usize - 1), left, ttl, max_ttl]);
            }
            // A heartbeat counts only for the current lease: no other is granted under its token.
            let one = |heartbeat: &ReceivedHeartbeat| {
                let ReceivedHeartbeat { worker, seq, leases } = heartbeat;
                let counts = leases.iter().filter(|l| self.lease(at) == Some(l.lease.token));
                let counts = counts.map(|l| (l.ttl_ms / 1000) as u8);
                [place(*worker), seq_of(*worker, *seq)].into_iter().chain(counts).collect::<Vec<u8>>()
            };
            let (unsent, batches) = leader.queue.pending();
            // Answers that no holder waits for have no effect.
            let waits = |h: &&ReceivedHeartbeat| seq_of(h.worker, h.seq) != 200;
            let mut lists = vec![unsent.iter().filter(waits).map(one).collect::<Vec<_>>()];
            let in_batch = |batch: &ReadIndexBatch<ReceivedHeartbeat>| {
                batch.requests.iter().filter(waits).map(one).collect()
            };
            lists.extend(batches.map(in_batch));
            for mut list in lists {
                list.sort();
                key.push(252);
                list.into_iter().for_each(|bytes| key.extend(bytes));
            }
            key.extend([253, u8::from(leader.batch.is_some())]);
            match &leader.proposed {
                None => key.push(0),
                Some(Command::ReleaseLease { .. }) => key.push(1),
                Some(Command::GrantLease { session, .. }) => key.extend([2, place(*session as usize - 1)]),
                Some(_) => key.push(3),
            }
        }
        for at in order {
            let worker = &self.workers[at];
            let known = worker.holder.token(TASK);
            let until = worker.holder.valid_until(TASK).map_or(0, |u| (u - self.now).max(0.0) as u8);
            key.extend([254, known.map_or(255, rank), until, worker.looked.map_or(255, rank)]);
            for OutstandingHeartbeat { sent_at: sent, leases: held, .. } in worker.holder.outstanding() {
                // A heartbeat for a lease that the holder no longer has renews nothing.
                let counts = held.iter().any(|held| known == Some(held.token));
                key.push(if counts { (self.now - sent).min(old) as u8 } else { 100 });
            }
            key.push(253);
            let up = |(to, message): &(usize, ToLeader)| match message {
                ToLeader::Heartbeat { seq, held } => {
                    let counts = held.iter().any(|held| self.lease(*to) == Some(held.token));
                    vec![*to as u8, 1, seq_of(at, *seq), u8::from(counts)]
                }
                ToLeader::Release(_) => vec![*to as u8, 2],
            };
            let down = |message: &ToWorker| match message {
                ToWorker::Granted(held) => vec![3, rank(held.token)],
                ToWorker::HeartbeatAck { seq, leases } => {
                    let own = leases.iter().filter(|l| known == Some(l.lease.token));
                    let own = own.map(|l| (l.ttl_ms / 1000) as u8);
                    [4, seq_of(at, *seq)].into_iter().chain(own).collect()
                }
            };
            let mut messages: Vec<Vec<u8>> =
                worker.up.iter().map(up).chain(worker.down.iter().map(down)).collect();
            messages.sort();
            for bytes in messages {
                key.push(252);
                key.extend(bytes);
            }
        }
        key
    }

    /// States in which the workers have changed places are equal.
    fn canonical(mut self, limits: &Limits) -> World {
        self.drop_obsolete();
        let tokens = self.tokens();
        self.key = self.key(limits, &tokens, [0, 1]).min(self.key(limits, &tokens, [1, 0]));
        self
    }

    /// Once nothing fails any more, a worker comes to hold the task.
    fn recovers(&self, limits: &Limits) -> bool {
        let mut world = self.clone();
        world.leaders[1] = None;
        for worker in 0..2 {
            world.step(limits, Action::Reconnect(worker));
        }
        for _round in 0..20 {
            for worker in 0..2 {
                world.step(limits, Action::Heartbeat { worker, to: 0 });
                world.step(limits, Action::Arrive { worker, message: 0 });
            }
            // One batch may be out already, with earlier heartbeats.
            for _batch in 0..2 {
                world.step(limits, Action::Confirm);
                world.deliver(limits);
            }
            if (0..2).any(|worker| world.may_act(worker).is_some()) {
                return true;
            }
            for action in [Action::Expire, Action::Commit, Action::Grant(0), Action::Commit] {
                world.step(limits, action);
                world.deliver(limits);
            }
            world.step(limits, Action::Tick);
        }
        false
    }

    /// Delivers all messages to workers.
    fn deliver(&mut self, limits: &Limits) {
        for worker in 0..2 {
            while self.step(limits, Action::Deliver { worker, message: 0 }).is_some() {}
        }
    }
}

impl Model for Limits {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::initial(self).canonical(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        use Action as A;
        actions.extend([A::Tick, A::StepDown, A::Confirm, A::Expire, A::ChangeTtl, A::Commit]);
        actions.extend([true, false].map(|proposal_stays| A::Elect { proposal_stays }));
        for at in 0..2 {
            actions.extend([A::Grant(at), A::Look(at), A::Act(at)]);
            actions.extend([A::Reconnect(at), A::Restart(at)]);
            actions.extend([0, 1].map(|to| A::Heartbeat { worker: at, to }));
            actions.extend([0, 1].map(|to| A::Release { worker: at, to }));
            actions.extend((0..world.workers[at].up.len()).map(|message| A::Arrive { worker: at, message }));
            actions
                .extend((0..world.workers[at].down.len()).map(|message| A::Deliver { worker: at, message }));
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        next.step(self, action)?;
        Some(next.canonical(self))
    }

    fn properties(&self) -> Vec<Property<Limits>> {
        vec![
            Property::always("one holder", |_, w: &World| w.may_act(0).is_none() || w.may_act(1).is_none()),
            Property::always("tokens only grow", |_, w: &World| !w.token_decreased),
            Property::always("held in the end", |limits: &Limits, w: &World| w.recovers(limits)),
            // States that must be reachable for the search to prove anything.
            Property::sometimes("a renewal is late", |_, w: &World| {
                w.workers.iter().any(|worker| {
                    let held = |message: &ToWorker| matches!(message, ToWorker::HeartbeatAck { leases, .. } if !leases.is_empty());
                    worker.down.iter().any(held)
                        && w.leaders[0].as_ref().is_some_and(|l| l.state.leases.is_empty())
                })
            }),
            Property::sometimes(
                "one holds, and the other still believes that it has a lease",
                |_, w: &World| {
                    let known = w.workers.iter().all(|worker| worker.holder.token(TASK).is_some());
                    known && (w.may_act(0).is_some() || w.may_act(1).is_some())
                },
            ),
        ]
    }
}

/// Searches all reachable states; returns their number.
fn search(limits: Limits) -> usize {
    let checker = limits.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{limits:?}: {} worlds, {} deep", checker.unique_state_count(), checker.max_depth());
    checker.unique_state_count()
}

#[test]
fn two_holders_never_act_at_once_in_any_small_world() {
    assert!(search(SMALL) > 40_000);
}

#[test]
fn each_guard_that_is_taken_away_is_missed_in_a_small_world() {
    let without_full_ttl = SafetyChecks { wait_full_ttl: false, read_index: true };
    let without_read_index = SafetyChecks { wait_full_ttl: true, read_index: false };
    for (limits, property) in [
        (Limits { drift: 0.0, ..SMALL }, "one holder"),
        (Limits { checks: without_full_ttl, ..SMALL }, "one holder"),
        (Limits { checks: without_read_index, ..SMALL }, "one holder"),
        (Limits { acts: true, fenced: false, ..SMALL }, "tokens only grow"),
    ] {
        let finds = HasDiscoveries::AnyOf(BTreeSet::from([property]));
        let checker = limits.checker().threads(4).finish_when(finds).spawn_bfs().join();
        let path =
            checker.discovery(property).unwrap_or_else(|| panic!("{limits:?}: {property} always holds"));
        println!("{limits:?}: {property} broken by {:?}", path.into_actions());
    }
}

/// `cargo test --release -p fleet-coordinator --test lease_world -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn two_holders_never_act_at_once_in_larger_worlds() {
    for limits in [
        Limits { changes_ttl: true, ..SMALL },
        Limits { acts: true, ..SMALL },
        Limits { outstanding: 2, releases: false, ..SMALL },
    ] {
        search(limits);
    }
}
