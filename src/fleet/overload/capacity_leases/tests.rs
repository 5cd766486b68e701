use super::*;
use proptest::prelude::*;

const WORKERS: usize = 3;
const OWN: f64 = 4.0;
/// Clocks differ by as much as the drift allows for, in the direction that harms.
const DRIFT: f64 = 0.1;

#[derive(Clone, Debug)]
enum Step {
    Pass(f64),
    /// A worker says what it can spare or wants.
    Report(usize, f64),
    /// The next report on a worker's link reaches its leader; the leader answers; the answer reaches the worker.
    Arrive(usize),
    Answer(usize),
    Deliver(usize),
    /// A worker's link is lost; the next one is to the newest leader.
    Relink(usize),
    Restart(usize),
    Lead,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let worker = 0..WORKERS;
    let step = prop_oneof![
        4 => (0.0..1.2f64).prop_map(Step::Pass),
        5 => (worker.clone(), -6.0..6.0f64).prop_map(|(w, spare)| Step::Report(w, spare)),
        5 => worker.clone().prop_map(Step::Arrive),
        5 => worker.clone().prop_map(Step::Answer),
        5 => worker.clone().prop_map(Step::Deliver),
        1 => worker.clone().prop_map(Step::Relink),
        1 => worker.prop_map(Step::Restart),
        1 => Just(Step::Lead),
    ];
    prop::collection::vec(step, 0..200)
}

/// The guard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Weak {
    Nothing,
    /// A new leader gives at once.
    NoWait,
    /// A loan counts from when the latest digest went out, whatever the lender had heard by then.
    AnyDigest,
    /// A new process uses its whole part.
    WholePart,
    /// Holders use the whole of a slice.
    NoDrift,
}

struct Worker {
    part: CapacityClient,
    leader: usize,
    number: u64,
    up: VecDeque<(u64, CapacityReport)>,
    /// What came to the leader and waits for the quorum.
    came: VecDeque<(u64, f64)>,
    down: VecDeque<(u64, u64, f64)>,
}

