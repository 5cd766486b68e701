#![expect(
    clippy::float_cmp,
    reason = "these values are exact: sums of binary fractions, or values passed through"
)]

use super::server::{divide, Demand};
use super::*;
use proptest::prelude::*;
use std::collections::VecDeque;

const WORKERS: usize = 3;
const BASE_CALLS: f64 = 4.0;
/// Clocks differ by as much as the drift allows for, in the direction that harms.
const DRIFT: f64 = 0.1;
const FAST_CLOCK: f64 = 1.0 + DRIFT / 2.0;
const SLOW_CLOCK: f64 = 1.0 - DRIFT / 2.0;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes (seconds).
    Elapse(f64),
    /// A worker reports calls that it can spare, or, where negative, wants.
    Report(usize, f64),
    /// The next report on a worker's link reaches its leader.
    Arrive(usize),
    /// The leader answers the next report.
    Answer(usize),
    /// The next answer reaches the worker.
    Deliver(usize),
    /// A worker's link is lost; the next one is to the newest leader.
    Reconnect(usize),
    /// A worker's process is replaced by a new one.
    Restart(usize),
    /// Another leader takes over.
    NewLeader,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let worker = 0..WORKERS;
    let step = prop_oneof![
        4 => (0.0..1.2f64).prop_map(Step::Elapse),
        5 => (worker.clone(), -6.0..6.0f64).prop_map(|(w, spare)| Step::Report(w, spare)),
        5 => worker.clone().prop_map(Step::Arrive),
        5 => worker.clone().prop_map(Step::Answer),
        5 => worker.clone().prop_map(Step::Deliver),
        1 => worker.clone().prop_map(Step::Reconnect),
        1 => worker.prop_map(Step::Restart),
        1 => Just(Step::NewLeader),
    ];
    prop::collection::vec(step, 0..200)
}

/// The guard that a run does without.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    None,
    /// A new leader grants immediately.
    NoWait,
    /// A loan counts from when the latest digest went out, whatever the lender had received by then.
    AnyDigest,
    /// A new process uses its full base allocation.
    FullAllocation,
    /// Holders use a slice until its end, without a margin for drift.
    NoDrift,
}

/// What a worker reports that has calls to spare, or, where that is negative, wants some.
fn report_of(offer: LoanOffer, spare: f64) -> CapacityReport {
    CapacityReport {
        last_digest: offer.last_digest,
        lent_calls: offer.lent_calls,
        wanted_calls: (-spare).max(0.0),
        weight: 1.0,
    }
}

/// A worker, and the messages between it and its leader.
struct Worker {
    client: CapacityClient,
    /// The index of the leader that its link is to.
    leader: usize,
    /// The number of its latest report.
    number: u64,
    /// Reports on their way to the leader, by number.
    reports: VecDeque<(u64, CapacityReport)>,
    /// Numbers of reports that wait for the quorum, and when they were received.
    received: VecDeque<(u64, f64)>,
    /// Answers on their way to the worker, by the number of their report.
    grants: VecDeque<(u64, SliceGrant)>,
}

impl Worker {
    fn new(client: CapacityClient) -> Worker {
        Worker {
            client,
            leader: 0,
            number: 0,
            reports: VecDeque::new(),
            received: VecDeque::new(),
            grants: VecDeque::new(),
        }
    }
}

/// Leaders and workers whose clocks differ, without one of their guards.
struct World {
    removed: RemovedGuard,
    now: f64,
    /// In the order of their terms.
    leaders: Vec<CapacityLeaseServer>,
    workers: Vec<Worker>,
}

impl World {
    fn new(removed: RemovedGuard) -> World {
        let mut world = World { removed, now: 1000.0, leaders: Vec::new(), workers: Vec::new() };
        world.leaders.push(CapacityLeaseServer::new(world.leaders_now(), BASE_CALLS));
        for w in 0..WORKERS {
            world.workers.push(Worker::new(world.client(w, true)));
        }
        world
    }

    /// The client of a worker's process, which has run for long or starts now.
    fn client(&self, w: usize, long_running: bool) -> CapacityClient {
        let now = self.workers_now(w);
        let began = if long_running { now - 100.0 } else { now };
        let drift = if self.removed == RemovedGuard::NoDrift { 0.0 } else { DRIFT };
        CapacityClient::new(began, BASE_CALLS, drift)
    }

    fn leaders_now(&self) -> f64 {
        self.now * FAST_CLOCK
    }

