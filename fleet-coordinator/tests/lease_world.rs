//! Two workers, a leader, the leader before it that does not know better, and one task: every world that they can come to,
//! searched in full round the modules that run in service (`LeaseHolder`, `LeaseClock`, `ReadIndexQueue`, `LeaseStateMachine`).
//!
//! What stands in for the rest: one log that only the newest leader writes to, a quorum that confirms only the newest
//! leader, and mail that may be late, overtaken or lost. A leader hears the quorum's word as it is given, and a leader that
//! is superseded hears at once that its last proposal was taken up: what it makes of either is mail, and that may be late.
//! After that it can do nothing but keep what comes to it, so it is in these worlds only where it answers without the
//! quorum. Clocks run as far apart as the drift bound allows, in the
//! direction that harms: leaders' twice as fast as holders'. Leaders need not free what has lapsed, so worlds with
//! slower ones are among these.
//!
//! Worlds are the same that differ only in when they are and in the numbers of tokens, questions and signs of life: nothing
//! in the modules looks at more than differences and order. That makes their number finite without a bound on time,
//! grants, renewals or changes of leader.

use fleet_coordinator::lease_clock::{LeaseClock, ReadIndexQueue, SafetyChecks};
use fleet_coordinator::state_machine::{Command, Entry, LeaseStateMachine, Outcome, ReleaseReason, Task};
use port_worker::fleet::frame::{LeaseRef, RenewedLease};
use port_worker::fleet::lease_holder::{LeaseHolder, OutstandingHeartbeat};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

const TASK: &str = "t";
/// A lease's time on a leader's clock (milliseconds); twice as much after the epoch has changed.
const TTL_MS: u64 = 4000;
/// Of a lease's time, what a holder does not use; a leader's clock runs twice as fast as a holder's.
const DRIFT: f64 = 0.5;
const LEADERS_RATE: f64 = 2.0;

/// What is taken away, or how much may happen.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Signs of life of a worker that may be without an answer, and words to it on their way.
    outstanding: usize,
    words: usize,
    /// The tasks' file changes once, and with it the time to live.
    retimes: bool,
    gives_back: bool,
    /// Holders look at their clock, and act some time after that.
    acts: bool,
    drift: f64,
    guards: SafetyChecks,
    fenced: bool,
}

const SMALL: Limits = Limits {
    outstanding: 1,
    words: 1,
    retimes: false,
    gives_back: true,
    acts: false,
    drift: DRIFT,
    guards: SafetyChecks { whole_ttl: true, confirm: true },
    fenced: true,
};

/// A sign of life at a leader: whose, its number, and what it asked with what was counted for it.
type Came = (usize, u64, Vec<(LeaseRef, u64)>);

#[derive(Clone, Debug)]
struct Leader {
    facts: LeaseStateMachine,
    tenure: LeaseClock,
    questions: ReadIndexQueue<Came>,
    asked: Option<u64>,
    proposed: Option<Command>,
}

#[derive(Clone, Debug)]
enum Up {
    Keep { seq: u64, held: Vec<LeaseRef> },
    GiveBack(LeaseRef),
}

#[derive(Clone, Debug)]
enum Down {
    Granted(LeaseRef),
    Kept { seq: u64, leases: Vec<RenewedLease> },
}

#[derive(Clone, Debug)]
struct Worker {
    holder: LeaseHolder,
    seq: u64,
    /// Mail on its way, and for which leader: the newest (0) or the one before (1).
    up: Vec<(usize, Up)>,
    down: Vec<Down>,
    /// It has looked at its clock under this token, and has not acted yet.
    looked: Option<u64>,
}

#[derive(Clone, Debug)]
struct World {
    now: f64,
    leaders: [Option<Leader>; 2],
    workers: [Worker; 2],
    /// The highest token that what is acted upon has accepted.
    highest: u64,
    /// It accepted a lower one after that.
    went_down: bool,
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
    Pass,
    /// Another member leads; what the one before had proposed is in the log or is not.
    Elect {
        proposal_stays: bool,
    },
    /// The leader before hears of the newer one.
    StepDown,
    Keep {
        worker: usize,
        to: usize,
    },
    /// The worker's link is lost with all that is on it, and stands again.
    Relink(usize),
    Restart(usize),
    GiveBack {
        worker: usize,
        to: usize,
    },
    Arrive {
        worker: usize,
        mail: usize,
    },
    Deliver {
        worker: usize,
        word: usize,
    },
    /// The quorum says that the newest leader led when it asked.
    Confirm,
    Lapse,
    Grant(usize),
    Retime,
    Commit,
    Look(usize),
    Act(usize),
}