/// Plays the steps; the first moment at which more may be in hand than the parts come to.
fn overdrawn(steps: &[Step], weak: Weak) -> Option<f64> {
    let (leaders_rate, workers_rate) = (1.0 + DRIFT / 2.0, 1.0 - DRIFT / 2.0);
    // Lenders' clocks are fast: their promises end early; borrowers' are slow, and so hold on for long.
    let rate = |w: usize| if w == 0 { 1.0 + DRIFT / 2.0 } else { workers_rate };
    let drift = if weak == Weak::NoDrift { 0.0 } else { DRIFT };
    let new = |w: usize, now: f64, whole: bool| {
        let began = if whole { now * rate(w) - 100.0 } else { now * rate(w) };
        CapacityClient::new(began, OWN, drift)
    };
    let mut now = 1000.0;
    let mut leaders = vec![CapacityLeaseServer::lead(now * leaders_rate, OWN)];
    let mut workers: Vec<Worker> = (0..WORKERS)
        .map(|w| Worker {
            part: new(w, now, true),
            leader: 0,
            number: 0,
            up: VecDeque::new(),
            came: VecDeque::new(),
            down: VecDeque::new(),
        })
        .collect();
    for step in steps {
        let leaders_now = now * leaders_rate;
        let newest = leaders.len() - 1;
        match *step {
            Step::Pass(s) => now += s,
            Step::Report(w, spare) => {
                let worker = &mut workers[w];
                worker.number += 1;
                let (lends, heard) = worker.part.report(now * rate(w), worker.number, spare);
                let claim = CapacityReport { heard, lends, wants: (-spare).max(0.0), weight: 1.0 };
                worker.up.push_back((worker.number, claim));
            }
            Step::Arrive(w) => {
                let worker = &mut workers[w];
                let Some((number, mut claim)) = worker.up.pop_front() else { continue };
                if weak == Weak::AnyDigest {
                    let sent = leaders[worker.leader].parties.get(&(w as u64));
                    claim.heard = sent.and_then(|p| p.sent.back()).map_or(0, |(number, _)| *number);
                }
                leaders[worker.leader].came(leaders_now, w as u64, claim);
                worker.came.push_back((number, leaders_now));
            }
            Step::Answer(w) => {
                let worker = &mut workers[w];
                // A leader before has no quorum.
                if worker.leader == newest {
                    if let Some((number, came)) = worker.came.pop_front() {
                        let (digest, slice) = leaders[newest].deal(leaders_now, came, w as u64);
                        worker.down.push_back((number, digest, slice));
                    }
                }
            }
            Step::Deliver(w) => {
                let worker = &mut workers[w];
                if let Some((number, digest, slice)) = worker.down.pop_front() {
                    worker.part.heard(number, digest, slice);
                }
            }
            Step::Relink(w) | Step::Restart(w) => {
                let worker = &mut workers[w];
                (worker.up, worker.came, worker.down) = Default::default();
                // What it is under another link is another party to the leader: a session goes on, a process does not.
                worker.leader = newest;
                match step {
                    Step::Restart(_) => worker.part = new(w, now, weak == Weak::WholePart),
                    _ => worker.part.relinked(),
                }
            }
            Step::Lead => {
                let from = if weak == Weak::NoWait { leaders_now } else { leaders_now + SLICE_S };
                leaders.push(CapacityLeaseServer::lead_after(from, OWN));
            }
        }
        let may: f64 =
            workers.iter().enumerate().map(|(w, worker)| worker.part.may_have(now * rate(w))).sum();
        if may > OWN * WORKERS as f64 + 1e-9 {
            return Some(may);
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_all_may_have_in_hand_never_passes_the_sum_of_their_parts(steps in steps()) {
        prop_assert_eq!(overdrawn(&steps, Weak::Nothing), None);
    }
}

/// A report with its way there and back.
fn told(worker: usize, spare: f64) -> Vec<Step> {
    vec![Step::Report(worker, spare), Step::Arrive(worker), Step::Answer(worker), Step::Deliver(worker)]
}

/// The first worker has lent a call, and the second has it.
fn lent() -> Vec<Step> {
    let wait = vec![Step::Pass(1.2)];
    [wait, told(0, 3.0), told(0, 3.0), vec![Step::Pass(0.15)], told(1, -3.0)].concat()
}

#[test]
fn each_guard_of_loans_and_slices_that_is_taken_away_is_missed() {
    let again = [vec![Step::Lead, Step::Relink(0), Step::Relink(2)], told(0, 3.0), told(0, 3.0)].concat();
    let late = vec![
        // The answer to one report is late, and a later report, in which it lends, is on its way for long.
        Step::Report(0, 0.0),
        Step::Arrive(0),
        Step::Report(0, 3.0),
        Step::Pass(2.9),
        Step::Answer(0),
        Step::Arrive(0),
    ];
    let end = vec![Step::Pass(0.15)];
    for (weak, steps) in [
        (Weak::NoWait, [lent(), again, end.clone(), told(2, -3.0)].concat()),
        (
            Weak::AnyDigest,
            [vec![Step::Pass(1.2)], told(0, 0.0), late, end, told(1, -3.0), vec![Step::Pass(0.4)]].concat(),
        ),
        (Weak::WholePart, [lent(), vec![Step::Restart(0)]].concat()),
        (
            Weak::NoDrift,
            [lent(), vec![Step::Pass(1.75)], told(1, -3.0), vec![Step::Pass(1.0), Step::Pass(0.0)]].concat(),
        ),
    ] {
        assert_eq!(overdrawn(&steps, Weak::Nothing), None, "{weak:?}");
        assert!(overdrawn(&steps, weak).is_some(), "{weak:?} is not missed");
    }
}

#[test]
fn what_one_lends_another_has_within_two_reports_and_back_when_the_loan_ends() {
    let mut dealer = CapacityLeaseServer::lead(0.0, OWN);
    let mut parts = [CapacityClient::new(-10.0, OWN, DRIFT), CapacityClient::new(-10.0, OWN, DRIFT)];
    let mut round = |now: f64, number: u64, spare: [f64; 2]| {
        for w in 0..2 {
            let (lends, heard) = parts[w].report(now, number, spare[w]);
            dealer.came(
                now,
                w as u64,
                CapacityReport { heard, lends, wants: (-spare[w]).max(0.0), weight: 1.0 },
            );
        }
        for (w, part) in parts.iter_mut().enumerate() {
            let (digest, slice) = dealer.deal(now, now, w as u64);
            part.heard(number, digest, slice);
        }
        [parts[0].may_have(now), parts[1].may_have(now)]
    };
    assert_eq!(round(1.0, 1, [3.0, -3.0]), [OWN, OWN], "nobody has been told how to count yet");
    assert_eq!(round(1.5, 2, [3.0, -3.0]), [OWN - 1.0, OWN + 1.0], "a quarter of a part at most");
    assert_eq!(round(2.0, 3, [0.0, -0.5]), [OWN - 1.0, OWN + 0.5], "no more than is wanted");
    // The lender wants it back: the promise ends first, and the slice before it.
    assert_eq!(round(2.5, 4, [-1.0, -3.0])[0], OWN - 1.0);
    assert_eq!(round(4.0, 5, [-1.0, -3.0]), [OWN - 1.0, OWN]);
    assert_eq!(round(5.0, 6, [-1.0, -3.0]), [OWN, OWN]);
}

#[test]
fn slices_go_by_worth_and_nobody_gets_more_than_it_wants() {
    let filled = fill(6.0, vec![(1, 1.0, 5.0), (2, 9.0, 2.0), (3, 9.0, 3.0)]);
    assert_eq!(filled.into_iter().collect::<Vec<_>>(), [(1, 1.0), (2, 2.0), (3, 3.0)]);
    assert!(fill(6.0, Vec::new()).is_empty());
}

#[test]
fn a_liar_lends_no_more_than_a_quarter_of_a_part_and_takes_no_more_than_is_lent() {
    let mut dealer = CapacityLeaseServer::lead(0.0, OWN);
    for now in [1.0, 1.5] {
        for (worker, lends, wants) in [(1, 1e6, 0.0), (2, 0.0, 1e6)] {
            let heard = if now > 1.0 { 1 } else { 0 };
            dealer.came(now, worker, CapacityReport { heard, lends, wants, weight: 1e6 });
            dealer.deal(now, now, worker);
        }
    }
    assert_eq!(dealer.sums(1.5), (1.0, 1.0));
}
