//! A chain of processes, each the successor of the one before, over links that deliver in order and break with their
//! process.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeSet, VecDeque};

#[derive(Clone, Debug)]
enum Message {
    Hello,
    Welcome,
    RequestListeners,
    State(Vec<u64>),
    TakeoverConfirmed,
    Disconnected,
}

/// One process of a chain: the next one in it is its successor.
struct Process {
    ownership: ListenerOwnership,
    alive: bool,
    hung: bool,
    /// Requests that it acts on.
    requests: BTreeSet<u64>,
    /// Requests that it has handed off and that are not confirmed.
    handed_off: BTreeSet<u64>,
    /// Requests that it was sent and may not act on yet.
    staged: Vec<u64>,
    from_predecessor: VecDeque<Message>,
    from_successor: VecDeque<Message>,
}

#[derive(Default)]
struct World {
    now: f64,
    chain: Vec<Process>,
    next: u64,
    /// Requests whose process died.
    lost_with_process: BTreeSet<u64>,
}

impl World {
    fn notify(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        self.chain[i].ownership.handle(self.now, event, &mut out);
        for effect in out {
            self.carry_out(i, effect);
        }
    }

    fn notify_if_alive(&mut self, i: usize, event: Event) {
        if self.chain[i].alive && !self.chain[i].hung {
            self.notify(i, event);
        }
    }

    fn send_to_predecessor(&mut self, i: usize, message: Message) {
        if i > 0 && self.chain[i - 1].alive {
            self.chain[i - 1].from_successor.push_back(message);
        }
    }

    fn send_to_successor(&mut self, i: usize, message: Message) {
        if let Some(new) = self.chain.get_mut(i + 1).filter(|p| p.alive) {
            new.from_predecessor.push_back(message);
        }
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::SendHello => self.send_to_predecessor(i, Message::Hello),
            Effect::RequestListeners => self.send_to_predecessor(i, Message::RequestListeners),
            Effect::ConfirmTakeover => self.send_to_predecessor(i, Message::TakeoverConfirmed),
            Effect::WatchPredecessor | Effect::DiscardState => self.chain[i].staged.clear(),
            Effect::AdoptState => {
                let staged = std::mem::take(&mut self.chain[i].staged);
                self.chain[i].requests.extend(staged);
            }
            Effect::HandOff => {
                let held = std::mem::take(&mut self.chain[i].requests);
                self.chain[i].handed_off = held.clone();
                self.send_to_successor(i, Message::State(held.into_iter().collect()));
            }
            Effect::ReleaseHandedOff => self.chain[i].handed_off.clear(),
            Effect::Reclaim => {
                let handed_off = std::mem::take(&mut self.chain[i].handed_off);
                self.chain[i].requests.extend(handed_off);
            }
            Effect::OpenListeners | Effect::SetIndeterminateKeys(_) | Effect::ExitWhenIdle => {}
        }
    }

    /// The next message on one of its links; `false` if there is none, or it can't receive.
    fn receive(&mut self, i: usize) -> bool {
        let p = &mut self.chain[i];
        if !p.alive || p.hung {
            return false;
        }
        if let Some(message) = p.from_predecessor.pop_front() {
            match message {
                Message::Welcome => self.notify(i, Event::HelloAccepted),
                Message::State(requests) => {
                    self.chain[i].staged = requests;
                    self.notify(i, Event::StateReceived);
                }
                Message::Disconnected => self.notify(i, Event::PredecessorDisconnected),
                _ => {}
            }
            return true;
        }
        let Some(message) = p.from_successor.pop_front() else { return false };
        match message {
            Message::Hello => self.send_to_successor(i, Message::Welcome),
            Message::RequestListeners => self.notify(i, Event::ListenersRequested),
            Message::TakeoverConfirmed => self.notify(i, Event::TakeoverConfirmed),
            Message::Disconnected => self.notify(i, Event::SuccessorDisconnected),
            _ => {}
        }
        true
    }

    fn start(&mut self) {
        // A process that owns the listeners can be found, and has no successor.
        let last = self.chain.last();
        let found = last.is_some_and(|p| p.alive && p.ownership.is_owner());
        let alone = last.is_none_or(|p| !p.alive) && !self.chain.iter().any(|p| p.alive);
        if !found && !alone || self.chain.len() >= 5 {
            return;
        }
        let (ownership, empty) = (ListenerOwnership::new(WINDOW_S), BTreeSet::new());
        self.chain.push(Process {
            ownership,
            alive: true,
            hung: false,
            requests: empty.clone(),
            handed_off: empty,
            staged: Vec::new(),
            from_predecessor: VecDeque::new(),
            from_successor: VecDeque::new(),
        });
        let i = self.chain.len() - 1;
        self.notify(i, if found { Event::PredecessorConnected } else { Event::NoPredecessor });
    }

    fn kill(&mut self, i: usize) {
        let p = &mut self.chain[i];
        if !std::mem::replace(&mut p.alive, false) {
            return;
        }
        let (requests, handed_off) = (std::mem::take(&mut p.requests), std::mem::take(&mut p.handed_off));
        self.lost_with_process.extend(requests);
        // What was handed off is its successor's if that has received it.
        self.lost_with_process.extend(handed_off);
        self.send_to_predecessor(i, Message::Disconnected);
        self.send_to_successor(i, Message::Disconnected);
    }

    fn owners(&self) -> usize {
        self.chain.iter().filter(|p| p.alive && !p.hung && p.ownership.is_owner()).count()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.owners() <= 1, "{} processes own the listeners", self.owners());
        let mut seen = BTreeSet::new();
        for p in self.chain.iter().filter(|p| p.alive) {
            for request in &p.requests {
                prop_assert!(seen.insert(*request), "two processes own {}", request);
            }
        }
        Ok(())
    }
}

