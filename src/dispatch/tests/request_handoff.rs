//! Two cores at one executor, the one in the place of the other.

use super::*;
use crate::dispatch::idempotency::IdempotencyUpdate;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What the old core tells the new one, in order.
enum Word {
    Key(IdempotencyUpdate),
    Usage((usize, usize, f64)),
}

struct Pair {
    old: Play,
    new: Play,
    lent: bool,
    old_alive: bool,
    words: VecDeque<Word>,
    /// Runs by name: the key, and whether the old core began it.
    runs: HashMap<Rc<str>, (String, bool)>,
    /// Runs of a key that may have had their effect.
    of_key: HashMap<String, u32>,
    keys: HashMap<u64, String>,
    answers: HashMap<u64, u32>,
}

impl Pair {
    fn new() -> Pair {
        Pair {
            old: Play::new(),
            new: Play::new(),
            lent: false,
            old_alive: true,
            words: VecDeque::new(),
            runs: HashMap::new(),
            of_key: HashMap::new(),
            keys: HashMap::new(),
            answers: HashMap::new(),
        }
    }

    fn pass(&mut self, seconds: f64) {
        self.old.now += seconds;
        self.new.now = self.old.now;
        self.tell(true, Input::Woken(Gauges::default()));
        self.tell(false, Input::Woken(Gauges::default()));
    }

    fn tell(&mut self, old: bool, input: Input) {
        if old && !self.old_alive {
            return;
        }
        let out = if old { self.old.tell(input) } else { self.new.tell(input) };
        self.note(old, out);
        if old && self.lent {
            self.words.push_back(Word::Usage(self.old.core.usage()));
        }
    }

    fn note(&mut self, old: bool, out: Vec<Command>) {
        for command in out {
            match command {
                Command::Respond(ticket, _) => *self.answers.entry(ticket.0).or_default() += 1,
                Command::Run { name, .. } => {
                    let number: u64 = name[1..].parse().unwrap();
                    let key = self.keys[&number].clone();
                    if !key.is_empty() {
                        *self.of_key.entry(key.clone()).or_default() += 1;
                    }
                    self.runs.insert(name, (key, old));
                }
                Command::IdempotencyUpdate(news) if old => self.words.push_back(Word::Key(news)),
                _ => {}
            }
        }
    }

    fn arrive(&mut self, number: u64, key: &str) {
        self.keys.insert(number, key.to_owned());
        let old = !self.lent && self.old_alive;
        self.tell(old, Input::Arrived(request(number, key)));
    }

    fn end(&mut self, which: usize, outcome: Outcome) {
        let mut names: Vec<_> = self.runs.keys().cloned().collect();
        names.sort();
        let Some(name) = names.get(which % names.len().max(1)).cloned() else { return };
        let (key, old) = self.runs.remove(&name).unwrap();
        // Nothing was begun: it was no run.
        if outcome == Outcome::NotStarted && !key.is_empty() && (!old || self.old_alive) {
            *self.of_key.get_mut(&key).unwrap() -= 1;
        }
        let result = (outcome == Outcome::Ok).then(|| Rc::from(*b"done"));
        self.tell(old, Input::RunEnded { name, outcome, result });
    }

    fn lend(&mut self) {
        if std::mem::replace(&mut self.lent, true) || !self.old_alive {
            return;
        }
        let mut out = Vec::new();
        let now = self.old.now;
        let lent = self.old.core.lend(now, |_| true, &mut out);
        self.note(true, out);
        self.new.core.succeed(lent.prints, lent.running);
        self.tell(false, Input::LearnedState(lent.learned));
        for news in lent.keys {
            self.tell(false, Input::IdempotencyUpdate(news));
        }
        let (on_cores, calling, kb) = self.old.core.usage();
        self.tell(false, Input::OtherProcess { on_cores, calling, kb });
        for request in lent.requests {
            self.tell(false, Input::Arrived(request.at(now)));
        }
    }

    fn hear(&mut self) -> bool {
        match self.words.pop_front() {
            Some(Word::Key(news)) => self.tell(false, Input::IdempotencyUpdate(news)),
            Some(Word::Usage((on_cores, calling, kb))) => {
                self.tell(false, Input::OtherProcess { on_cores, calling, kb });
            }
            None => return false,
        }
        true
    }