fn entry(command: Command) -> Entry {
    Entry { at_ms: 0, command }
}

fn tasks(epoch: u64) -> Command {
    let task = Task { name: TASK.into(), ttl_ms: TTL_MS * epoch, zones: Vec::new(), pause_ms: 0 };
    Command::Tasks { epoch, tasks: vec![task] }
}

fn session(worker: usize) -> u64 {
    worker as u64 + 1
}

impl Leader {
    fn lead(guards: SafetyChecks, now: f64, facts: LeaseStateMachine) -> Leader {
        let tenure = LeaseClock::lead(guards, now * LEADERS_RATE, facts.leases.values());
        // A question that seems lost would be asked again only to be answered sooner.
        let questions = ReadIndexQueue::new(1, f64::INFINITY);
        Leader { facts, tenure, questions, asked: None, proposed: None }
    }

    /// The log has taken up a command: the facts, the account of leases, and who is told.
    fn apply(&mut self, now: f64, command: &Command) -> Option<(usize, LeaseRef)> {
        match (command, self.facts.apply(&entry(command.clone()))) {
            (Command::Grant { session, .. }, Ok(Outcome::Granted(held))) => {
                let ttl_ms = self.facts.lease(&held).map_or(0, |l| l.ttl_ms);
                self.tenure.granted(now * LEADERS_RATE, held.token, ttl_ms);
                Some((*session as usize - 1, held))
            }
            (Command::Free { held, .. }, Ok(_)) => {
                self.tenure.freed(held.token);
                None
            }
            _ => None,
        }
    }

    /// What a leader answers to these signs of life now, as `LeaderState::renew` does.
    fn answers(&self, came: Vec<Came>) -> Vec<(usize, Down)> {
        let answer = |(worker, seq, held): Came| {
            let valid = |held: &LeaseRef| {
                let own = self.facts.lease(held).is_some_and(|l| l.session == session(worker));
                own && !self.tenure.is_freeing(held.token)
            };
            let granted = held.into_iter().filter(|(held, ttl_ms)| *ttl_ms > 0 && valid(held));
            let leases = granted.map(|(held, ttl_ms)| RenewedLease { held, ttl_ms }).collect();
            (worker, Down::Kept { seq, leases })
        };
        came.into_iter().map(answer).collect()
    }
}

impl World {
    fn first(limits: &Limits) -> World {
        let mut facts = LeaseStateMachine { version: 2, ..LeaseStateMachine::default() };
        for process in 1..=2 {
            let open = Command::Open { name: format!("w{process}"), zone: "z".into(), process, version: 2 };
            facts.apply(&entry(open)).unwrap();
        }
        facts.apply(&entry(tasks(1))).unwrap();
        let worker = || Worker {
            holder: LeaseHolder::new(limits.drift),
            seq: 0,
            up: Vec::new(),
            down: Vec::new(),
            looked: None,
        };
        World {
            now: 0.0,
            leaders: [Some(Leader::lead(limits.guards, 0.0, facts)), None],
            workers: [worker(), worker()],
            highest: 0,
            went_down: false,
            key: Vec::new(),
        }
    }

    fn may_act(&self, worker: usize) -> Option<u64> {
        self.workers[worker].holder.may_act(self.now, TASK, 0.0)
    }

    /// The newest leader, while it has nothing proposed.
    fn free_to_propose(&mut self) -> Option<&mut Leader> {
        self.leaders[0].as_mut().filter(|l| l.proposed.is_none())
    }