/// Whatever starts, dies, hangs and recovers in whatever order: one process owns the listeners, one process owns each
/// request, and a request is only lost with a process that had it.
#[test]
fn at_most_one_process_owns_the_listeners_and_each_request_has_one_owner() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = proptest::collection::vec((0..16u8, 0..5usize), 1..120);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut world = World::default();
        world.start();
        for (what, which) in steps {
            let i = which.min(world.chain.len() - 1);
            match what {
                0 => world.start(),
                1 => world.kill(i),
                2 => world.chain[i].hung = true,
                3 | 4 => {
                    // A process that recovers first receives what was sent meanwhile.
                    world.chain[i].hung = false;
                    while world.receive(i) {}
                }
                5 => {
                    let waits = |o: &ListenerOwnership| !o.is_owner() && !o.has_handed_off();
                    let waited = waits(&world.chain[i].ownership);
                    world.notify_if_alive(i, Event::ShutdownNotice);
                    // No response is pending there, so that it exits immediately.
                    if waited && world.chain[i].ownership.has_handed_off() {
                        world.kill(i);
                    }
                }
                6 | 7 => world.notify_if_alive(i, Event::ReadyToServe),
                8 => {
                    // Processes that do not hang have received everything by then; messages take far less than that.
                    while (0..world.chain.len()).any(|i| world.receive(i)) {}
                    world.now += 0.4;
                    (0..world.chain.len()).for_each(|i| world.notify_if_alive(i, Event::Tick));
                }
                9 | 10 => {
                    let p = &mut world.chain[i];
                    if p.alive && !p.hung && p.ownership.is_owner() {
                        p.requests.insert(world.next);
                        world.next += 1;
                    }
                }
                _ => drop(world.receive(i)),
            }
            world.check()?;
        }
        // All recover, can serve, receive everything, and wait long enough.
        for _ in 0..40 {
            world.now += 0.2;
            for i in 0..world.chain.len() {
                world.chain[i].hung = false;
                while world.receive(i) {}
                world.notify_if_alive(i, Event::ReadyToServe);
                world.notify_if_alive(i, Event::Tick);
            }
            world.check()?;
        }
        let held: BTreeSet<u64> =
            world.chain.iter().filter(|p| p.alive).flat_map(|p| p.requests.iter().copied()).collect();
        for request in 0..world.next {
            prop_assert!(
                held.contains(&request) || world.lost_with_process.contains(&request),
                "{} is lost",
                request
            );
        }
        let last = world.chain.last().filter(|p| p.alive);
        if last.is_some() {
            prop_assert_eq!(world.owners(), 1);
        }
        Ok(())
    });
    ran.unwrap();
}