    /// The old process is killed: its last words arrive, its runs go on unheard, its answers are lost.
    fn kill_old(&mut self) {
        if !self.lent || !std::mem::replace(&mut self.old_alive, false) {
            return;
        }
        while self.hear() {}
        for ticket in self.old.core.tickets.keys() {
            self.answers.insert(ticket.0, 1);
        }
        self.tell(false, Input::PredecessorGone);
    }
}

#[test]
fn a_key_runs_once_in_both_and_every_request_has_one_answer() {
    let config = Config { cases: 120, failure_persistence: None, ..Config::default() };
    let dice = TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]);
    let step = (0..20u8, 0..12usize, 0..4usize, 1..30u32);
    let steps = proptest::collection::vec(step, 20..250);
    let ran = TestRunner::new_with_rng(config, dice).run(&steps, |steps| {
        let mut pair = Pair::new();
        let (mut count, lends_at, dies) = (0, steps.len() / 3, steps[0].0 < 8);
        for (i, (what, which, key, ms)) in steps.iter().enumerate() {
            pair.pass(f64::from(*ms) / 1000.0);
            if i == lends_at {
                pair.lend();
            }
            if dies && i == 2 * lends_at {
                pair.kill_old();
            }
            match what {
                0..=8 => {
                    count += 1;
                    pair.arrive(count, ["", "a", "b", "c"][*key]);
                }
                9..=14 => {
                    pair.end(*which, [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::NotStarted][*key])
                }
                _ => drop(pair.hear()),
            }
            for (key, runs) in &pair.of_key {
                prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
            }
        }
        pair.lend();
        for i in 0..400 {
            pair.pass(0.05);
            if i % 2 == 0 {
                pair.end(0, Outcome::Ok);
            }
            while pair.hear() {}
        }
        pair.kill_old();
        for number in 1..=count {
            prop_assert_eq!(pair.answers.get(&number), Some(&1), "request {}", number);
        }
        prop_assert_eq!(pair.new.core.owed(), 0);
        prop_assert!(pair.new.core.idle());
        prop_assert_eq!(pair.new.core.usage(), (0, 0, 0.0));
        Ok(())
    });
    ran.unwrap();
}

#[test]
fn what_waits_for_a_slot_is_lent_and_runs_where_it_was_lent_to() {
    let mut pair = Pair::new();
    for number in 1..=3 {
        pair.arrive(number, "");
    }
    pair.arrive(4, "k");
    assert_eq!(pair.runs.len(), 2);
    pair.lend();
    assert_eq!((pair.old.core.owed(), pair.new.core.owed()), (2, 2));
    // Both count the old core's runs.
    assert_eq!(pair.runs.len(), 2);
    // What a third process would be told is the use of both.
    assert_eq!((pair.old.core.usage().0, pair.new.core.usage().0), (2, 2));
    pair.end(0, Outcome::Ok);
    pair.end(0, Outcome::Ok);
    while pair.hear() {}
    assert_eq!(pair.runs.values().filter(|(_, old)| !old).count(), 2);
    assert!(pair.old.core.idle());
}

#[test]
fn what_is_taken_back_is_decided_as_if_it_had_never_been_lent() {
    let mut p = Play::new();
    p.arrive(1, "");
    p.arrive(2, "");
    p.arrive(3, "k");
    let lent = p.core.lend(p.now, |_| true, &mut p.out);
    assert_eq!((lent.requests.len(), lent.running.len()), (1, 2));
    p.core.end_lending();
    p.now = 0.5;
    let out = p.tell(Input::Arrived(lent.requests[0].at(p.now)));
    assert_eq!(answers(&out), vec![]);
    assert_eq!(runs(&p.end(1, Outcome::Ok, b"x")), 1);
    assert_eq!(answers(&p.end(3, Outcome::Ok, b"done")), vec![(3, served(b"done"))]);
    assert_eq!(p.core.owed(), 1);
}

#[test]
fn a_name_that_runs_in_the_other_process_is_taken() {
    let mut pair = Pair::new();
    pair.arrive(1, "");
    pair.lend();
    let out = pair.new.tell(Input::Arrived(Request { ticket: Ticket(9), ..request(1, "") }));
    assert_eq!(out, vec![Command::Respond(Ticket(9), Response::Conflict)]);
}

