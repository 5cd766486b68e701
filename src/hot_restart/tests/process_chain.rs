//! A simulated chain of processes, each the successor of the previous one. Links deliver messages in order and are closed
//! when a process ends.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeSet, VecDeque};

#[derive(Clone, Debug)]
enum Message {
    Hello,
    Welcome,
    RequestListeners,
    State(HandedOffState),
    /// The predecessor's indeterminate keys have changed.
    IndeterminateKeys(IndeterminateKeys),
    TakeoverConfirmed,
    Disconnected,
}

/// The state that a process hands off.
#[derive(Clone, Debug)]
struct HandedOffState {
    requests: Vec<u64>,
    keys: BTreeSet<usize>,
    indeterminate_keys: IndeterminateKeys,
}

/// One process of the chain; the next one is its successor.
pub(super) struct Process {
    pub(super) ownership: ListenerOwnership,
    /// Keys that it knows to have run.
    pub(super) keys: BTreeSet<usize>,
    pub(super) indeterminate_keys: IndeterminateKeys,
    pub(super) alive: bool,
    pub(super) hung: bool,
    /// Requests that it processes.
    requests: BTreeSet<u64>,
    /// Requests that it has handed off, while the successor has not confirmed the takeover.
    handed_off: BTreeSet<u64>,
    /// State that it has received but must not use yet.
    staged: Option<HandedOffState>,
    from_predecessor: VecDeque<Message>,
    from_successor: VecDeque<Message>,
}

#[derive(Default)]
pub(super) struct Simulation {
    pub(super) now: f64,
    pub(super) chain: Vec<Process>,
    next_request: u64,
    /// Requests of processes that died.
    requests_of_dead_processes: BTreeSet<u64>,
}

impl Simulation {
    fn notify(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        self.chain[i].ownership.handle(self.now, event, &mut out);
        for effect in out {
            self.carry_out(i, effect);
        }
    }

    pub(super) fn notify_if_alive(&mut self, i: usize, event: Event) {
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
            Effect::WatchPredecessor | Effect::DiscardState => {
                self.chain[i].staged = None;
            }
            Effect::AdoptState => {
                let Some(staged) = self.chain[i].staged.take() else { return };
                self.chain[i].requests.extend(staged.requests);
                self.chain[i].keys.extend(staged.keys);
            }
            Effect::HandOff => {
                let requests = std::mem::take(&mut self.chain[i].requests);
                self.chain[i].handed_off = requests.clone();
                let process = &self.chain[i];
                let state = HandedOffState {
                    requests: requests.into_iter().collect(),
                    keys: process.keys.clone(),
                    indeterminate_keys: process.indeterminate_keys,
                };
                self.send_to_successor(i, Message::State(state));
            }
            Effect::ReleaseHandedOff => self.chain[i].handed_off.clear(),
            Effect::Reclaim => {
                let handed_off = std::mem::take(&mut self.chain[i].handed_off);
                self.chain[i].requests.extend(handed_off);
            }
            Effect::SetIndeterminateKeys(keys) => {
                self.chain[i].indeterminate_keys = keys;
                if self.chain[i].ownership.has_handed_off() {
                    self.send_to_successor(i, Message::IndeterminateKeys(keys));
                }
            }
            Effect::OpenListeners | Effect::ExitWhenIdle => {}
        }
    }

    /// Lets a process handle the next message on one of its links. Returns `false` if there is none or the process is dead or
    /// hung.
    pub(super) fn receive(&mut self, i: usize) -> bool {
        let p = &mut self.chain[i];
        if !p.alive || p.hung {
            return false;
        }
        if let Some(message) = p.from_predecessor.pop_front() {
            match message {
                Message::Welcome => self.notify(i, Event::HelloAccepted),
                Message::State(state) => {
                    let keys = state.indeterminate_keys;
                    self.chain[i].staged = Some(state);
                    self.notify(i, Event::StateReceived(keys));
                }
                Message::IndeterminateKeys(keys) => self.notify(i, Event::PredecessorKeysChanged(keys)),
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

    pub(super) fn start(&mut self) {
        // Only the last process can be found, and only if it owns the listeners.
        let last = self.chain.last();
        let has_predecessor = last.is_some_and(|p| p.alive && p.ownership.is_owner());
        let none_alive = last.is_none_or(|p| !p.alive) && !self.chain.iter().any(|p| p.alive);
        if !has_predecessor && !none_alive || self.chain.len() >= 5 {
            return;
        }
        let (ownership, empty) = (ListenerOwnership::new(WINDOW_S), BTreeSet::new());
        self.chain.push(Process {
            ownership,
            keys: BTreeSet::new(),
            indeterminate_keys: IndeterminateKeys::None,
            alive: true,
            hung: false,
            requests: empty.clone(),
            handed_off: empty,
            staged: None,
            from_predecessor: VecDeque::new(),
            from_successor: VecDeque::new(),
        });
        let i = self.chain.len() - 1;
        let found = match (has_predecessor, i) {
            (true, _) => Event::PredecessorConnected,
            (false, 0) => Event::NoPredecessor,
            (false, _) => Event::PredecessorDead,
        };
        self.notify(i, found);
    }

    pub(super) fn kill(&mut self, i: usize) {
        let p = &mut self.chain[i];
        if !std::mem::replace(&mut p.alive, false) {
            return;
        }
        let (requests, handed_off) = (std::mem::take(&mut p.requests), std::mem::take(&mut p.handed_off));
        self.requests_of_dead_processes.extend(requests);
        // Handed-off requests may be lost, too: the successor owns them only if it has received them.
        self.requests_of_dead_processes.extend(handed_off);
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
                prop_assert!(seen.insert(*request), "two processes own request {}", request);
            }
        }
        Ok(())
    }
}