    /// Lenders' clocks are fast: their promises end early; borrowers' are slow, and so hold on for long.
    fn workers_now(&self, w: usize) -> f64 {
        self.now * if w == 0 { FAST_CLOCK } else { SLOW_CLOCK }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Elapse(seconds) => self.now += seconds,
            Step::Report(w, spare) => self.report(w, spare),
            Step::Arrive(w) => self.arrive(w),
            Step::Answer(w) => self.answer(w),
            Step::Deliver(w) => {
                let worker = &mut self.workers[w];
                if let Some((number, grant)) = worker.grants.pop_front() {
                    worker.client.receive(number, grant);
                }
            }
            Step::Reconnect(w) => {
                self.relink(w);
                self.workers[w].client.reconnected();
            }
            Step::Restart(w) => {
                self.relink(w);
                self.workers[w].client = self.client(w, self.removed == RemovedGuard::FullAllocation);
            }
            Step::NewLeader => {
                let now = self.leaders_now();
                let from = if self.removed == RemovedGuard::NoWait { now } else { now + SLICE_S };
                self.leaders.push(CapacityLeaseServer::granting_from(from, BASE_CALLS));
            }
        }
    }

    fn report(&mut self, w: usize, spare: f64) {
        let now = self.workers_now(w);
        let worker = &mut self.workers[w];
        worker.number += 1;
        let offer = worker.client.report(now, worker.number, spare);
        worker.reports.push_back((worker.number, report_of(offer, spare)));
    }

    fn arrive(&mut self, w: usize) {
        let now = self.leaders_now();
        let worker = &mut self.workers[w];
        let leader = &mut self.leaders[worker.leader];
        let Some((number, mut report)) = worker.reports.pop_front() else { return };
        if self.removed == RemovedGuard::AnyDigest {
            let holder = leader.holders.get(&(w as u64));
            let newest_digest = holder.and_then(|holder| holder.sent_digests.back());
            report.last_digest = newest_digest.map_or(0, |digest| digest.number);
        }
        leader.receive_report(now, w as u64, report);
        worker.received.push_back((number, now));
    }

    fn answer(&mut self, w: usize) {
        let now = self.leaders_now();
        let newest = self.leaders.len() - 1;
        let worker = &mut self.workers[w];
        // An earlier leader has no quorum.
        if worker.leader == newest {
            if let Some((number, received_at)) = worker.received.pop_front() {
                let grant = self.leaders[newest].grant(now, received_at, w as u64);
                worker.grants.push_back((number, grant));
            }
        }
    }

    /// A worker's link is lost with all that was under way on it, and the next one is to the newest leader.
    fn relink(&mut self, w: usize) {
        let worker = &mut self.workers[w];
        worker.reports.clear();
        worker.received.clear();
        worker.grants.clear();
        worker.leader = self.leaders.len() - 1;
    }

    /// The calls that may be in flight from all workers.
    fn max_in_flight(&self) -> f64 {
        let calls = |(w, worker): (usize, &Worker)| worker.client.max_in_flight(self.workers_now(w));
        self.workers.iter().enumerate().map(calls).sum()
    }
}

