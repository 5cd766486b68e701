//! Hot restart: a dispatcher and its successor with the same executor.

use super::*;
use crate::dispatch::idempotency::IdempotencyUpdate;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A report of the predecessor to the successor.
enum Report {
    Key(IdempotencyUpdate),
    Usage(ResourceUsage),
}

/// Identifies a process of the pair.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Role {
    Predecessor,
    Successor,
}

/// A run at the executor: the key of its request, and the process that started it.
struct ExecutorRun {
    key: String,
    started_by: Role,
}

/// A worker, its successor and the executor that both use.
struct ProcessPair {
    predecessor: Harness,
    successor: Harness,
    handed_off: bool,
    predecessor_alive: bool,
    /// Reports of the predecessor that the successor has not received, oldest first.
    reports: VecDeque<Report>,
    /// Runs in progress, by request name.
    runs: HashMap<Rc<str>, ExecutorRun>,
    /// Number of runs of each key that may have had an effect.
    runs_by_key: HashMap<String, u32>,
    /// The key of each request, by its number; empty for a request without a key.
    keys: HashMap<u64, String>,
    /// Number of responses to each request, by its number.
    responses: HashMap<u64, u32>,
}

impl ProcessPair {
    fn new() -> ProcessPair {
        ProcessPair {
            predecessor: Harness::new(),
            successor: Harness::new(),
            handed_off: false,
            predecessor_alive: true,
            reports: VecDeque::new(),
            runs: HashMap::new(),
            runs_by_key: HashMap::new(),
            keys: HashMap::new(),
            responses: HashMap::new(),
        }
    }

    fn advance(&mut self, seconds: f64) {
        self.predecessor.now += seconds;
        self.successor.now = self.predecessor.now;
        self.input(Role::Predecessor, Input::Woken(Gauges::default()));
        self.input(Role::Successor, Input::Woken(Gauges::default()));
    }

    fn input(&mut self, role: Role, input: Input) {
        if role == Role::Predecessor && !self.predecessor_alive {
            return;
        }
        let out = match role {
            Role::Predecessor => self.predecessor.input(input),
            Role::Successor => self.successor.input(input),
        };
        self.record(role, out);
        if role == Role::Predecessor && self.handed_off {
            self.reports.push_back(Report::Usage(self.predecessor.dispatcher.usage()));
        }
    }

