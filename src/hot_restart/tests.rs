//! Both roles played against each other, over links that deliver in order and break with their process.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeSet, VecDeque};

const WINDOW_S: f64 = 10.0;

fn acts(door: &mut ListenerOwnership, now: f64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    door.handle(now, event, &mut out);
    out
}

fn opened() -> ListenerOwnership {
    let mut door = ListenerOwnership::new(WINDOW_S);
    assert_eq!(acts(&mut door, 0.0, Event::Alone), [Effect::Open]);
    door
}

#[test]
fn a_successor_asks_once_it_can_serve_and_opens_once_it_has_all() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    assert_eq!(acts(&mut new, 0.0, Event::Linked), [Effect::Greet]);
    assert_eq!(acts(&mut new, 0.1, Event::Welcomed), []);
    // The executor is slow to come up: the old process serves on, however long that takes.
    assert_eq!(acts(&mut new, 60.0, Event::Tick), []);
    assert_eq!(acts(&mut new, 60.0, Event::Able), [Effect::Ask]);
    assert_eq!(acts(&mut new, 60.0 + PATIENCE_S / 2.0, Event::Tick), []);
    assert!(!new.is_open());
    assert_eq!(acts(&mut new, 61.0, Event::Given), [Effect::Acknowledge, Effect::Adopt, Effect::Open]);
    assert_eq!(acts(&mut new, 70.0, Event::Tick), []);
    assert_eq!(acts(&mut new, 71.0, Event::OldLost), []);
}

#[test]
fn the_old_process_takes_all_back_before_the_word_and_only_the_door_after_it() {
    let mut old = opened();
    assert_eq!(acts(&mut old, 1.0, Event::Asked), [Effect::Lend]);
    assert!(old.given_away() && !old.is_open());
    assert_eq!(acts(&mut old, 2.0, Event::NewLost), [Effect::TakeBack]);
    assert!(old.is_open());
    acts(&mut old, 3.0, Event::Asked);
    assert_eq!(acts(&mut old, 4.0, Event::Acknowledged), [Effect::Part]);
    let doubt = Effect::Believe(IndeterminateKeys::Until(5.0 + WINDOW_S));
    assert_eq!(acts(&mut old, 5.0, Event::NewLost), [doubt, Effect::Open]);
}

#[test]
fn a_process_that_was_told_to_leave_ends_and_takes_nothing_back() {
    let mut old = opened();
    acts(&mut old, 1.0, Event::Asked);
    acts(&mut old, 1.0, Event::Acknowledged);
    assert_eq!(acts(&mut old, 2.0, Event::Leave), [Effect::End]);
    assert_eq!(acts(&mut old, 3.0, Event::NewLost), []);
    assert!(!old.is_open());
    // The notice came first, and the successor while it drained.
    let mut old = opened();
    assert_eq!(acts(&mut old, 1.0, Event::Leave), []);
    assert_eq!(acts(&mut old, 1.0, Event::Asked), [Effect::Lend]);
    assert_eq!(acts(&mut old, 1.0, Event::Acknowledged), [Effect::Part, Effect::End]);
}

#[test]
fn a_successor_told_to_leave_before_it_has_the_door_never_opens_it() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in [Event::Linked, Event::Welcomed, Event::Able] {
        acts(&mut new, 0.0, event);
    }
    assert_eq!(acts(&mut new, 0.1, Event::Leave), [Effect::End]);
    for event in [Event::Given, Event::Tick, Event::OldLost] {
        assert_eq!(acts(&mut new, 9.0, event), []);
    }
    assert!(!new.is_open() && !new.has_predecessor());
}

#[test]
fn an_old_process_that_hangs_is_not_waited_for_and_believed_when_it_wakes() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    acts(&mut new, 0.0, Event::Linked);
    acts(&mut new, 0.1, Event::Able);
    let late = acts(&mut new, PATIENCE_S, Event::Tick);
    assert_eq!(
        late,
        [Effect::Ask, Effect::Acknowledge, Effect::Believe(IndeterminateKeys::Lives), Effect::Open]
    );
    assert_eq!(acts(&mut new, 5.0, Event::Given), [Effect::Believe(IndeterminateKeys::None), Effect::Adopt]);
    assert_eq!(acts(&mut new, 6.0, Event::OldLost), []);
    // Or it dies without a word.
    let mut new = ListenerOwnership::new(WINDOW_S);
    acts(&mut new, 0.0, Event::Linked);
    acts(&mut new, 0.1, Event::Able);
    acts(&mut new, PATIENCE_S, Event::Tick);
    let doubt = Effect::Believe(IndeterminateKeys::Until(9.0 + WINDOW_S));
    assert_eq!(acts(&mut new, 9.0, Event::OldLost), [Effect::Forget, doubt]);
}