/// Plays the steps; the first total of calls that may be in flight beyond the sum of the base allocations.
fn first_excess(steps: &[Step], removed: RemovedGuard) -> Option<f64> {
    let mut world = World::new(removed);
    for step in steps {
        world.step(step);
        let in_flight = world.max_in_flight();
        if in_flight > BASE_CALLS * WORKERS as f64 + 1e-9 {
            return Some(in_flight);
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn calls_in_flight_never_exceed_the_sum_of_base_allocations(steps in steps()) {
        prop_assert_eq!(first_excess(&steps, RemovedGuard::None), None);
    }
}

/// A report, its way to the leader, and its answer.
fn exchange(worker: usize, spare: f64) -> Vec<Step> {
    vec![Step::Report(worker, spare), Step::Arrive(worker), Step::Answer(worker), Step::Deliver(worker)]
}

/// The first worker has lent a call, and the second has it.
fn one_call_lent() -> Vec<Step> {
    let wait = vec![Step::Elapse(1.2)];
    [wait, exchange(0, 3.0), exchange(0, 3.0), vec![Step::Elapse(0.15)], exchange(1, -3.0)].concat()
}

#[test]
fn without_any_one_guard_of_loans_and_slices_calls_exceed_the_sum() {
    let again =
        [vec![Step::NewLeader, Step::Reconnect(0), Step::Reconnect(2)], exchange(0, 3.0), exchange(0, 3.0)]
            .concat();
    let late = vec![
        // The answer to one report is late, and a later report, in which it lends, is on its way for long.
        Step::Report(0, 0.0),
        Step::Arrive(0),
        Step::Report(0, 3.0),
        Step::Elapse(2.9),
        Step::Answer(0),
        Step::Arrive(0),
    ];
    let end = vec![Step::Elapse(0.15)];
    for (removed, steps) in [
        (RemovedGuard::NoWait, [one_call_lent(), again, end.clone(), exchange(2, -3.0)].concat()),
        (
            RemovedGuard::AnyDigest,
            [
                vec![Step::Elapse(1.2)],
                exchange(0, 0.0),
                late,
                end,
                exchange(1, -3.0),
                vec![Step::Elapse(0.4)],
            ]
            .concat(),
        ),
        (RemovedGuard::FullAllocation, [one_call_lent(), vec![Step::Restart(0)]].concat()),
        (
            RemovedGuard::NoDrift,
            [
                one_call_lent(),
                vec![Step::Elapse(1.75)],
                exchange(1, -3.0),
                vec![Step::Elapse(1.0), Step::Elapse(0.0)],
            ]
            .concat(),
        ),
    ] {
        assert_eq!(first_excess(&steps, RemovedGuard::None), None, "{removed:?}");
        assert!(first_excess(&steps, removed).is_some(), "without {removed:?} nothing is exceeded");
    }
}

#[test]
fn lent_calls_are_granted_within_two_reports_and_return_when_the_loan_expires() {
    let mut server = CapacityLeaseServer::new(0.0, BASE_CALLS);
    let mut clients =
        [CapacityClient::new(-10.0, BASE_CALLS, DRIFT), CapacityClient::new(-10.0, BASE_CALLS, DRIFT)];
    let mut round = |now: f64, number: u64, spare: [f64; 2]| {
        for w in 0..2 {
            let offer = clients[w].report(now, number, spare[w]);
            server.receive_report(now, w as u64, report_of(offer, spare[w]));
        }
        for (w, client) in clients.iter_mut().enumerate() {
            let grant = server.grant(now, now, w as u64);
            client.receive(number, grant);
        }
        [clients[0].max_in_flight(now), clients[1].max_in_flight(now)]
    };
    assert_eq!(
        round(1.0, 1, [3.0, -3.0]),
        [BASE_CALLS, BASE_CALLS],
        "without a digest the leader could not count a loan"
    );
    assert_eq!(
        round(1.5, 2, [3.0, -3.0]),
        [BASE_CALLS - 1.0, BASE_CALLS + 1.0],
        "a quarter of a base allocation at most"
    );
    assert_eq!(round(2.0, 3, [0.0, -0.5]), [BASE_CALLS - 1.0, BASE_CALLS + 0.5], "no more than is wanted");
    // The lender wants it back: the promise ends first, and the slice before it.
    assert_eq!(round(2.5, 4, [-1.0, -3.0])[0], BASE_CALLS - 1.0);
    assert_eq!(round(4.0, 5, [-1.0, -3.0]), [BASE_CALLS - 1.0, BASE_CALLS]);
    assert_eq!(round(5.0, 6, [-1.0, -3.0]), [BASE_CALLS, BASE_CALLS]);
}

#[test]
fn shares_go_by_weight_and_never_exceed_what_is_wanted() {
    let demand = |worker, wanted_calls, weight| Demand { worker, wanted_calls, weight };
    let shares = divide(6.0, vec![demand(1, 1.0, 5.0), demand(2, 9.0, 2.0), demand(3, 9.0, 3.0)]);
    assert_eq!(shares.into_iter().collect::<Vec<_>>(), [(1, 1.0), (2, 2.0), (3, 3.0)]);
    assert!(divide(6.0, Vec::new()).is_empty());
}

#[test]
fn false_reports_lend_no_more_than_a_quarter_and_get_no_more_than_is_lent() {
    let mut server = CapacityLeaseServer::new(0.0, BASE_CALLS);
    for now in [1.0, 1.5] {
        for (worker, lent_calls, wanted_calls) in [(1, 1e6, 0.0), (2, 0.0, 1e6)] {
            let last_digest = u64::from(now > 1.0);
            server.receive_report(
                now,
                worker,
                CapacityReport { last_digest, lent_calls, wanted_calls, weight: 1e6 },
            );
            server.grant(now, now, worker);
        }
    }
    assert_eq!(server.totals(1.5), CapacityTotals { lent: 1.0, granted: 1.0 });
}