/// Tries waited for an end that had come, until their own time was over.
#[test]
fn the_end_of_a_key_in_the_other_process_reaches_its_tries_at_once() {
    for (outcome, answer) in
        [(Outcome::Ok, served(b"done")), (Outcome::Error, Response::Failed), (Outcome::NotStarted, refused())]
    {
        let mut pair = Pair::new();
        pair.arrive(1, "k");
        pair.lend();
        pair.arrive(2, "k");
        assert!(pair.new.core.knows("r2") && pair.words.is_empty());
        pair.end(0, outcome);
        let Some(Word::Key(news)) = pair.words.pop_front() else { panic!("no news of the key") };
        let out = pair.new.tell(Input::IdempotencyUpdate(news));
        assert_eq!(answers(&out), vec![(2, answer)], "{outcome:?}");
        // Only what never ran may run again.
        let again = pair.new.arrive(3, "k");
        assert_eq!(runs(&again), usize::from(outcome == Outcome::NotStarted));
    }
}

/// Each replacement gave every tenant its whole bucket again, and called a flood of further tries quiet.
#[test]
fn a_tenant_over_its_quota_gains_nothing_by_a_replacement() {
    let of_tenant = |number| Request { tenant: Some(0), retry: true, ..request(number, "") };
    let with_quota = || Play::with(Settings { tenants: vec![Tenant { quota_per_s: 3.0 }], ..settings() });
    let lent = |p: &mut Play| p.core.lend(p.now, |_| true, &mut Vec::new());
    let mut old = with_quota();
    let whole = lent(&mut old).learned.traffic.quotas[0].tokens;
    old.core.end_lending();
    for number in 1..=2 {
        old.tell(Input::Arrived(of_tenant(number)));
        old.end(number, Outcome::Error, b"");
    }
    // Two that run are paid for here; two that wait are paid for where they are decided on next.
    (3..=6).for_each(|number| drop(old.tell(Input::Arrived(of_tenant(number)))));
    let given = lent(&mut old);
    assert_eq!((whole, given.requests.len()), (6.0, 2));
    let Traffic { quotas, arrivals, lately } = given.learned.traffic.clone();
    assert_eq!(quotas, [(2.0, 4.0).into()]);
    assert!(arrivals[0] > 0.0 && lately == (arrivals[0], 2.0, 2.0).into(), "{arrivals:?} {lately:?}");
    let mut new = with_quota();
    new.tell(Input::LearnedState(given.learned));
    assert_eq!(lent(&mut new).learned.traffic, Traffic { quotas, arrivals, lately });
    // A successor of other bounds takes no more than it has itself.
    new.core.end_lending();
    let more = Traffic { quotas: vec![(1e6, 0.0).into()], ..Traffic::default() };
    new.tell(Input::LearnedState(LearnedState { traffic: more, ..lent(&mut with_quota()).learned }));
    assert_eq!(lent(&mut new).learned.traffic.quotas, [(2.0, 0.0).into()]);
}

#[test]
fn a_successor_knows_what_was_learned_and_no_more_runs_than_the_cores_survive() {
    let mut p = Play::new();
    for number in 1..=40 {
        p.arrive(number, "");
        p.now += 0.1;
        p.end(number, Outcome::Ok, b"x");
    }
    let learned = p.core.lend(p.now, |_| true, &mut Vec::new()).learned;
    assert!((0.05..0.3).contains(&(learned.paces[0].core_time_s / learned.paces[0].ended)), "{learned:?}");
    let mut new = Play::new();
    new.tell(Input::LearnedState(learned.clone()));
    assert_eq!(new.core.lend(0.0, |_| true, &mut Vec::new()).learned, learned);
    // What can't have been measured is let pass.
    let mut new = Play::new();
    let before = new.core.lend(0.0, |_| true, &mut Vec::new()).learned;
    new.core.end_lending();
    new.tell(Input::LearnedState(LearnedState { usual_s: f64::NAN, ..learned.clone() }));
    let traffic = Traffic { quotas: vec![(f64::INFINITY, 0.0).into()], ..Traffic::default() };
    new.tell(Input::LearnedState(LearnedState { traffic, ..learned.clone() }));
    new.tell(Input::LearnedState(LearnedState {
        paces: vec![(-1.0, 0.0, [0.0; 5]).into()],
        ..learned.clone()
    }));
    assert_eq!(new.core.lend(0.0, |_| true, &mut Vec::new()).learned, before);
    let mut new = Play::new();
    new.tell(Input::LearnedState(LearnedState { runs: 1_000_000, ..learned }));
    let most = new.core.lend(0.0, |_| true, &mut Vec::new()).learned.runs;
    assert!(most <= 16, "{most}");
}
