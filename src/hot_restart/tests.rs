//! Both roles against each other, over links that deliver in order and break with their process.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeSet, VecDeque};

const WINDOW_S: f64 = 10.0;

fn effects(ownership: &mut ListenerOwnership, now: f64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    ownership.handle(now, event, &mut out);
    out
}

fn owner() -> ListenerOwnership {
    let mut ownership = ListenerOwnership::new(WINDOW_S);
    assert_eq!(effects(&mut ownership, 0.0, Event::NoPredecessor), [Effect::OpenListeners]);
    ownership
}

#[test]
fn a_successor_requests_the_listeners_when_ready_and_owns_them_with_the_state() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    assert_eq!(effects(&mut new, 0.0, Event::PredecessorConnected), [Effect::SendHello]);
    assert_eq!(effects(&mut new, 0.1, Event::HelloAccepted), []);
    // The executor is slow to come up: the predecessor goes on serving, however long that takes.
    assert_eq!(effects(&mut new, 60.0, Event::Tick), []);
    assert_eq!(effects(&mut new, 60.0, Event::ReadyToServe), [Effect::RequestListeners]);
    assert_eq!(effects(&mut new, 60.0 + PREDECESSOR_TIMEOUT_S / 2.0, Event::Tick), []);
    assert!(!new.is_owner());
    assert_eq!(
        effects(&mut new, 61.0, Event::StateReceived),
        [Effect::ConfirmTakeover, Effect::AdoptState, Effect::OpenListeners]
    );
    assert_eq!(effects(&mut new, 70.0, Event::Tick), []);
    assert_eq!(effects(&mut new, 71.0, Event::PredecessorDisconnected), []);
}

#[test]
fn a_lost_successor_gives_back_requests_before_it_confirmed_and_only_the_listeners_after() {
    let mut old = owner();
    assert_eq!(effects(&mut old, 1.0, Event::ListenersRequested), [Effect::HandOff]);
    assert!(old.has_handed_off() && !old.is_owner());
    assert_eq!(effects(&mut old, 2.0, Event::SuccessorDisconnected), [Effect::Reclaim]);
    assert!(old.is_owner());
    effects(&mut old, 3.0, Event::ListenersRequested);
    assert_eq!(effects(&mut old, 4.0, Event::TakeoverConfirmed), [Effect::ReleaseHandedOff]);
    let distrust = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(5.0 + WINDOW_S));
    assert_eq!(effects(&mut old, 5.0, Event::SuccessorDisconnected), [distrust, Effect::OpenListeners]);
}

#[test]
fn a_process_with_the_shutdown_notice_exits_and_reclaims_nothing() {
    let mut old = owner();
    effects(&mut old, 1.0, Event::ListenersRequested);
    effects(&mut old, 1.0, Event::TakeoverConfirmed);
    assert_eq!(effects(&mut old, 2.0, Event::ShutdownNotice), [Effect::ExitWhenIdle]);
    assert_eq!(effects(&mut old, 3.0, Event::SuccessorDisconnected), []);
    assert!(!old.is_owner());
    // The notice came first, and the successor while it drained.
    let mut old = owner();
    assert_eq!(effects(&mut old, 1.0, Event::ShutdownNotice), []);
    assert_eq!(effects(&mut old, 1.0, Event::ListenersRequested), [Effect::HandOff]);
    assert_eq!(
        effects(&mut old, 1.0, Event::TakeoverConfirmed),
        [Effect::ReleaseHandedOff, Effect::ExitWhenIdle]
    );
}

#[test]
fn a_successor_shut_down_before_it_owns_the_listeners_never_opens_them() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in [Event::PredecessorConnected, Event::HelloAccepted, Event::ReadyToServe] {
        effects(&mut new, 0.0, event);
    }
    assert_eq!(effects(&mut new, 0.1, Event::ShutdownNotice), [Effect::ExitWhenIdle]);
    for event in [Event::StateReceived, Event::Tick, Event::PredecessorDisconnected] {
        assert_eq!(effects(&mut new, 9.0, event), []);
    }
    assert!(!new.is_owner() && !new.has_predecessor());
}

#[test]
fn a_hung_predecessor_is_not_waited_for_and_its_late_state_is_adopted() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    effects(&mut new, 0.1, Event::ReadyToServe);
    let late = effects(&mut new, PREDECESSOR_TIMEOUT_S, Event::Tick);
    assert_eq!(
        late,
        [
            Effect::RequestListeners,
            Effect::ConfirmTakeover,
            Effect::SetIndeterminateKeys(IndeterminateKeys::All),
            Effect::OpenListeners
        ]
    );
    assert_eq!(
        effects(&mut new, 5.0, Event::StateReceived),
        [Effect::SetIndeterminateKeys(IndeterminateKeys::None), Effect::AdoptState]
    );
    assert_eq!(effects(&mut new, 6.0, Event::PredecessorDisconnected), []);
    // Or it dies without a message.
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    effects(&mut new, 0.1, Event::ReadyToServe);
    effects(&mut new, PREDECESSOR_TIMEOUT_S, Event::Tick);
    let distrust = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(9.0 + WINDOW_S));
    assert_eq!(effects(&mut new, 9.0, Event::PredecessorDisconnected), [Effect::DiscardState, distrust]);
}

#[test]
fn an_incompatible_predecessor_is_watched_and_its_state_discarded() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    let incompatible = effects(&mut new, 0.1, Event::Incompatible);
    assert_eq!(
        incompatible,
        [
            Effect::WatchPredecessor,
            Effect::SetIndeterminateKeys(IndeterminateKeys::All),
            Effect::OpenListeners
        ]
    );
    let distrust = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(5.0 + WINDOW_S));
    assert_eq!(effects(&mut new, 5.0, Event::PredecessorDisconnected), [Effect::DiscardState, distrust]);
    // After the takeover a damaged frame changes nothing: the link's end must mean the process's end.
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in
        [Event::PredecessorConnected, Event::HelloAccepted, Event::ReadyToServe, Event::StateReceived]
    {
        effects(&mut new, 0.0, event);
    }
    assert_eq!(effects(&mut new, 1.0, Event::Incompatible), []);
    assert!(new.is_owner());
}

#[test]
fn keys_of_a_dead_predecessor_are_indeterminate_for_a_window() {
    let mut ownership = ListenerOwnership::new(WINDOW_S);
    let found = effects(&mut ownership, 3.0, Event::PredecessorDead);
    assert_eq!(
        found,
        [Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(13.0)), Effect::OpenListeners]
    );
    let distrust = IndeterminateKeys::RetriesUntil(13.0);
    assert!(distrust.covers(13.0, true) && !distrust.covers(13.1, true) && !distrust.covers(5.0, false));
    assert!(IndeterminateKeys::All.covers(99.0, false) && !IndeterminateKeys::None.covers(0.0, true));
}

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
        let alone = last.map_or(true, |p| !p.alive) && !self.chain.iter().any(|p| p.alive);
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
fn listeners_and_each_request_have_one_owner() {
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

impl World {
    fn notify_if_alive(&mut self, i: usize, event: Event) {
        if self.chain[i].alive && !self.chain[i].hung {
            self.notify(i, event);
        }
    }
}