#[test]
fn what_cant_be_read_is_not_acted_on_and_its_sender_is_watched() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    acts(&mut new, 0.0, Event::Linked);
    let strange = acts(&mut new, 0.1, Event::Estranged);
    assert_eq!(strange, [Effect::Watch, Effect::Believe(IndeterminateKeys::Lives), Effect::Open]);
    let doubt = Effect::Believe(IndeterminateKeys::Until(5.0 + WINDOW_S));
    assert_eq!(acts(&mut new, 5.0, Event::OldLost), [Effect::Forget, doubt]);
    // After the word a damaged frame changes nothing: the link's end must mean the process's end.
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in [Event::Linked, Event::Welcomed, Event::Able, Event::Given] {
        acts(&mut new, 0.0, event);
    }
    assert_eq!(acts(&mut new, 1.0, Event::Estranged), []);
    assert!(new.is_open());
}

#[test]
fn a_dead_predecessors_keys_are_in_doubt_for_a_window() {
    let mut door = ListenerOwnership::new(WINDOW_S);
    let found = acts(&mut door, 3.0, Event::FoundDead);
    assert_eq!(found, [Effect::Believe(IndeterminateKeys::Until(13.0)), Effect::Open]);
    let doubt = IndeterminateKeys::Until(13.0);
    assert!(doubt.covers(13.0, true) && !doubt.covers(13.1, true) && !doubt.covers(5.0, false));
    assert!(IndeterminateKeys::Lives.covers(99.0, false) && !IndeterminateKeys::None.covers(0.0, true));
}

#[derive(Clone, Debug)]
enum Word {
    Hello,
    Welcome,
    Take,
    Given(Vec<u64>),
    Opened,
    Lost,
}

/// One process of a chain: the next one in it is its successor.
struct Process {
    door: ListenerOwnership,
    alive: bool,
    hung: bool,
    /// Requests that it acts on, those it has lent, and those it was sent and may not act on yet.
    holds: BTreeSet<u64>,
    lent: BTreeSet<u64>,
    stash: Vec<u64>,
    from_old: VecDeque<Word>,
    from_new: VecDeque<Word>,
}

#[derive(Default)]
struct World {
    now: f64,
    chain: Vec<Process>,
    next: u64,
    /// Requests whose process died with them.
    died: BTreeSet<u64>,
}

impl World {
    fn tell(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        self.chain[i].door.handle(self.now, event, &mut out);
        for act in out {
            self.act(i, act);
        }
    }

    fn say_old(&mut self, i: usize, word: Word) {
        if i > 0 && self.chain[i - 1].alive {
            self.chain[i - 1].from_new.push_back(word);
        }
    }

    fn say_new(&mut self, i: usize, word: Word) {
        if let Some(new) = self.chain.get_mut(i + 1).filter(|p| p.alive) {
            new.from_old.push_back(word);
        }
    }

    fn act(&mut self, i: usize, act: Effect) {
        match act {
            Effect::Greet => self.say_old(i, Word::Hello),
            Effect::Ask => self.say_old(i, Word::Take),
            Effect::Acknowledge => self.say_old(i, Word::Opened),
            Effect::Watch | Effect::Forget => self.chain[i].stash.clear(),
            Effect::Adopt => {
                let stash = std::mem::take(&mut self.chain[i].stash);
                self.chain[i].holds.extend(stash);
            }
            Effect::Lend => {
                let held = std::mem::take(&mut self.chain[i].holds);
                self.chain[i].lent = held.clone();
                self.say_new(i, Word::Given(held.into_iter().collect()));
            }
            Effect::Part => self.chain[i].lent.clear(),
            Effect::TakeBack => {
                let lent = std::mem::take(&mut self.chain[i].lent);
                self.chain[i].holds.extend(lent);
            }
            Effect::Open | Effect::Believe(_) | Effect::End => {}
        }
    }

    /// The next word on one of its links; `false` if there is none, or it can't listen.
    fn hear(&mut self, i: usize) -> bool {
        let p = &mut self.chain[i];
        if !p.alive || p.hung {
            return false;
        }
        if let Some(word) = p.from_old.pop_front() {
            match word {
                Word::Welcome => self.tell(i, Event::Welcomed),
                Word::Given(requests) => {
                    self.chain[i].stash = requests;
                    self.tell(i, Event::Given);
                }
                Word::Lost => self.tell(i, Event::OldLost),
                _ => {}
            }
            return true;
        }
        let Some(word) = p.from_new.pop_front() else { return false };
        match word {
            Word::Hello => self.say_new(i, Word::Welcome),
            Word::Take => self.tell(i, Event::Asked),
            Word::Opened => self.tell(i, Event::Acknowledged),
            Word::Lost => self.tell(i, Event::NewLost),
            _ => {}
        }
        true
    }