    fn record(&mut self, role: Role, out: Vec<Command>) {
        for command in out {
            match command {
                Command::Respond(ticket, _) => *self.responses.entry(ticket.0).or_default() += 1,
                Command::Run { name, .. } => {
                    let number: u64 = name[1..].parse().unwrap();
                    let key = self.keys[&number].clone();
                    if !key.is_empty() {
                        *self.runs_by_key.entry(key.clone()).or_default() += 1;
                    }
                    self.runs.insert(name, ExecutorRun { key, started_by: role });
                }
                Command::IdempotencyUpdate(update) if role == Role::Predecessor => {
                    self.reports.push_back(Report::Key(update));
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self, number: u64, key: &str) {
        self.keys.insert(number, key.to_owned());
        let at_predecessor = !self.handed_off && self.predecessor_alive;
        let role = if at_predecessor { Role::Predecessor } else { Role::Successor };
        self.input(role, Input::Arrived(request(number, key)));
    }

    fn end(&mut self, selector: usize, outcome: Outcome) {
        let mut names: Vec<_> = self.runs.keys().cloned().collect();
        names.sort();
        let Some(name) = names.get(selector % names.len().max(1)).cloned() else { return };
        let ExecutorRun { key, started_by } = self.runs.remove(&name).unwrap();
        let end_is_reported = started_by == Role::Successor || self.predecessor_alive;
        // Nothing was started, so it does not count as a run.
        if outcome == Outcome::NotStarted && !key.is_empty() && end_is_reported {
            *self.runs_by_key.get_mut(&key).unwrap() -= 1;
        }
        let result = (outcome == Outcome::Ok).then(|| Rc::from(*b"done"));
        self.input(started_by, Input::RunEnded { name, outcome, result });
    }

    fn hand_off(&mut self) {
        if std::mem::replace(&mut self.handed_off, true) || !self.predecessor_alive {
            return;
        }
        let mut out = Vec::new();
        let now = self.predecessor.now;
        let handed_off = self.predecessor.dispatcher.hand_off(now, |_| true, &mut out);
        self.record(Role::Predecessor, out);
        self.successor.dispatcher.inherit_from_predecessor(handed_off.fingerprint_key, handed_off.running);
        self.input(Role::Successor, Input::LearnedState(handed_off.learned));
        for update in handed_off.keys {
            self.input(Role::Successor, Input::IdempotencyUpdate(update));
        }
        let usage = self.predecessor.dispatcher.usage();
        self.input(Role::Successor, Input::PredecessorUsage(usage));
        for request in handed_off.requests {
            self.input(Role::Successor, Input::Arrived(request.at(now)));
        }
    }

    fn receive_report(&mut self) -> bool {
        match self.reports.pop_front() {
            Some(Report::Key(update)) => self.input(Role::Successor, Input::IdempotencyUpdate(update)),
            Some(Report::Usage(usage)) => self.input(Role::Successor, Input::PredecessorUsage(usage)),
            None => return false,
        }
        true
    }

    /// Kills the predecessor: its last reports still arrive, its runs continue without anyone waiting for them, and its
    /// pending responses are lost.
    fn kill_predecessor(&mut self) {
        if !self.handed_off || !std::mem::replace(&mut self.predecessor_alive, false) {
            return;
        }
        while self.receive_report() {}
        for ticket in self.predecessor.dispatcher.in_flight.by_ticket.keys() {
            self.responses.insert(ticket.0, 1);
        }
        self.input(Role::Successor, Input::PredecessorExited);
    }
}

#[test]
fn a_key_runs_once_in_both_processes_and_every_request_gets_one_response() {
    let config = Config { cases: 120, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]);
    let step = (0..20u8, 0..12usize, 0..4usize, 1..30u32);
    let steps = proptest::collection::vec(step, 20..250);
    let ran = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut pair = ProcessPair::new();
        let (mut count, hand_off_at, predecessor_dies) = (0, steps.len() / 3, steps[0].0 < 8);
        for (i, (kind, selector, key, ms)) in steps.iter().enumerate() {
            pair.advance(f64::from(*ms) / 1000.0);
            if i == hand_off_at {
                pair.hand_off();
            }
            if predecessor_dies && i == 2 * hand_off_at {
                pair.kill_predecessor();
            }
            match kind {
                0..=8 => {
                    count += 1;
                    pair.arrive(count, ["", "a", "b", "c"][*key]);
                }
                9..=14 => {
                    pair.end(
                        *selector,
                        [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::NotStarted][*key],
                    );
                }
                _ => drop(pair.receive_report()),
            }
            for (key, runs) in &pair.runs_by_key {
                prop_assert!(*runs <= 1, "key {} ran {} times", key, runs);
            }
        }
        pair.hand_off();
        for i in 0..400 {
            pair.advance(0.05);
            if i % 2 == 0 {
                pair.end(0, Outcome::Ok);
            }
            while pair.receive_report() {}
        }
        pair.kill_predecessor();
        for number in 1..=count {
            prop_assert_eq!(pair.responses.get(&number), Some(&1), "request {}", number);
        }
        prop_assert_eq!(pair.successor.dispatcher.pending_responses(), 0);
        prop_assert!(pair.successor.dispatcher.is_idle());
        prop_assert_eq!(pair.successor.dispatcher.usage(), ResourceUsage::default());
        Ok(())
    });
    ran.unwrap();
}

#[test]
fn queued_requests_are_handed_off_and_run_in_the_successor() {
    let mut pair = ProcessPair::new();
    for number in 1..=3 {
        pair.arrive(number, "");
    }
    pair.arrive(4, "k");
    assert_eq!(pair.runs.len(), 2);
    pair.hand_off();
    assert_eq!(
        (pair.predecessor.dispatcher.pending_responses(), pair.successor.dispatcher.pending_responses()),
        (2, 2)
    );
    // Both processes count the predecessor's runs.
    assert_eq!(pair.runs.len(), 2);
    // The usage that a third process would receive includes both processes.
    assert_eq!(
        (pair.predecessor.dispatcher.usage().on_cores, pair.successor.dispatcher.usage().on_cores),
        (2, 2)
    );
    pair.end(0, Outcome::Ok);
    pair.end(0, Outcome::Ok);
    while pair.receive_report() {}
    assert_eq!(pair.runs.values().filter(|run| run.started_by == Role::Successor).count(), 2);
    assert!(pair.predecessor.dispatcher.is_idle());
}