    /// Does it, if it can be done now.
    fn step(&mut self, limits: &Limits, action: Action) -> Option<()> {
        let leaders_now = self.now * LEADERS_RATE;
        match action {
            Action::Pass => self.now += 1.0,
            Action::Elect { proposal_stays } => {
                let mut before = self.leaders[0].take()?;
                let mut told = None;
                match (before.proposed.take(), proposal_stays) {
                    (Some(command), true) => told = before.apply(self.now, &command),
                    (None, true) => return None,
                    (_, false) => {}
                }
                let leader = Leader::lead(limits.guards, self.now, before.facts.clone());
                self.leaders = [Some(leader), Some(before).filter(|_| !limits.guards.confirm)];
                // Mail for the one before stays with it; what was for the one before that goes nowhere.
                for worker in &mut self.workers {
                    worker.up.retain(|(to, _)| *to == 0);
                    worker.up.iter_mut().for_each(|(to, _)| *to = 1);
                    if self.leaders[1].is_none() {
                        worker.up.clear();
                    }
                }
                // Where there is no room for it, it is lost.
                let _ = self.tell(limits, told.map(|(worker, held)| (worker, Down::Granted(held))));
            }
            Action::StepDown => {
                self.leaders[1].take()?;
                self.workers.iter_mut().for_each(|w| w.up.retain(|(to, _)| *to == 0));
            }
            Action::Keep { worker, to } => {
                self.leaders[to].as_ref()?;
                let worker = &mut self.workers[worker];
                if worker.holder.outstanding().count() >= limits.outstanding {
                    return None;
                }
                worker.seq += 1;
                let held = worker.holder.heartbeat_sent(self.now, worker.seq);
                worker.up.push((to, Up::Keep { seq: worker.seq, held }));
            }
            Action::Relink(worker) => {
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
            Action::GiveBack { worker, to } => {
                self.leaders[to].as_ref()?;
                let worker = &mut self.workers[worker];
                if !limits.gives_back || worker.up.len() > limits.outstanding {
                    return None;
                }
                let token = worker.holder.token(TASK)?;
                worker.holder.release(TASK);
                worker.up.push((to, Up::GiveBack(LeaseRef { task: TASK.into(), token })));
            }
            Action::Arrive { worker, mail } => {
                if mail >= self.workers[worker].up.len() {
                    return None;
                }
                let (to, mail) = self.workers[worker].up.remove(mail);
                let leader = self.leaders[to].as_mut()?;
                match mail {
                    Up::Keep { seq, held } => {
                        let count = |held: LeaseRef| {
                            let own = leader.facts.lease(&held).filter(|l| l.session == session(worker));
                            let ttl_ms = own.map_or(0, |lease| leader.tenure.came(leaders_now, lease));
                            (held, ttl_ms)
                        };
                        let counted = held.into_iter().map(count).collect();
                        leader.questions.came((worker, seq, counted));
                        return self.ask(limits, to);
                    }
                    Up::GiveBack(held) => {
                        let own = leader.facts.lease(&held).is_some_and(|l| l.session == session(worker));
                        if own && leader.proposed.is_none() {
                            leader.tenure.free(leaders_now, held.token);
                            let free = Command::Free { held, why: ReleaseReason::GivenBack };
                            leader.proposed = (to == 0).then_some(free);
                        }
                    }
                }
            }
            Action::Deliver { worker, word } => {
                let worker = &mut self.workers[worker];
                if word >= worker.down.len() {
                    return None;
                }
                match worker.down.remove(word) {
                    Down::Granted(held) => worker.holder.granted(&held),
                    Down::Kept { seq, leases } => drop(worker.holder.heartbeat_acked(seq, &leases)),
                }
            }
            Action::Confirm => {
                let leader = self.leaders[0].as_mut()?;
                let came = leader.questions.confirmed(leader.asked.take()?);
                let answers = leader.answers(came);
                self.tell(limits, answers)?;
                return self.ask(limits, 0);
            }
            Action::Lapse => {
                let leader = self.free_to_propose()?;
                let lease = leader.facts.leases.get(TASK)?.clone();
                if !leader.tenure.lapses(leaders_now, &lease, -1.0) {
                    return None;
                }
                let held = LeaseRef { task: TASK.into(), token: lease.token };
                leader.proposed = Some(Command::Free { held, why: ReleaseReason::Lapsed });
            }
            Action::Grant(worker) => {
                let leader = self.free_to_propose()?;
                if leader.facts.leases.contains_key(TASK) {
                    return None;
                }
                leader.proposed = Some(Command::Grant { task: TASK.into(), session: session(worker) });
            }
            Action::Retime => {
                let leader = self.free_to_propose()?;
                if !limits.retimes || leader.facts.epoch > 1 {
                    return None;
                }
                leader.proposed = Some(tasks(2));
            }
            Action::Commit => {
                let leader = self.leaders[0].as_mut()?;
                let command = leader.proposed.take()?;
                let told = leader.apply(self.now, &command);
                self.tell(limits, told.map(|(worker, held)| (worker, Down::Granted(held))))?;
            }
            Action::Look(worker) => {
                let may = self.may_act(worker).filter(|_| limits.acts);
                let token = may.filter(|t| self.workers[worker].looked != Some(*t))?;
                self.workers[worker].looked = Some(token);
            }
            Action::Act(worker) => {
                let token = self.workers[worker].looked.take()?;
                if token >= self.highest || !limits.fenced {
                    self.went_down |= token < self.highest;
                    self.highest = token;
                }
            }
        }
        Some(())
    }

    /// A leader asks the quorum about what has come, or answers without, as `LeaderState::ask` does.
    fn ask(&mut self, limits: &Limits, at: usize) -> Option<()> {
        let leader = self.leaders[at].as_mut()?;
        if limits.guards.confirm {
            leader.asked = leader.questions.ask(0.0).or(leader.asked);
            return Some(());
        }
        let came = leader.questions.take_fresh();
        let answers = leader.answers(came);
        self.tell(limits, answers)
    }

    /// Words to workers are on their way; `None` where there are more than this world has room for.
    fn tell(&mut self, limits: &Limits, words: impl IntoIterator<Item = (usize, Down)>) -> Option<()> {
        for (worker, word) in words {
            let to = &mut self.workers[worker];
            let waits = |seq: u64| to.holder.outstanding().any(|own| own.seq == seq);
            if matches!(&word, Down::Kept { seq, .. } if !waits(*seq)) {
                continue;
            }
            if to.down.len() >= limits.words {
                return None;
            }
            to.down.push(word);
        }
        Some(())
    }

    /// What nobody will look at any more need not be told apart: answers that no holder waits for, grants that were
    /// overtaken, and leases given back that are free.
    fn forget(&mut self) {
        let leases = [0, 1].map(|at| self.lease(at));
        for worker in &mut self.workers {
            let looked_for: Vec<u64> = worker.holder.outstanding().map(|own| own.seq).collect();
            let known = worker.holder.token(TASK).unwrap_or(0);
            worker.down.retain(|word| match word {
                Down::Kept { seq, .. } => looked_for.contains(seq),
                Down::Granted(held) => held.token > known,
            });
            worker.up.retain(|(to, mail)| match mail {
                Up::GiveBack(held) => leases[*to] == Some(held.token),
                Up::Keep { .. } => true,
            });
        }
    }

    /// The token under which the task is held, as this leader knows.
    fn lease(&self, at: usize) -> Option<u64> {
        Some(self.leaders[at].as_ref()?.facts.leases.get(TASK)?.token)
    }

    /// Every token that may still be compared with another, in order.
    fn tokens(&self) -> Vec<u64> {
        let mut tokens = BTreeSet::from([self.highest]);
        tokens.extend([0, 1].into_iter().flat_map(|at| self.lease(at)));
        for worker in &self.workers {
            tokens.extend(worker.holder.token(TASK));
            tokens.extend(worker.looked);
            tokens.extend(worker.down.iter().filter_map(|word| match word {
                Down::Granted(held) => Some(held.token),
                Down::Kept { .. } => None,
            }));
        }
        tokens.into_iter().collect()
    }

    /// All that this world's future depends on, with times as differences and numbers as ranks; the workers in `order`.
    fn key(&self, limits: &Limits, tokens: &[u64], order: [usize; 2]) -> Vec<u8> {
        let rank = |token: u64| tokens.binary_search(&token).map_or(255, |at| at as u8);
        let place = |worker: usize| order.iter().position(|w| *w == worker).unwrap_or(9) as u8;
        // A number that is looked for by its place, else one for all.
        let seq_of = |worker: usize, seq: u64| {
            let mut outstanding = self.workers[worker].holder.outstanding();
            outstanding.position(|own| own.seq == seq).map_or(200, |at| at as u8)
        };
        // Beyond the longest that a sign of life can bring, one is as old as another.
        let longest = TTL_MS * if limits.retimes { 2 } else { 1 };
        let old = (longest as f64 / 1000.0 * (1.0 - limits.drift)).ceil();
        let mut key = vec![u8::from(self.went_down), rank(self.highest)];
        for (at, leader) in self.leaders.iter().enumerate() {
            let Some(leader) = leader else {
                key.push(250);
                continue;
            };
            let facts = &leader.facts;
            key.extend([251, facts.epoch as u8]);
            if let Some(lease) = facts.leases.get(TASK) {
                let freeing = leader.tenure.is_freeing(lease.token);
                let left = leader.tenure.left_s(self.now * LEADERS_RATE, lease.token);
                let left = if freeing { 200 } else { left as u8 };
                let (ttl, whole) = ((lease.ttl_ms / 1000) as u8, (lease.whole_ms / 1000) as u8);
                key.extend([rank(lease.token), place(lease.session as usize - 1), left, ttl, whole]);
            }
            // A sign of life counts for the lease that stands: no other comes back under its token.
            let one = |(worker, seq, held): &Came| {
                let counts = held.iter().filter(|(held, _)| self.lease(at) == Some(held.token));
                let counts = counts.map(|(_, ttl_ms)| (*ttl_ms / 1000) as u8);
                [place(*worker), seq_of(*worker, *seq)].into_iter().chain(counts).collect::<Vec<u8>>()
            };
            let (fresh, asked) = leader.questions.waiting();
            // Answers that nobody waits for any more are none.
            let waits = |(worker, seq, _): &&Came| seq_of(*worker, *seq) != 200;
            let mut lists = vec![fresh.iter().filter(waits).map(one).collect::<Vec<_>>()];
            lists.extend(asked.map(|(_, came)| came.iter().filter(waits).map(one).collect()));
            for mut list in lists {
                list.sort();
                key.push(252);
                list.into_iter().for_each(|bytes| key.extend(bytes));
            }
            key.extend([253, u8::from(leader.asked.is_some())]);
            match &leader.proposed {
                None => key.push(0),
                Some(Command::Free { .. }) => key.push(1),
                Some(Command::Grant { session, .. }) => key.extend([2, place(*session as usize - 1)]),
                Some(_) => key.push(3),
            }
        }
        for at in order {
            let worker = &self.workers[at];
            let known = worker.holder.token(TASK);
            let until = worker.holder.valid_until(TASK).map_or(0, |u| (u - self.now).max(0.0) as u8);
            key.extend([254, known.map_or(255, rank), until, worker.looked.map_or(255, rank)]);
            for OutstandingHeartbeat { sent_at: sent, leases: held, .. } in worker.holder.outstanding() {
                // What was asked for a lease that it has no more brings nothing.
                let counts = held.iter().any(|held| known == Some(held.token));
                key.push(if counts { (self.now - sent).min(old) as u8 } else { 100 });
            }
            key.push(253);
            let up = |(to, mail): &(usize, Up)| match mail {
                Up::Keep { seq, held } => {
                    let counts = held.iter().any(|held| self.lease(*to) == Some(held.token));
                    vec![*to as u8, 1, seq_of(at, *seq), u8::from(counts)]
                }
                Up::GiveBack(_) => vec![*to as u8, 2],
            };
            let down = |word: &Down| match word {
                Down::Granted(held) => vec![3, rank(held.token)],
                Down::Kept { seq, leases } => {
                    let own = leases.iter().filter(|l| known == Some(l.held.token));
                    let own = own.map(|l| (l.ttl_ms / 1000) as u8);
                    [4, seq_of(at, *seq)].into_iter().chain(own).collect()
                }
            };
            let mut mail: Vec<Vec<u8>> =
                worker.up.iter().map(up).chain(worker.down.iter().map(down)).collect();
            mail.sort();
            for bytes in mail {
                key.push(252);
                key.extend(bytes);
            }
        }
        key
    }

    /// Two worlds in which the workers have changed places are one.
    fn named(mut self, limits: &Limits) -> World {
        self.forget();
        let tokens = self.tokens();
        self.key = self.key(limits, &tokens, [0, 1]).min(self.key(limits, &tokens, [1, 0]));
        self
    }

    /// When nothing fails any more, somebody comes to hold the task.
    fn recovers(&self, limits: &Limits) -> bool {
        let mut world = self.clone();
        world.leaders[1] = None;
        for worker in 0..2 {
            world.step(limits, Action::Relink(worker));
        }
        for _round in 0..20 {
            for worker in 0..2 {
                world.step(limits, Action::Keep { worker, to: 0 });
                world.step(limits, Action::Arrive { worker, mail: 0 });
            }
            // One question may be out already, about what came before.
            for _question in 0..2 {
                world.step(limits, Action::Confirm);
                world.deliver(limits);
            }
            if (0..2).any(|worker| world.may_act(worker).is_some()) {
                return true;
            }
            for action in [Action::Lapse, Action::Commit, Action::Grant(0), Action::Commit] {
                world.step(limits, action);
                world.deliver(limits);
            }
            world.step(limits, Action::Pass);
        }
        false
    }

    /// All that is on its way to workers arrives.
    fn deliver(&mut self, limits: &Limits) {
        for worker in 0..2 {
            while self.step(limits, Action::Deliver { worker, word: 0 }).is_some() {}
        }
    }
}

impl Model for Limits {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::first(self).named(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        use Action as A;
        actions.extend([A::Pass, A::StepDown, A::Confirm, A::Lapse, A::Retime, A::Commit]);
        actions.extend([true, false].map(|proposal_stays| A::Elect { proposal_stays }));
        for at in 0..2 {
            actions.extend([A::Grant(at), A::Look(at), A::Act(at)]);
            actions.extend([A::Relink(at), A::Restart(at)]);
            actions.extend([0, 1].map(|to| A::Keep { worker: at, to }));
            actions.extend([0, 1].map(|to| A::GiveBack { worker: at, to }));
            actions.extend((0..world.workers[at].up.len()).map(|mail| A::Arrive { worker: at, mail }));
            actions.extend((0..world.workers[at].down.len()).map(|word| A::Deliver { worker: at, word }));
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        next.step(self, action)?;
        Some(next.named(self))
    }

    fn properties(&self) -> Vec<Property<Limits>> {
        vec![
            Property::always("one holder", |_, w: &World| w.may_act(0).is_none() || w.may_act(1).is_none()),
            Property::always("tokens only grow", |_, w: &World| !w.went_down),
            Property::always("held in the end", |limits: &Limits, w: &World| w.recovers(limits)),
            // Worlds without which the search would be worth little.
            // Worlds without which the search would be worth little.
            Property::sometimes("a renewal is late", |_, w: &World| {
                w.workers.iter().any(|worker| {
                    let held = |word: &Down| matches!(word, Down::Kept { leases, .. } if !leases.is_empty());
                    worker.down.iter().any(held)
                        && w.leaders[0].as_ref().is_some_and(|l| l.facts.leases.is_empty())
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

/// Searches all of it; how many worlds there are.
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
    let without = SafetyChecks { whole_ttl: false, confirm: true };
    let unasked = SafetyChecks { whole_ttl: true, confirm: false };
    for (weak, property) in [
        (Limits { drift: 0.0, ..SMALL }, "one holder"),
        (Limits { guards: without, ..SMALL }, "one holder"),
        (Limits { guards: unasked, ..SMALL }, "one holder"),
        (Limits { acts: true, fenced: false, ..SMALL }, "tokens only grow"),
    ] {
        let finds = HasDiscoveries::AnyOf(BTreeSet::from([property]));
        let checker = weak.checker().threads(4).finish_when(finds).spawn_bfs().join();
        let path = checker.discovery(property).unwrap_or_else(|| panic!("{weak:?}: {property} always holds"));
        println!("{weak:?}: {property} broken by {:?}", path.into_actions());
    }
}

/// `cargo test --release -p fleet-coordinator --test lease_world -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn two_holders_never_act_at_once_in_larger_worlds() {
    for limits in [
        Limits { retimes: true, ..SMALL },
        Limits { acts: true, ..SMALL },
        Limits { outstanding: 2, gives_back: false, ..SMALL },
    ] {
        search(limits);
    }
}