    fn start(&mut self) {
        // Somebody who owns the door can be found, and has no successor.
        let last = self.chain.last();
        let found = last.is_some_and(|p| p.alive && p.door.is_open());
        let alone = last.map_or(true, |p| !p.alive) && !self.chain.iter().any(|p| p.alive);
        if !found && !alone || self.chain.len() >= 5 {
            return;
        }
        let (door, empty) = (ListenerOwnership::new(WINDOW_S), BTreeSet::new());
        self.chain.push(Process {
            door,
            alive: true,
            hung: false,
            holds: empty.clone(),
            lent: empty,
            stash: Vec::new(),
            from_old: VecDeque::new(),
            from_new: VecDeque::new(),
        });
        let i = self.chain.len() - 1;
        self.tell(i, if found { Event::Linked } else { Event::Alone });
    }

    fn kill(&mut self, i: usize) {
        let p = &mut self.chain[i];
        if !std::mem::replace(&mut p.alive, false) {
            return;
        }
        let (holds, lent) = (std::mem::take(&mut p.holds), std::mem::take(&mut p.lent));
        self.died.extend(holds);
        // What was lent is its successor's if that has been given it.
        self.died.extend(lent);
        self.say_old(i, Word::Lost);
        self.say_new(i, Word::Lost);
    }

    fn open(&self) -> usize {
        self.chain.iter().filter(|p| p.alive && !p.hung && p.door.is_open()).count()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.open() <= 1, "{} doors are open", self.open());
        let mut seen = BTreeSet::new();
        for p in self.chain.iter().filter(|p| p.alive) {
            for request in &p.holds {
                prop_assert!(seen.insert(*request), "two processes act on {}", request);
            }
        }
        Ok(())
    }
}

/// Whatever starts, dies, hangs and wakes in whatever order: one door, one actor a request, and nothing lost but with a
/// process that had it.
#[test]
fn one_owner_of_the_door_and_of_each_request() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let dice = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = proptest::collection::vec((0..16u8, 0..5usize), 1..120);
    let ran = TestRunner::new_with_rng(config, dice).run(&steps, |steps| {
        let mut world = World::default();
        world.start();
        for (what, which) in steps {
            let i = which.min(world.chain.len() - 1);
            match what {
                0 => world.start(),
                1 => world.kill(i),
                2 => world.chain[i].hung = true,
                3 | 4 => {
                    // Whoever wakes first hears what was said meanwhile.
                    world.chain[i].hung = false;
                    while world.hear(i) {}
                }
                5 => {
                    let waits = |d: &ListenerOwnership| !d.is_open() && !d.given_away();
                    let waited = waits(&world.chain[i].door);
                    world.tell_if_alive(i, Event::Leave);
                    // It owes nothing, so that it ends at once.
                    if waited && world.chain[i].door.given_away() {
                        world.kill(i);
                    }
                }
                6 | 7 => world.tell_if_alive(i, Event::Able),
                8 => {
                    // Whoever does not hang has heard all by then; words take far less than that.
                    while (0..world.chain.len()).any(|i| world.hear(i)) {}
                    world.now += 0.4;
                    (0..world.chain.len()).for_each(|i| world.tell_if_alive(i, Event::Tick));
                }
                9 | 10 => {
                    let p = &mut world.chain[i];
                    if p.alive && !p.hung && p.door.is_open() {
                        p.holds.insert(world.next);
                        world.next += 1;
                    }
                }
                _ => drop(world.hear(i)),
            }
            world.check()?;
        }
        // All wake, can serve, hear all, and wait long enough.
        for _ in 0..40 {
            world.now += 0.2;
            for i in 0..world.chain.len() {
                world.chain[i].hung = false;
                while world.hear(i) {}
                world.tell_if_alive(i, Event::Able);
                world.tell_if_alive(i, Event::Tick);
            }
            world.check()?;
        }
        let held: BTreeSet<u64> =
            world.chain.iter().filter(|p| p.alive).flat_map(|p| p.holds.iter().copied()).collect();
        for request in 0..world.next {
            prop_assert!(held.contains(&request) || world.died.contains(&request), "{} is lost", request);
        }
        let last = world.chain.last().filter(|p| p.alive);
        if last.is_some() {
            prop_assert_eq!(world.open(), 1);
        }
        Ok(())
    });
    ran.unwrap();
}

impl World {
    fn tell_if_alive(&mut self, i: usize, event: Event) {
        if self.chain[i].alive && !self.chain[i].hung {
            self.tell(i, event);
        }
    }
}