#[test]
fn reclaimed_requests_are_decided_as_if_they_had_never_been_handed_off() {
    let mut h = Harness::new();
    h.arrive(1, "");
    h.arrive(2, "");
    h.arrive(3, "k");
    let handed_off = h.dispatcher.hand_off(h.now, |_| true, &mut h.out);
    assert_eq!((handed_off.requests.len(), handed_off.running.len()), (1, 2));
    h.dispatcher.end_hand_off();
    h.now = 0.5;
    let out = h.input(Input::Arrived(handed_off.requests[0].at(h.now)));
    assert_eq!(responses(&out), vec![]);
    assert_eq!(runs(&h.end(1, Outcome::Ok, b"x")), 1);
    assert_eq!(responses(&h.end(3, Outcome::Ok, b"done")), vec![(3, served(b"done"))]);
    assert_eq!(h.dispatcher.pending_responses(), 1);
}

#[test]
fn a_name_that_runs_in_the_predecessor_conflicts() {
    let mut pair = ProcessPair::new();
    pair.arrive(1, "");
    pair.hand_off();
    let out = pair.successor.input(Input::Arrived(Request { ticket: Ticket(9), ..request(1, "") }));
    assert_eq!(out, vec![Command::Respond(Ticket(9), Response::Conflict)]);
}

/// Guards against a request that runs in both processes under one name: its attempt in the predecessor, which stays there
/// because its connection can't be handed off, may start after the hand-off. The same in a chain of three processes.
#[test]
fn names_of_requests_that_stay_in_an_earlier_process_without_having_started_conflict() {
    let mut first = Harness::new();
    for number in 1..=3 {
        first.arrive(number, "");
    }
    let state = first.dispatcher.hand_off(0.0, |_| false, &mut Vec::new());
    let mut second = Harness::new();
    second.dispatcher.inherit_from_predecessor(state.fingerprint_key, state.running);
    let mut third = Harness::new();
    let state = second.dispatcher.hand_off(0.0, |_| true, &mut Vec::new());
    third.dispatcher.inherit_from_predecessor(state.fingerprint_key, state.running);
    for successor in [&mut second, &mut third] {
        let out = successor.input(Input::Arrived(Request { ticket: Ticket(9), ..request(3, "") }));
        assert_eq!((runs(&out), responses(&out)), (0, vec![(9, Response::Conflict)]));
        assert_eq!(runs(&successor.arrive(4, "")), 1);
    }
    // The request that stayed starts as soon as a slot is free.
    assert_eq!(runs(&first.end(1, Outcome::Ok, b"x")), 1);
}

/// Guards against retries in the successor that wait until their deadline although the predecessor has reported the end
/// of the run.
#[test]
fn the_end_of_a_key_in_the_predecessor_reaches_its_retries_immediately() {
    for (outcome, answer) in [
        (Outcome::Ok, served(b"done")),
        (Outcome::Error, Response::Failed),
        (Outcome::NotStarted, Response::not_started()),
    ] {
        let mut pair = ProcessPair::new();
        pair.arrive(1, "k");
        pair.hand_off();
        pair.arrive(2, "k");
        assert!(pair.successor.dispatcher.is_in_flight("r2") && pair.reports.is_empty());
        pair.end(0, outcome);
        let Some(Report::Key(update)) = pair.reports.pop_front() else {
            panic!("the predecessor did not report the key")
        };
        let out = pair.successor.input(Input::IdempotencyUpdate(update));
        assert_eq!(responses(&out), vec![(2, answer)], "{outcome:?}");
        // The key may run again only if it never ran.
        let again = pair.successor.arrive(3, "k");
        assert_eq!(runs(&again), usize::from(outcome == Outcome::NotStarted));
    }
}