/// Processes start, die, hang and recover in random order. At most one process owns the listeners, at most one owns each
/// request, and a request is lost only if its process dies.
#[test]
fn at_most_one_process_owns_the_listeners_and_each_request_has_one_owner() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = proptest::collection::vec((0..16u8, 0..5usize), 1..120);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut simulation = Simulation::default();
        simulation.start();
        for (action, index) in steps {
            let i = index.min(simulation.chain.len() - 1);
            match action {
                0 => simulation.start(),
                1 => simulation.kill(i),
                2 => simulation.chain[i].hung = true,
                3 | 4 => {
                    // A process that recovers first receives the messages sent in the meantime.
                    simulation.chain[i].hung = false;
                    while simulation.receive(i) {}
                }
                5 => {
                    let is_successor = |o: &ListenerOwnership| !o.is_owner() && !o.has_handed_off();
                    let was_successor = is_successor(&simulation.chain[i].ownership);
                    simulation.notify_if_alive(i, Event::ShutdownNotice);
                    // A successor without the listeners has no pending response, so it exits immediately.
                    if was_successor && simulation.chain[i].ownership.has_handed_off() {
                        simulation.kill(i);
                    }
                }
                6 | 7 => simulation.notify_if_alive(i, Event::ReadyToServe),
                8 => {
                    // Processes that do not hang receive everything first, since messages take far less than 0.4 s.
                    while (0..simulation.chain.len()).any(|i| simulation.receive(i)) {}
                    simulation.now += 0.4;
                    (0..simulation.chain.len()).for_each(|i| simulation.notify_if_alive(i, Event::Tick));
                }
                9 | 10 => {
                    let p = &mut simulation.chain[i];
                    if p.alive && !p.hung && p.ownership.is_owner() {
                        p.requests.insert(simulation.next_request);
                        simulation.next_request += 1;
                    }
                }
                _ => drop(simulation.receive(i)),
            }
            simulation.check()?;
        }
        // All processes recover, become ready, receive everything, and wait for longer than any timeout (8 s).
        for _ in 0..40 {
            simulation.now += 0.2;
            for i in 0..simulation.chain.len() {
                simulation.chain[i].hung = false;
                while simulation.receive(i) {}
                simulation.notify_if_alive(i, Event::ReadyToServe);
                simulation.notify_if_alive(i, Event::Tick);
            }
            simulation.check()?;
        }
        let owned: BTreeSet<u64> =
            simulation.chain.iter().filter(|p| p.alive).flat_map(|p| p.requests.iter().copied()).collect();
        for request in 0..simulation.next_request {
            prop_assert!(
                owned.contains(&request) || simulation.requests_of_dead_processes.contains(&request),
                "request {} is lost",
                request
            );
        }
        let last = simulation.chain.last().filter(|p| p.alive);
        if last.is_some() {
            prop_assert_eq!(simulation.owners(), 1);
        }
        Ok(())
    });
    result.unwrap();
}