/// Guards against a hot restart that refills the tenants' token buckets or loses the count of recent retries, so that
/// the successor does not recognize a flood of them.
#[test]
fn a_tenant_over_its_quota_gains_nothing_by_a_hot_restart() {
    let of_tenant = |number| Request { tenant: Some(0), retry: true, ..request(number, "") };
    let with_quota =
        || Harness::with_settings(Settings { tenants: vec![Tenant { quota_per_s: 3.0 }], ..settings() });
    let hand_off = |h: &mut Harness| h.dispatcher.hand_off(h.now, |_| true, &mut Vec::new());
    let mut old = with_quota();
    let full_bucket_tokens = hand_off(&mut old).learned.traffic.tenants[0].tokens;
    old.dispatcher.end_hand_off();
    for number in 1..=2 {
        old.input(Input::Arrived(of_tenant(number)));
        old.end(number, Outcome::Error, b"");
    }
    // Two requests run and are charged here; the two queued ones are charged by the successor.
    (3..=6).for_each(|number| drop(old.input(Input::Arrived(of_tenant(number)))));
    let handed_off = hand_off(&mut old);
    assert_eq!((full_bucket_tokens, handed_off.requests.len()), (6.0, 2));
    let Traffic { tenants, arrivals_per_s, recent } = handed_off.learned.traffic.clone();
    assert_eq!(tenants, [(2.0, 4.0).into()]);
    let arrivals = arrivals_per_s[0];
    assert!(arrivals > 0.0 && recent == (arrivals, 2.0, 2.0).into(), "{arrivals_per_s:?} {recent:?}");
    let mut new = with_quota();
    new.input(Input::LearnedState(handed_off.learned));
    assert_eq!(hand_off(&mut new).learned.traffic, Traffic { tenants, arrivals_per_s, recent });
    // A successor caps the tokens at its own quota.
    new.dispatcher.end_hand_off();
    let more = Traffic { tenants: vec![(1e6, 0.0).into()], ..Traffic::default() };
    new.input(Input::LearnedState(LearnedState { traffic: more, ..hand_off(&mut with_quota()).learned }));
    assert_eq!(hand_off(&mut new).learned.traffic.tenants, [(2.0, 0.0).into()]);
}

#[test]
fn a_successor_adopts_what_was_learned_within_its_own_run_limit() {
    let mut h = Harness::new();
    for number in 1..=40 {
        h.arrive(number, "");
        h.now += 0.1;
        h.end(number, Outcome::Ok, b"x");
    }
    let learned = h.dispatcher.hand_off(h.now, |_| true, &mut Vec::new()).learned;
    assert!(
        (0.05..0.3).contains(&(learned.run_lengths[0].core_time_s / learned.run_lengths[0].ended)),
        "{learned:?}"
    );
    let mut new = Harness::new();
    new.input(Input::LearnedState(learned.clone()));
    assert_eq!(new.dispatcher.hand_off(0.0, |_| true, &mut Vec::new()).learned, learned);
    // Values that can't result from a measurement are ignored.
    let mut new = Harness::new();
    let before = new.dispatcher.hand_off(0.0, |_| true, &mut Vec::new()).learned;
    new.dispatcher.end_hand_off();
    new.input(Input::LearnedState(LearnedState { baseline_run_s: f64::NAN, ..learned.clone() }));
    let traffic = Traffic { tenants: vec![(f64::INFINITY, 0.0).into()], ..Traffic::default() };
    new.input(Input::LearnedState(LearnedState { traffic, ..learned.clone() }));
    new.input(Input::LearnedState(LearnedState {
        run_lengths: vec![(-1.0, 0.0, [0.0; 5]).into()],
        ..learned.clone()
    }));
    assert_eq!(new.dispatcher.hand_off(0.0, |_| true, &mut Vec::new()).learned, before);
    let mut new = Harness::new();
    new.input(Input::LearnedState(LearnedState { run_limit: 1_000_000, ..learned }));
    let adopted_limit = new.dispatcher.hand_off(0.0, |_| true, &mut Vec::new()).learned.run_limit;
    assert!(adopted_limit <= 16, "{adopted_limit}");
}
